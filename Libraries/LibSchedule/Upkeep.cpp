#include "LibSchedule/Upkeep.h"

#include "LibBase/Hash.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 200ms;
constexpr Duration kReadInterval = 400ms;
constexpr Duration kMachinesInterval = 500ms;
constexpr Duration kHolderMargin = 300ms;
constexpr char kKeySeparator = '/';
constexpr int kOwnedPartition = 0;

std::string
KeyText(const UpkeepKey& aKey)
{
  return std::to_string(aKey.mWave) + kKeySeparator + aKey.mMachine.mValue;
}

std::optional<UpkeepKey>
ParseKey(const std::string& aText)
{
  auto separator = aText.find(kKeySeparator);
  if (separator == std::string::npos || separator == 0) {
    return std::nullopt;
  }
  UpkeepKey key;
  for (std::size_t i = 0; i < separator; ++i) {
    if (aText[i] < '0' || aText[i] > '9') {
      return std::nullopt;
    }
    constexpr int kBase = 10;
    key.mWave = key.mWave * kBase + (aText[i] - '0');
  }
  key.mMachine = MachineId(aText.substr(separator + 1));
  return key;
}

bool
IsOver(const std::string& aValue)
{
  auto record = DecodeUpkeep(aValue);
  return record.ok() && record->mPhase == UpkeepPhase::Over;
}

void
TakeRecords(Upkeep& aUpkeep, const std::vector<KeyedRecord>& aRecords)
{
  for (const auto& record : aRecords) {
    auto key = ParseKey(record.mKey);
    auto value = DecodeUpkeep(record.mValue);
    if (key && value.ok()) {
      aUpkeep.mRecords[*key] = *value;
    }
  }
}

Shard*
ShardOf(const UpkeepContext& aContext, const ServiceName& aPool)
{
  auto found = aContext.mShards->find(PartitionOf(aPool, aContext.mPartitions));
  if (found == aContext.mShards->end() || found->second.mPhase != ShardPhase::Active) {
    return nullptr;
  }
  return &found->second;
}

const Machine*
FindMachine(const Upkeep& aUpkeep, const MachineId& aId)
{
  auto found = aUpkeep.mMachines.find(aId);
  return found == aUpkeep.mMachines.end() ? nullptr : &found->second;
}

const UpkeepRecord*
FindRecord(const Upkeep& aUpkeep, const UpkeepKey& aKey)
{
  auto found = aUpkeep.mRecords.find(aKey);
  return found == aUpkeep.mRecords.end() ? nullptr : &found->second;
}

int
CountDown(const Upkeep& aUpkeep, std::int64_t aWave)
{
  return static_cast<int>(
    std::count_if(aUpkeep.mRecords.begin(), aUpkeep.mRecords.end(), [&](const auto& aEntry) {
      const auto& [key, record] = aEntry;
      return key.mWave == aWave && record.mPhase == UpkeepPhase::Begun &&
             FindMachine(aUpkeep, key.mMachine) != nullptr;
    }));
}

// Whether the host has had its upkeep, or is not there any more.
bool
IsDone(const Upkeep& aUpkeep, const UpkeepKey& aKey)
{
  const auto* record = FindRecord(aUpkeep, aKey);
  auto isOver = record != nullptr && record->mPhase == UpkeepPhase::Over;
  return isOver || FindMachine(aUpkeep, aKey.mMachine) == nullptr;
}

bool
IsWaveDone(const Upkeep& aUpkeep, const Wave& aWave)
{
  return std::all_of(aWave.mMachines.begin(), aWave.mMachines.end(), [&](const MachineId& aId) {
    return IsDone(aUpkeep, { aWave.mNumber, aId });
  });
}

bool
HasOpenWave(const Upkeep& aUpkeep, const UpkeepContext& aContext)
{
  return std::any_of(aContext.mWaves->begin(), aContext.mWaves->end(), [&](const auto& aEntry) {
    auto reported = aUpkeep.mReported.find(aEntry.first);
    return reported == aUpkeep.mReported.end() || !reported->second;
  });
}

void
ReadRecords(Upkeep& aUpkeep, const Now& aNow, Actions& aActions)
{
  if (aUpkeep.mReadPending || aNow.mAt < aUpkeep.mNextReadAt) {
    return;
  }
  aUpkeep.mReadPending = true;
  if (!aUpkeep.mLoaded) {
    NewestCall call;
    call.mStream = Stream::Upkeep;
    call.mAfterKey = aUpkeep.mPageKey;
    aActions.emplace_back(std::move(call));
    return;
  }
  ReadCall call;
  call.mStream = Stream::Upkeep;
  call.mFrom = aUpkeep.mPosition;
  aActions.emplace_back(std::move(call));
}

