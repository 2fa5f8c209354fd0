#include "LibSchedule/Demand.h"

#include <algorithm>
#include <cmath>

namespace sesameseam::schedule {

namespace {

// Waiting work is to be done within this time, which is what callers can wait beyond its run time.
constexpr double kCatchUpSeconds = 1.2;
// Tasks of different sizes don't fill a host to the last core.
constexpr double kUsableShare = 0.85;
constexpr double kMilliseconds = 1000.0;
constexpr double kMillicores = 1000.0;

struct WorkSums
{
  // Cores that running and placed tasks take.
  double mRunningCores = 0;
  // Processor time of tasks that wait or come later, in cores times seconds.
  double mWaiting = 0;
  // Hosts that a step needs because few of its tasks may share one.
  int mHosts = 0;
};

double
CoresOf(const Step& aStep)
{
  return aStep.mFills ? 0 : static_cast<double>(aStep.mNeeds.mCpuMillicores) / kMillicores;
}

void
AddJob(const Job& aJob, const Now& aNow, WorkSums& aSums)
{
  for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
    const auto& occurrence = aJob.mOccurrences[k];
    if (aNow.mWall < occurrence.mDueAt) {
      continue;
    }
    for (std::size_t s = 0; s < occurrence.mSteps.size(); ++s) {
      const auto& step = aJob.mDefinition.mSteps[s];
      const auto& state = occurrence.mSteps[s];
      auto placed = static_cast<int>(state.mTasks.size()) - state.mDone - state.mWaiting;
      auto seconds = static_cast<double>(step.mEstimate.count()) / kMilliseconds;
      aSums.mRunningCores += placed * CoresOf(step);
      if (step.mMaxPerExecutor > 0) {
        auto open = static_cast<int>(state.mTasks.size()) - state.mDone;
        auto hosts = (open + step.mMaxPerExecutor - 1) / step.mMaxPerExecutor;
        aSums.mHosts = std::max(aSums.mHosts, hosts);
      }
      if (step.mLasting) {
        aSums.mRunningCores += state.mWaiting * CoresOf(step);
      } else {
        aSums.mWaiting += state.mWaiting * CoresOf(step) * seconds;
      }
    }
  }
}

}

PoolDemand
DemandOf(const Shard& aShard, const ServiceName& aPool, const Now& aNow)
{
  PoolDemand demand;
  demand.mAt = aNow.mWall;
  double cores = 0;
  for (const auto& [id, executor] : aShard.mExecutors) {
    auto isOfPool = executor.mEntry.mService == aPool;
    if (isOfPool && executor.mEntry.mState == ExecutorState::Ready &&
        executor.mVacating == Vacating::No) {
      ++demand.mPresent;
      cores += static_cast<double>(executor.mEntry.mRoom.mCpuMillicores) / kMillicores;
    }
  }
  WorkSums sums;
  for (const auto& [id, job] : aShard.mJobs) {
    if (job.mDefinition.mService == aPool && !IsFinal(job.mPhase)) {
      AddJob(job, aNow, sums);
    }
  }
  if (demand.mPresent == 0 || cores <= 0) {
    demand.mWanted = sums.mRunningCores + sums.mWaiting > 0 ? 1 : 0;
    return demand;
  }
  auto needed = sums.mRunningCores + sums.mWaiting / kCatchUpSeconds;
  auto perHost = cores / demand.mPresent * kUsableShare;
  demand.mWanted = std::max({ 1, sums.mHosts, static_cast<int>(std::ceil(needed / perHost)) });
  return demand;
}

}
