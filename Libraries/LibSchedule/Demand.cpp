#include "LibSchedule/Demand.h"

#include "LibSchedule/Placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

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
// A host whose move is decided now accepts work after this time.
constexpr Duration kLeadTime = 2s;
// Limit of the extrapolated growth factor, since a few random arrivals look like growth.
constexpr double kMaxGrowth = 2.5;
constexpr double kMilliseconds = 1000.0;
constexpr double kMillicores = 1000.0;

using detail::kArrivalWindow;

double
CoresOf(std::int64_t aMillicores)
{
  return static_cast<double>(aMillicores) / kMillicores;
}

// Work is counted in millicores for a millisecond.
double
CoreSecondsOf(std::int64_t aWork)
{
  return static_cast<double>(aWork) / (kMillicores * kMilliseconds);
}

double
MeanHostCores(const PoolSums& aSums)
{
  return aSums.mPresent == 0 ? 0 : CoresOf(aSums.mMillicores) / aSums.mPresent;
}

// Cores needed by arriving work at the rate expected when a host that moves now accepts work.
double
CoresForArrivals(const JobDemand& aJobs)
{
  auto window = std::chrono::duration<double>(kArrivalWindow).count();
  auto lead = std::chrono::duration<double>(kLeadTime).count();
  auto arrived = CoreSecondsOf(aJobs.mArrivedWork);
  auto rate = arrived / window;
  auto growth = std::max(0.0, arrived - CoreSecondsOf(aJobs.mArrivedBeforeWork)) / window / window;
  return std::min(rate + growth * lead, rate * kMaxGrowth);
}

// Cores needed to keep up with arriving work and to start waiting work in time, plus those for late
// work and for the isolation of suspects.
double
CoresNeeded(const JobDemand& aJobs, const IsolatedDemand& aIsolated)
{
  auto running = CoresOf(aJobs.mRunningMillicores) + aIsolated.mRunning;
  auto inTime = std::max({ running,
                           CoresForArrivals(aJobs),
                           CoresOf(aJobs.mWaitingMillicores) + kStillRunningShare * running });
  return inTime + CoreSecondsOf(aJobs.mLateWork) / kBacklogSeconds +
         aIsolated.mWaiting / kIsolationSeconds;
}

bool
AcceptsWork(const Executor& aExecutor)
{
  return aExecutor.mEntry.mState == ExecutorState::Ready &&
         aExecutor.mDrainReason == DrainReason::None;
}

PoolDemand
DemandFrom(const Shard& aShard, const PoolSums& aSums, const Now& aNow)
{
  IsolatedDemand isolated;
  for (const auto& id : aSums.mSuspects) {
    auto job = aShard.mJobs.find(id);
    if (job != aShard.mJobs.end()) {
      AddIsolatedDemand(job->second, aNow, MeanHostCores(aSums), isolated);
    }
  }
  PoolDemand demand;
  demand.mAt = aNow.mWall;
  demand.mPresent = aSums.mPresent;
  auto needed = CoresNeeded(aSums.mDemand, isolated);
  if (aSums.mPresent == 0 || aSums.mMillicores <= 0) {
    demand.mWanted = needed > 0 ? 1 : 0;
    return demand;
  }
  auto perHost = MeanHostCores(aSums) * kTargetUtilization;
  auto minHosts = aSums.mMinHosts.empty() ? 0 : *aSums.mMinHosts.rbegin();
  demand.mWanted = std::max({ 1, minHosts, static_cast<int>(std::ceil(needed / perHost)) });
  if (aShard.mHasUnplacedTasks && aSums.mDemand.mLongRunningWaiting > 0) {
    // There are enough cores, but memory or other tasks leave no capacity for a long-running task.
    // One host for each such task bounds the demand.
    auto enough = demand.mWanted + aSums.mDemand.mLongRunning;
    demand.mWanted = std::max(demand.mWanted, std::min(demand.mPresent + 1, enough));
  }
  return demand;
}

void
AddJob(PoolSums& aSums, const JobId& aId, const MeasuredJob& aMeasured)
{
  aSums.mDemand = aSums.mDemand + aMeasured.mDemand;
  if (aMeasured.mMinHosts > 0) {
    aSums.mMinHosts.insert(aMeasured.mMinHosts);
  }
  if (aMeasured.mHasSuspects) {
    aSums.mSuspects.insert(aId);
  }
}

void
RemoveJob(DemandSums& aSums, const SummedJob& aJob)
{
  const auto& measured = aJob.mMeasured;
  auto& pool = aSums.mPools[aJob.mPool];
  pool.mDemand = pool.mDemand - measured.mDemand;
  auto minHosts = pool.mMinHosts.find(measured.mMinHosts);
  if (minHosts != pool.mMinHosts.end()) {
    pool.mMinHosts.erase(minHosts);
  }
  pool.mSuspects.erase(aJob.mId);
  aSums.mWallChanges.erase({ measured.mChangesAtWall, &aJob });
  aSums.mClockChanges.erase({ measured.mChangesAt, &aJob });
}

