#include "LibSchedule/Rebalance.h"

#include "LibSchedule/HostsToGive.h"

#include <algorithm>
#include <cstdlib>

namespace sesameseam::schedule {

namespace {

constexpr Duration kCheckInterval = 100ms;
// A lack that lasts is told again after this time, so that a new reader trusts it.
constexpr Duration kRepublishInterval = 500ms;
constexpr Duration kDemandLifetime = 1500ms;
constexpr int kSmallLack = 2;
// Changes of this many hosts are told even where no host lacks.
constexpr int kNotableChange = 3;
// A moved host shows in its new pool's demand this long after its arrival.
constexpr Duration kListDelay = 700ms;
constexpr Duration kRetryPause = 200ms;
constexpr Duration kGiveUpAfter = 1s;
// Demands go up and down: a host that was to be emptied is kept so through a short pause.
constexpr Duration kKeepEmptying = 500ms;
// Whoever should give first had its time by then.
constexpr Duration kTurnToGive = 600ms;

int
LackOf(const PoolDemand& aDemand)
{
  return aDemand.mWanted - aDemand.mPresent;
}

// Hosts on their way to the pool that its demand doesn't count yet.
int
CountComing(const FleetLog& aLog,
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
DiffersNotably(const PoolDemand& aLeft, const PoolDemand& aRight)
{
  return std::abs(aLeft.mWanted - aRight.mWanted) >= kNotableChange ||
         std::abs(aLeft.mPresent - aRight.mPresent) >= kNotableChange ||
         std::abs(aLeft.mIdle - aRight.mIdle) >= kNotableChange;
}

void
Publish(Rebalance& aRebalance,
        const FleetLog& aLog,
        const ServiceName& aPool,
        PoolDemand aDemand,
        const Now& aNow,
        Actions& aActions)
{
  auto& last = aRebalance.mPublished[aPool];
  auto lacks = LackOf(aDemand) > 0;
  auto lacked = LackOf(last.mDemand) > 0;
  auto grew = aDemand.mWanted > last.mDemand.mWanted;
  auto isOld = aNow.mAt - last.mAt > kRepublishInterval;
  auto isNews = isOld && DiffersNotably(aDemand, last.mDemand);
  if (!(lacks && (grew || isOld)) && lacks == lacked && !isNews) {
    return;
  }
  aDemand.mLackedAt = lacks ? aNow.mWall : last.mDemand.mLackedAt;
  last = { aDemand, aNow.mAt };
  TellDemand(aLog, aPool, aDemand, aActions);
}

struct Lack
{
  ServiceName mPool;
  int mHosts = 0;
};

// The pools to give hosts to, by what was told lately: first those that lack one or two, which may
// be for tasks that last, then the one that lacks most.
std::vector<Lack>
LacksToMeet(const FleetLog& aLog, const RebalanceSettings& aSettings, TimePoint aNow)
{
  std::vector<Lack> lacks;
  Lack greatest;
  for (const auto& [pool, demand] : aLog.mDemands) {
    if (aNow - demand.mAt > kDemandLifetime) {
      continue;
    }
    Lack lack{ pool, LackOf(demand) - CountComing(aLog, aSettings, pool, demand.mAt) };
    if (lack.mHosts > 0 && lack.mHosts <= kSmallLack) {
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
CountSpare(const FleetContext& aContext, const Shard& aShard, const Service& aPool, const Now& aNow)
{
  if (aPool.mStandby) {
    const auto& machines = aContext.mMachines->mMachines;
    return static_cast<int>(
      std::count_if(machines.begin(), machines.end(), [&](const auto& aEntry) {
        return aEntry.second.mPool == aPool.mName && aEntry.second.mState == MachineState::Up;
      }));
  }
  auto demand = DemandOf(aShard, aPool.mName, aNow);
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
GivesBefore(const PoolDemand& aOther, const Service& aPool, const PoolDemand& aDemand)
{
  if (aPool.mStandby) {
    return false;
  }
  return aOther.mLackedAt > aDemand.mLackedAt;
}

// What the pool has to give of a lack, after those that give first.
int
ShareOfLack(const Rebalance& aRebalance,
            const FleetLog& aLog,
            const std::vector<Service>& aServices,
            const Service& aPool,
            const Lack& aLack,
            Instant aNow)
{
  auto since = aRebalance.mLackSince.find(aLack.mPool);
  if (since == aRebalance.mLackSince.end() || aNow - since->second > kTurnToGive) {
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
    auto isFirst = !aPool.mStandby && (other.mStandby || GivesBefore(found->second, aPool, demand));
    share -= isFirst ? found->second.mIdle : 0;
  }
  return std::max(share, 0);
}

void
GiveIdleHosts(Rebalance& aRebalance,
              const Now& aNow,
              const FleetContext& aContext,
              const Shard& aShard,
              const Lack& aLack,
              const std::vector<MachineId>& aHosts)
{
  for (const auto& id : aHosts) {
    Gather(*aContext.mLog, id, ToRecord(id, HostMove{ aLack.mPool, aNow.mWall }));
    // Nothing is placed there from now on; if the append fails, that is taken back.
    SetVacating(aContext, id, DrainReason::ForMove);
    aRebalance.mEmptying.erase(id);
    aRebalance.mTasks[id] = { aLack.mPool, aShard.mEpoch };
  }
}

int
CountEmptying(const Rebalance& aRebalance, const ServiceName& aFrom)
{
  return static_cast<int>(std::count_if(
    aRebalance.mEmptying.begin(), aRebalance.mEmptying.end(), [&](const auto& aEntry) {
      return aEntry.second.mFrom == aFrom;
    }));
}

// Hosts that are to be empty for a pool that lacks none any more take work again.
bool
Lacks(const std::vector<Lack>& aLacks, const ServiceName& aPool)
{
  return std::any_of(
    aLacks.begin(), aLacks.end(), [&](const Lack& aLack) { return aLack.mPool == aPool; });
}

void
ReleaseEmptying(Rebalance& aRebalance,
                const FleetContext& aContext,
                const std::vector<Lack>& aLacks,
                Instant aNow)
{
  for (auto& [id, host] : aRebalance.mEmptying) {
    if (Lacks(aLacks, host.mTo)) {
      host.mWantedAt = aNow;
    }
  }
  std::erase_if(aRebalance.mEmptying, [&](const auto& aEntry) {
    auto isOver = aNow - aEntry.second.mWantedAt > kKeepEmptying;
    if (isOver) {
      SetVacating(aContext, aEntry.first, DrainReason::None);
    }
    return isOver;
  });
}

void
EmptyHosts(Rebalance& aRebalance,
           const Now& aNow,
           const FleetContext& aContext,
           const Shard& aShard,
           const ServiceName& aFrom,
           const ServiceName& aTo,
           int aCount)
{
  auto hosts = HostsToEmpty(aContext, aRebalance, aShard, aFrom, aNow);
  hosts.resize(std::min(hosts.size(), static_cast<std::size_t>(aCount)));
  for (const auto& host : hosts) {
    SetVacating(aContext, host.mId, DrainReason::ForMove);
    aRebalance.mEmptying[host.mId] = { aFrom, aTo, aNow.mAt };
  }
}

// Gives a part of the lack from one pool: idle hosts at once, others once they are empty. Returns
// how many are on their way.
int
GiveFrom(Rebalance& aRebalance,
         const Now& aNow,
         const FleetContext& aContext,
         const Service& aPool,
         const Shard& aShard,
         const Lack& aLack,
         int aShare,
         Actions& aActions)
{
  auto emptying = CountEmptying(aRebalance, aPool.mName);
  // Hosts that are being emptied don't count as present.
  auto spare = CountSpare(aContext, aShard, aPool, aNow) + emptying;
  auto wanted = std::max(0, std::min(aShare, spare));
  auto idle = IdleHosts(aContext, aRebalance, aShard, aPool, aNow);
  idle.resize(std::min(idle.size(), static_cast<std::size_t>(wanted)));
  GiveIdleHosts(aRebalance, aNow, aContext, aShard, aLack, idle);
  auto given = static_cast<int>(idle.size());
  auto toEmpty = aPool.mStandby ? 0 : std::max(0, wanted - given - emptying);
  if (toEmpty > 0) {
    EmptyHosts(aRebalance, aNow, aContext, aShard, aPool.mName, aLack.mPool, toEmpty);
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
MeetLack(Rebalance& aRebalance,
         const Now& aNow,
         const FleetContext& aContext,
         const std::vector<Service>& aServices,
         Lack aLack,
         Actions& aActions)
{
  aRebalance.mLackSince.try_emplace(aLack.mPool, aNow.mAt);
  for (const auto& pool : aServices) {
    const auto* shard = FindShard(aContext, pool.mName);
    if (pool.mName == aLack.mPool || shard == nullptr) {
      continue;
    }
    auto share = ShareOfLack(aRebalance, *aContext.mLog, aServices, pool, aLack, aNow.mAt);
    aLack.mHosts -= GiveFrom(aRebalance, aNow, aContext, pool, *shard, aLack, share, aActions);
  }
}

void
GiveHosts(Rebalance& aRebalance,
          const RebalanceSettings& aSettings,
          const Now& aNow,
          const FleetContext& aContext,
          const std::vector<Service>& aServices,
          Actions& aActions)
{
  auto lacks = LacksToMeet(*aContext.mLog, aSettings, aNow.mWall);
  ReleaseEmptying(aRebalance, aContext, lacks, aNow.mAt);
  std::erase_if(aRebalance.mLackSince,
                [&](const auto& aEntry) { return !Lacks(lacks, aEntry.first); });
  if (!MayAppend(*aContext.mLog)) {
    return;
  }
  for (const auto& lack : lacks) {
    MeetLack(aRebalance, aNow, aContext, aServices, lack, aActions);
  }
}

bool
IsStillEmpty(const FleetContext& aContext, const MachineId& aHost)
{
  const auto* machine = FindMachine(*aContext.mMachines, aHost);
  const auto* shard = machine == nullptr ? nullptr : FindShard(aContext, machine->mPool);
  return shard == nullptr || IsEmpty(*shard, *machine);
}

void
OrderMoves(Rebalance& aRebalance, const Now& aNow, const FleetContext& aContext, Actions& aActions)
{
  std::erase_if(aRebalance.mTasks, [&](auto& aEntry) {
    auto& [id, task] = aEntry;
    const auto* machine = FindMachine(*aContext.mMachines, id);
    auto isElsewhere = machine == nullptr || machine->mPool == task.mTo;
    const auto* shard = isElsewhere ? nullptr : FindShard(aContext, machine->mPool);
    auto isOwned = shard != nullptr && shard->mEpoch == task.mEpoch;
    if (isOwned && (task.mFence == 0 || task.mCallPending || aNow.mAt <= task.mGiveUpAt)) {
      return false;
    }
    if (isOwned && !task.mOrdered) {
      // Later than this nobody expects the order any more: this host may have been frozen.
      SetVacating(aContext, id, DrainReason::None);
    }
    return true;
  });
  for (auto& [id, task] : aRebalance.mTasks) {
    auto isDue = task.mFence != 0 && !task.mOrdered && !task.mCallPending;
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
    if (!TakeFleetRecord(stored, record.mKey, record.mValue).ok() || stored.mMoves.empty()) {
      continue;
    }
    auto task = aRebalance.mTasks.find(stored.mMoves.begin()->first);
    if (task != aRebalance.mTasks.end()) {
      task->second.mFence = offset;
      task->second.mGiveUpAt = aNow.mAt + kGiveUpAfter;
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
  auto found = aRebalance.mTasks.find(aAnswer.mCall.mMachine);
  if (found == aRebalance.mTasks.end()) {
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
    task.mOrdered = true;
    return;
  }
  if (aNow.mAt > task.mGiveUpAt) {
    SetVacating(aContext, aAnswer.mCall.mMachine, DrainReason::None);
    aRebalance.mTasks.erase(found);
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
    std::erase_if(aRebalance.mTasks, [&](const auto& aEntry) {
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
    auto demand = pool.mStandby ? PoolDemand() : DemandOf(*shard, pool.mName, aNow);
    demand.mAt = aNow.mWall;
    auto idle = IdleHosts(aContext, aRebalance, *shard, pool, aNow);
    demand.mIdle = static_cast<int>(idle.size());
    if (!pool.mStandby) {
      demand.mIdle = std::clamp(demand.mPresent - demand.mWanted, 0, demand.mIdle);
    }
    Publish(aRebalance, *aContext.mLog, pool.mName, demand, aNow, aActions);
  }
  GiveHosts(aRebalance, aSettings, aNow, aContext, aServices, aActions);
  OrderMoves(aRebalance, aNow, aContext, aActions);
}

}
