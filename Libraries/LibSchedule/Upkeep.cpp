#include "LibSchedule/Upkeep.h"

#include "LibSchedule/HostOrders.h"
#include "LibSchedule/WaveDrain.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 200ms;

int
CountHostsInUpkeep(const FleetContext& aContext, std::int64_t aWave)
{
  int count = 0;
  for (const auto& [key, record] : aContext.mLog->mUpkeeps) {
    auto isDown = key.mWave == aWave && record.mPhase == UpkeepPhase::Begun &&
                  FindMachine(*aContext.mMachines, key.mMachine) != nullptr;
    count += isDown ? 1 : 0;
  }
  return count;
}

// Whether each host of the wave has finished its maintenance or is no longer listed.
bool
IsWaveDone(const FleetContext& aContext, const Wave& aWave)
{
  return std::all_of(aWave.mMachines.begin(), aWave.mMachines.end(), [&](const MachineId& aId) {
    return IsUpkeepFinished(*aContext.mLog, { aWave.mNumber, aId }) ||
           FindMachine(*aContext.mMachines, aId) == nullptr;
  });
}

// Whether a list that was requested after the order was acknowledged shows the host up.
bool
HasReturned(const FleetContext& aContext, const Machine& aMachine, const UpkeepOrder& aOrder)
{
  return aOrder.mAcknowledged && aMachine.mState == MachineState::Up &&
         aContext.mMachines->mRequestedAt > aOrder.mAcknowledgedAt;
}

void
SendUpkeepOrder(UpkeepOrder& aOrder,
                const Now& aNow,
                const UpkeepKey& aKey,
                const Shard& aShard,
                Actions& aActions)
{
  if (aOrder.mCallPending || aOrder.mAcknowledged || aNow.mAt < aOrder.mRetryAt) {
    return;
  }
  aOrder.mCallPending = true;
  aActions.emplace_back(
    MaintenanceCall{ aKey.mMachine, aKey.mWave, aOrder.mFence, aShard.mPartition });
}

bool
IsDrained(const Shard& aShard, const ExecutorId& aId)
{
  auto found = aShard.mExecutors.find(aId);
  return found == aShard.mExecutors.end() ||
         (found->second.mDrainReason == DrainReason::ForUpkeep && found->second.mRuns.empty());
}

// Advances the maintenance of one host: drained, recorded, ordered, returned. aDown counts the
// hosts that are down for the wave, including those whose record is in the batch.
void
AdvanceMachine(Upkeep& aUpkeep,
               const Now& aNow,
               const FleetContext& aContext,
               const Wave& aWave,
               const Machine& aMachine,
               const Shard& aShard,
               int& aDown,
               Actions& aActions)
{
  UpkeepKey key{ aWave.mNumber, aMachine.mId };
  if (IsUpkeepFinished(*aContext.mLog, key)) {
    return;
  }
  auto& order = aUpkeep.mOrders[key];
  if (order.mEpoch != aShard.mEpoch) {
    order = {};
    order.mEpoch = aShard.mEpoch;
  }
  // This owner may send an order that it has recorded: no other owner has recorded one since.
  auto mayOrder = order.mFence != 0 ? detail::MayActAsOwner(aShard, aNow.mAt)
                                    : MayOrder(aContext, aShard, aMachine.mId, aNow);
  if (!mayOrder) {
    return;
  }
  if (order.mFence != 0) {
    if (!HasReturned(aContext, aMachine, order)) {
      // Another executor may have started on the host since the record, and taken work.
      if (IsDrained(aShard, aMachine.mExecutor)) {
        SendUpkeepOrder(order, aNow, key, aShard, aActions);
      }
    } else if (MayAppend(*aContext.mLog, aMachine.mId)) {
      auto record = ToRecord(key, { UpkeepPhase::Finished, aMachine.mExecutor, aNow.mWall });
      AddToBatch(*aContext.mLog, aMachine.mId, std::move(record));
    }
    return;
  }
  if (!MayAppend(*aContext.mLog, aMachine.mId)) {
    return;
  }
  // A host that a former owner has recorded already counts towards the wave's limit, but tasks may
  // run on it again.
  auto isRecorded = FindUpkeep(*aContext.mLog, key) != nullptr;
  auto hasPlace = isRecorded || aDown < aWave.mMaxConcurrent;
  auto isIdle =
    IsDrained(aShard, aMachine.mExecutor) && !IsMoving(*aContext.mLog, aMachine.mId, aNow.mWall);
  auto isDown = isRecorded && aMachine.mState == MachineState::Upkeep;
  if (isDown || (aMachine.mState == MachineState::Up && isIdle && hasPlace)) {
    aDown += isRecorded ? 0 : 1;
    AddToBatch(*aContext.mLog,
               aMachine.mId,
               ToRecord(key, { UpkeepPhase::Begun, aMachine.mExecutor, aNow.mWall }));
  }
}

