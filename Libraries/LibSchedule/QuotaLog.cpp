#include "LibSchedule/QuotaLog.h"

#include "LibSchedule/Generated/schedule_types.h"
#include "LibSchedule/RecordCodec.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sesameseam::schedule {

namespace {

constexpr int kPartition = 0;
constexpr Duration kRetryPause = 200ms;
// Reads wait for news for so long, since each costs a call.
constexpr std::chrono::milliseconds kLongPoll = 5000ms;
// Changes of so long go into one append.
constexpr Duration kMinAppendInterval = 30ms;
constexpr char kTenantSeparator = '/';

Resources
Least(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.mCpuMillicores, aRight.mCpuMillicores),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mGpus, aRight.mGpus) };
}

absl::Status
UnreadableKeyError(std::string_view aKey)
{
  return MakeError(ErrorKind::RecordUnreadable, "key " + std::string(aKey));
}

Allotment
FromRecord(const record::Allotment& aRecord)
{
  Allotment allotment;
  allotment.mHeld = { aRecord.held_millicores, aRecord.held_memory_mb, aRecord.held_gpus };
  allotment.mWanted = { aRecord.wanted_millicores, aRecord.wanted_memory_mb, aRecord.wanted_gpus };
  allotment.mWantedSince = aRecord.wanted_since;
  return allotment;
}

LogRecord
ToRecord(const AllotmentKey& aKey, const Allotment& aAllotment)
{
  auto key = std::to_string(aKey.mShard) + kTenantSeparator + aKey.mTenant.mValue;
  if (aAllotment == Allotment()) {
    return { std::move(key), {} };
  }
  record::Allotment out;
  const auto& [held, wanted, since] = aAllotment;
  if (held.mCpuMillicores != 0) {
    out.__set_held_millicores(held.mCpuMillicores);
  }
  if (held.mMemoryMb != 0) {
    out.__set_held_memory_mb(held.mMemoryMb);
  }
  if (held.mGpus != 0) {
    out.__set_held_gpus(held.mGpus);
  }
  if (wanted != Resources()) {
    out.__set_wanted_millicores(wanted.mCpuMillicores);
    out.__set_wanted_memory_mb(wanted.mMemoryMb);
    out.__set_wanted_gpus(wanted.mGpus);
    out.__set_wanted_since(since);
  }
  return { std::move(key), detail::Encode(out) };
}

LogRecord
ClaimRecord(int aShard, std::int64_t aEpoch)
{
  record::QuotaClaim out;
  out.epoch = aEpoch;
  return { std::to_string(aShard), detail::Encode(out) };
}

void
ApplyRecord(QuotaBook& aBook, const KeyedRecord& aRecord, Actions& aActions)
{
  auto status = ApplyQuotaRecord(aBook, aRecord.mKey, aRecord.mValue);
  if (status.ok()) {
    return;
  }
  LogEntry entry{ LogLevel::Warning, "record-unreadable", {}, aRecord.mKey };
  entry.mReason = std::string(status.message());
  entry.mVersion = aRecord.mOffset;
  aActions.emplace_back(std::move(entry));
}

void
NoteChange(QuotaLog& aLog, std::string_view aKey)
{
  auto separator = aKey.find(kTenantSeparator);
  if (separator != std::string_view::npos) {
    aLog.mChanged.insert(TenantName(std::string(aKey.substr(separator + 1))));
    return;
  }
  // A claim concerns all tenants of the shard.
  for (const auto& [tenant, allotments] : aLog.mBook.mTenants) {
    aLog.mChanged.insert(tenant);
  }
}

void
ApplyAt(QuotaLog& aLog, const KeyedRecord& aRecord, Actions& aActions)
{
  ApplyRecord(aLog.mBook, aRecord, aActions);
  NoteChange(aLog, aRecord.mKey);
  aLog.mPosition = aRecord.mOffset + 1;
}

void
SettleFloors(QuotaLog& aLog)
{
  if (aLog.mPosition <= aLog.mUnsettledEnd) {
    return;
  }
  for (const auto& [key, held] : std::exchange(aLog.mFloors, {})) {
    aLog.mChanged.insert(key.mTenant);
  }
}

