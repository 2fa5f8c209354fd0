#include "LibSchedule/Maintenance.h"

#include "LibSchedule/HostOrders.h"
#include "LibSchedule/WaveDrain.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 200ms;

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
IsDrained(const IndexedHost& aHost)
{
  const auto* executor = aHost.mExecutor;
  return executor == nullptr ||
         (executor->mDrainReason == DrainReason::ForMaintenance && executor->mRuns.empty());
}

// Returns this owner's order for the host. One from another time as the owner is void.
MaintenanceOrder&
OrderFor(Maintenance& aMaintenance, WaveHost& aHost)
{
  if (aHost.mOrder == nullptr) {
    aHost.mOrder = &aMaintenance.mOrders[aHost.mKey];
  }
  auto epoch = aHost.mHost->mShard->mEpoch;
  if (aHost.mOrder->mEpoch != epoch) {
    *aHost.mOrder = {};
    aHost.mOrder->mEpoch = epoch;
  }
  return *aHost.mOrder;
}

// Sends the order that this owner has recorded, and records that the host is back.
void
AdvanceOrder(MaintenanceOrder& aOrder,
             const Now& aNow,
             const FleetContext& aContext,
             const WaveHost& aHost,
             Actions& aActions)
{
  const auto& machine = *aHost.mHost->mMachine;
  // This owner may send an order that it has recorded: no other owner has recorded one since.
  if (!detail::MayActAsOwner(*aHost.mHost->mShard, aNow.mAt)) {
    return;
  }
  if (!HasReturned(aContext, machine, aOrder)) {
    // Another executor may have started on the host since the record, and taken work.
    if (IsDrained(*aHost.mHost)) {
      SendMaintenanceOrder(aOrder, aNow, aHost.mKey, *aHost.mHost->mShard, aActions);
    }
  } else if (MayAppend(*aContext.mLog, machine.mId)) {
    AddToBatch(*aContext.mLog,
               machine.mId,
               ToRecord(aHost.mKey, { MaintenancePhase::Finished, machine.mExecutor, aNow.mWall }));
  }
}

// Whether this owner has recorded its order for the host, and the maintenance is not finished.
bool
IsOrdered(const WaveHost& aHost)
{
  return aHost.mOrder != nullptr && aHost.mOrder->mFence != 0 &&
         aHost.mOrder->mEpoch == aHost.mHost->mShard->mEpoch && !IsMaintenanceFinished(aHost);
}

// Advances the maintenance of one host: drained, recorded, ordered, returned. aDown counts the
// hosts that are down for the wave, including those whose record is in the batch.
void
AdvanceHost(Maintenance& aMaintenance,
            const Now& aNow,
            const FleetContext& aContext,
            const Wave& aWave,
            WaveHost& aHost,
            int& aDown,
            Actions& aActions)
{
  if (IsMaintenanceFinished(aHost)) {
    return;
  }
  auto& order = OrderFor(aMaintenance, aHost);
  if (order.mFence != 0) {
    AdvanceOrder(order, aNow, aContext, aHost, aActions);
    return;
  }
  // A host that a former owner has recorded already counts towards the wave's limit, but tasks may
  // run on it again.
  auto isRecorded = aHost.mRecord != nullptr;
  auto isDrained = IsDrained(*aHost.mHost);
  if (!isRecorded && !isDrained) {
    return;
  }
  const auto& machine = *aHost.mHost->mMachine;
  if (!MayAppend(*aContext.mLog, machine.mId) || !MayOrder(aContext, *aHost.mHost, aNow)) {
    return;
  }
  auto hasPlace = isRecorded || aDown < aWave.mMaxConcurrent;
  auto isIdle = isDrained && !IsMoving(*aContext.mLog, machine.mId, aNow.mWall);
  auto isDown = isRecorded && machine.mState == MachineState::Maintenance;
  if (isDown || (machine.mState == MachineState::Up && isIdle && hasPlace)) {
    aDown += isRecorded ? 0 : 1;
    AddToBatch(*aContext.mLog,
               machine.mId,
               ToRecord(aHost.mKey, { MaintenancePhase::Begun, machine.mExecutor, aNow.mWall }));
  }
}

void
ReportWave(Maintenance& aMaintenance,
           const Now& aNow,
           const FleetContext& aContext,
           const Wave& aWave,
           IndexedWave& aIndexed,
           Actions& aActions)
{
  if (aMaintenance.mPendingReport || aNow.mAt < aMaintenance.mNextReportAt) {
    return;
  }
  auto reported = aMaintenance.mReported.find(aWave.mNumber);
  if (reported != aMaintenance.mReported.end() && reported->second) {
    return;
  }
  auto isDone = IsWaveDone(aIndexed, aContext, aWave.mNumber);
  if (reported != aMaintenance.mReported.end() && !isDone) {
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
  if (!IsFleetKnown(aContext)) {
    return;
  }
  auto& index = *aContext.mHosts;
  UpdateHostIndex(index, aContext);
  for (const auto& [number, wave] : *aContext.mWaves) {
    auto& indexed = index.mWaves.at(number);
    ChooseHostsToDrain(aMaintenance, aNow, aContext, wave, indexed);
    auto down = indexed.mDown;
    for (auto& host : indexed.mHosts) {
      AdvanceHost(aMaintenance, aNow, aContext, wave, host, down, aActions);
    }
    if (aContext.mShards->contains(aContext.mReportingShard)) {
      ReportWave(aMaintenance, aNow, aContext, wave, indexed, aActions);
    }
  }
}

void
AdvanceMaintenanceOrders(const Now& aNow, const FleetContext& aContext, Actions& aActions)
{
  if (!IsFleetKnown(aContext)) {
    return;
  }
  auto& index = *aContext.mHosts;
  UpdateHostIndex(index, aContext);
  for (auto& [number, wave] : index.mWaves) {
    for (auto& host : wave.mHosts) {
      if (IsOrdered(host)) {
        AdvanceOrder(*host.mOrder, aNow, aContext, host, aActions);
      }
    }
  }
}

}
