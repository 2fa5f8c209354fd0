#include "LibSchedule/Rebalance.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kCheckInterval = 100ms;
// A lack that lasts is told again after this time, so that a new reader trusts it.
constexpr Duration kRepublishInterval = 500ms;
constexpr Duration kDemandLifetime = 1500ms;
// A moved host shows in its new pool's demand this long after its arrival.
constexpr Duration kListDelay = 700ms;
constexpr Duration kRetryPause = 200ms;
constexpr Duration kGiveUpAfter = 3s;

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

void
Publish(Rebalance& aRebalance,
        const ServiceName& aPool,
        const PoolDemand& aDemand,
        const Now& aNow,
        Actions& aActions)
{
  auto& last = aRebalance.mPublished[aPool];
  auto lacks = LackOf(aDemand) > 0;
  auto lacked = LackOf(last.mDemand) > 0;
  auto grew = aDemand.mWanted > last.mDemand.mWanted;
  auto isOld = aNow.mAt - last.mAt > kRepublishInterval;
  if ((lacks && (grew || isOld)) || (!lacks && lacked)) {
    last = { aDemand, aNow.mAt };
    AppendAnyway({ ToRecord(aPool, aDemand) }, aActions);
  }
}

struct Lack
{
  ServiceName mPool;
  int mHosts = 0;
};

// The pool that lacks most, by what was told lately.
Lack
GreatestLack(const FleetLog& aLog, const RebalanceSettings& aSettings, TimePoint aNow)
{
  Lack greatest;
  for (const auto& [pool, demand] : aLog.mDemands) {
    if (aNow - demand.mAt > kDemandLifetime) {
      continue;
    }
    auto lack = LackOf(demand) - CountComing(aLog, aSettings, pool, demand.mAt);
    if (lack > greatest.mHosts) {
      greatest = { pool, lack };
    }
  }
  return greatest;
}

bool
IsIdle(const Shard& aShard, const Machine& aMachine, Instant aNow)
{
  auto found = aShard.mExecutors.find(aMachine.mExecutor);
  return found != aShard.mExecutors.end() && IsUsable(found->second, aNow) &&
         found->second.mRuns.empty();
}

// A wave has taken the host down, or is about to.
bool
IsDown(const FleetLog& aLog, const MachineId& aMachine)
{
  return std::any_of(aLog.mUpkeeps.begin(), aLog.mUpkeeps.end(), [&](const auto& aEntry) {
    return aEntry.first.mMachine == aMachine && aEntry.second.mPhase == UpkeepPhase::Begun;
  });
}

// Hosts of the pool that may go now, no more than it can spare.
std::vector<MachineId>
SpareHosts(const FleetContext& aContext,
           const Rebalance& aRebalance,
           const Shard& aShard,
           const Service& aPool,
           int aSpare,
           Instant aNow)
{
  std::vector<MachineId> hosts;
  for (const auto& [id, machine] : aContext.mMachines->mMachines) {
    if (static_cast<int>(hosts.size()) >= aSpare) {
      break;
    }
    auto isHere = machine.mPool == aPool.mName && machine.mState == MachineState::Up;
    auto isFree = aPool.mStandby || IsIdle(aShard, machine, aNow);
    if (isHere && isFree && !aRebalance.mTasks.contains(id) && !IsDown(*aContext.mLog, id) &&
        MayOrder(aContext, aShard, id, aNow)) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

int
CountSpare(const FleetContext& aContext, const Shard& aShard, const Service& aPool, const Now& aNow)
{
  if (aPool.mStandby) {
    return static_cast<int>(aContext.mMachines->mMachines.size());
  }
  auto demand = DemandOf(aShard, aPool.mName, aNow);
  return demand.mPresent - demand.mWanted;
}

void
SetVacating(const FleetContext& aContext, const MachineId& aMachine, Vacating aVacating)
{
  const auto* machine = FindMachine(*aContext.mMachines, aMachine);
  auto* shard = machine == nullptr ? nullptr : FindShard(aContext, machine->mPool);
  if (shard == nullptr) {
    return;
  }
  auto found = shard->mExecutors.find(machine->mExecutor);
  if (found != shard->mExecutors.end()) {
    found->second.mVacating = aVacating;
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
  auto lack = GreatestLack(*aContext.mLog, aSettings, aNow.mWall);
  if (lack.mHosts <= 0 || !MayAppend(*aContext.mLog)) {
    return;
  }
  std::vector<LogRecord> records;
  for (const auto& pool : aServices) {
    auto* shard = FindShard(aContext, pool.mName);
    if (pool.mName == lack.mPool || shard == nullptr) {
      continue;
    }
    auto room = lack.mHosts - static_cast<int>(records.size());
    auto spare = std::min(room, CountSpare(aContext, *shard, pool, aNow));
    for (const auto& id : SpareHosts(aContext, aRebalance, *shard, pool, spare, aNow.mAt)) {
      records.push_back(ToRecord(id, HostMove{ lack.mPool, aNow.mWall }));
      // Nothing is placed there from now on; if the append fails, that is taken back.
      SetVacating(aContext, id, Vacating::ForMove);
      aRebalance.mTasks[id] = { lack.mPool, shard->mEpoch };
    }
  }
  if (!records.empty()) {
    AppendIfUnchanged(*aContext.mLog, std::move(records), aActions);
  }
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
    return !isOwned || (task.mOrdered && aNow.mAt > task.mGiveUpAt);
  });
  for (auto& [id, task] : aRebalance.mTasks) {
    auto isDue = task.mFence != 0 && !task.mOrdered && !task.mCallPending;
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
    SetVacating(aContext, aAnswer.mCall.mMachine, Vacating::No);
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
  auto isKnown = aContext.mLog->mLoaded && aContext.mMachines->mIsKnown;
  if (!isKnown || aNow.mAt < aRebalance.mNextCheckAt) {
    return;
  }
  aRebalance.mNextCheckAt = aNow.mAt + kCheckInterval;
  // An append that was not stored is forgotten, and its hosts take work again.
  if (MayAppend(*aContext.mLog)) {
    std::erase_if(aRebalance.mTasks, [&](const auto& aEntry) {
      auto isForgotten = aEntry.second.mFence == 0;
      if (isForgotten) {
        SetVacating(aContext, aEntry.first, Vacating::No);
      }
      return isForgotten;
    });
  }
  for (const auto& pool : aServices) {
    const auto* shard = FindShard(aContext, pool.mName);
    if (shard != nullptr && !pool.mStandby) {
      Publish(aRebalance, pool.mName, DemandOf(*shard, pool.mName, aNow), aNow, aActions);
    }
  }
  GiveHosts(aRebalance, aSettings, aNow, aContext, aServices, aActions);
  OrderMoves(aRebalance, aNow, aContext, aActions);
}

}
