#include "LibSchedule/JobDemand.h"

#include "LibSchedule/CrashIsolation.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

using detail::kArrivalWindow;

constexpr double kMilliseconds = 1000.0;
constexpr double kMillicores = 1000.0;

const StepState&
StateOf(const Job& aJob, std::size_t aOccurrence, std::size_t aStep)
{
  return aJob.mOccurrences[aOccurrence].mSteps[aStep];
}

void
MeasureWaiting(const Job& aJob,
               std::size_t aOccurrence,
               std::size_t aStep,
               const Now& aNow,
               MeasuredJob& aSum)
{
  auto occurrence = static_cast<int>(aOccurrence);
  auto index = static_cast<int>(aStep);
  auto waiting = StateOf(aJob, aOccurrence, aStep).mWaiting;
  if (waiting == 0 || !IsReady(aJob, occurrence, index, aNow.mWall)) {
    return;
  }
  const auto& step = aJob.mDefinition.mSteps[aStep];
  auto needed = waiting * NeedsOf(step).mCpuMillicores;
  if (step.mLongRunning) {
    aSum.mDemand.mRunningMillicores += needed;
    aSum.mDemand.mLongRunningWaiting += waiting;
    return;
  }
  auto latest = LatestStart(aJob, occurrence, index);
  if (latest < aNow.mWall) {
    aSum.mDemand.mLateWork += needed * step.mEstimate.count();
    return;
  }
  aSum.mDemand.mWaitingMillicores += needed;
  aSum.mChangesAtWall = std::min(aSum.mChangesAtWall, latest + TimePoint::duration(1));
}

void
MeasureStep(const Job& aJob,
            std::size_t aOccurrence,
            std::size_t aStep,
            const Now& aNow,
            MeasuredJob& aSum)
{
  const auto& step = aJob.mDefinition.mSteps[aStep];
  const auto& state = StateOf(aJob, aOccurrence, aStep);
  auto open = static_cast<int>(state.mTasks.size()) - state.mDone;
  aSum.mDemand.mRunningMillicores += (open - state.mWaiting) * NeedsOf(step).mCpuMillicores;
  aSum.mDemand.mLongRunning += step.mLongRunning ? open : 0;
  aSum.mHasSuspects |= state.mSuspects > 0;
  if (step.mMaxPerExecutor > 0) {
    auto hosts = (open + step.mMaxPerExecutor - 1) / step.mMaxPerExecutor;
    aSum.mMinHosts = std::max(aSum.mMinHosts, hosts);
  }
  MeasureWaiting(aJob, aOccurrence, aStep, aNow, aSum);
}

void
MeasureArrival(const Job& aJob, const Now& aNow, MeasuredJob& aSum)
{
  auto age = aNow.mAt - aJob.mArrivedAt;
  if (age >= 2 * kArrivalWindow || aJob.mDefinition.mRunCount > 0) {
    return;
  }
  auto isRecent = age < kArrivalWindow;
  std::int64_t work = 0;
  for (const auto& step : aJob.mDefinition.mSteps) {
    work +=
      step.mLongRunning ? 0 : step.mCount * NeedsOf(step).mCpuMillicores * step.mEstimate.count();
  }
  (isRecent ? aSum.mDemand.mArrivedWork : aSum.mDemand.mArrivedBeforeWork) += work;
  aSum.mChangesAt = aJob.mArrivedAt + (isRecent ? 1 : 2) * kArrivalWindow;
}

double
CoresOf(const Step& aStep)
{
  return static_cast<double>(NeedsOf(aStep).mCpuMillicores) / kMillicores;
}

double
SecondsOf(const Step& aStep)
{
  return static_cast<double>(aStep.mEstimate.count()) / kMilliseconds;
}

// Cores that the tasks of a step in the given state keep from others beyond what they need.
double
IsolatedCores(const Step& aStep, const StepState& aState, TaskState aTasks, double aHostCores)
{
  double sum = 0;
  for (const auto& task : aState.mTasks) {
    auto occupied = OccupiedShare(IsolationOf(aStep, task)) * aHostCores;
    sum += task.mState == aTasks ? std::max(0.0, occupied - CoresOf(aStep)) : 0;
  }
  return sum;
}

}

JobDemand
operator+(const JobDemand& aLeft, const JobDemand& aRight)
{
  return { aLeft.mRunningMillicores + aRight.mRunningMillicores,
           aLeft.mWaitingMillicores + aRight.mWaitingMillicores,
           aLeft.mLateWork + aRight.mLateWork,
           aLeft.mArrivedWork + aRight.mArrivedWork,
           aLeft.mArrivedBeforeWork + aRight.mArrivedBeforeWork,
           aLeft.mLongRunning + aRight.mLongRunning,
           aLeft.mLongRunningWaiting + aRight.mLongRunningWaiting };
}

JobDemand
operator-(const JobDemand& aLeft, const JobDemand& aRight)
{
  return { aLeft.mRunningMillicores - aRight.mRunningMillicores,
           aLeft.mWaitingMillicores - aRight.mWaitingMillicores,
           aLeft.mLateWork - aRight.mLateWork,
           aLeft.mArrivedWork - aRight.mArrivedWork,
           aLeft.mArrivedBeforeWork - aRight.mArrivedBeforeWork,
           aLeft.mLongRunning - aRight.mLongRunning,
           aLeft.mLongRunningWaiting - aRight.mLongRunningWaiting };
}

MeasuredJob
MeasureJob(const Job& aJob, const Now& aNow)
{
  MeasuredJob sum;
  if (IsFinal(aJob.mPhase)) {
    return sum;
  }
  for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
    if (aNow.mWall < aJob.mOccurrences[k].mDueAt) {
      sum.mChangesAtWall = std::min(sum.mChangesAtWall, aJob.mOccurrences[k].mDueAt);
      continue;
    }
    for (std::size_t s = 0; s < aJob.mDefinition.mSteps.size(); ++s) {
      MeasureStep(aJob, k, s, aNow, sum);
    }
  }
  MeasureArrival(aJob, aNow, sum);
  return sum;
}

void
AddIsolatedDemand(const Job& aJob, const Now& aNow, double aHostCores, IsolatedDemand& aSum)
{
  for (const auto& occurrence : aJob.mOccurrences) {
    for (std::size_t s = 0; s < aJob.mDefinition.mSteps.size(); ++s) {
      const auto& step = aJob.mDefinition.mSteps[s];
      const auto& state = occurrence.mSteps[s];
      if (aNow.mWall < occurrence.mDueAt || state.mSuspects == 0) {
        continue;
      }
      aSum.mRunning += IsolatedCores(step, state, TaskState::Placed, aHostCores);
      aSum.mWaiting += IsolatedCores(step, state, TaskState::Waiting, aHostCores) * SecondsOf(step);
    }
  }
}

}
