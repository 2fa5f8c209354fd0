#include "LibSchedule/QueueOrder.h"

#include <algorithm>
#include <tuple>

namespace sesameseam::schedule {

namespace {

ReadyStep
MakeReadyStep(Job& aJob, int aOccurrence, int aStep, TimePoint aWall)
{
  const auto& step = aJob.mDefinition.mSteps[static_cast<std::size_t>(aStep)];
  ReadyStep ready;
  ready.mJob = &aJob;
  ready.mOccurrence = aOccurrence;
  ready.mStep = aStep;
  ready.mIsLongRunning = step.mLongRunning;
  ready.mIsGang = step.mGang;
  ready.mHasSuspects = aJob.mOccurrences[static_cast<std::size_t>(aOccurrence)]
                         .mSteps[static_cast<std::size_t>(aStep)]
                         .mSuspects > 0;
  ready.mPriority = aJob.mDefinition.mPriority;
  ready.mWork = WorkOf(aJob.mDefinition);
  ready.mLatestStart = LatestStart(aJob, aOccurrence, aStep);
  ready.mNeeds = NeedsOf(step);
  ready.mIsLate = IsLate(ready, aWall);
  return ready;
}

}

void
CollectReadySteps(Job& aJob, TimePoint aWall, std::vector<ReadyStep>& aSteps)
{
  for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
    const auto& steps = aJob.mOccurrences[k].mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      auto occurrence = static_cast<int>(k);
      auto step = static_cast<int>(s);
      if (steps[s].mWaiting > 0 && IsReady(aJob, occurrence, step, aWall)) {
        aSteps.push_back(MakeReadyStep(aJob, occurrence, step, aWall));
      }
    }
  }
}

bool
IsLate(const ReadyStep& aStep, TimePoint aWall)
{
  return !aStep.mIsLongRunning && aStep.mLatestStart < aWall;
}

bool
GoesFirst::operator()(const ReadyStep* aLeft, const ReadyStep* aRight) const
{
  auto key = [](const ReadyStep& aStep) {
    return std::tuple(aStep.mPriority, !aStep.mIsLongRunning, aStep.mLatestStart, aStep.mWork);
  };
  auto left = key(*aLeft);
  auto right = key(*aRight);
  if (left != right) {
    return left < right;
  }
  return std::tie(aLeft->mJob->mId, aLeft->mOccurrence, aLeft->mStep) <
         std::tie(aRight->mJob->mId, aRight->mOccurrence, aRight->mStep);
}

void
SortReadySteps(std::vector<ReadyStep>& aSteps)
{
  std::sort(aSteps.begin(), aSteps.end(), [](const ReadyStep& aLeft, const ReadyStep& aRight) {
    auto left = std::tuple(aLeft.mIsLate, aLeft.mYields);
    auto right = std::tuple(aRight.mIsLate, aRight.mYields);
    return left != right ? left < right : GoesFirst()(&aLeft, &aRight);
  });
}

}