void
ReadMachines(Upkeep& aUpkeep, const Now& aNow, Actions& aActions)
{
  if (aUpkeep.mMachinesPending || aNow.mAt < aUpkeep.mNextMachinesAt) {
    return;
  }
  aUpkeep.mMachinesPending = true;
  if (aUpkeep.mMachinesPage.empty()) {
    aUpkeep.mMachinesSentAt = aNow.mAt;
  }
  aActions.emplace_back(MachinesCall{ aUpkeep.mMachinesPage });
}

void
AppendRecord(Upkeep& aUpkeep, const UpkeepKey& aKey, const UpkeepRecord& aRecord, Actions& aActions)
{
  AppendCall call;
  call.mStream = Stream::Upkeep;
  call.mPartition = kOwnedPartition;
  call.mRecords.push_back({ KeyText(aKey), EncodeUpkeep(aRecord) });
  call.mExpectedEnd = aUpkeep.mPosition;
  aUpkeep.mAppending = aKey;
  aUpkeep.mAppendPending = true;
  aActions.emplace_back(std::move(call));
}

// Without a call under way, so that the records are those that an append is conditional on.
bool
MayAppend(const Upkeep& aUpkeep)
{
  return aUpkeep.mLoaded && !aUpkeep.mReadPending && !aUpkeep.mAppendPending;
}

void
OrderUpkeep(Upkeep& aUpkeep,
            const Now& aNow,
            const UpkeepKey& aKey,
            const Shard& aShard,
            Actions& aActions)
{
  auto& task = aUpkeep.mTasks[aKey];
  if (task.mCallPending || task.mOrdered || aNow.mAt < task.mRetryAt) {
    return;
  }
  task.mCallPending = true;
  aActions.emplace_back(UpkeepCall{ aKey.mMachine, aKey.mWave, aShard.mEpoch, aShard.mPartition });
}

bool
MayOrder(const Upkeep& aUpkeep, const Shard& aShard, const MachineId& aMachine, Instant aNow)
{
  auto wait = aUpkeep.mSettings.mHolderLease + kHolderMargin;
  auto since = aUpkeep.mInPoolSince.find(aMachine);
  return aNow - aShard.mTakenOverAt > wait && since != aUpkeep.mInPoolSince.end() &&
         detail::MayStart(aShard, aNow);
}

// A host that comes back runs another executor. In a reserve that is switched off it runs none, and
// a list that was asked for after the order has to show it up.
bool
IsBack(const Upkeep& aUpkeep,
       const Machine& aMachine,
       const UpkeepRecord& aRecord,
       const UpkeepTask& aTask)
{
  if (aMachine.mState != MachineState::Up) {
    return false;
  }
  if (!aRecord.mFormerExecutor.IsEmpty()) {
    return !aMachine.mExecutor.IsEmpty() && aMachine.mExecutor != aRecord.mFormerExecutor;
  }
  return aTask.mOrdered && aUpkeep.mMachinesAskedAt > aTask.mOrderedAt;
}

// Follows one host through its upkeep: emptied, recorded, ordered, back.
void
AdvanceMachine(Upkeep& aUpkeep,
               const Now& aNow,
               const Wave& aWave,
               const Machine& aMachine,
               Shard& aShard,
               Actions& aActions)
{
  UpkeepKey key{ aWave.mNumber, aMachine.mId };
  const auto* record = FindRecord(aUpkeep, key);
  if (record != nullptr && record->mPhase == UpkeepPhase::Over) {
    return;
  }
  if (!MayOrder(aUpkeep, aShard, aMachine.mId, aNow.mAt)) {
    return;
  }
  if (record != nullptr) {
    auto isBack = IsBack(aUpkeep, aMachine, *record, aUpkeep.mTasks[key]);
    if (isBack && MayAppend(aUpkeep)) {
      AppendRecord(aUpkeep, key, { UpkeepPhase::Over, record->mFormerExecutor }, aActions);
    } else if (!isBack) {
      OrderUpkeep(aUpkeep, aNow, key, aShard, aActions);
    }
    return;
  }
  auto executor = aShard.mExecutors.find(aMachine.mExecutor);
  auto isEmpty = executor == aShard.mExecutors.end() ||
                 (executor->second.mVacating && executor->second.mRuns.empty());
  auto isUp = aMachine.mState == MachineState::Up;
  if (isUp && isEmpty && MayAppend(aUpkeep) &&
      CountDown(aUpkeep, aWave.mNumber) < aWave.mMaxAtOnce) {
    AppendRecord(aUpkeep, key, { UpkeepPhase::Begun, aMachine.mExecutor }, aActions);
  }
}

