#include "LibSchedule/Rebalance.h"

#include "LibSchedule/HostIndex.h"
#include "LibSchedule/MovableHosts.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>

namespace sesameseam::schedule {

namespace {

constexpr Duration kCheckInterval = 100ms;
// A shortage that continues is published again after this time, so that a new reader trusts it.
constexpr Duration kRepublishInterval = 500ms;
constexpr Duration kDemandLifetime = 1500ms;
constexpr int kSmallShortage = 2;
// Changes of this many hosts are published even without a shortage.
constexpr int kSignificantChange = 3;
// A moved host is counted in the demand of its new pool this long after its arrival.
constexpr Duration kListDelay = 700ms;
constexpr Duration kRetryPause = 200ms;
constexpr Duration kMoveTimeout = 1s;
// Demands fluctuate: a host keeps draining for this long after the shortage was last seen.
constexpr Duration kDrainCancelDelay = 500ms;
// Preferred donors have this long to cover a shortage before the other pools do.
constexpr Duration kDonorPriorityTime = 600ms;
constexpr int kNoLimit = std::numeric_limits<int>::max();

int
ShortageOf(const PoolDemand& aDemand)
{
  return aDemand.mWanted - aDemand.mPresent;
}

// Counts the hosts on the move to the pool that its demand doesn't include yet.
int
CountInboundHosts(const FleetLog& aLog,
                  const RebalanceSettings& aSettings,
                  const ServiceName& aPool,
                  TimePoint aDemandAt)
{
  auto since = aDemandAt - aSettings.mMoveTime - kListDelay;
  return static_cast<int>(
    std::count_if(aLog.mMoves.begin(), aLog.mMoves.end(), [&](const auto& aEntry) {
      return aEntry.second.mTo == aPool && aEntry.second.mAt > since;
    }));
}

bool
DiffersSignificantly(const PoolDemand& aLeft, const PoolDemand& aRight)
{
  return std::abs(aLeft.mWanted - aRight.mWanted) >= kSignificantChange ||
         std::abs(aLeft.mPresent - aRight.mPresent) >= kSignificantChange ||
         std::abs(aLeft.mIdle - aRight.mIdle) >= kSignificantChange;
}

void
PublishIfChanged(Rebalance& aRebalance,
                 const FleetLog& aLog,
                 const ServiceName& aPool,
                 PoolDemand aDemand,
                 const Now& aNow,
                 Actions& aActions)
{
  auto& last = aRebalance.mPublished[aPool];
  auto isShort = ShortageOf(aDemand) > 0;
  auto wasShort = ShortageOf(last.mDemand) > 0;
  auto grew = aDemand.mWanted > last.mDemand.mWanted;
  auto isOld = aNow.mAt - last.mAt > kRepublishInterval;
  auto isSignificant = isOld && DiffersSignificantly(aDemand, last.mDemand);
  if (!(isShort && (grew || isOld)) && isShort == wasShort && !isSignificant) {
    return;
  }
  aDemand.mLastShortageAt = isShort ? aNow.mWall : last.mDemand.mLastShortageAt;
  last = { aDemand, aNow.mAt };
  PublishDemand(aLog, aPool, aDemand, aActions);
}

struct Shortage
{
  ServiceName mPool;
  int mHosts = 0;
};

// Returns the shortages to cover, from recent demands: first those of one or two hosts, which may
// be for long-running tasks, then the greatest one.
std::vector<Shortage>
ShortagesToCover(const FleetLog& aLog, const RebalanceSettings& aSettings, TimePoint aNow)
{
  std::vector<Shortage> shortages;
  Shortage greatest;
  for (const auto& [pool, demand] : aLog.mDemands) {
    if (aNow - demand.mAt > kDemandLifetime || ShortageOf(demand) <= 0) {
      continue;
    }
    Shortage shortage{ pool,
                       ShortageOf(demand) - CountInboundHosts(aLog, aSettings, pool, demand.mAt) };
    if (shortage.mHosts > 0 && shortage.mHosts <= kSmallShortage) {
      shortages.push_back(shortage);
    } else if (shortage.mHosts > greatest.mHosts) {
      greatest = shortage;
    }
  }
  if (greatest.mHosts > 0) {
    shortages.push_back(greatest);
  }
  return shortages;
}

int
CountSurplusHosts(const FleetContext& aContext,
                  Shard& aShard,
                  const Service& aPool,
                  const Now& aNow)
{
  if (aPool.mStandby) {
    return CountHostsUp(aContext, aPool.mName);
  }
  auto demand = UpdateDemand(aShard, aPool.mName, aNow);
  return demand.mPresent - demand.mWanted;
}

void
SetDrainReason(const FleetContext& aContext, const MachineId& aMachine, DrainReason aReason)
{
  const auto* machine = FindMachine(*aContext.mMachines, aMachine);
  auto* shard = machine == nullptr ? nullptr : FindShard(aContext, machine->mPool);
  if (shard == nullptr) {
    return;
  }
  auto found = shard->mExecutors.find(machine->mExecutor);
  if (found != shard->mExecutors.end()) {
    detail::SetDrainReason(*shard, found->second, aReason);
  }
}

// Whether the other pool should give hosts before aPool, since its shortage was more recent. A
// standby pool has no preferred donors.
bool
IsPreferredDonor(const PoolDemand& aOther, const Service& aPool, const PoolDemand& aDemand)
{
  if (aPool.mStandby) {
    return false;
  }
  return aOther.mLastShortageAt > aDemand.mLastShortageAt;
}

// Returns the part of a shortage that the preferred donors of the pool leave to it.
int
ShareOfShortage(const Rebalance& aRebalance,
                const FleetLog& aLog,
                const std::vector<Service>& aServices,
                const Service& aPool,
                const Shortage& aShortage,
                Instant aNow)
{
  auto since = aRebalance.mShortageSince.find(aShortage.mPool);
  if (since == aRebalance.mShortageSince.end() || aNow - since->second > kDonorPriorityTime) {
    return aShortage.mHosts;
  }
  auto own = aLog.mDemands.find(aPool.mName);
  auto demand = own == aLog.mDemands.end() ? PoolDemand() : own->second;
  auto share = aShortage.mHosts;
  for (const auto& other : aServices) {
    auto found = aLog.mDemands.find(other.mName);
    if (other.mName == aPool.mName || other.mName == aShortage.mPool ||
        found == aLog.mDemands.end()) {
      continue;
    }
    auto isFirst =
      !aPool.mStandby && (other.mStandby || IsPreferredDonor(found->second, aPool, demand));
    share -= isFirst ? found->second.mIdle : 0;
  }
  return std::max(share, 0);
}

void
RecordMoves(Rebalance& aRebalance,
            const Now& aNow,
            const FleetContext& aContext,
            const Shard& aShard,
            const Shortage& aShortage,
            const std::vector<MachineId>& aHosts)
{
  for (const auto& id : aHosts) {
    AddToBatch(*aContext.mLog, id, ToRecord(id, HostMove{ aShortage.mPool, aNow.mWall }));
    // Nothing is placed on the host from now on; this is reverted if the append fails.
    SetDrainReason(aContext, id, DrainReason::ForMove);
    aRebalance.mDraining.erase(id);
    aRebalance.mOrders[id] = { aShortage.mPool, aShard.mEpoch };
  }
}

int
CountDraining(const Rebalance& aRebalance, const ServiceName& aFrom)
{
  return static_cast<int>(std::count_if(
    aRebalance.mDraining.begin(), aRebalance.mDraining.end(), [&](const auto& aEntry) {
      return aEntry.second.mFrom == aFrom;
    }));
}

bool
HasShortage(const std::vector<Shortage>& aShortages, const ServiceName& aPool)
{
  return std::any_of(aShortages.begin(), aShortages.end(), [&](const Shortage& aShortage) {
    return aShortage.mPool == aPool;
  });
}

// Hosts that drain for a pool that is no longer short of hosts accept work again.
void
CancelUnneededDrains(Rebalance& aRebalance,
                     const FleetContext& aContext,
                     const std::vector<Shortage>& aShortages,
                     Instant aNow)
{
  for (auto& [id, host] : aRebalance.mDraining) {
    if (HasShortage(aShortages, host.mTo)) {
      host.mLastNeededAt = aNow;
    }
  }
  std::erase_if(aRebalance.mDraining, [&](const auto& aEntry) {
    auto isOver = aNow - aEntry.second.mLastNeededAt > kDrainCancelDelay;
    if (isOver) {
      SetDrainReason(aContext, aEntry.first, DrainReason::None);
    }
    return isOver;
  });
}

void
DrainHosts(Rebalance& aRebalance,
           const Now& aNow,
           const FleetContext& aContext,
           const ServiceName& aFrom,
           const ServiceName& aTo,
           int aCount)
{
  auto hosts = HostsToDrain(aContext, aRebalance, aFrom, aNow);
  hosts.resize(std::min(hosts.size(), static_cast<std::size_t>(aCount)));
  for (const auto& host : hosts) {
    SetDrainReason(aContext, host.mId, DrainReason::ForMove);
    aRebalance.mDraining[host.mId] = { aFrom, aTo, aNow.mAt };
  }
}

// Covers a part of the shortage from one pool: idle hosts move at once, others drain first. Returns
// how many moves were added to the batch.
int
CoverFromPool(Rebalance& aRebalance,
              const Now& aNow,
              const FleetContext& aContext,
              const Service& aPool,
              Shard& aShard,
              const Shortage& aShortage,
              int aShare,
              Actions& aActions)
{
  if (aShare <= 0) {
    return 0;
  }
  auto draining = CountDraining(aRebalance, aPool.mName);
  // Draining hosts don't count as present.
  auto spare = CountSurplusHosts(aContext, aShard, aPool, aNow) + draining;
  auto wanted = std::max(0, std::min(aShare, spare));
  if (wanted == 0) {
    return 0;
  }
  auto idle = HostsReadyToMove(aContext, aRebalance, aPool, wanted, aNow).mIds;
  RecordMoves(aRebalance, aNow, aContext, aShard, aShortage, idle);
  auto moved = static_cast<int>(idle.size());
  auto toDrain = aPool.mStandby ? 0 : std::max(0, wanted - moved - draining);
  if (toDrain > 0) {
    DrainHosts(aRebalance, aNow, aContext, aPool.mName, aShortage.mPool, toDrain);
  }
  if (moved > 0 || toDrain > 0) {
    LogEntry entry{ LogLevel::Info, "hosts-given", {}, aPool.mName.mValue };
    entry.mOutcome = std::to_string(moved) + " move now, " + std::to_string(toDrain) +
                     " after draining, to pool " + aShortage.mPool.mValue;
    entry.mReason = "share of the shortage " + std::to_string(aShare) + ", " +
                    std::to_string(spare) + " surplus hosts";
    aActions.emplace_back(std::move(entry));
  }
  return moved;
}

void
CoverShortage(Rebalance& aRebalance,
              const Now& aNow,
              const FleetContext& aContext,
              const std::vector<Service>& aServices,
              Shortage aShortage,
              Actions& aActions)
{
  aRebalance.mShortageSince.try_emplace(aShortage.mPool, aNow.mAt);
  for (const auto& pool : aServices) {
    auto* shard = FindShard(aContext, pool.mName);
    if (pool.mName == aShortage.mPool || shard == nullptr) {
      continue;
    }
    auto share = ShareOfShortage(aRebalance, *aContext.mLog, aServices, pool, aShortage, aNow.mAt);
    aShortage.mHosts -=
      CoverFromPool(aRebalance, aNow, aContext, pool, *shard, aShortage, share, aActions);
  }
}

void
CoverShortages(Rebalance& aRebalance,
               const RebalanceSettings& aSettings,
               const Now& aNow,
               const FleetContext& aContext,
               const std::vector<Service>& aServices,
               Actions& aActions)
{
  auto shortages = ShortagesToCover(*aContext.mLog, aSettings, aNow.mWall);
  CancelUnneededDrains(aRebalance, aContext, shortages, aNow.mAt);
  std::erase_if(aRebalance.mShortageSince,
                [&](const auto& aEntry) { return !HasShortage(shortages, aEntry.first); });
  if (!MayAppend(*aContext.mLog)) {
    return;
  }
  for (const auto& shortage : shortages) {
    CoverShortage(aRebalance, aNow, aContext, aServices, shortage, aActions);
  }
}

bool
IsStillEmpty(const FleetContext& aContext, const MachineId& aHost)
{
  const auto* machine = FindMachine(*aContext.mMachines, aHost);
  const auto* shard = machine == nullptr ? nullptr : FindShard(aContext, machine->mPool);
  return shard == nullptr || HasNoRuns(*shard, *machine);
}

void
SendMoveOrders(Rebalance& aRebalance,
               const Now& aNow,
               const FleetContext& aContext,
               Actions& aActions)
{
  std::erase_if(aRebalance.mOrders, [&](auto& aEntry) {
    auto& [id, order] = aEntry;
    const auto* machine = FindMachine(*aContext.mMachines, id);
    auto isElsewhere = machine == nullptr || machine->mPool == order.mTo;
    const auto* shard = isElsewhere ? nullptr : FindShard(aContext, machine->mPool);
    auto isOwned = shard != nullptr && shard->mEpoch == order.mEpoch;
    if (isOwned && (order.mFence == 0 || order.mCallPending || aNow.mAt <= order.mDeadline)) {
      return false;
    }
    if (isOwned && !order.mAcknowledged) {
      // This entry host may have been suspended since the record. Other owners assume that no order
      // is sent after the deadline.
      SetDrainReason(aContext, id, DrainReason::None);
    }
    return true;
  });
  for (auto& [id, order] : aRebalance.mOrders) {
    auto isDue = order.mFence != 0 && !order.mAcknowledged && !order.mCallPending;
    if (isDue && !IsStillEmpty(aContext, id)) {
      // Another executor may have started on the host since the record, and taken work.
      SetDrainReason(aContext, id, DrainReason::ForMove);
      continue;
    }
    if (isDue && aNow.mAt >= order.mRetryAt) {
      order.mCallPending = true;
      aActions.emplace_back(MoveCall{ id, order.mTo, order.mFence });
    }
  }
}

void
DecideOnMoves(Rebalance& aRebalance,
              const RebalanceSettings& aSettings,
              const Now& aNow,
              const FleetContext& aContext,
              const std::vector<Service>& aServices,
              Actions& aActions)
{
  UpdateHostIndex(*aContext.mHosts, aContext);
  // Orders whose append was not stored are dropped, and their hosts accept work again.
  if (MayAppend(*aContext.mLog)) {
    std::erase_if(aRebalance.mOrders, [&](const auto& aEntry) {
      auto isDropped = aEntry.second.mFence == 0;
      if (isDropped) {
        SetDrainReason(aContext, aEntry.first, DrainReason::None);
      }
      return isDropped;
    });
  }
  for (const auto& pool : aServices) {
    auto* shard = FindShard(aContext, pool.mName);
    if (shard == nullptr) {
      continue;
    }
    auto demand = pool.mStandby ? PoolDemand() : UpdateDemand(*shard, pool.mName, aNow);
    demand.mAt = aNow.mWall;
    auto limit = pool.mStandby ? kNoLimit : demand.mPresent - demand.mWanted;
    demand.mIdle = CountHostsReadyToMove(aContext, aRebalance, pool, limit, aNow);
    PublishIfChanged(aRebalance, *aContext.mLog, pool.mName, demand, aNow, aActions);
  }
  CoverShortages(aRebalance, aSettings, aNow, aContext, aServices, aActions);
}

}

void
OnMoveRecorded(Rebalance& aRebalance,
               const Now& aNow,
               const AppendAnswer& aAnswer,
               Actions& /*aActions*/)
{
  FleetLog stored;
  auto offset = aAnswer.mOffset;
  for (const auto& record : aAnswer.mCall.mRecords) {
    ++offset;
    stored.mMoves.clear();
    if (!ApplyFleetRecord(stored, record.mKey, record.mValue).ok() || stored.mMoves.empty()) {
      continue;
    }
    auto order = aRebalance.mOrders.find(stored.mMoves.begin()->first);
    if (order != aRebalance.mOrders.end()) {
      order->second.mFence = offset;
      order->second.mDeadline = aNow.mAt + kMoveTimeout;
    }
  }
}

void
OnMoveAnswer(Rebalance& aRebalance,
             const Now& aNow,
             const FleetContext& aContext,
             const MoveAnswer& aAnswer,
             Actions& aActions)
{
  auto found = aRebalance.mOrders.find(aAnswer.mCall.mMachine);
  if (found == aRebalance.mOrders.end()) {
    return;
  }
  auto& order = found->second;
  order.mCallPending = false;
  order.mRetryAt = aNow.mAt + kRetryPause;
  LogEntry entry{ LogLevel::Info, "move-ordered", {}, aAnswer.mCall.mMachine.mValue };
  entry.mOutcome = NameOf(aAnswer.mResult);
  entry.mReason = "to pool " + aAnswer.mCall.mTo.mValue;
  entry.mVersion = aAnswer.mCall.mFence;
  aActions.emplace_back(std::move(entry));
  if (aAnswer.mResult == CallResult::Done) {
    ++aRebalance.mMoves;
    order.mAcknowledged = true;
    return;
  }
  if (aNow.mAt > order.mDeadline) {
    SetDrainReason(aContext, aAnswer.mCall.mMachine, DrainReason::None);
    aRebalance.mOrders.erase(found);
  }
}

void
AdvanceRebalance(Rebalance& aRebalance,
                 const RebalanceSettings& aSettings,
                 const Now& aNow,
                 const FleetContext& aContext,
                 const std::vector<Service>& aServices,
                 Actions& aActions)
{
  aRebalance.mIsDecisionDue = true;
  AdvanceMoveOrders(aRebalance, aSettings, aNow, aContext, aServices, aActions);
}

void
AdvanceMoveOrders(Rebalance& aRebalance,
                  const RebalanceSettings& aSettings,
                  const Now& aNow,
                  const FleetContext& aContext,
                  const std::vector<Service>& aServices,
                  Actions& aActions)
{
  if (!IsFleetKnown(aContext) || aNow.mAt < aRebalance.mNextCheckAt) {
    return;
  }
  aRebalance.mNextCheckAt = aNow.mAt + kCheckInterval;
  if (std::exchange(aRebalance.mIsDecisionDue, false)) {
    DecideOnMoves(aRebalance, aSettings, aNow, aContext, aServices, aActions);
  }
  SendMoveOrders(aRebalance, aNow, aContext, aActions);
}

}
