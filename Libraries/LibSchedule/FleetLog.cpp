#include "LibSchedule/FleetLog.h"

#include "LibSchedule/Generated/schedule_types.h"
#include "LibSchedule/RecordCodec.h"

#include <charconv>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 200ms;
// Demands are to be seen at once.
constexpr std::chrono::milliseconds kLongPoll = 1500ms;
constexpr std::string_view kUpkeepPrefix = "upkeep/";
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
Unreadable(std::string_view aKey)
{
  return MakeError(ErrorKind::RecordUnreadable, "key " + std::string(aKey));
}

absl::StatusOr<UpkeepKey>
ParseUpkeepKey(std::string_view aText)
{
  UpkeepKey key;
  auto result = std::from_chars(aText.data(), aText.data() + aText.size(), key.mWave);
  auto length = static_cast<std::size_t>(result.ptr - aText.data());
  if (result.ec != std::errc() || length >= aText.size() || aText[length] != '/') {
    return Unreadable(aText);
  }
  key.mMachine = MachineId(std::string(aText.substr(length + 1)));
  return key;
}

absl::Status
TakeUpkeep(FleetLog& aLog, std::string_view aName, std::string_view aValue)
{
  auto key = TRY(ParseUpkeepKey(aName));
  auto record = TRY(detail::Decode<record::Upkeep>(aValue));
  auto phase = record.phase == 0 ? UpkeepPhase::Begun : UpkeepPhase::Over;
  aLog.mUpkeeps[key] = { phase, ExecutorId(std::move(record.former_executor)) };
  return absl::OkStatus();
}

absl::Status
TakeDemand(FleetLog& aLog, std::string_view aName, std::string_view aValue)
{
  auto record = TRY(detail::Decode<record::PoolDemand>(aValue));
  aLog.mDemands[ServiceName(std::string(aName))] = { record.wanted,
                                                     record.present,
                                                     FromUnixMilliseconds(record.at_ms) };
  return absl::OkStatus();
}

absl::Status
TakeMove(FleetLog& aLog, std::string_view aName, std::string_view aValue)
{
  MachineId machine{ std::string(aName) };
  if (aValue.empty()) {
    aLog.mMoves.erase(machine);
    return absl::OkStatus();
  }
  auto record = TRY(detail::Decode<record::HostMove>(aValue));
  aLog.mMoves[machine] = { ServiceName(std::move(record.to)), FromUnixMilliseconds(record.at_ms) };
  return absl::OkStatus();
}

void
TakeRecord(FleetLog& aLog, const KeyedRecord& aRecord, Actions& aActions)
{
  auto status = TakeFleetRecord(aLog, aRecord.mKey, aRecord.mValue);
  if (status.ok()) {
    return;
  }
  LogEntry entry{ LogLevel::Warning, "record-unreadable", {}, aRecord.mKey };
  entry.mReason = std::string(status.message());
  entry.mVersion = aRecord.mOffset;
  aActions.emplace_back(std::move(entry));
}

void
LoadAnew(FleetLog& aLog)
{
  aLog.mLoaded = false;
  aLog.mPageKey.clear();
  aLog.mPagedEnd = -1;
}

AppendCall
FleetAppend(std::vector<LogRecord> aRecords)
{
  AppendCall call;
  call.mStream = Stream::Fleet;
  call.mRecords = std::move(aRecords);
  return call;
}

}

LogRecord
ToRecord(const UpkeepKey& aKey, const UpkeepRecord& aRecord)
{
  record::Upkeep out;
  out.phase = static_cast<std::int32_t>(aRecord.mPhase);
  out.former_executor = aRecord.mFormerExecutor.mValue;
  auto key = std::string(kUpkeepPrefix) + std::to_string(aKey.mWave) + "/" + aKey.mMachine.mValue;
  return { std::move(key), detail::Encode(out) };
}

