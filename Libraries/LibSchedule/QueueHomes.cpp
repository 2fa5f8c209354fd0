#include "LibSchedule/QueueHomes.h"

#include "LibBase/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace sesameseam::schedule {

namespace {

constexpr int kPartition = 0;
constexpr Duration kRetryPause = 100ms;
constexpr std::size_t kMaxRecordsPerAppend = 1000;
// The value of a home is the name of the service; that of a service is not used.
constexpr char kHomePrefix = 'q';
constexpr char kServicePrefix = 's';
constexpr char kServiceValue[] = "1";

void
AddService(QueueHomes& aHomes, const ServiceName& aService)
{
  aHomes.mServiceChanges += aHomes.mServices.insert(aService).second ? 1 : 0;
  aHomes.mWantedServices.erase(aService);
}

// The first record of a home holds: another one can't have been stored, since each append was made
// on condition that no record came before it.
void
ApplyRecord(QueueHomes& aHomes, const KeyedRecord& aRecord, Actions& aActions)
{
  if (aRecord.mKey.size() > 1 && aRecord.mKey.front() == kServicePrefix) {
    AddService(aHomes, ServiceName(aRecord.mKey.substr(1)));
    return;
  }
  auto isHome = aRecord.mKey.size() > 1 && aRecord.mKey.front() == kHomePrefix;
  if (!isHome || aRecord.mValue.empty()) {
    LogEntry entry{ LogLevel::Warning, "record-unreadable", {}, aRecord.mKey };
    entry.mOutcome = "left out of the homes of queues";
    entry.mVersion = aRecord.mOffset;
    aActions.emplace_back(std::move(entry));
    return;
  }
  auto key = aRecord.mKey.substr(1);
  ServiceName home(aRecord.mValue);
  aHomes.mHomes.emplace(key, home);
  aHomes.mWantedHomes.erase(key);
  AddService(aHomes, home);
}

void
RestartLoad(QueueHomes& aHomes)
{
  aHomes.mLoaded = false;
  aHomes.mPageKey.clear();
  aHomes.mPagedEnd = -1;
}

bool
IsReadDue(const QueueHomes& aHomes, Instant aNow)
{
  if (aHomes.mReadPending || aNow < aHomes.mNextCallAt) {
    return false;
  }
  return !aHomes.mLoaded || aHomes.mNeedsCatchUp ||
         (aHomes.mCatchUpAt && aNow >= *aHomes.mCatchUpAt);
}

void
SendRead(QueueHomes& aHomes, const Now& aNow, Actions& aActions)
{
  aHomes.mReadPending = true;
  if (!aHomes.mLoaded) {
    if (aHomes.mPagedEnd < 0) {
      aHomes.mReadSentAt = aNow.mAt;
    }
    ReadNewestCall call;
    call.mStream = Stream::Queues;
    call.mPartition = kPartition;
    call.mAfterKey = aHomes.mPageKey;
    aActions.emplace_back(std::move(call));
    return;
  }
  aHomes.mReadSentAt = aNow.mAt;
  aHomes.mNeedsCatchUp = false;
  if (aHomes.mCatchUpAt && aNow.mAt >= *aHomes.mCatchUpAt) {
    aHomes.mCatchUpAt.reset();
  }
  ReadCall call;
  call.mStream = Stream::Queues;
  call.mPartition = kPartition;
  call.mFrom = aHomes.mPosition;
  aActions.emplace_back(call);
}

void
SendAppend(QueueHomes& aHomes, Actions& aActions)
{
  AppendCall call;
  call.mStream = Stream::Queues;
  call.mPartition = kPartition;
  call.mExpectedEnd = aHomes.mPosition;
  for (const auto& service : aHomes.mWantedServices) {
    call.mRecords.push_back({ kServicePrefix + service.mValue, kServiceValue });
  }
  for (const auto& [key, service] : aHomes.mWantedHomes) {
    if (call.mRecords.size() < kMaxRecordsPerAppend) {
      call.mRecords.push_back({ kHomePrefix + key, service.mValue });
    }
  }
  aHomes.mAppendPending = true;
  aActions.emplace_back(std::move(call));
}

}

std::string
QueueKey(const Route& aRoute)
{
  // A key of the log has 255 bytes at most. Two queues with the same hash would share a home, which
  // does no harm.
  return absl::StrCat(
    absl::Hex(StableHash(aRoute.mHost + "\n" + aRoute.mPrefix), absl::kZeroPad16));
}

const ServiceName*
FindHome(const QueueHomes& aHomes, const Route& aRoute)
{
  auto found = aHomes.mHomes.find(QueueKey(aRoute));
  return found == aHomes.mHomes.end() ? nullptr : &found->second;
}

