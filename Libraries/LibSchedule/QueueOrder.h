#pragma once

#include "LibSchedule/Job.h"

#include <vector>

// The order in which waiting steps are placed when resources are scarce.
namespace sesameseam::schedule {

// A step with waiting tasks that may start.
struct ReadyStep
{
  Job* mJob = nullptr;
  int mOccurrence = 0;
  int mStep = 0;
  // By the estimates, the job can no longer meet its completion objective.
  bool mIsLate = false;
  // The job could be in time, but there is not room for all, and it yields to others.
  bool mYields = false;
  std::int64_t mWork = 0;
  TimePoint mLatestStart;
};

// All steps of the job with tasks that may start now.
void
CollectReadySteps(Job& aJob, TimePoint aWall, std::vector<ReadyStep>& aSteps);

// Steps that can still meet their objective go before those that can't, and those that yield to
// others come between; urgent queues before others; long-running tasks, whose absence callers
// notice at once, before jobs; then the step with the earliest latest start, so that large jobs get
// their turn in a burst of small ones; then the least work.
void
SortReadySteps(std::vector<ReadyStep>& aSteps);

}
