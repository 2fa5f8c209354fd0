#pragma once

#include "LibSchedule/Node.h"
#include "LibSchedule/PlacementPreview.h"

#include <optional>
#include <string>

// What this entry host would do with a submission now, without taking it.
namespace sesameseam::schedule {

enum class PreviewOutcome
{
  NoManifest,
  NoQueue,
  Invalid,
  // Another entry host owns the queue's shard and decides where its tasks go.
  NotOwner,
  Previewed,
};

std::string_view
NameOf(PreviewOutcome aOutcome);

struct RequestPreview
{
  PreviewOutcome mOutcome = PreviewOutcome::NoManifest;
  // Why the submission is invalid.
  std::string mProblem;
  std::int64_t mManifestVersion = 0;
  QueueName mQueue;
  ServiceName mService;
  int mShard = 0;
  // Set if mOutcome is Previewed.
  std::optional<JobPreview> mJob;
};

// Previews the submission of aSubmitted to aPath at aHost. Its tenant is taken as given; no key is
// checked.
RequestPreview
PreviewRequest(const Node& aNode,
               const Now& aNow,
               const std::string& aHost,
               const std::string& aPath,
               const JobDefinition& aSubmitted);

}