// How much processor time an executor's runs take: those with least are emptied first.
std::int64_t
UsedCpu(const Executor& aExecutor)
{
  return ReservedRoom(aExecutor).mCpuMillicores;
}

// Chooses the hosts of a shard that get no new work, so that the wave goes on as soon as its limit
// allows.
void
ChooseVacating(Upkeep& aUpkeep, const Wave& aWave, Shard& aShard, const UpkeepContext& aContext)
{
  std::vector<Executor*> waiting;
  auto chosen = 0;
  for (const auto& id : aWave.mMachines) {
    const auto* machine = FindMachine(aUpkeep, id);
    if (machine == nullptr || ShardOf(aContext, machine->mPool) != &aShard) {
      continue;
    }
    const auto* record = FindRecord(aUpkeep, { aWave.mNumber, id });
    auto executor = aShard.mExecutors.find(machine->mExecutor);
    if (executor == aShard.mExecutors.end()) {
      continue;
    }
    auto isOver = record != nullptr && record->mPhase == UpkeepPhase::Over;
    if (isOver) {
      executor->second.mVacating = false;
    } else if (executor->second.mVacating) {
      ++chosen;
    } else if (machine->mState == MachineState::Up) {
      waiting.push_back(&executor->second);
    }
  }
  if (chosen >= aWave.mMaxAtOnce || waiting.empty()) {
    return;
  }
  auto least = std::min_element(
    waiting.begin(), waiting.end(), [](const Executor* aLeft, const Executor* aRight) {
      return UsedCpu(*aLeft) < UsedCpu(*aRight);
    });
  auto isIdle = (*least)->mRuns.empty();
  if (chosen == 0 || isIdle) {
    (*least)->mVacating = true;
  }
}

void
ReportWave(Upkeep& aUpkeep, const Now& aNow, const Wave& aWave, Actions& aActions)
{
  if (aUpkeep.mReporting || aNow.mAt < aUpkeep.mNextReportAt) {
    return;
  }
  auto isDone = IsWaveDone(aUpkeep, aWave);
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

void
OnUpkeepRead(Upkeep& aUpkeep, const Now& aNow, const ReadAnswer& aAnswer)
{
  aUpkeep.mReadPending = false;
  aUpkeep.mNextReadAt =
    aNow.mAt + (aAnswer.mResult == CallResult::Done ? kReadInterval : kRetryPause);
  if (aAnswer.mTrimmed) {
    aUpkeep.mLoaded = false;
    aUpkeep.mPageKey.clear();
    aUpkeep.mPagedEnd = -1;
    aUpkeep.mNextReadAt = aNow.mAt;
    return;
  }
  if (aAnswer.mResult == CallResult::Done) {
    TakeRecords(aUpkeep, aAnswer.mRecords);
    if (!aAnswer.mRecords.empty()) {
      aUpkeep.mPosition = aAnswer.mRecords.back().mOffset + 1;
    }
  }
}

void
OnUpkeepNewest(Upkeep& aUpkeep, const Now& aNow, const NewestAnswer& aAnswer)
{
  aUpkeep.mReadPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    aUpkeep.mNextReadAt = aNow.mAt + kRetryPause;
    return;
  }
  if (aUpkeep.mPagedEnd < 0) {
    aUpkeep.mPagedEnd = aAnswer.mEnd;
  }
  TakeRecords(aUpkeep, aAnswer.mRecords);
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    aUpkeep.mPageKey = aAnswer.mRecords.back().mKey;
    return;
  }
  aUpkeep.mLoaded = true;
  aUpkeep.mPosition = aUpkeep.mPagedEnd;
}

