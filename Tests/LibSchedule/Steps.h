#pragma once

#include "LibSchedule/Model.h"

namespace sesameseam::schedule {

// A step whose tasks need aCores whole cores each.
inline Step
MakeStep(int aCount, int aCores, std::chrono::milliseconds aEstimate = 100ms)
{
  constexpr int kMillicores = 1000;
  constexpr int kMemoryMb = 100;
  Step step;
  step.mCount = aCount;
  step.mNeeds = { std::int64_t(aCores) * kMillicores, kMemoryMb, 0 };
  step.mEstimate = aEstimate;
  return step;
}

inline Step
MakeLongRunningStep(int aCount, int aCores, int aMaxAway)
{
  auto step = MakeStep(aCount, aCores, 0ms);
  step.mLongRunning = true;
  step.mMaxPerExecutor = 1;
  step.mMaxUnavailable = aMaxAway;
  return step;
}

inline Step
After(Step aStep, std::vector<int> aBefore)
{
  aStep.mDependsOn = std::move(aBefore);
  return aStep;
}

}
