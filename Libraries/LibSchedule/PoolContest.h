#pragma once

#include "LibSchedule/Placement.h"
#include "LibSchedule/QueueOrder.h"
#include "LibSchedule/ShardLoad.h"
#include "LibSchedule/TenantShares.h"

#include <map>
#include <vector>

// Looks for pools whose waiting work can't all be in time, and marks the steps of the jobs that
// yield to others there. What yields is still placed where room is left.
namespace sesameseam::schedule {

// aSteps holds all ready steps of aJobs, in the order of the jobs. aCandidates are the executors
// of the shard, before anything is placed.
YieldCounts
MarkYieldingSteps(const std::map<JobId, Job>& aJobs,
                  std::vector<ReadyStep>& aSteps,
                  const CandidateIndex& aCandidates,
                  TenantShares& aShares,
                  const Now& aNow);

}
