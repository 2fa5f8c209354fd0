#include "LibSchedule/FleetLog.h"

#include "LibSchedule/Generated/schedule_types.h"
#include "LibSchedule/RecordCodec.h"

#include <charconv>
#include <utility>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 200ms;
// Reads wait for new records, so that demands are seen at once.
constexpr std::chrono::milliseconds kLongPoll = 1500ms;
constexpr std::string_view kMaintenancePrefix = "upkeep/";
constexpr std::string_view kDemandPrefix = "demand/";
constexpr std::string_view kMovePrefix = "move/";

TimePoint
FromUnixMilliseconds(std::int64_t aTime)
{
  return TimePoint(std::chrono::milliseconds(aTime));
}

std::int64_t
UnixMilliseconds(TimePoint aTime)
{
  return ToMilliseconds(aTime.time_since_epoch()).count();
}

absl::Status
UnreadableKeyError(std::string_view aKey)
{
  return MakeError(ErrorKind::RecordUnreadable, "key " + std::string(aKey));
}

absl::StatusOr<MaintenanceKey>
ParseMaintenanceKey(std::string_view aText)
{
  MaintenanceKey key;
  auto result = std::from_chars(aText.data(), aText.data() + aText.size(), key.mWave);
  auto length = static_cast<std::size_t>(result.ptr - aText.data());
  if (result.ec != std::errc() || length >= aText.size() || aText[length] != '/') {
    return UnreadableKeyError(aText);
  }
  key.mMachine = MachineId(std::string(aText.substr(length + 1)));
  return key;
}

absl::Status
ApplyMaintenance(FleetLog& aLog, std::string_view aName, std::string_view aValue)
{
  auto key = TRY(ParseMaintenanceKey(aName));
  auto record = TRY(detail::Decode<record::Upkeep>(aValue));
  auto phase = record.phase == 0 ? MaintenancePhase::Begun : MaintenancePhase::Finished;
  aLog.mMaintenanceRecords[key] = { phase,
                                    ExecutorId(std::move(record.former_executor)),
                                    FromUnixMilliseconds(record.at_ms) };
  ++aLog.mMaintenanceChanges;
  ++aLog.mHostChanges;
  return absl::OkStatus();
}

absl::Status
ApplyDemand(FleetLog& aLog, std::string_view aName, std::string_view aValue)
{
  auto record = TRY(detail::Decode<record::PoolDemand>(aValue));
  aLog.mDemands[ServiceName(std::string(aName))] = { record.wanted,
                                                     record.present,
                                                     FromUnixMilliseconds(record.at_ms),
                                                     record.idle,
                                                     FromUnixMilliseconds(record.lacked_at_ms) };
  return absl::OkStatus();
}

absl::Status
ApplyMove(FleetLog& aLog, std::string_view aName, std::string_view aValue)
{
  MachineId machine{ std::string(aName) };
  ++aLog.mHostChanges;
  if (aValue.empty()) {
    aLog.mMoves.erase(machine);
    return absl::OkStatus();
  }
  auto record = TRY(detail::Decode<record::HostMove>(aValue));
  aLog.mMoves[machine] = { ServiceName(std::move(record.to)), FromUnixMilliseconds(record.at_ms) };
  return absl::OkStatus();
}

void
ApplyRecord(FleetLog& aLog, const KeyedRecord& aRecord, Actions& aActions)
{
  auto status = ApplyFleetRecord(aLog, aRecord.mKey, aRecord.mValue);
  if (status.ok()) {
    return;
  }
  LogEntry entry{ LogLevel::Warning, "record-unreadable", {}, aRecord.mKey };
  entry.mReason = std::string(status.message());
  entry.mVersion = aRecord.mOffset;
  aActions.emplace_back(std::move(entry));
}

void
ResetCursor(FleetLogCursor& aCursor)
{
  aCursor.mLoaded = false;
  aCursor.mPageKey.clear();
  aCursor.mPagedEnd = -1;
}

FleetLogCursor&
CursorOf(FleetLog& aLog, int aPartition)
{
  return aPartition == aLog.mHostCursor.mPartition ? aLog.mHostCursor : aLog.mDemandCursor;
}