void
StartLoading(QuotaLog& aLog)
{
  aLog.mLoaded = false;
  aLog.mLoading = QuotaBook();
  aLog.mPageKey.clear();
  aLog.mPagedEnd = -1;
}

ReadCall
MakeRead(const QuotaLog& aLog, Reader aReader, std::chrono::milliseconds aWait)
{
  ReadCall call;
  call.mStream = Stream::Quotas;
  call.mPartition = kPartition;
  call.mReader = aReader;
  call.mFrom = aLog.mPosition;
  call.mWait = aWait;
  return call;
}

}

Allotment
FindAllotment(const QuotaBook& aBook, const AllotmentKey& aKey)
{
  auto tenant = aBook.mTenants.find(aKey.mTenant);
  if (tenant == aBook.mTenants.end()) {
    return {};
  }
  auto found = tenant->second.mShards.find(aKey.mShard);
  return found == tenant->second.mShards.end() ? Allotment() : found->second;
}

void
SetAllotment(QuotaBook& aBook, const AllotmentKey& aKey, const Allotment& aAllotment)
{
  auto& tenant = aBook.mTenants[aKey.mTenant];
  auto& allotment = tenant.mShards[aKey.mShard];
  tenant.mHeld = tenant.mHeld - allotment.mHeld + aAllotment.mHeld;
  allotment = aAllotment;
  if (aAllotment == Allotment()) {
    tenant.mShards.erase(aKey.mShard);
  }
  auto isWanted = std::any_of(tenant.mShards.begin(), tenant.mShards.end(), [](const auto& aEntry) {
    return aEntry.second.mWanted != Resources();
  });
  if (isWanted) {
    aBook.mWanted.insert(aKey.mTenant);
  } else {
    aBook.mWanted.erase(aKey.mTenant);
  }
}

absl::Status
ApplyQuotaRecord(QuotaBook& aBook, std::string_view aKey, std::string_view aValue)
{
  int shard = 0;
  auto result = std::from_chars(aKey.data(), aKey.data() + aKey.size(), shard);
  auto length = static_cast<std::size_t>(result.ptr - aKey.data());
  if (result.ec != std::errc() || shard < 0) {
    return UnreadableKeyError(aKey);
  }
  if (length == aKey.size()) {
    auto claim = TRY(detail::Decode<record::QuotaClaim>(aValue));
    auto& known = aBook.mClaims[shard];
    known = std::max(known, claim.epoch);
    return absl::OkStatus();
  }
  if (aKey[length] != kTenantSeparator || length + 1 == aKey.size()) {
    return UnreadableKeyError(aKey);
  }
  AllotmentKey key{ shard, TenantName(std::string(aKey.substr(length + 1))) };
  if (aValue.empty()) {
    SetAllotment(aBook, key, {});
    return absl::OkStatus();
  }
  SetAllotment(aBook, key, FromRecord(TRY(detail::Decode<record::Allotment>(aValue))));
  return absl::OkStatus();
}

void
OnQuotaRead(QuotaLog& aLog, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions)
{
  auto isCatchUp = aAnswer.mCall.mReader == Reader::Owner;
  (isCatchUp ? aLog.mCatchUpPending : aLog.mReadPending) = false;
  if (aAnswer.mTrimmed) {
    StartLoading(aLog);
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    aLog.mNextReadAt = aNow.mAt + kRetryPause;
    return;
  }
  for (const auto& record : aAnswer.mRecords) {
    // A read that was sent before the last load may lack records.
    if (aLog.mLoaded && record.mOffset == aLog.mPosition) {
      ApplyAt(aLog, record, aActions);
    }
  }
  if (isCatchUp && aLog.mPosition >= aAnswer.mEnd) {
    aLog.mNeedsCatchUp = false;
  }
  SettleFloors(aLog);
}