void
ReportWave(Upkeep& aUpkeep,
           const Now& aNow,
           const FleetContext& aContext,
           const Wave& aWave,
           Actions& aActions)
{
  if (aUpkeep.mPendingReport || aNow.mAt < aUpkeep.mNextReportAt) {
    return;
  }
  auto isDone = IsWaveDone(aContext, aWave);
  auto reported = aUpkeep.mReported.find(aWave.mNumber);
  if (reported != aUpkeep.mReported.end() && (reported->second || !isDone)) {
    return;
  }
  aUpkeep.mPendingReport = WaveStatusCall{ aWave.mNumber, isDone };
  aActions.emplace_back(*aUpkeep.mPendingReport);
}

}

bool
HasOpenWave(const Upkeep& aUpkeep, const std::map<std::int64_t, Wave>& aWaves)
{
  return std::any_of(aWaves.begin(), aWaves.end(), [&](const auto& aEntry) {
    auto reported = aUpkeep.mReported.find(aEntry.first);
    return reported == aUpkeep.mReported.end() || !reported->second;
  });
}

void
OnUpkeepRecorded(Upkeep& aUpkeep, const AppendAnswer& aAnswer, Actions& aActions)
{
  FleetLog stored;
  auto offset = aAnswer.mOffset;
  for (const auto& record : aAnswer.mCall.mRecords) {
    // The token is the offset plus 1: offsets begin at 0, and a missing token counts as 0.
    ++offset;
    stored.mUpkeeps.clear();
    if (!ApplyFleetRecord(stored, record.mKey, record.mValue).ok() || stored.mUpkeeps.empty()) {
      continue;
    }
    const auto& [key, upkeep] = *stored.mUpkeeps.begin();
    auto isOver = upkeep.mPhase == UpkeepPhase::Finished;
    if (!isOver) {
      aUpkeep.mOrders[key].mFence = offset;
    }
    LogEntry entry{ LogLevel::Info, "upkeep-recorded", {}, key.mMachine.mValue };
    entry.mOutcome = isOver ? "over" : "begun";
    entry.mVersion = offset;
    aActions.emplace_back(std::move(entry));
  }
}

void
OnUpkeepAnswer(Upkeep& aUpkeep,
               const Now& aNow,
               const MaintenanceAnswer& aAnswer,
               Actions& aActions)
{
  auto& order = aUpkeep.mOrders[{ aAnswer.mCall.mWave, aAnswer.mCall.mMachine }];
  order.mCallPending = false;
  order.mAcknowledged = aAnswer.mResult == CallResult::Done;
  order.mAcknowledgedAt = aNow.mAt;
  order.mRetryAt = aNow.mAt + kRetryPause;
  LogEntry entry{ LogLevel::Info, "upkeep-ordered", {}, aAnswer.mCall.mMachine.mValue };
  entry.mOutcome = NameOf(aAnswer.mResult);
  entry.mReason = "wave " + std::to_string(aAnswer.mCall.mWave) + " refusal " +
                  std::to_string(static_cast<int>(aAnswer.mRefusal));
  entry.mVersion = aAnswer.mCall.mFence;
  aActions.emplace_back(std::move(entry));
}

void
OnWaveStatus(Upkeep& aUpkeep, const Now& aNow, const WaveStatusAnswer& aAnswer, Actions& aActions)
{
  aUpkeep.mPendingReport.reset();
  aUpkeep.mNextReportAt = aNow.mAt + kRetryPause;
  if (aAnswer.mResult != CallResult::Done) {
    return;
  }
  aUpkeep.mReported[aAnswer.mCall.mWave] = aAnswer.mCall.mCompleted;
  LogEntry entry{ LogLevel::Info, "wave-reported", {}, std::to_string(aAnswer.mCall.mWave) };
  entry.mOutcome = aAnswer.mCall.mCompleted ? "completed" : "running";
  aActions.emplace_back(std::move(entry));
}

void
AdvanceUpkeep(Upkeep& aUpkeep, const Now& aNow, const FleetContext& aContext, Actions& aActions)
{
  if (!aContext.mLog->mHosts.mLoaded || !aContext.mMachines->mIsKnown) {
    return;
  }
  for (const auto& [number, wave] : *aContext.mWaves) {
    for (auto& [partition, shard] : *aContext.mShards) {
      if (shard.mPhase == ShardPhase::Active) {
        ChooseHostsToDrain(aUpkeep, aNow, aContext, wave, shard);
      }
    }
    auto down = CountHostsInUpkeep(aContext, number);
    for (const auto& id : wave.mMachines) {
      const auto* machine = FindMachine(*aContext.mMachines, id);
      const auto* shard = machine == nullptr ? nullptr : FindShard(aContext, machine->mPool);
      if (shard != nullptr) {
        AdvanceMachine(aUpkeep, aNow, aContext, wave, *machine, *shard, down, aActions);
      }
    }
    if (aContext.mShards->contains(aContext.mReportingShard)) {
      ReportWave(aUpkeep, aNow, aContext, wave, aActions);
    }
  }
}

}