void
SendRead(FleetLogCursor& aCursor, const Now& aNow, Actions& aActions)
{
  if (aCursor.mReadPending || aNow.mAt < aCursor.mNextReadAt) {
    return;
  }
  aCursor.mReadPending = true;
  if (!aCursor.mLoaded) {
    ReadNewestCall call;
    call.mStream = Stream::Fleet;
    call.mPartition = aCursor.mPartition;
    call.mAfterKey = aCursor.mPageKey;
    aActions.emplace_back(std::move(call));
    return;
  }
  ReadCall call;
  call.mStream = Stream::Fleet;
  call.mPartition = aCursor.mPartition;
  call.mFrom = aCursor.mPosition;
  call.mWait = kLongPoll;
  aActions.emplace_back(call);
}

LogRecord
DemandRecord(const ServiceName& aPool, const PoolDemand& aDemand)
{
  record::PoolDemand out;
  out.wanted = aDemand.mWanted;
  out.present = aDemand.mPresent;
  out.at_ms = UnixMilliseconds(aDemand.mAt);
  out.__set_idle(aDemand.mIdle);
  out.__set_lacked_at_ms(UnixMilliseconds(aDemand.mLastShortageAt));
  return { std::string(kDemandPrefix) + aPool.mValue, detail::Encode(out) };
}

AppendCall
FleetAppend(const FleetLogCursor& aCursor, std::vector<LogRecord> aRecords)
{
  AppendCall call;
  call.mStream = Stream::Fleet;
  call.mPartition = aCursor.mPartition;
  call.mRecords = std::move(aRecords);
  return call;
}

}

LogRecord
ToRecord(const MaintenanceKey& aKey, const MaintenanceRecord& aRecord)
{
  record::Upkeep out;
  out.phase = static_cast<std::int32_t>(aRecord.mPhase);
  out.former_executor = aRecord.mFormerExecutor.mValue;
  out.__set_at_ms(UnixMilliseconds(aRecord.mAt));
  auto key =
    std::string(kMaintenancePrefix) + std::to_string(aKey.mWave) + "/" + aKey.mMachine.mValue;
  return { std::move(key), detail::Encode(out) };
}

LogRecord
ToRecord(const MachineId& aMachine, const HostMove& aMove)
{
  record::HostMove out;
  out.to = aMove.mTo.mValue;
  out.at_ms = UnixMilliseconds(aMove.mAt);
  return { std::string(kMovePrefix) + aMachine.mValue, detail::Encode(out) };
}

LogRecord
MoveTombstone(const MachineId& aMachine)
{
  return { std::string(kMovePrefix) + aMachine.mValue, {} };
}

const MaintenanceRecord*
FindMaintenance(const FleetLog& aLog, const MaintenanceKey& aKey)
{
  auto found = aLog.mMaintenanceRecords.find(aKey);
  return found == aLog.mMaintenanceRecords.end() ? nullptr : &found->second;
}

std::vector<const MaintenanceRecord*>
MaintenanceOf(const FleetLog& aLog, const MachineId& aMachine)
{
  std::vector<const MaintenanceRecord*> records;
  const auto& all = aLog.mMaintenanceRecords;
  for (auto wave = all.begin(); wave != all.end();) {
    auto number = wave->first.mWave;
    if (const auto* record = FindMaintenance(aLog, { number, aMachine })) {
      records.push_back(record);
    }
    wave = all.lower_bound({ number + 1, MachineId() });
  }
  return records;
}

bool
IsMaintenanceFinished(const FleetLog& aLog, const MaintenanceKey& aKey)
{
  const auto* record = FindMaintenance(aLog, aKey);
  return record != nullptr && record->mPhase == MaintenancePhase::Finished;
}