void
OnQuotaNewest(QuotaLog& aLog, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions)
{
  aLog.mReadPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    aLog.mNextReadAt = aNow.mAt + kRetryPause;
    return;
  }
  if (aLog.mPagedEnd < 0) {
    // The pages are not a snapshot: what is appended meanwhile is read again from here.
    aLog.mPagedEnd = aAnswer.mEnd;
  }
  for (const auto& record : aAnswer.mRecords) {
    if (!record.mValue.empty()) {
      ApplyRecord(aLog.mLoading, record, aActions);
    }
  }
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    aLog.mPageKey = aAnswer.mRecords.back().mKey;
    return;
  }
  for (const auto* book : { &aLog.mBook, &aLog.mLoading }) {
    for (const auto& [tenant, allotments] : book->mTenants) {
      aLog.mChanged.insert(tenant);
    }
  }
  aLog.mBook = std::exchange(aLog.mLoading, {});
  aLog.mLoaded = true;
  aLog.mPosition = aLog.mPagedEnd;
  SettleFloors(aLog);
}

void
OnQuotaAppend(QuotaLog& aLog, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions)
{
  aLog.mAppendPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    ++aLog.mRefused;
    // Only what is read shows which append was stored.
    aLog.mNeedsCatchUp = true;
    if (aAnswer.mRefusal == AppendRefusal::Unavailable) {
      aLog.mNextAppendAt = aNow.mAt + kRetryPause;
    }
    return;
  }
  auto offset = aAnswer.mOffset;
  for (const auto& record : aAnswer.mCall.mRecords) {
    // A read may have returned these records before the append was answered.
    if (aLog.mLoaded && offset == aLog.mPosition) {
      ApplyAt(aLog, { record.mKey, record.mValue, offset }, aActions);
    }
    ++offset;
  }
  SettleFloors(aLog);
}

void
AdvanceQuotaLog(QuotaLog& aLog, const Now& aNow, Actions& aActions)
{
  if (aNow.mAt < aLog.mNextReadAt) {
    return;
  }
  if (!aLog.mLoaded) {
    if (aLog.mReadPending) {
      return;
    }
    ReadNewestCall call;
    call.mStream = Stream::Quotas;
    call.mPartition = kPartition;
    call.mAfterKey = aLog.mPageKey;
    aLog.mReadPending = true;
    aActions.emplace_back(std::move(call));
    return;
  }
  if (!aLog.mReadPending) {
    aLog.mReadPending = true;
    aActions.emplace_back(MakeRead(aLog, Reader::Follower, kLongPoll));
  }
  if (aLog.mNeedsCatchUp && !aLog.mCatchUpPending) {
    aLog.mCatchUpPending = true;
    aActions.emplace_back(MakeRead(aLog, Reader::Owner, 0ms));
  }
}

bool
MayAppend(const QuotaLog& aLog, Instant aNow)
{
  return aLog.mLoaded && !aLog.mAppendPending && !aLog.mNeedsCatchUp && aNow >= aLog.mNextAppendAt;
}

void
AppendChanges(QuotaLog& aLog, const Now& aNow, const QuotaChanges& aChanges, Actions& aActions)
{
  AppendCall call;
  call.mStream = Stream::Quotas;
  call.mPartition = kPartition;
  call.mExpectedEnd = aLog.mPosition;
  for (const auto& [shard, epoch] : aChanges.mClaims) {
    call.mRecords.push_back(ClaimRecord(shard, epoch));
  }
  for (const auto& [key, allotment] : aChanges.mAllotments) {
    call.mRecords.push_back(ToRecord(key, allotment));
    auto [floor, isNew] = aLog.mFloors.emplace(key, allotment.mHeld);
    floor->second = Least(floor->second, allotment.mHeld);
    aLog.mChanged.insert(key.mTenant);
  }
  aLog.mUnsettledEnd = aLog.mPosition;
  aLog.mAppendPending = true;
  aLog.mNextAppendAt = aNow.mAt + kMinAppendInterval;
  ++aLog.mAppends;
  aActions.emplace_back(std::move(call));
}

Resources
CertainlyHeld(const QuotaLog& aLog, const AllotmentKey& aKey)
{
  auto held = FindAllotment(aLog.mBook, aKey).mHeld;
  auto floor = aLog.mFloors.find(aKey);
  return floor == aLog.mFloors.end() ? held : Least(held, floor->second);
}

}
