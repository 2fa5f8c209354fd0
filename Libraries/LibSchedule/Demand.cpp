#include "LibSchedule/Demand.h"

#include "LibSchedule/CrashIsolation.h"
#include "LibSchedule/Placement.h"

#include <algorithm>
#include <cmath>

namespace sesameseam::schedule {

namespace {

// Share of the running tasks that are expected to still run while the waiting tasks can be in time.
constexpr double kStillRunningShare = 0.25;
// Late work is to be completed within this time. It asks for few hosts, so that it holds none that
// other pools need for work that can still be in time.
constexpr double kBacklogSeconds = 3.0;
// Suspects are to be cleared within this time. They are late already, and hosts that wait for them
// are kept from pools whose work can still be in time.
constexpr double kIsolationSeconds = 10.0;
// Jobs that arrived within this window give the rate of arriving work; the window before it gives
// the growth of that rate.
constexpr Duration kArrivalWindow = 500ms;
// A host whose move is decided now accepts work after this time.
constexpr Duration kLeadTime = 2s;
// Limit of the extrapolated growth factor, since a few random arrivals look like growth.
constexpr double kMaxGrowth = 2.5;
constexpr double kMilliseconds = 1000.0;
constexpr double kMillicores = 1000.0;

struct PoolWorkload
{
  // Cores of a host of the pool; 0 while it has none.
  double mHostCores = 0;
  // Cores taken by running and placed tasks, and by waiting long-running tasks once they are
  // placed.
  double mRunning = 0;
  // Cores needed by waiting tasks that can still be in time.
  double mWaiting = 0;
  // CPU time of waiting tasks of late jobs, in core-seconds.
  double mLate = 0;
  // CPU time that waiting tasks will keep from others since they are isolated, in core-seconds.
  double mIsolated = 0;
  // CPU time of the jobs that arrived in the last window and in the one before, in core-seconds.
  double mArrived = 0;
  double mArrivedBefore = 0;
  // Unfinished long-running tasks, and those of them that wait.
  int mLongRunning = 0;
  int mLongRunningWaiting = 0;
  // The most hosts that a step needs because of its limit of tasks per executor.
  int mMinHosts = 0;
};

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

// Cores that the tasks of a step in the given state keep from others beyond what they need, since
// they are isolated.
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

void
AddStep(const Job& aJob, int aOccurrence, int aStep, const Now& aNow, PoolWorkload& aSums)
{
  const auto& step = aJob.mDefinition.mSteps[static_cast<std::size_t>(aStep)];
  const auto& state = aJob.mOccurrences[static_cast<std::size_t>(aOccurrence)]
                        .mSteps[static_cast<std::size_t>(aStep)];
  auto open = static_cast<int>(state.mTasks.size()) - state.mDone;
  aSums.mRunning += (open - state.mWaiting) * CoresOf(step);
  if (state.mSuspects > 0) {
    aSums.mRunning += IsolatedCores(step, state, TaskState::Placed, aSums.mHostCores);
    aSums.mIsolated +=
      IsolatedCores(step, state, TaskState::Waiting, aSums.mHostCores) * SecondsOf(step);
  }
  aSums.mLongRunning += step.mLongRunning ? open : 0;
  if (step.mMaxPerExecutor > 0) {
    aSums.mMinHosts =
      std::max(aSums.mMinHosts, (open + step.mMaxPerExecutor - 1) / step.mMaxPerExecutor);
  }
  if (state.mWaiting == 0 || !IsReady(aJob, aOccurrence, aStep, aNow.mWall)) {
    return;
  }
  auto cores = state.mWaiting * CoresOf(step);
  if (step.mLongRunning) {
    aSums.mRunning += cores;
    aSums.mLongRunningWaiting += state.mWaiting;
  } else if (LatestStart(aJob, aOccurrence, aStep) < aNow.mWall) {
    aSums.mLate += cores * SecondsOf(step);
  } else {
    aSums.mWaiting += cores;
  }
}

void
AddJob(const Job& aJob, const Now& aNow, PoolWorkload& aSums)
{
  for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
    if (aNow.mWall < aJob.mOccurrences[k].mDueAt) {
      continue;
    }
    for (std::size_t s = 0; s < aJob.mDefinition.mSteps.size(); ++s) {
      AddStep(aJob, static_cast<int>(k), static_cast<int>(s), aNow, aSums);
    }
  }
  auto age = aNow.mAt - aJob.mArrivedAt;
  if (age >= 2 * kArrivalWindow || aJob.mDefinition.mRunCount > 0) {
    return;
  }
  auto& arrived = age < kArrivalWindow ? aSums.mArrived : aSums.mArrivedBefore;
  for (const auto& step : aJob.mDefinition.mSteps) {
    arrived += step.mLongRunning ? 0 : step.mCount * CoresOf(step) * SecondsOf(step);
  }
}

// Cores needed by arriving work at the rate expected when a host that moves now accepts work.
double
CoresForArrivals(const PoolWorkload& aSums)
{
  auto window = std::chrono::duration<double>(kArrivalWindow).count();
  auto lead = std::chrono::duration<double>(kLeadTime).count();
  auto rate = aSums.mArrived / window;
  auto growth = std::max(0.0, aSums.mArrived - aSums.mArrivedBefore) / window / window;
  return std::min(rate + growth * lead, rate * kMaxGrowth);
}

// Cores needed to keep up with arriving work and to start waiting work in time, plus those for late
// work and for the isolation of suspects.
double
CoresNeeded(const PoolWorkload& aSums)
{
  auto inTime = std::max({ aSums.mRunning,
                           CoresForArrivals(aSums),
                           aSums.mWaiting + kStillRunningShare * aSums.mRunning });
  return inTime + aSums.mLate / kBacklogSeconds + aSums.mIsolated / kIsolationSeconds;
}

}

PoolDemand
EstimateDemand(const Shard& aShard, const ServiceName& aPool, const Now& aNow)
{
  PoolDemand demand;
  demand.mAt = aNow.mWall;
  double cores = 0;
  for (const auto& [id, executor] : aShard.mExecutors) {
    auto isOfPool = executor.mEntry.mService == aPool;
    if (isOfPool && executor.mEntry.mState == ExecutorState::Ready &&
        executor.mDrainReason == DrainReason::None) {
      ++demand.mPresent;
      cores += static_cast<double>(executor.mEntry.mCapacity.mCpuMillicores) / kMillicores;
    }
  }
  PoolWorkload sums;
  sums.mHostCores = demand.mPresent == 0 ? 0 : cores / demand.mPresent;
  for (const auto& [id, job] : aShard.mJobs) {
    if (job.mDefinition.mService == aPool && !IsFinal(job.mPhase)) {
      AddJob(job, aNow, sums);
    }
  }
  auto needed = CoresNeeded(sums);
  if (demand.mPresent == 0 || cores <= 0) {
    demand.mWanted = needed > 0 ? 1 : 0;
    return demand;
  }
  auto perHost = cores / demand.mPresent * kTargetUtilization;
  demand.mWanted = std::max({ 1, sums.mMinHosts, static_cast<int>(std::ceil(needed / perHost)) });
  if (aShard.mHasUnplacedTasks && sums.mLongRunningWaiting > 0) {
    // There are enough cores, but memory or other tasks leave no capacity for a long-running task.
    // One host for each such task bounds the demand.
    auto enough = demand.mWanted + sums.mLongRunning;
    demand.mWanted = std::max(demand.mWanted, std::min(demand.mPresent + 1, enough));
  }
  return demand;
}

}