absl::Status
ApplyFleetRecord(FleetLog& aLog, std::string_view aKey, std::string_view aValue)
{
  if (aKey.starts_with(kMaintenancePrefix)) {
    return ApplyMaintenance(aLog, aKey.substr(kMaintenancePrefix.size()), aValue);
  }
  if (aKey.starts_with(kDemandPrefix)) {
    return ApplyDemand(aLog, aKey.substr(kDemandPrefix.size()), aValue);
  }
  if (aKey.starts_with(kMovePrefix)) {
    return ApplyMove(aLog, aKey.substr(kMovePrefix.size()), aValue);
  }
  return UnreadableKeyError(aKey);
}

void
OnFleetRead(FleetLog& aLog, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions)
{
  auto& cursor = CursorOf(aLog, aAnswer.mCall.mPartition);
  cursor.mReadPending = false;
  if (aAnswer.mTrimmed) {
    ResetCursor(cursor);
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    cursor.mNextReadAt = aNow.mAt + kRetryPause;
    return;
  }
  for (const auto& record : aAnswer.mRecords) {
    if (record.mOffset >= cursor.mPosition) {
      ApplyRecord(aLog, record, aActions);
      cursor.mPosition = record.mOffset + 1;
    }
  }
}

void
OnFleetNewest(FleetLog& aLog, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions)
{
  auto& cursor = CursorOf(aLog, aAnswer.mCall.mPartition);
  cursor.mReadPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    cursor.mNextReadAt = aNow.mAt + kRetryPause;
    return;
  }
  if (cursor.mPagedEnd < 0) {
    cursor.mPagedEnd = aAnswer.mEnd;
  }
  for (const auto& record : aAnswer.mRecords) {
    ApplyRecord(aLog, record, aActions);
  }
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    cursor.mPageKey = aAnswer.mRecords.back().mKey;
    return;
  }
  cursor.mLoaded = true;
  cursor.mPosition = cursor.mPagedEnd;
}

bool
OnFleetAppend(FleetLog& aLog, const Now& /*aNow*/, const AppendAnswer& aAnswer, Actions& aActions)
{
  if (!aAnswer.mCall.mExpectedEnd) {
    return false;
  }
  aLog.mAppendPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    // The next read shows what others have appended, or whether these records were stored.
    return false;
  }
  if (aAnswer.mOffset != aLog.mHostCursor.mPosition) {
    // A read has returned these records before the append was answered.
    return true;
  }
  for (const auto& record : aAnswer.mCall.mRecords) {
    ApplyRecord(aLog, { record.mKey, record.mValue, aLog.mHostCursor.mPosition }, aActions);
    ++aLog.mHostCursor.mPosition;
  }
  return true;
}

void
AdvanceFleetLog(FleetLog& aLog, const Now& aNow, Actions& aActions)
{
  SendRead(aLog.mHostCursor, aNow, aActions);
  SendRead(aLog.mDemandCursor, aNow, aActions);
}

bool
MayAppend(const FleetLog& aLog)
{
  return aLog.mHostCursor.mLoaded && !aLog.mAppendPending;
}

bool
MayAppend(const FleetLog& aLog, const MachineId& aHost)
{
  return MayAppend(aLog) && !aLog.mBatchHosts.contains(aHost);
}

void
AddToBatch(FleetLog& aLog, const MachineId& aHost, LogRecord aRecord)
{
  aLog.mBatch.push_back(std::move(aRecord));
  aLog.mBatchHosts.insert(aHost);
  ++aLog.mHostChanges;
}

void
AppendBatch(FleetLog& aLog, Actions& aActions)
{
  if (aLog.mBatch.empty()) {
    return;
  }
  auto call = FleetAppend(aLog.mHostCursor, std::exchange(aLog.mBatch, {}));
  aLog.mBatchHosts.clear();
  ++aLog.mHostChanges;
  call.mExpectedEnd = aLog.mHostCursor.mPosition;
  aLog.mAppendPending = true;
  aActions.emplace_back(std::move(call));
}

void
PublishDemand(const FleetLog& aLog,
              const ServiceName& aPool,
              const PoolDemand& aDemand,
              Actions& aActions)
{
  aActions.emplace_back(FleetAppend(aLog.mDemandCursor, { DemandRecord(aPool, aDemand) }));
}

}
