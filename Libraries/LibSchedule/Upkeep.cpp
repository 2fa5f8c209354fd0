#include "LibSchedule/Upkeep.h"

#include "LibBase/Hash.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 200ms;
constexpr Duration kHolderMargin = 300ms;
// An order to move a host is not repeated for longer.
constexpr Duration kMoveOrderLifetime = 6s;
// No order is given later than this after its record: a move is given up after 3 s, a call takes 2
// s, two holders leave 3 s between their orders, and the clocks of two hosts differ by up to 3 s.
constexpr Duration kOrderMemory = 11s;
// What a busy host needs to become empty, and to be down.
constexpr Duration kTimeForOneHost = 4s;
// A wave is to be over after this share of its time, since some hosts take longer.
constexpr double kPlannedShare = 0.5;
// So many hosts with lasting tasks are emptied side by side from the start of a wave.
constexpr int kLastingAtOnce = 2;
// After this share of the time hosts that are due stay in their pools.
constexpr double kShareForMoves = 0.3;

const UpkeepRecord*
FindRecord(const FleetLog& aLog, const UpkeepKey& aKey)
{
  auto found = aLog.mUpkeeps.find(aKey);
  return found == aLog.mUpkeeps.end() ? nullptr : &found->second;
}

bool
IsOver(const FleetLog& aLog, const UpkeepKey& aKey)
{
  const auto* record = FindRecord(aLog, aKey);
  return record != nullptr && record->mPhase == UpkeepPhase::Over;
}

int
CountDown(const FleetContext& aContext, std::int64_t aWave)
{
  int count = 0;
  for (const auto& [key, record] : aContext.mLog->mUpkeeps) {
    auto isDown = key.mWave == aWave && record.mPhase == UpkeepPhase::Begun &&
                  FindMachine(*aContext.mMachines, key.mMachine) != nullptr;
    count += isDown ? 1 : 0;
  }
  return count;
}

// Every host has had its upkeep, or is not there any more.
bool
IsWaveDone(const FleetContext& aContext, const Wave& aWave)
{
  return std::all_of(aWave.mMachines.begin(), aWave.mMachines.end(), [&](const MachineId& aId) {
    return IsOver(*aContext.mLog, { aWave.mNumber, aId }) ||
           FindMachine(*aContext.mMachines, aId) == nullptr;
  });
}

// An order to move the host may be under way, or repeated.
bool
IsMoving(const FleetLog& aLog, const MachineId& aMachine, TimePoint aNow)
{
  auto found = aLog.mMoves.find(aMachine);
  return found != aLog.mMoves.end() && aNow - found->second.mAt < kMoveOrderLifetime;
}

// Every order is recorded before it is given, so that a host without a recent record has none.
bool
HasRecentOrder(const FleetLog& aLog, const MachineId& aMachine, TimePoint aNow)
{
  auto move = aLog.mMoves.find(aMachine);
  if (move != aLog.mMoves.end() && aNow - move->second.mAt < kOrderMemory) {
    return true;
  }
  return std::any_of(aLog.mUpkeeps.begin(), aLog.mUpkeeps.end(), [&](const auto& aEntry) {
    const auto& [key, record] = aEntry;
    auto mayBeOrdered = record.mPhase == UpkeepPhase::Begun || aNow - record.mAt < kOrderMemory;
    return key.mMachine == aMachine && mayBeOrdered;
  });
}

// The last order for the host was to move to where it is, and it has been away for that long since.
bool
HasArrived(const FleetContext& aContext, const MachineId& aMachine, Instant aNow)
{
  auto move = aContext.mLog->mMoves.find(aMachine);
  const auto* machine = FindMachine(*aContext.mMachines, aMachine);
  auto upSince = aContext.mMachines->mUpSince.find(aMachine);
  if (move == aContext.mLog->mMoves.end() || machine == nullptr ||
      upSince == aContext.mMachines->mUpSince.end() || machine->mPool != move->second.mTo) {
    return false;
  }
  auto hasUpkeep = std::any_of(
    aContext.mLog->mUpkeeps.begin(), aContext.mLog->mUpkeeps.end(), [&](const auto& aEntry) {
      return aEntry.first.mMachine == aMachine && aEntry.second.mAt > move->second.mAt;
    });
  auto wait = aContext.mHolderLease + kHolderMargin - aContext.mMoveTime;
  return !hasUpkeep && aNow - upSince->second > wait;
}

