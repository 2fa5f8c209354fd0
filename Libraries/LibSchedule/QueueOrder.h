#pragma once

#include "LibSchedule/Job.h"

#include <vector>

// Which waiting work goes first when there is less room than work.
namespace sesameseam::schedule {

// A step of a job with tasks that may start.
struct ReadyStep
{
  Job* mJob = nullptr;
  int mOccurrence = 0;
  int mStep = 0;
  // The job can't end within its objective any more, by the estimates.
  bool mIsLate = false;
  std::int64_t mWork = 0;
  TimePoint mLatestStart;
};

// All steps of the job with tasks that may start now.
void
CollectReadySteps(Job& aJob, TimePoint aWall, std::vector<ReadyStep>& aSteps);

// Work that can still be in time goes before work that can't; urgent queues before others; lasting
// tasks, which callers miss at once, before jobs; then the job that has to start soonest, so that
// large jobs have their turn in a burst of small ones.
void
SortReadySteps(std::vector<ReadyStep>& aSteps);

}