// Measures a job that came, changed or went.
void
UpdateJob(Shard& aShard, const JobId& aId, const Now& aNow)
{
  auto& sums = aShard.mDemand;
  auto [summed, isNew] = sums.mJobs.try_emplace(aId);
  if (!isNew) {
    RemoveJob(sums, summed->second);
  }
  auto job = aShard.mJobs.find(aId);
  if (job == aShard.mJobs.end()) {
    sums.mJobs.erase(summed);
    return;
  }
  ++sums.mJobVisits;
  job->second.mIsDemandChanged = false;
  summed->second = { aId, job->second.mDefinition.mService, MeasureJob(job->second, aNow) };
  const auto& measured = summed->second.mMeasured;
  AddJob(sums.mPools[summed->second.mPool], aId, measured);
  if (measured.mChangesAtWall != TimePoint::max()) {
    sums.mWallChanges.emplace(measured.mChangesAtWall, &summed->second);
  }
  if (measured.mChangesAt != Instant::max()) {
    sums.mClockChanges.emplace(measured.mChangesAt, &summed->second);
  }
}

void
MeasureAllJobs(Shard& aShard, const Now& aNow)
{
  auto& sums = aShard.mDemand;
  for (auto& [name, pool] : sums.mPools) {
    pool.mDemand = {};
    pool.mMinHosts.clear();
    pool.mSuspects.clear();
  }
  sums.mJobs.clear();
  sums.mWallChanges.clear();
  sums.mClockChanges.clear();
  for (const auto& [id, job] : aShard.mJobs) {
    UpdateJob(aShard, id, aNow);
  }
}

template<typename Time>
void
UpdateDueJobs(Shard& aShard,
              const std::set<std::pair<Time, const SummedJob*>>& aChanges,
              Time aTime,
              const Now& aNow)
{
  while (!aChanges.empty() && aChanges.begin()->first <= aTime) {
    UpdateJob(aShard, JobId(aChanges.begin()->second->mId), aNow);
  }
}

void
UpdateJobs(Shard& aShard, const Now& aNow)
{
  auto& sums = aShard.mDemand;
  for (const auto& id : std::exchange(sums.mChangedJobs, {})) {
    UpdateJob(aShard, id, aNow);
  }
  // A clock that was set back makes work wait again that counted as late.
  auto isSetBack = aNow.mWall < sums.mUpdatedAt.mWall || aNow.mAt < sums.mUpdatedAt.mAt;
  if (isSetBack || sums.mJobs.size() != aShard.mJobs.size()) {
    MeasureAllJobs(aShard, aNow);
  }
  UpdateDueJobs(aShard, sums.mWallChanges, aNow.mWall, aNow);
  UpdateDueJobs(aShard, sums.mClockChanges, aNow.mAt, aNow);
  sums.mUpdatedAt = aNow;
}

void
AddExecutor(PoolSums& aSums, const Executor& aExecutor)
{
  if (AcceptsWork(aExecutor)) {
    ++aSums.mPresent;
    aSums.mMillicores += aExecutor.mEntry.mCapacity.mCpuMillicores;
  }
}

void
UpdateExecutors(Shard& aShard)
{
  auto& sums = aShard.mDemand;
  auto isCurrent =
    sums.mCapacityChanges == aShard.mCapacityChanges && sums.mExecutors == aShard.mExecutors.size();
  if (isCurrent) {
    return;
  }
  sums.mCapacityChanges = aShard.mCapacityChanges;
  sums.mExecutors = aShard.mExecutors.size();
  for (auto& [name, pool] : sums.mPools) {
    pool.mPresent = 0;
    pool.mMillicores = 0;
  }
  for (const auto& [id, executor] : aShard.mExecutors) {
    ++sums.mExecutorVisits;
    AddExecutor(sums.mPools[executor.mEntry.mService], executor);
  }
}

}

PoolDemand
EstimateDemand(const Shard& aShard, const ServiceName& aPool, const Now& aNow)
{
  PoolSums sums;
  for (const auto& [id, executor] : aShard.mExecutors) {
    if (executor.mEntry.mService == aPool) {
      AddExecutor(sums, executor);
    }
  }
  for (const auto& [id, job] : aShard.mJobs) {
    if (job.mDefinition.mService == aPool) {
      AddJob(sums, id, MeasureJob(job, aNow));
    }
  }
  return DemandFrom(aShard, sums, aNow);
}

PoolDemand
UpdateDemand(Shard& aShard, const ServiceName& aPool, const Now& aNow)
{
  UpdateJobs(aShard, aNow);
  UpdateExecutors(aShard);
  return DemandFrom(aShard, aShard.mDemand.mPools[aPool], aNow);
}

}