// A list that was asked for after the order was carried out shows the host up.
bool
IsBack(const FleetContext& aContext, const Machine& aMachine, const UpkeepTask& aTask)
{
  return aTask.mOrdered && aMachine.mState == MachineState::Up &&
         aContext.mMachines->mAskedAt > aTask.mOrderedAt;
}

void
OrderUpkeep(UpkeepTask& aTask,
            const Now& aNow,
            const UpkeepKey& aKey,
            const Shard& aShard,
            Actions& aActions)
{
  if (aTask.mCallPending || aTask.mOrdered || aNow.mAt < aTask.mRetryAt) {
    return;
  }
  aTask.mCallPending = true;
  aActions.emplace_back(UpkeepCall{ aKey.mMachine, aKey.mWave, aTask.mFence, aShard.mPartition });
}

bool
IsEmpty(const Shard& aShard, const ExecutorId& aId)
{
  auto found = aShard.mExecutors.find(aId);
  return found == aShard.mExecutors.end() ||
         (found->second.mVacating == Vacating::ForUpkeep && found->second.mRuns.empty());
}

// Follows one host through its upkeep: emptied, recorded, ordered, back. aDown counts the hosts
// that are down for the wave, with those that are about to be recorded.
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
  if (IsOver(*aContext.mLog, key) || !MayOrder(aContext, aShard, aMachine.mId, aNow)) {
    return;
  }
  auto& task = aUpkeep.mTasks[key];
  if (task.mEpoch != aShard.mEpoch) {
    task = {};
    task.mEpoch = aShard.mEpoch;
  }
  if (task.mFence != 0) {
    if (!IsBack(aContext, aMachine, task)) {
      OrderUpkeep(task, aNow, key, aShard, aActions);
    } else if (MayAppend(*aContext.mLog, aMachine.mId)) {
      auto record = ToRecord(key, { UpkeepPhase::Over, aMachine.mExecutor, aNow.mWall });
      Gather(*aContext.mLog, aMachine.mId, std::move(record));
    }
    return;
  }
  if (!MayAppend(*aContext.mLog, aMachine.mId)) {
    return;
  }
  // A host that a former owner has recorded has its place in the wave, but may be at work again.
  auto isRecorded = FindRecord(*aContext.mLog, key) != nullptr;
  auto hasPlace = isRecorded || aDown < aWave.mMaxAtOnce;
  auto isIdle =
    IsEmpty(aShard, aMachine.mExecutor) && !IsMoving(*aContext.mLog, aMachine.mId, aNow.mWall);
  auto isDown = isRecorded && aMachine.mState == MachineState::Upkeep;
  if (isDown || (aMachine.mState == MachineState::Up && isIdle && hasPlace)) {
    aDown += isRecorded ? 0 : 1;
    Gather(*aContext.mLog,
           aMachine.mId,
           ToRecord(key, { UpkeepPhase::Begun, aMachine.mExecutor, aNow.mWall }));
  }
}

// How much processor time an executor's runs take: those with least are emptied first.
std::int64_t
UsedCpu(const Executor& aExecutor)
{
  return ReservedRoom(aExecutor).mCpuMillicores;
}

struct NextHost
{
  Executor* mExecutor = nullptr;
  std::int64_t mUsedCpu = 0;
  bool mHasLasting = false;
};

struct VacatingHosts
{
  // Hosts that get no new work, those of them with lasting tasks, and those that could be next.
  int mChosen = 0;
  int mChosenWithLasting = 0;
  std::vector<NextHost> mNext;
};

bool
HasLasting(const Executor& aExecutor)
{
  return std::any_of(aExecutor.mRuns.begin(), aExecutor.mRuns.end(), [](const auto& aEntry) {
    return aEntry.second.mLasts;
  });
}

Duration
ShareOf(std::chrono::seconds aTime, double aShare)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aTime) * aShare);
}

