#include "LibSchedule/Maintenance.h"

#include "LibSchedule/HostOrders.h"
#include "LibSchedule/WaveDrain.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 200ms;

int
CountHostsInMaintenance(const FleetContext& aContext, std::int64_t aWave)
{
  int count = 0;
  for (const auto& [key, record] : aContext.mLog->mMaintenanceRecords) {
    auto isDown = key.mWave == aWave && record.mPhase == MaintenancePhase::Begun &&
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
    return IsMaintenanceFinished(*aContext.mLog, { aWave.mNumber, aId }) ||
           IsGone(*aContext.mMachines, aId);
  });
}

// Whether a list that was requested after the order was acknowledged shows the host up.
bool
HasReturned(const FleetContext& aContext, const Machine& aMachine, const MaintenanceOrder& aOrder)
{
  return aOrder.mAcknowledged && aMachine.mState == MachineState::Up &&
         aContext.mMachines->mRequestedAt > aOrder.mAcknowledgedAt;
}

void
SendMaintenanceOrder(MaintenanceOrder& aOrder,
                     const Now& aNow,
                     const MaintenanceKey& aKey,
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
         (found->second.mDrainReason == DrainReason::ForMaintenance && found->second.mRuns.empty());
}

// Advances the maintenance of one host: drained, recorded, ordered, returned. aDown counts the
// hosts that are down for the wave, including those whose record is in the batch.
void
AdvanceMachine(Maintenance& aMaintenance,
               const Now& aNow,
               const FleetContext& aContext,
               const Wave& aWave,
               const Machine& aMachine,
               const Shard& aShard,
               int& aDown,
               Actions& aActions)
{
  MaintenanceKey key{ aWave.mNumber, aMachine.mId };
  if (IsMaintenanceFinished(*aContext.mLog, key)) {
    return;
  }
  auto& order = aMaintenance.mOrders[key];
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
        SendMaintenanceOrder(order, aNow, key, aShard, aActions);
      }
    } else if (MayAppend(*aContext.mLog, aMachine.mId)) {
      auto record = ToRecord(key, { MaintenancePhase::Finished, aMachine.mExecutor, aNow.mWall });
      AddToBatch(*aContext.mLog, aMachine.mId, std::move(record));
    }
    return;
  }
  if (!MayAppend(*aContext.mLog, aMachine.mId)) {
    return;
  }
  // A host that a former owner has recorded already counts towards the wave's limit, but tasks may
  // run on it again.
  auto isRecorded = FindMaintenance(*aContext.mLog, key) != nullptr;
  auto hasPlace = isRecorded || aDown < aWave.mMaxConcurrent;
  auto isIdle =
    IsDrained(aShard, aMachine.mExecutor) && !IsMoving(*aContext.mLog, aMachine.mId, aNow.mWall);
  auto isDown = isRecorded && aMachine.mState == MachineState::Maintenance;
  if (isDown || (aMachine.mState == MachineState::Up && isIdle && hasPlace)) {
    aDown += isRecorded ? 0 : 1;
    AddToBatch(*aContext.mLog,
               aMachine.mId,
               ToRecord(key, { MaintenancePhase::Begun, aMachine.mExecutor, aNow.mWall }));
  }
}

void
ReportWave(Maintenance& aMaintenance,
           const Now& aNow,
           const FleetContext& aContext,
           const Wave& aWave,
           Actions& aActions)
{
  if (aMaintenance.mPendingReport || aNow.mAt < aMaintenance.mNextReportAt) {
    return;
  }
  auto isDone = IsWaveDone(aContext, aWave);
  auto reported = aMaintenance.mReported.find(aWave.mNumber);
  if (reported != aMaintenance.mReported.end() && (reported->second || !isDone)) {
    return;
  }
  aMaintenance.mPendingReport = WaveStatusCall{ aWave.mNumber, isDone };
  aActions.emplace_back(*aMaintenance.mPendingReport);
}

}

bool
HasOpenWave(const Maintenance& aMaintenance, const std::map<std::int64_t, Wave>& aWaves)
{
  return std::any_of(aWaves.begin(), aWaves.end(), [&](const auto& aEntry) {
    auto reported = aMaintenance.mReported.find(aEntry.first);
    return reported == aMaintenance.mReported.end() || !reported->second;
  });
}

void
OnMaintenanceRecorded(Maintenance& aMaintenance, const AppendAnswer& aAnswer, Actions& aActions)
{
  FleetLog stored;
  auto offset = aAnswer.mOffset;
  for (const auto& record : aAnswer.mCall.mRecords) {
    // The token is the offset plus 1: offsets begin at 0, and a missing token counts as 0.
    ++offset;
    stored.mMaintenanceRecords.clear();
    if (!ApplyFleetRecord(stored, record.mKey, record.mValue).ok() ||
        stored.mMaintenanceRecords.empty()) {
      continue;
    }
    const auto& [key, maintenance] = *stored.mMaintenanceRecords.begin();
    auto isOver = maintenance.mPhase == MaintenancePhase::Finished;
    if (!isOver) {
      aMaintenance.mOrders[key].mFence = offset;
    }
    LogEntry entry{ LogLevel::Info, "upkeep-recorded", {}, key.mMachine.mValue };
    entry.mOutcome = isOver ? "over" : "begun";
    entry.mVersion = offset;
    aActions.emplace_back(std::move(entry));
  }
}

void
OnMaintenanceAnswer(Maintenance& aMaintenance,
                    const Now& aNow,
                    const MaintenanceAnswer& aAnswer,
                    Actions& aActions)
{
  auto& order = aMaintenance.mOrders[{ aAnswer.mCall.mWave, aAnswer.mCall.mMachine }];
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
OnWaveStatus(Maintenance& aMaintenance,
             const Now& aNow,
             const WaveStatusAnswer& aAnswer,
             Actions& aActions)
{
  aMaintenance.mPendingReport.reset();
  aMaintenance.mNextReportAt = aNow.mAt + kRetryPause;
  if (aAnswer.mResult != CallResult::Done) {
    return;
  }
  aMaintenance.mReported[aAnswer.mCall.mWave] = aAnswer.mCall.mCompleted;
  LogEntry entry{ LogLevel::Info, "wave-reported", {}, std::to_string(aAnswer.mCall.mWave) };
  entry.mOutcome = aAnswer.mCall.mCompleted ? "completed" : "running";
  aActions.emplace_back(std::move(entry));
}

void
AdvanceMaintenance(Maintenance& aMaintenance,
                   const Now& aNow,
                   const FleetContext& aContext,
                   Actions& aActions)
{
  if (!aContext.mLog->mHostCursor.mLoaded || !aContext.mMachines->mIsKnown) {
    return;
  }
  for (const auto& [number, wave] : *aContext.mWaves) {
    for (auto& [partition, shard] : *aContext.mShards) {
      if (shard.mPhase == ShardPhase::Active) {
        ChooseHostsToDrain(aMaintenance, aNow, aContext, wave, shard);
      }
    }
    auto down = CountHostsInMaintenance(aContext, number);
    for (const auto& id : wave.mMachines) {
      const auto* machine = FindMachine(*aContext.mMachines, id);
      const auto* shard = machine == nullptr ? nullptr : FindShard(aContext, machine->mPool);
      if (shard != nullptr) {
        AdvanceMachine(aMaintenance, aNow, aContext, wave, *machine, *shard, down, aActions);
      }
    }
    if (aContext.mShards->contains(aContext.mReportingShard)) {
      ReportWave(aMaintenance, aNow, aContext, wave, aActions);
    }
  }
}

}
