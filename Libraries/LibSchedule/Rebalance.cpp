#include "LibSchedule/Rebalance.h"

#include "LibSchedule/MovableHosts.h"

#include <algorithm>
#include <cstdlib>

namespace sesameseam::schedule {

namespace {

constexpr Duration kCheckInterval = 100ms;
// A lack that lasts is told again after this time, so that a new reader trusts it.
constexpr Duration kRepublishInterval = 500ms;
constexpr Duration kDemandLifetime = 1500ms;
constexpr int kSmallShortage = 2;
// Changes of this many hosts are told even where no host lacks.
constexpr int kSignificantChange = 3;
// A moved host shows in its new pool's demand this long after its arrival.
constexpr Duration kListDelay = 700ms;
constexpr Duration kRetryPause = 200ms;
constexpr Duration kMoveTimeout = 1s;
// Demands go up and down: a host that was to be emptied is kept so through a short pause.
constexpr Duration kDrainHoldTime = 500ms;
// Whoever should give first had its time by then.
constexpr Duration kDonorPriorityTime = 600ms;

int
ShortageOf(const PoolDemand& aDemand)
{
  return aDemand.mWanted - aDemand.mPresent;
}

// Hosts on their way to the pool that its demand doesn't count yet.
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
  auto lacks = ShortageOf(aDemand) > 0;
  auto lacked = ShortageOf(last.mDemand) > 0;
  auto grew = aDemand.mWanted > last.mDemand.mWanted;
  auto isOld = aNow.mAt - last.mAt > kRepublishInterval;
  auto isNews = isOld && DiffersSignificantly(aDemand, last.mDemand);
  if (!(lacks && (grew || isOld)) && lacks == lacked && !isNews) {
    return;
  }
  aDemand.mLastShortageAt = lacks ? aNow.mWall : last.mDemand.mLastShortageAt;
  last = { aDemand, aNow.mAt };
  PublishDemand(aLog, aPool, aDemand, aActions);
}

struct Shortage
{
  ServiceName mPool;
  int mHosts = 0;
};

// The pools to give hosts to, by what was told lately: first those that lack one or two, which may
// be for tasks that last, then the one that lacks most.
std::vector<Shortage>
ShortagesToCover(const FleetLog& aLog, const RebalanceSettings& aSettings, TimePoint aNow)
{
  std::vector<Shortage> lacks;
  Shortage greatest;
  for (const auto& [pool, demand] : aLog.mDemands) {
    if (aNow - demand.mAt > kDemandLifetime) {
      continue;
    }
    Shortage lack{ pool,
                   ShortageOf(demand) - CountInboundHosts(aLog, aSettings, pool, demand.mAt) };
    if (lack.mHosts > 0 && lack.mHosts <= kSmallShortage) {
      lacks.push_back(lack);
    } else if (lack.mHosts > greatest.mHosts) {
      greatest = lack;
    }
  }
  if (greatest.mHosts > 0) {
    lacks.push_back(greatest);
  }
  return lacks;
}

int
CountSurplusHosts(const FleetContext& aContext,
                  const Shard& aShard,
                  const Service& aPool,
                  const Now& aNow)
{
  if (aPool.mStandby) {
    const auto& machines = aContext.mMachines->mMachines;
    return static_cast<int>(
      std::count_if(machines.begin(), machines.end(), [&](const auto& aEntry) {
        return aEntry.second.mPool == aPool.mName && aEntry.second.mState == MachineState::Up;
      }));
  }
  auto demand = EstimateDemand(aShard, aPool.mName, aNow);
  return demand.mPresent - demand.mWanted;
}

void
SetVacating(const FleetContext& aContext, const MachineId& aMachine, DrainReason aVacating)
{
  const auto* machine = FindMachine(*aContext.mMachines, aMachine);
  auto* shard = machine == nullptr ? nullptr : FindShard(aContext, machine->mPool);
  if (shard == nullptr) {
    return;
  }
  auto found = shard->mExecutors.find(machine->mExecutor);
  if (found != shard->mExecutors.end()) {
    found->second.mDrainReason = aVacating;
  }
}

// Those that should give before the pool: the reserve, and pools that lacked hosts later.
bool
IsPreferredDonor(const PoolDemand& aOther, const Service& aPool, const PoolDemand& aDemand)
{
  if (aPool.mStandby) {
    return false;
  }
  return aOther.mLastShortageAt > aDemand.mLastShortageAt;
}

// What the pool has to give of a lack, after those that give first.
int
ShareOfShortage(const Rebalance& aRebalance,
                const FleetLog& aLog,
                const std::vector<Service>& aServices,
                const Service& aPool,
                const Shortage& aLack,
                Instant aNow)
{
  auto since = aRebalance.mShortageSince.find(aLack.mPool);
  if (since == aRebalance.mShortageSince.end() || aNow - since->second > kDonorPriorityTime) {
    return aLack.mHosts;
  }
  auto own = aLog.mDemands.find(aPool.mName);
  auto demand = own == aLog.mDemands.end() ? PoolDemand() : own->second;
  auto share = aLack.mHosts;
  for (const auto& other : aServices) {
    auto found = aLog.mDemands.find(other.mName);
    if (other.mName == aPool.mName || other.mName == aLack.mPool || found == aLog.mDemands.end()) {
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
            const Shortage& aLack,
            const std::vector<MachineId>& aHosts)
{
  for (const auto& id : aHosts) {
    AddToBatch(*aContext.mLog, id, ToRecord(id, HostMove{ aLack.mPool, aNow.mWall }));
    // Nothing is placed there from now on; if the append fails, that is taken back.
    SetVacating(aContext, id, DrainReason::ForMove);
    aRebalance.mDraining.erase(id);
    aRebalance.mOrders[id] = { aLack.mPool, aShard.mEpoch };
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

// Hosts that are to be empty for a pool that lacks none any more take work again.
bool
HasShortage(const std::vector<Shortage>& aLacks, const ServiceName& aPool)
{
  return std::any_of(
    aLacks.begin(), aLacks.end(), [&](const Shortage& aLack) { return aLack.mPool == aPool; });
}

void
CancelUnneededDrains(Rebalance& aRebalance,
                     const FleetContext& aContext,
                     const std::vector<Shortage>& aLacks,
                     Instant aNow)
{
  for (auto& [id, host] : aRebalance.mDraining) {
    if (HasShortage(aLacks, host.mTo)) {
      host.mLastNeededAt = aNow;
    }
  }
  std::erase_if(aRebalance.mDraining, [&](const auto& aEntry) {
    auto isOver = aNow - aEntry.second.mLastNeededAt > kDrainHoldTime;
    if (isOver) {
      SetVacating(aContext, aEntry.first, DrainReason::None);
    }
    return isOver;
  });
}

void
DrainHosts(Rebalance& aRebalance,
           const Now& aNow,
           const FleetContext& aContext,
           const Shard& aShard,
           const ServiceName& aFrom,
           const ServiceName& aTo,
           int aCount)
{
  auto hosts = HostsToDrain(aContext, aRebalance, aShard, aFrom, aNow);
  hosts.resize(std::min(hosts.size(), static_cast<std::size_t>(aCount)));
  for (const auto& host : hosts) {
    SetVacating(aContext, host.mId, DrainReason::ForMove);
    aRebalance.mDraining[host.mId] = { aFrom, aTo, aNow.mAt };
  }
}

// Gives a part of the lack from one pool: idle hosts at once, others once they are empty. Returns
// how many are on their way.
int
CoverFromPool(Rebalance& aRebalance,
              const Now& aNow,
              const FleetContext& aContext,
              const Service& aPool,
              const Shard& aShard,
              const Shortage& aLack,
              int aShare,
              Actions& aActions)
{
  auto emptying = CountDraining(aRebalance, aPool.mName);
  // Hosts that are being emptied don't count as present.
  auto spare = CountSurplusHosts(aContext, aShard, aPool, aNow) + emptying;
  auto wanted = std::max(0, std::min(aShare, spare));
  auto idle = HostsReadyToMove(aContext, aRebalance, aShard, aPool, aNow);
  idle.resize(std::min(idle.size(), static_cast<std::size_t>(wanted)));
  RecordMoves(aRebalance, aNow, aContext, aShard, aLack, idle);
  auto given = static_cast<int>(idle.size());
  auto toEmpty = aPool.mStandby ? 0 : std::max(0, wanted - given - emptying);
  if (toEmpty > 0) {
    DrainHosts(aRebalance, aNow, aContext, aShard, aPool.mName, aLack.mPool, toEmpty);
  }
  if (given > 0 || toEmpty > 0) {
    LogEntry entry{ LogLevel::Info, "hosts-given", {}, aPool.mName.mValue };
    entry.mOutcome = std::to_string(given) + " go now, " + std::to_string(toEmpty) +
                     " once they are empty, to pool " + aLack.mPool.mValue;
    entry.mReason = "the share of the lack is " + std::to_string(aShare) + ", " +
                    std::to_string(spare) + " can be spared";
    aActions.emplace_back(std::move(entry));
  }
  return given;
}

void
CoverShortage(Rebalance& aRebalance,
              const Now& aNow,
              const FleetContext& aContext,
              const std::vector<Service>& aServices,
              Shortage aLack,
              Actions& aActions)
{
  aRebalance.mShortageSince.try_emplace(aLack.mPool, aNow.mAt);
  for (const auto& pool : aServices) {
    const auto* shard = FindShard(aContext, pool.mName);
    if (pool.mName == aLack.mPool || shard == nullptr) {
      continue;
    }
    auto share = ShareOfShortage(aRebalance, *aContext.mLog, aServices, pool, aLack, aNow.mAt);
    aLack.mHosts -= CoverFromPool(aRebalance, aNow, aContext, pool, *shard, aLack, share, aActions);
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
  auto lacks = ShortagesToCover(*aContext.mLog, aSettings, aNow.mWall);
  CancelUnneededDrains(aRebalance, aContext, lacks, aNow.mAt);
  std::erase_if(aRebalance.mShortageSince,
                [&](const auto& aEntry) { return !HasShortage(lacks, aEntry.first); });
  if (!MayAppend(*aContext.mLog)) {
    return;
  }
  for (const auto& lack : lacks) {
    CoverShortage(aRebalance, aNow, aContext, aServices, lack, aActions);
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
    auto& [id, task] = aEntry;
    const auto* machine = FindMachine(*aContext.mMachines, id);
    auto isElsewhere = machine == nullptr || machine->mPool == task.mTo;
    const auto* shard = isElsewhere ? nullptr : FindShard(aContext, machine->mPool);
    auto isOwned = shard != nullptr && shard->mEpoch == task.mEpoch;
    if (isOwned && (task.mFence == 0 || task.mCallPending || aNow.mAt <= task.mDeadline)) {
      return false;
    }
    if (isOwned && !task.mAcknowledged) {
      // Later than this nobody expects the order any more: this host may have been frozen.
      SetVacating(aContext, id, DrainReason::None);
    }
    return true;
  });
  for (auto& [id, task] : aRebalance.mOrders) {
    auto isDue = task.mFence != 0 && !task.mAcknowledged && !task.mCallPending;
    if (isDue && !IsStillEmpty(aContext, id)) {
      // Since the record another executor may have come to the host, and work to that.
      SetVacating(aContext, id, DrainReason::ForMove);
      continue;
    }
    if (isDue && aNow.mAt >= task.mRetryAt) {
      task.mCallPending = true;
      aActions.emplace_back(MoveCall{ id, task.mTo, task.mFence });
    }
  }
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
    auto task = aRebalance.mOrders.find(stored.mMoves.begin()->first);
    if (task != aRebalance.mOrders.end()) {
      task->second.mFence = offset;
      task->second.mDeadline = aNow.mAt + kMoveTimeout;
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
  auto& task = found->second;
  task.mCallPending = false;
  task.mRetryAt = aNow.mAt + kRetryPause;
  LogEntry entry{ LogLevel::Info, "move-ordered", {}, aAnswer.mCall.mMachine.mValue };
  entry.mOutcome = NameOf(aAnswer.mResult);
  entry.mReason = "to pool " + aAnswer.mCall.mTo.mValue;
  entry.mVersion = aAnswer.mCall.mFence;
  aActions.emplace_back(std::move(entry));
  if (aAnswer.mResult == CallResult::Done) {
    ++aRebalance.mMoves;
    task.mAcknowledged = true;
    return;
  }
  if (aNow.mAt > task.mDeadline) {
    SetVacating(aContext, aAnswer.mCall.mMachine, DrainReason::None);
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
  auto isKnown = aContext.mLog->mHosts.mLoaded && aContext.mMachines->mIsKnown;
  if (!isKnown || aNow.mAt < aRebalance.mNextCheckAt) {
    return;
  }
  aRebalance.mNextCheckAt = aNow.mAt + kCheckInterval;
  // An append that was not stored is forgotten, and its hosts take work again.
  if (MayAppend(*aContext.mLog)) {
    std::erase_if(aRebalance.mOrders, [&](const auto& aEntry) {
      auto isForgotten = aEntry.second.mFence == 0;
      if (isForgotten) {
        SetVacating(aContext, aEntry.first, DrainReason::None);
      }
      return isForgotten;
    });
  }
  for (const auto& pool : aServices) {
    const auto* shard = FindShard(aContext, pool.mName);
    if (shard == nullptr) {
      continue;
    }
    auto demand = pool.mStandby ? PoolDemand() : EstimateDemand(*shard, pool.mName, aNow);
    demand.mAt = aNow.mWall;
    auto idle = HostsReadyToMove(aContext, aRebalance, *shard, pool, aNow);
    demand.mIdle = static_cast<int>(idle.size());
    if (!pool.mStandby) {
      demand.mIdle = std::clamp(demand.mPresent - demand.mWanted, 0, demand.mIdle);
    }
    PublishIfChanged(aRebalance, *aContext.mLog, pool.mName, demand, aNow, aActions);
  }
  CoverShortages(aRebalance, aSettings, aNow, aContext, aServices, aActions);
  SendMoveOrders(aRebalance, aNow, aContext, aActions);
}

}