// How many busy hosts have to be emptied side by side, so that all that are left are done in time.
int
HostsToEmptyAtOnce(const Wave& aWave, int aLeft, Instant aNow)
{
  auto until = aWave.mSeenAt + ShareOf(aWave.mTimeLimit, kPlannedShare);
  auto rounds = std::max<std::int64_t>((until - aNow) / kTimeForOneHost, 1);
  return static_cast<int>((aLeft + rounds - 1) / rounds);
}

bool
HasOrder(const Upkeep& aUpkeep, const UpkeepKey& aKey, const Shard& aShard)
{
  auto task = aUpkeep.mTasks.find(aKey);
  return task != aUpkeep.mTasks.end() && task->second.mEpoch == aShard.mEpoch &&
         task->second.mFence != 0;
}

// A host on the way to another pool stays so.
void
SetVacating(Executor& aExecutor, bool aForUpkeep)
{
  if (aExecutor.mVacating != Vacating::ForMove) {
    aExecutor.mVacating = aForUpkeep ? Vacating::ForUpkeep : Vacating::No;
  }
}

VacatingHosts
FindVacating(const Upkeep& aUpkeep, const FleetContext& aContext, const Wave& aWave, Shard& aShard)
{
  VacatingHosts vacating;
  for (const auto& id : aWave.mMachines) {
    const auto* machine = FindMachine(*aContext.mMachines, id);
    if (machine == nullptr || FindShard(aContext, machine->mPool) != &aShard) {
      continue;
    }
    auto found = aShard.mExecutors.find(machine->mExecutor);
    if (found == aShard.mExecutors.end()) {
      continue;
    }
    UpkeepKey key{ aWave.mNumber, id };
    if (FindRecord(*aContext.mLog, key) != nullptr) {
      // One that this owner has recorded is down or back by now, with another executor.
      auto isBack = HasOrder(aUpkeep, key, aShard) && found->second.mVacating == Vacating::No;
      auto needsOrder = !isBack && !IsOver(*aContext.mLog, key);
      SetVacating(found->second, needsOrder && machine->mState == MachineState::Up);
      continue;
    }
    if (found->second.mVacating == Vacating::ForUpkeep) {
      ++vacating.mChosen;
      vacating.mChosenWithLasting += HasLasting(found->second) ? 1 : 0;
    } else if (found->second.mVacating == Vacating::No && machine->mState == MachineState::Up) {
      vacating.mNext.push_back(
        { &found->second, UsedCpu(found->second), HasLasting(found->second) });
    }
  }
  return vacating;
}

// How many hosts with such work may get no new work side by side.
int
LimitFor(const NextHost& aHost, const Wave& aWave, int aBusyAtOnce)
{
  if (aHost.mExecutor->mRuns.empty()) {
    return aWave.mMaxAtOnce;
  }
  return std::min(aWave.mMaxAtOnce, aBusyAtOnce);
}

// Chooses the hosts of a shard that get no new work, so that the wave goes on as soon as its limit
// allows: idle ones at once, and as many busy ones as the time demands. A few with lasting tasks
// are among them from the start, since their steps let only some tasks be away at a time.
void
ChooseVacating(const Upkeep& aUpkeep,
               const Now& aNow,
               const FleetContext& aContext,
               const Wave& aWave,
               Shard& aShard)
{
  auto vacating = FindVacating(aUpkeep, aContext, aWave, aShard);
  auto left = vacating.mChosen + static_cast<int>(vacating.mNext.size());
  auto busyAtOnce = HostsToEmptyAtOnce(aWave, left, aNow.mAt);
  std::sort(
    vacating.mNext.begin(),
    vacating.mNext.end(),
    [](const NextHost& aLeft, const NextHost& aRight) { return aLeft.mUsedCpu < aRight.mUsedCpu; });
  for (auto& host : vacating.mNext) {
    auto isNeeded = host.mHasLasting && vacating.mChosenWithLasting < kLastingAtOnce &&
                    vacating.mChosen < aWave.mMaxAtOnce;
    if (!isNeeded && vacating.mChosen >= LimitFor(host, aWave, busyAtOnce)) {
      continue;
    }
    host.mExecutor->mVacating = Vacating::ForUpkeep;
    ++vacating.mChosen;
    vacating.mChosenWithLasting += host.mHasLasting ? 1 : 0;
  }
}

