#include "LibSchedule/RequestPreview.h"

namespace sesameseam::schedule {

std::string_view
NameOf(PreviewOutcome aOutcome)
{
  switch (aOutcome) {
    case PreviewOutcome::NoManifest:
      return "no-manifest";
    case PreviewOutcome::NoQueue:
      return "no-queue";
    case PreviewOutcome::Invalid:
      return "invalid";
    case PreviewOutcome::NotOwner:
      return "not-owner";
    case PreviewOutcome::Previewed:
      return "previewed";
  }
  return "unknown";
}

RequestPreview
PreviewRequest(const Node& aNode,
               const Now& aNow,
               const std::string& aHost,
               const std::string& aPath,
               const JobDefinition& aSubmitted)
{
  RequestPreview preview;
  const auto& manifest = aNode.mFollower.mManifest;
  if (!manifest) {
    return preview;
  }
  preview.mManifestVersion = manifest->mVersion;
  const auto* route = FindRoute(*manifest, aHost, aPath);
  if (route == nullptr) {
    preview.mOutcome = PreviewOutcome::NoQueue;
    return preview;
  }
  preview.mQueue = route->mQueue;
  preview.mService = route->mService;
  preview.mShard = PartitionOf(route->mService, aNode.mSettings.mPartitions);
  preview.mProblem = ValidationError(aSubmitted);
  if (!preview.mProblem.empty()) {
    preview.mOutcome = PreviewOutcome::Invalid;
    return preview;
  }
  auto shard = aNode.mShards.find(preview.mShard);
  if (shard == aNode.mShards.end() || shard->second.mPhase != ShardPhase::Active) {
    preview.mOutcome = PreviewOutcome::NotOwner;
    return preview;
  }
  auto definition = aSubmitted;
  ApplyRoute(definition, *route);
  if (route->mIsPublic) {
    // A job of a public queue has no tenant, whatever key its caller shows.
    definition.mTenant = TenantName();
  }
  preview.mOutcome = PreviewOutcome::Previewed;
  preview.mJob = PreviewJob(shard->second, aNow, definition);
  return preview;
}

}
