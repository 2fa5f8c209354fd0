#pragma once

#include "LibSchedule/Shard.h"

#include <map>
#include <vector>

// Tells where the tasks of a job would go now, and why not elsewhere, without submitting it: a
// placement pass over a copy of the shard, of which nothing is stored or sent.
namespace sesameseam::schedule {

// What would become of one step of the job.
struct StepPreview
{
  int mStep = 0;
  // Whether its tasks may start before other steps are done.
  bool mIsReady = false;
  int mWaiting = 0;
  // Its tasks wait because they do not fit the quota of their tenant.
  bool mIsHeldByQuota = false;
  // The number of tasks that would start on each executor.
  std::map<ExecutorId, int> mPlaced;
  // The number of executors on which a waiting task could not be placed, by the reason.
  std::map<PlacementObstacle, int> mObstacles;
};

struct JobPreview
{
  // Whether the owner may start tasks at present; if not, nothing is placed.
  bool mMayStart = false;
  // By the estimates, the job could meet its objective if it started now.
  bool mIsInTime = false;
  // Tasks of other jobs that wait at present, and that would wait after the pass.
  int mWaitingBefore = 0;
  int mWaitingAfter = 0;
  std::vector<StepPreview> mSteps;
};

// Previews a job that would be accepted at aNow.
JobPreview
PreviewJob(const Shard& aShard, const Now& aNow, const JobDefinition& aDefinition);

}