std::optional<ServiceName>
HomeForQuery(const QueueHomes& aHomes, const Route& aRoute, Instant aArrivedAt)
{
  const auto* home = FindHome(aHomes, aRoute);
  if (home != nullptr) {
    return *home;
  }
  auto isCurrent = aHomes.mLoaded && aHomes.mCurrentAsOf >= aArrivedAt;
  return isCurrent ? std::optional(aRoute.mService) : std::nullopt;
}

std::optional<ServiceName>
HomeForSubmission(QueueHomes& aHomes, const Route& aRoute)
{
  const auto* home = FindHome(aHomes, aRoute);
  if (home == nullptr) {
    WantHome(aHomes, aRoute);
    return std::nullopt;
  }
  if (!aHomes.mServices.contains(aRoute.mService)) {
    aHomes.mWantedServices.insert(aRoute.mService);
    return std::nullopt;
  }
  return *home;
}

void
WantHome(QueueHomes& aHomes, const Route& aRoute)
{
  // By the newest manifest: an append that is under way may have been made by an older one.
  aHomes.mWantedHomes[QueueKey(aRoute)] = aRoute.mService;
}

void
OnManifestChange(QueueHomes& aHomes, Instant aNow, std::chrono::milliseconds aManifestDeadline)
{
  aHomes.mNeedsCatchUp = true;
  aHomes.mCatchUpAt = aNow + aManifestDeadline;
}

void
OnHomesRead(QueueHomes& aHomes, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions)
{
  aHomes.mReadPending = false;
  if (aAnswer.mTrimmed) {
    RestartLoad(aHomes);
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    aHomes.mNeedsCatchUp = true;
    aHomes.mNextCallAt = aNow.mAt + kRetryPause;
    return;
  }
  for (const auto& record : aAnswer.mRecords) {
    if (record.mOffset >= aHomes.mPosition) {
      ApplyRecord(aHomes, record, aActions);
      aHomes.mPosition = record.mOffset + 1;
    }
  }
  if (aHomes.mPosition >= aAnswer.mEnd) {
    aHomes.mCurrentAsOf = std::max(aHomes.mCurrentAsOf, aHomes.mReadSentAt);
    aHomes.mHasNews = true;
  } else {
    aHomes.mNeedsCatchUp = true;
  }
}

void
OnHomesNewest(QueueHomes& aHomes,
              const Now& aNow,
              const ReadNewestAnswer& aAnswer,
              Actions& aActions)
{
  aHomes.mReadPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    aHomes.mNextCallAt = aNow.mAt + kRetryPause;
    return;
  }
  if (aHomes.mPagedEnd < 0) {
    aHomes.mPagedEnd = aAnswer.mEnd;
  }
  for (const auto& record : aAnswer.mRecords) {
    ApplyRecord(aHomes, record, aActions);
  }
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    aHomes.mPageKey = aAnswer.mRecords.back().mKey;
    return;
  }
  aHomes.mLoaded = true;
  aHomes.mPosition = std::max(aHomes.mPosition, aHomes.mPagedEnd);
  aHomes.mCurrentAsOf = std::max(aHomes.mCurrentAsOf, aHomes.mReadSentAt);
  aHomes.mHasNews = true;
}

void
OnHomesAppend(QueueHomes& aHomes, const Now& aNow, const AppendAnswer& aAnswer)
{
  aHomes.mAppendPending = false;
  // What was stored, by this host or another one, is read: an append without an answer may be
  // stored as well.
  aHomes.mNeedsCatchUp = true;
  auto isRefusedByStore = aAnswer.mRefusal == AppendRefusal::Unavailable;
  if (isRefusedByStore || aAnswer.mResult == CallResult::Unanswered) {
    aHomes.mNextCallAt = aNow.mAt + kRetryPause;
  }
}

void
AdvanceHomes(QueueHomes& aHomes, const Now& aNow, Actions& aActions)
{
  auto currentAsOf = aHomes.mCurrentAsOf;
  if (aHomes.mReadPending) {
    currentAsOf = std::max(currentAsOf, aHomes.mReadSentAt);
  }
  auto isWaiting = std::any_of(
    aHomes.mWaiting.begin(), aHomes.mWaiting.end(), [&](const WaitingRequest& aWaiting) {
      return currentAsOf < aWaiting.mRequest.mArrivedAt;
    });
  aHomes.mNeedsCatchUp |= isWaiting;
  if (IsReadDue(aHomes, aNow.mAt)) {
    SendRead(aHomes, aNow, aActions);
  }
  auto isWanted = !aHomes.mWantedHomes.empty() || !aHomes.mWantedServices.empty();
  auto mayAppend = aHomes.mLoaded && !aHomes.mReadPending && !aHomes.mAppendPending &&
                   !aHomes.mNeedsCatchUp && aNow.mAt >= aHomes.mNextCallAt;
  if (isWanted && mayAppend) {
    SendAppend(aHomes, aActions);
  }
}

}
