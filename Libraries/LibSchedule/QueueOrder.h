#pragma once

#include "LibSchedule/Job.h"

#include <vector>

// The order in which waiting steps are placed when resources are scarce.
namespace sesameseam::schedule {

// All steps of the job with tasks that may start now.
void
CollectReadySteps(Job& aJob, TimePoint aWall, std::vector<ReadyStep>& aSteps);

// Whether the job of the step can no longer meet its objective. Long-running tasks have none.
bool
IsLate(const ReadyStep& aStep, TimePoint aWall);

// The order of steps of which neither is late or yields, or both are: urgent queues before others;
// long-running tasks, whose absence callers notice at once, before jobs; then the step with the
// earliest latest start, so that large jobs get their turn in a burst of small ones; then the least
// work; then the job with the lowest id, and the first of its steps.
struct GoesFirst
{
  bool operator()(const ReadyStep* aLeft, const ReadyStep* aRight) const;
};

// Steps that can still meet their objective go before those that can't, and those that yield to
// others come between; then the order above.
void
SortReadySteps(std::vector<ReadyStep>& aSteps);

}