void
OnUpkeepAppend(Upkeep& aUpkeep, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions)
{
  aUpkeep.mAppendPending = false;
  aUpkeep.mAppending.reset();
  if (aAnswer.mResult == CallResult::Done) {
    TakeRecords(aUpkeep, { { aAnswer.mCall.mRecords[0].mKey, aAnswer.mCall.mRecords[0].mValue } });
    aUpkeep.mPosition = aAnswer.mOffset + 1;
    LogEntry entry{ LogLevel::Info, "upkeep-recorded", {}, aAnswer.mCall.mRecords[0].mKey };
    entry.mOutcome = IsOver(aAnswer.mCall.mRecords[0].mValue) ? "over" : "begun";
    entry.mVersion = aAnswer.mOffset;
    aActions.emplace_back(std::move(entry));
    return;
  }
  // What others have appended, or whether this record is there, shows the next read.
  aUpkeep.mNextReadAt = aNow.mAt;
}

void
OnMachines(Upkeep& aUpkeep, const Now& aNow, const MachinesAnswer& aAnswer)
{
  aUpkeep.mMachinesPending = false;
  aUpkeep.mNextMachinesAt = aNow.mAt + kMachinesInterval;
  if (aAnswer.mResult != CallResult::Done) {
    aUpkeep.mMachinesPage.clear();
    aUpkeep.mPageOfMachines.clear();
    return;
  }
  for (const auto& machine : aAnswer.mMachines) {
    aUpkeep.mPageOfMachines[machine.mId] = machine;
  }
  aUpkeep.mMachinesPage = aAnswer.mNextPage;
  if (!aAnswer.mNextPage.empty()) {
    aUpkeep.mNextMachinesAt = aNow.mAt;
    return;
  }
  for (const auto& [id, machine] : aUpkeep.mPageOfMachines) {
    const auto* known = FindMachine(aUpkeep, id);
    if (known == nullptr || known->mPool != machine.mPool) {
      aUpkeep.mInPoolSince[id] = aNow.mAt;
    }
  }
  aUpkeep.mMachines.swap(aUpkeep.mPageOfMachines);
  aUpkeep.mPageOfMachines.clear();
  aUpkeep.mMachinesKnown = true;
  aUpkeep.mMachinesAskedAt = aUpkeep.mMachinesSentAt;
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
  entry.mOutcome = aAnswer.mResult == CallResult::Done      ? "done"
                   : aAnswer.mResult == CallResult::Refused ? "refused"
                                                            : "unanswered";
  entry.mReason = "wave " + std::to_string(aAnswer.mCall.mWave) + " refusal " +
                  std::to_string(static_cast<int>(aAnswer.mRefusal));
  entry.mVersion = aAnswer.mCall.mEpoch;
  aActions.emplace_back(std::move(entry));
}

void
OnWaveStatus(Upkeep& aUpkeep, const Now& aNow, const WaveStatusAnswer& aAnswer, Actions& aActions)
{
  aUpkeep.mReporting.reset();
  if (aAnswer.mResult == CallResult::Done) {
    aUpkeep.mReported[aAnswer.mCall.mWave] = aAnswer.mCall.mCompleted;
    LogEntry entry{ LogLevel::Info, "wave-reported", {}, std::to_string(aAnswer.mCall.mWave) };
    entry.mOutcome = aAnswer.mCall.mCompleted ? "completed" : "running";
    aActions.emplace_back(std::move(entry));
  }
  aUpkeep.mNextReportAt = aNow.mAt + kRetryPause;
}

void
AdvanceUpkeep(Upkeep& aUpkeep, const Now& aNow, const UpkeepContext& aContext, Actions& aActions)
{
  if (aContext.mShards->empty() || !HasOpenWave(aUpkeep, aContext)) {
    return;
  }
  if (!aUpkeep.mAppendPending) {
    ReadRecords(aUpkeep, aNow, aActions);
  }
  ReadMachines(aUpkeep, aNow, aActions);
  if (!aUpkeep.mLoaded || !aUpkeep.mMachinesKnown) {
    return;
  }
  for (const auto& [number, wave] : *aContext.mWaves) {
    for (auto& [partition, shard] : *aContext.mShards) {
      if (shard.mPhase == ShardPhase::Active) {
        ChooseVacating(aUpkeep, wave, shard, aContext);
      }
    }
    for (const auto& id : wave.mMachines) {
      const auto* machine = FindMachine(aUpkeep, id);
      auto* shard = machine == nullptr ? nullptr : ShardOf(aContext, machine->mPool);
      if (shard != nullptr) {
        AdvanceMachine(aUpkeep, aNow, wave, *machine, *shard, aActions);
      }
    }
    if (aContext.mShards->contains(aContext.mReportingShard)) {
      ReportWave(aUpkeep, aNow, wave, aActions);
    }
  }
}

}
