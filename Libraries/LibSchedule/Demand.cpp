#include "LibSchedule/Demand.h"

#include <algorithm>
#include <cmath>

namespace sesameseam::schedule {

namespace {

// Tasks of different sizes don't fill a host to the last core.
constexpr double kTargetUtilization = 0.85;
// While tasks that wait can still be in time, about this share of those that run goes on running.
constexpr double kStillRunningShare = 0.25;
// Late work is done within this time, by hosts that nobody misses.
constexpr double kBacklogSeconds = 3.0;
// Jobs that arrived within this time tell how much work keeps coming, and together with those that
// arrived within the same time before, how it grows.
constexpr Duration kArrivalWindow = 500ms;
// What is moved now takes work after this time.
constexpr Duration kLeadTime = 2s;
// A few arrivals by chance look like growth; it is believed up to this factor.
constexpr double kMaxGrowth = 2.5;
constexpr double kMilliseconds = 1000.0;
constexpr double kMillicores = 1000.0;

struct PoolWorkload
{
  // Cores that running and placed tasks take, and tasks that last once they are placed.
  double mRunning = 0;
  // Cores that tasks take which wait and can still be in time.
  double mWaiting = 0;
  // Processor time of waiting tasks of late jobs, in cores times seconds.
  double mLate = 0;
  // Processor time of the jobs that arrived in the last window and in the one before, in cores
  // times seconds.
  double mArrived = 0;
  double mArrivedBefore = 0;
  // Tasks that last and have not ended, and those of them that wait.
  int mLongRunning = 0;
  int mLastingWaiting = 0;
  // Hosts that a step needs because few of its tasks may share one.
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

void
AddStep(const Job& aJob, int aOccurrence, int aStep, const Now& aNow, PoolWorkload& aSums)
{
  const auto& step = aJob.mDefinition.mSteps[static_cast<std::size_t>(aStep)];
  const auto& state = aJob.mOccurrences[static_cast<std::size_t>(aOccurrence)]
                        .mSteps[static_cast<std::size_t>(aStep)];
  auto open = static_cast<int>(state.mTasks.size()) - state.mDone;
  aSums.mRunning += (open - state.mWaiting) * CoresOf(step);
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
    aSums.mLastingWaiting += state.mWaiting;
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

// Cores that the work takes which will arrive by the time at which a moved host is there.
double
CoresForArrivals(const PoolWorkload& aSums)
{
  auto window = std::chrono::duration<double>(kArrivalWindow).count();
  auto lead = std::chrono::duration<double>(kLeadTime).count();
  auto rate = aSums.mArrived / window;
  auto growth = std::max(0.0, aSums.mArrived - aSums.mArrivedBefore) / window / window;
  return std::min(rate + growth * lead, rate * kMaxGrowth);
}

// As many cores as keep up with what arrives, and let what waits start in time.
double
CoresNeeded(const PoolWorkload& aSums)
{
  auto inTime = std::max({ aSums.mRunning,
                           CoresForArrivals(aSums),
                           aSums.mWaiting + kStillRunningShare * aSums.mRunning });
  return inTime + aSums.mLate / kBacklogSeconds;
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
  if (aShard.mHasUnplacedTasks && sums.mLastingWaiting > 0) {
    // Cores would do, but memory or the tasks beside it leave no place for a task that lasts. One
    // host for each such task has to be enough.
    auto enough = demand.mWanted + sums.mLongRunning;
    demand.mWanted = std::max(demand.mWanted, std::min(demand.mPresent + 1, enough));
  }
  return demand;
}

}