LogRecord
ToRecord(const ServiceName& aPool, const PoolDemand& aDemand)
{
  record::PoolDemand out;
  out.wanted = aDemand.mWanted;
  out.present = aDemand.mPresent;
  out.at_ms = UnixMilliseconds(aDemand.mAt);
  return { std::string(kDemandPrefix) + aPool.mValue, detail::Encode(out) };
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
MoveOver(const MachineId& aMachine)
{
  return { std::string(kMovePrefix) + aMachine.mValue, {} };
}

absl::Status
TakeFleetRecord(FleetLog& aLog, std::string_view aKey, std::string_view aValue)
{
  if (aKey.starts_with(kUpkeepPrefix)) {
    return TakeUpkeep(aLog, aKey.substr(kUpkeepPrefix.size()), aValue);
  }
  if (aKey.starts_with(kDemandPrefix)) {
    return TakeDemand(aLog, aKey.substr(kDemandPrefix.size()), aValue);
  }
  if (aKey.starts_with(kMovePrefix)) {
    return TakeMove(aLog, aKey.substr(kMovePrefix.size()), aValue);
  }
  return Unreadable(aKey);
}

void
OnFleetRead(FleetLog& aLog, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions)
{
  aLog.mReadPending = false;
  if (aAnswer.mTrimmed) {
    LoadAnew(aLog);
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    aLog.mNextReadAt = aNow.mAt + kRetryPause;
    return;
  }
  for (const auto& record : aAnswer.mRecords) {
    if (record.mOffset >= aLog.mPosition) {
      TakeRecord(aLog, record, aActions);
      aLog.mPosition = record.mOffset + 1;
    }
  }
}

void
OnFleetNewest(FleetLog& aLog, const Now& aNow, const NewestAnswer& aAnswer, Actions& aActions)
{
  aLog.mReadPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    aLog.mNextReadAt = aNow.mAt + kRetryPause;
    return;
  }
  if (aLog.mPagedEnd < 0) {
    aLog.mPagedEnd = aAnswer.mEnd;
  }
  for (const auto& record : aAnswer.mRecords) {
    TakeRecord(aLog, record, aActions);
  }
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    aLog.mPageKey = aAnswer.mRecords.back().mKey;
    return;
  }
  aLog.mLoaded = true;
  aLog.mPosition = aLog.mPagedEnd;
}

bool
OnFleetAppend(FleetLog& aLog, const Now& /*aNow*/, const AppendAnswer& aAnswer, Actions& aActions)
{
  if (!aAnswer.mCall.mExpectedEnd) {
    return false;
  }
  aLog.mAppendPending = false;
  if (aAnswer.mResult != CallResult::Done || aAnswer.mOffset != aLog.mPosition) {
    // What others have appended, or whether these records are there, shows the next read.
    return false;
  }
  for (const auto& record : aAnswer.mCall.mRecords) {
    TakeRecord(aLog, { record.mKey, record.mValue, aLog.mPosition }, aActions);
    ++aLog.mPosition;
  }
  return true;
}

void
AdvanceFleetLog(FleetLog& aLog, const Now& aNow, Actions& aActions)
{
  if (aLog.mReadPending || aNow.mAt < aLog.mNextReadAt) {
    return;
  }
  aLog.mReadPending = true;
  if (!aLog.mLoaded) {
    NewestCall call;
    call.mStream = Stream::Fleet;
    call.mAfterKey = aLog.mPageKey;
    aActions.emplace_back(std::move(call));
    return;
  }
  ReadCall call;
  call.mStream = Stream::Fleet;
  call.mFrom = aLog.mPosition;
  call.mWait = kLongPoll;
  aActions.emplace_back(call);
}

bool
MayAppend(const FleetLog& aLog)
{
  return aLog.mLoaded && !aLog.mAppendPending;
}

void
AppendIfUnchanged(FleetLog& aLog, std::vector<LogRecord> aRecords, Actions& aActions)
{
  auto call = FleetAppend(std::move(aRecords));
  call.mExpectedEnd = aLog.mPosition;
  aLog.mAppendPending = true;
  aActions.emplace_back(std::move(call));
}

void
AppendAnyway(std::vector<LogRecord> aRecords, Actions& aActions)
{
  aActions.emplace_back(FleetAppend(std::move(aRecords)));
}

}
