#include "LibSchedule/MovableHosts.h"

#include "LibSchedule/HostOrders.h"
#include "LibSchedule/WaveDrain.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// Whether a wave has taken the host down for maintenance, or is about to.
bool
HasMaintenanceBegun(const FleetLog& aLog, const MachineId& aMachine)
{
  auto records = MaintenanceOf(aLog, aMachine);
  return std::any_of(records.begin(), records.end(), [](const auto* aRecord) {
    return aRecord->mPhase == MaintenancePhase::Begun;
  });
}

bool
IsFree(const Rebalance& aRebalance, const Service& aPool, const IndexedHost& aHost, Instant aNow)
{
  const auto* executor = aHost.mExecutor;
  if (executor != nullptr && !executor->mRuns.empty()) {
    return false;
  }
  return aPool.mStandby || (executor != nullptr && IsSchedulable(*executor, aNow)) ||
         aRebalance.mDraining.contains(aHost.mMachine->mId);
}

// Whether the time alone ends what keeps an executor without runs from taking work.
bool
WaitsForTime(const IndexedHost& aHost, Instant aNow)
{
  return aHost.mExecutor != nullptr && aHost.mExecutor->mRuns.empty() &&
         SchedulingObstacle(*aHost.mExecutor, aNow) == PlacementObstacle::BackingOff;
}

// Whether the host may leave its pool once nothing runs on it.
bool
MayLeave(const FleetContext& aContext,
         const Rebalance& aRebalance,
         const IndexedHost& aHost,
         const Now& aNow)
{
  const auto& id = aHost.mMachine->mId;
  return aHost.mMachine->mState == MachineState::Up && MayAppend(*aContext.mLog, id) &&
         !aRebalance.mOrders.contains(id) && !HasMaintenanceBegun(*aContext.mLog, id) &&
         MayOrder(aContext, aHost, aNow) && !IsPinnedForMaintenance(aContext, aHost, aNow.mAt);
}

HostChanges
ChangesOf(const FleetContext& aContext, const Shard& aShard)
{
  return { aContext.mHosts->mGeneration,
           aContext.mLog->mHostChanges,
           aShard.mCapacityChanges,
           aShard.mAnswerChanges,
           aShard.mUsage.mRunChanges };
}

const std::vector<const IndexedHost*>&
HostsOf(const FleetContext& aContext, const ServiceName& aPool)
{
  static const std::vector<const IndexedHost*> kNone;
  const auto* pool = FindPoolHosts(*aContext.mHosts, aPool);
  return pool == nullptr ? kNone : pool->mHosts;
}

}

bool
HasNoRuns(const Shard& aShard, const Machine& aMachine)
{
  auto found = aShard.mExecutors.find(aMachine.mExecutor);
  return found == aShard.mExecutors.end() || found->second.mRuns.empty();
}

int
CountHostsUp(const FleetContext& aContext, const ServiceName& aPool)
{
  const auto& hosts = HostsOf(aContext, aPool);
  aContext.mHosts->mVisits += static_cast<std::int64_t>(hosts.size());
  return static_cast<int>(std::count_if(hosts.begin(), hosts.end(), [](const auto* aHost) {
    return aHost->mMachine->mState == MachineState::Up;
  }));
}

ReadyHosts
HostsReadyToMove(const FleetContext& aContext,
                 const Rebalance& aRebalance,
                 const Service& aPool,
                 int aLimit,
                 const Now& aNow)
{
  ReadyHosts ready;
  if (!MayAppend(*aContext.mLog)) {
    return ready;
  }
  for (const auto* host : HostsOf(aContext, aPool.mName)) {
    if (static_cast<int>(ready.mIds.size()) >= aLimit) {
      break;
    }
    ++aContext.mHosts->mVisits;
    if (!IsFree(aRebalance, aPool, *host, aNow.mAt)) {
      ready.mDependsOnTime |= WaitsForTime(*host, aNow.mAt);
      continue;
    }
    auto mayLeave = MayLeave(aContext, aRebalance, *host, aNow);
    // A host that is due for maintenance leaves only for a part of the wave's time, and one that is
    // up and may not leave waits for some time to pass.
    ready.mDependsOnTime |=
      !host->mDueIn.empty() || (!mayLeave && host->mMachine->mState == MachineState::Up);
    if (mayLeave) {
      ready.mIds.push_back(host->mMachine->mId);
    }
  }
  return ready;
}

int
CountHostsReadyToMove(const FleetContext& aContext,
                      Rebalance& aRebalance,
                      const Service& aPool,
                      int aLimit,
                      const Now& aNow)
{
  const auto* hosts = FindPoolHosts(*aContext.mHosts, aPool.mName);
  auto isPossible = hosts != nullptr && aLimit > 0 && MayAppend(*aContext.mLog) &&
                    detail::MayActAsOwner(*hosts->mShard, aNow.mAt);
  if (!isPossible) {
    return 0;
  }
  auto changes = ChangesOf(aContext, *hosts->mShard);
  // Orders and drains come and go with each check.
  auto isCalm = aRebalance.mOrders.empty() && aRebalance.mDraining.empty();
  auto& known = aRebalance.mReadyCounts[aPool.mName];
  if (isCalm && known.mLimit == aLimit && known.mChanges == changes) {
    return known.mCount;
  }
  auto ready = HostsReadyToMove(aContext, aRebalance, aPool, aLimit, aNow);
  auto count = static_cast<int>(ready.mIds.size());
  known = isCalm && !ready.mDependsOnTime ? ReadyCount{ changes, aLimit, count } : ReadyCount();
  return count;
}

std::vector<BusyHost>
HostsToDrain(const FleetContext& aContext,
             const Rebalance& aRebalance,
             const ServiceName& aPool,
             const Now& aNow)
{
  std::vector<BusyHost> busy;
  if (!MayAppend(*aContext.mLog)) {
    return busy;
  }
  const auto& hosts = HostsOf(aContext, aPool);
  aContext.mHosts->mVisits += static_cast<std::int64_t>(hosts.size());
  for (const auto* host : hosts) {
    const auto* executor = host->mExecutor;
    if (executor == nullptr || !IsSchedulable(*executor, aNow.mAt)) {
      continue;
    }
    auto hasLongRunning = std::any_of(executor->mRuns.begin(),
                                      executor->mRuns.end(),
                                      [](const auto& aRun) { return aRun.second.mIsLongRunning; });
    if (!hasLongRunning && MayLeave(aContext, aRebalance, *host, aNow)) {
      busy.push_back({ host->mMachine->mId, ReservedResources(*executor).mCpuMillicores });
    }
  }
  std::sort(busy.begin(), busy.end(), [](const BusyHost& aLeft, const BusyHost& aRight) {
    return aLeft.mReservedCpu < aRight.mReservedCpu;
  });
  return busy;
}

}