void
ReportWave(Upkeep& aUpkeep,
           const Now& aNow,
           const FleetContext& aContext,
           const Wave& aWave,
           Actions& aActions)
{
  if (aUpkeep.mReporting || aNow.mAt < aUpkeep.mNextReportAt) {
    return;
  }
  auto isDone = IsWaveDone(aContext, aWave);
  auto reported = aUpkeep.mReported.find(aWave.mNumber);
  if (reported != aUpkeep.mReported.end() && (reported->second || !isDone)) {
    return;
  }
  aUpkeep.mReporting = WaveStatusCall{ aWave.mNumber, isDone };
  aActions.emplace_back(*aUpkeep.mReporting);
}

}

int
PartitionOf(const ServiceName& aService, int aPartitions)
{
  return static_cast<int>(StableHash(aService.mValue) % static_cast<std::uint64_t>(aPartitions));
}

Shard*
FindShard(const FleetContext& aContext, const ServiceName& aPool)
{
  auto found = aContext.mShards->find(PartitionOf(aPool, aContext.mPartitions));
  if (found == aContext.mShards->end() || found->second.mPhase != ShardPhase::Active) {
    return nullptr;
  }
  return &found->second;
}

bool
MayOrder(const FleetContext& aContext,
         const Shard& aShard,
         const MachineId& aMachine,
         const Now& aNow)
{
  if (!detail::MayStart(aShard, aNow.mAt)) {
    return false;
  }
  auto wait = aContext.mHolderLease + kHolderMargin;
  auto since = aContext.mMachines->mInPoolSince.find(aMachine);
  auto isOld = aNow.mAt - aShard.mTakenOverAt > wait &&
               since != aContext.mMachines->mInPoolSince.end() && aNow.mAt - since->second > wait;
  return isOld || HasArrived(aContext, aMachine, aNow.mAt) ||
         !HasRecentOrder(*aContext.mLog, aMachine, aNow.mWall);
}

bool
StaysForUpkeep(const FleetContext& aContext, const MachineId& aMachine, Instant aNow)
{
  return std::any_of(aContext.mWaves->begin(), aContext.mWaves->end(), [&](const auto& aEntry) {
    const auto& [number, wave] = aEntry;
    auto isDue =
      std::find(wave.mMachines.begin(), wave.mMachines.end(), aMachine) != wave.mMachines.end();
    return isDue && !IsOver(*aContext.mLog, { number, aMachine }) &&
           aNow - wave.mSeenAt > ShareOf(wave.mTimeLimit, kShareForMoves);
  });
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
    // Offsets begin at 0, and a missing token counts as 0.
    ++offset;
    stored.mUpkeeps.clear();
    if (!TakeFleetRecord(stored, record.mKey, record.mValue).ok() || stored.mUpkeeps.empty()) {
      continue;
    }
    const auto& [key, upkeep] = *stored.mUpkeeps.begin();
    auto isOver = upkeep.mPhase == UpkeepPhase::Over;
    if (!isOver) {
      aUpkeep.mTasks[key].mFence = offset;
    }
    LogEntry entry{ LogLevel::Info, "upkeep-recorded", {}, key.mMachine.mValue };
    entry.mOutcome = isOver ? "over" : "begun";
    entry.mVersion = offset;
    aActions.emplace_back(std::move(entry));
  }
}

void
OnUpkeepAnswer(Upkeep& aUpkeep, const Now& aNow, const UpkeepAnswer& aAnswer, Actions& aActions)
{
  auto& task = aUpkeep.mTasks[{ aAnswer.mCall.mWave, aAnswer.mCall.mMachine }];
  task.mCallPending = false;
  task.mOrdered = aAnswer.mResult == CallResult::Done;
  task.mOrderedAt = aNow.mAt;
  task.mRetryAt = aNow.mAt + kRetryPause;
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
  aUpkeep.mReporting.reset();
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
        ChooseVacating(aUpkeep, aNow, aContext, wave, shard);
      }
    }
    auto down = CountDown(aContext, number);
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
