#include "LibSchedule/MovableHosts.h"

#include "LibSchedule/HostOrders.h"
#include "LibSchedule/WaveDrain.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

bool
IsIdle(const Shard& aShard, const Machine& aMachine, Instant aNow)
{
  auto found = aShard.mExecutors.find(aMachine.mExecutor);
  return found != aShard.mExecutors.end() && IsSchedulable(found->second, aNow) &&
         found->second.mRuns.empty();
}

// Whether a wave has taken the host down for maintenance, or is about to.
bool
HasMaintenanceBegun(const FleetLog& aLog, const MachineId& aMachine)
{
  auto records = MaintenanceOf(aLog, aMachine);
  return std::any_of(records.begin(), records.end(), [](const auto* aRecord) {
    return aRecord->mPhase == MaintenancePhase::Begun;
  });
}

// Whether the host may leave its pool once nothing runs on it.
bool
MayLeave(const FleetContext& aContext,
         const Rebalance& aRebalance,
         const Shard& aShard,
         const Machine& aMachine,
         const Now& aNow)
{
  return aMachine.mState == MachineState::Up && !aRebalance.mOrders.contains(aMachine.mId) &&
         !HasMaintenanceBegun(*aContext.mLog, aMachine.mId) &&
         MayAppend(*aContext.mLog, aMachine.mId) &&
         MayOrder(aContext, aShard, aMachine.mId, aNow) &&
         !IsPinnedForMaintenance(aContext, aMachine.mId, aNow.mAt);
}

}

bool
HasNoRuns(const Shard& aShard, const Machine& aMachine)
{
  auto found = aShard.mExecutors.find(aMachine.mExecutor);
  return found == aShard.mExecutors.end() || found->second.mRuns.empty();
}

std::vector<MachineId>
HostsReadyToMove(const FleetContext& aContext,
                 const Rebalance& aRebalance,
                 const Shard& aShard,
                 const Service& aPool,
                 const Now& aNow)
{
  std::vector<MachineId> hosts;
  for (const auto& [id, machine] : aContext.mMachines->mMachines) {
    auto isFree =
      machine.mPool == aPool.mName &&
      (aPool.mStandby || aRebalance.mDraining.contains(id) ? HasNoRuns(aShard, machine)
                                                           : IsIdle(aShard, machine, aNow.mAt));
    if (isFree && MayLeave(aContext, aRebalance, aShard, machine, aNow)) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

std::vector<BusyHost>
HostsToDrain(const FleetContext& aContext,
             const Rebalance& aRebalance,
             const Shard& aShard,
             const ServiceName& aPool,
             const Now& aNow)
{
  std::vector<BusyHost> hosts;
  for (const auto& [id, machine] : aContext.mMachines->mMachines) {
    auto found = aShard.mExecutors.find(machine.mExecutor);
    if (machine.mPool != aPool || found == aShard.mExecutors.end() ||
        !IsSchedulable(found->second, aNow.mAt) ||
        !MayLeave(aContext, aRebalance, aShard, machine, aNow)) {
      continue;
    }
    const auto& runs = found->second.mRuns;
    auto hasLongRunning = std::any_of(
      runs.begin(), runs.end(), [](const auto& aRun) { return aRun.second.mIsLongRunning; });
    if (!hasLongRunning) {
      hosts.push_back({ id, ReservedResources(found->second).mCpuMillicores });
    }
  }
  std::sort(hosts.begin(), hosts.end(), [](const BusyHost& aLeft, const BusyHost& aRight) {
    return aLeft.mReservedCpu < aRight.mReservedCpu;
  });
  return hosts;
}

}
