#include "LibSchedule/ReadyQueue.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

void
RemoveSteps(ReadyQueue& aQueue, Job& aJob)
{
  for (const auto& step : aJob.mReadySteps) {
    aQueue.mOrder.erase(&step);
  }
  aJob.mReadySteps.clear();
}

// Adds the steps that were collected.
void
AddSteps(ReadyQueue& aQueue, Job& aJob)
{
  auto pool = aQueue.mPools.try_emplace(aJob.mDefinition.mService, aQueue.mPools.size()).first;
  aJob.mReadySteps = aQueue.mCollected;
  for (auto& step : aJob.mReadySteps) {
    step.mPool = pool->second;
    aQueue.mOrder.insert(&step);
  }
}

// Whether both hold the same steps of a job, with and without suspects.
bool
AreSame(const std::vector<ReadyStep>& aLeft, const std::vector<ReadyStep>& aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](const ReadyStep& aOne, const ReadyStep& aOther) {
                      return aOne.mOccurrence == aOther.mOccurrence && aOne.mStep == aOther.mStep &&
                             aOne.mHasSuspects == aOther.mHasSuspects;
                    });
}

void
RemoveDue(ReadyQueue& aQueue, Job& aJob)
{
  if (aJob.mNextDueAt) {
    aQueue.mDue.erase({ *aJob.mNextDueAt, &aJob });
    aJob.mNextDueAt.reset();
  }
}

void
AddDue(ReadyQueue& aQueue, Job& aJob, TimePoint aWall)
{
  if (aJob.mDefinition.mRunCount == 0) {
    return;
  }
  for (const auto& occurrence : aJob.mOccurrences) {
    if (occurrence.mDueAt > aWall && (!aJob.mNextDueAt || occurrence.mDueAt < *aJob.mNextDueAt)) {
      aJob.mNextDueAt = occurrence.mDueAt;
    }
  }
  if (aJob.mNextDueAt) {
    aQueue.mDue.emplace(*aJob.mNextDueAt, &aJob);
  }
}

}

void
UpdateJob(ReadyQueue& aQueue, Job& aJob, TimePoint aWall)
{
  aQueue.mCollected.clear();
  RemoveDue(aQueue, aJob);
  if (!IsFinal(aJob.mPhase)) {
    AddDue(aQueue, aJob, aWall);
    CollectReadySteps(aJob, aWall, aQueue.mCollected);
  }
  // Most changes of a job leave its ready steps as they are.
  if (!AreSame(aQueue.mCollected, aJob.mReadySteps)) {
    RemoveSteps(aQueue, aJob);
    AddSteps(aQueue, aJob);
  }
}

void
RemoveJob(ReadyQueue& aQueue, Job& aJob)
{
  RemoveSteps(aQueue, aJob);
  RemoveDue(aQueue, aJob);
}

void
UpdateDueJobs(ReadyQueue& aQueue, TimePoint aWall)
{
  while (!aQueue.mDue.empty() && aQueue.mDue.begin()->first <= aWall) {
    UpdateJob(aQueue, *aQueue.mDue.begin()->second, aWall);
  }
}

std::vector<ReadyStep>&
ReadySteps(ReadyQueue& aQueue, TimePoint aWall)
{
  aQueue.mSteps.clear();
  aQueue.mLateSteps.clear();
  for (const auto* step : aQueue.mOrder) {
    auto isLate = IsLate(*step, aWall);
    auto& steps = isLate ? aQueue.mLateSteps : aQueue.mSteps;
    steps.push_back(*step);
    steps.back().mIsLate = isLate;
  }
  aQueue.mSteps.insert(aQueue.mSteps.end(), aQueue.mLateSteps.begin(), aQueue.mLateSteps.end());
  return aQueue.mSteps;
}

}
