#include "LibSchedule/QueueOrder.h"

#include <algorithm>
#include <tuple>

namespace sesameseam::schedule {

void
CollectReadySteps(Job& aJob, TimePoint aWall, std::vector<ReadyStep>& aSteps)
{
  for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
    const auto& steps = aJob.mOccurrences[k].mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      auto occurrence = static_cast<int>(k);
      auto step = static_cast<int>(s);
      if (steps[s].mWaiting == 0 || !IsReady(aJob, occurrence, step, aWall)) {
        continue;
      }
      ReadyStep ready;
      ready.mJob = &aJob;
      ready.mOccurrence = occurrence;
      ready.mStep = step;
      ready.mLatestStart = LatestStart(aJob, occurrence, step);
      ready.mIsLate = !aJob.mDefinition.mSteps[s].mLongRunning && ready.mLatestStart < aWall;
      ready.mWork = WorkOf(aJob.mDefinition);
      aSteps.push_back(ready);
    }
  }
}

void
SortReadySteps(std::vector<ReadyStep>& aSteps)
{
  auto key = [](const ReadyStep& aStep) {
    const auto& definition = aStep.mJob->mDefinition;
    auto lasts = definition.mSteps[static_cast<std::size_t>(aStep.mStep)].mLongRunning;
    return std::tuple(
      aStep.mIsLate, aStep.mYields, definition.mPriority, !lasts, aStep.mLatestStart, aStep.mWork);
  };
  std::stable_sort(
    aSteps.begin(), aSteps.end(), [&](const ReadyStep& aLeft, const ReadyStep& aRight) {
      return key(aLeft) < key(aRight);
    });
}

}
