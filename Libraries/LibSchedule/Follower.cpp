#include "LibSchedule/Follower.h"

#include "LibSchedule/CallTimes.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 150ms;
// Executors update their entries every one to two seconds. A draining executor must receive no work
// after two seconds.
constexpr Duration kExecutorListInterval = 400ms;

FollowedStream&
StreamOf(Follower& aFollower, Stream aStream)
{
  return aStream == Stream::Operator ? aFollower.mOperator : aFollower.mExecutorList;
}

void
LogKeyProblems(const Follower& aFollower, Actions& aActions)
{
  constexpr std::size_t kMaxLogged = 10;
  const auto& problems = aFollower.mKeys.mProblems;
  for (std::size_t i = 0; i < std::min(problems.size(), kMaxLogged); ++i) {
    LogEntry entry{ LogLevel::Warning, "key-unusable", {}, problems[i].mTenant.mValue };
    entry.mOutcome = std::to_string(problems.size()) + " in all";
    entry.mReason = problems[i].mReason;
    entry.mVersion = aFollower.mManifest->mVersion;
    aActions.emplace_back(std::move(entry));
  }
}

void
ApplyManifest(Follower& aFollower,
              const Now& aNow,
              const Manifest& aManifest,
              std::int64_t aOffset,
              FollowerChanges& aChanges,
              Actions& aActions)
{
  if (aFollower.mManifest && aManifest.mVersion <= aFollower.mManifest->mVersion) {
    return;
  }
  aFollower.mManifest = aManifest;
  aFollower.mManifestAt = aNow.mAt;
  aFollower.mKeys = MakeKeyIndex(aManifest);
  aChanges.mManifest = true;
  LogEntry entry{ LogLevel::Info, "manifest-in-force" };
  entry.mOutcome = std::to_string(aManifest.mRoutes.size()) + " routes";
  entry.mReason = "read up to offset " + std::to_string(aOffset);
  entry.mVersion = aManifest.mVersion;
  entry.mAge = ManifestAge(aFollower, aNow.mAt);
  aActions.emplace_back(std::move(entry));
  LogKeyProblems(aFollower, aActions);
}

bool
DiffersBeyondHeartbeat(const ExecutorEntry& aLeft, const ExecutorEntry& aRight)
{
  return aLeft.mService != aRight.mService || aLeft.mAddress != aRight.mAddress ||
         aLeft.mState != aRight.mState || aLeft.mCapacity != aRight.mCapacity ||
         aLeft.mLabels != aRight.mLabels || aLeft.mIncarnation != aRight.mIncarnation;
}

void
ApplyExecutorEntry(Follower& aFollower, const ExecutorEntry& aEntry, FollowerChanges& aChanges)
{
  auto [found, isNew] = aFollower.mExecutors.try_emplace(aEntry.mId, aEntry);
  if (!isNew && !DiffersBeyondHeartbeat(found->second, aEntry)) {
    return;
  }
  if (aEntry.mState == ExecutorState::Gone) {
    found->second.mState = ExecutorState::Gone;
  } else {
    found->second = aEntry;
  }
  aChanges.mExecutors.push_back(aEntry.mId);
}

// Counts a record that can't be decoded, and logs it unless its key has been unreadable before: its
// writer may write it again every second.
void
NoteUnreadable(Follower& aFollower, const std::string& aKey, Actions& aActions)
{
  constexpr std::size_t kMaxKnownKeys = 1000;
  constexpr std::size_t kMaxLoggedKey = 100;
  ++aFollower.mUnreadableRecords;
  auto& known = aFollower.mUnreadableKeys;
  if (known.size() >= kMaxKnownKeys || !known.insert(aKey).second) {
    return;
  }
  LogEntry entry{ LogLevel::Warning, "record-unreadable", {}, aKey.substr(0, kMaxLoggedKey) };
  entry.mOutcome = "left out";
  aActions.emplace_back(std::move(entry));
}

void
ApplyRecords(Follower& aFollower,
             const Now& aNow,
             const ExternalRecords& aRecords,
             std::int64_t aOffset,
             FollowerChanges& aChanges,
             Actions& aActions)
{
  for (const auto& manifest : aRecords.mManifests) {
    ApplyManifest(aFollower, aNow, manifest, aOffset, aChanges, aActions);
  }
  for (const auto& wave : aRecords.mWaves) {
    auto [known, isNew] = aFollower.mWaves.try_emplace(wave.mNumber, wave);
    auto seenAt = isNew ? aNow.mAt : known->second.mSeenAt;
    known->second = wave;
    known->second.mSeenAt = seenAt;
    ++aFollower.mWaveChanges;
  }
  for (const auto& entry : aRecords.mExecutors) {
    aFollower.mUnreadableKeys.erase(entry.mId.mValue);
    ApplyExecutorEntry(aFollower, entry, aChanges);
  }
  for (const auto& key : aRecords.mUnreadable) {
    NoteUnreadable(aFollower, key, aActions);
  }
}

// An executor that is missing from the complete list was removed while the list was not followed.
void
MarkUnlistedGone(Follower& aFollower,
                 const std::set<ExecutorId>& aListed,
                 FollowerChanges& aChanges)
{
  for (auto& [id, entry] : aFollower.mExecutors) {
    if (entry.mState != ExecutorState::Gone && !aListed.contains(id)) {
      entry.mState = ExecutorState::Gone;
      aChanges.mExecutors.push_back(id);
    }
  }
}

void
SendRead(FollowedStream& aStream,
         const Now& aNow,
         std::chrono::milliseconds aDeadline,
         Actions& aActions)
{
  if (aStream.mInFlight || aNow.mAt < aStream.mNextReadAt) {
    return;
  }
  aStream.mInFlight = true;
  aStream.mSentAt = aNow.mAt;
  auto times = PlanCall(aDeadline, aStream.mUnanswered);
  if (!aStream.mLoaded) {
    if (aStream.mPagedEnd < 0) {
      aStream.mLoadCurrentAsOf = aNow.mAt;
    }
    ReadNewestCall call;
    call.mStream = aStream.mStream;
    call.mAfterKey = aStream.mPageKey;
    call.mAnswerTimeout = times.mAnswerTimeout;
    aActions.emplace_back(std::move(call));
    return;
  }
  ReadCall call;
  call.mStream = aStream.mStream;
  call.mFrom = aStream.mPosition;
  call.mWait = aStream.mStream == Stream::Operator ? times.mWait : 0ms;
  call.mAnswerTimeout = times.mAnswerTimeout;
  aActions.emplace_back(call);
}

void
RecordCallResult(FollowedStream& aStream, CallResult aResult, const Now& aNow, Actions& aActions)
{
  aStream.mUnanswered = aResult == CallResult::Unanswered ? aStream.mUnanswered + 1 : 0;
  auto isOperator = aStream.mStream == Stream::Operator;
  UpdateDependency(aStream.mDependency,
                   isOperator ? "the operator's stream" : "the list of executors",
                   aResult,
                   aNow.mAt,
                   aActions);
}

// Logs that the manifest in force may be too old, and when it is known to be the newest again.
void
ReportManifestAge(Follower& aFollower,
                  const Now& aNow,
                  const FollowerSettings& aSettings,
                  Actions& aActions)
{
  auto age = ManifestAge(aFollower, aNow.mAt);
  auto isUnconfirmed = age && *age > aSettings.mManifestDeadline;
  if (!aFollower.mManifest || isUnconfirmed == aFollower.mIsManifestUnconfirmed) {
    return;
  }
  aFollower.mIsManifestUnconfirmed = isUnconfirmed;
  LogEntry entry{ LogLevel::Warning,
                  isUnconfirmed ? "manifest-unconfirmed" : "manifest-confirmed" };
  entry.mVersion = aFollower.mManifest->mVersion;
  entry.mAge = age;
  aActions.emplace_back(std::move(entry));
}

// Discards the read position, so that the newest record of every key is read again.
void
RestartLoad(FollowedStream& aStream)
{
  aStream.mLoaded = false;
  aStream.mPageKey.clear();
  aStream.mPagedEnd = -1;
  aStream.mListed.clear();
}

}

FollowerChanges
OnFollowerRead(Follower& aFollower, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions)
{
  FollowerChanges changes;
  auto& stream = StreamOf(aFollower, aAnswer.mCall.mStream);
  stream.mInFlight = false;
  RecordCallResult(stream, aAnswer.mResult, aNow, aActions);
  if (aAnswer.mTrimmed) {
    RestartLoad(stream);
    return changes;
  }
  if (aAnswer.mResult != CallResult::Done) {
    stream.mNextReadAt = aNow.mAt + kRetryPause;
    return changes;
  }
  auto position = aAnswer.mRecords.empty() ? stream.mPosition : aAnswer.mRecords.back().mOffset + 1;
  ApplyRecords(aFollower, aNow, aAnswer.mExternalRecords, position, changes, aActions);
  stream.mPosition = position;
  if (position >= aAnswer.mEnd) {
    // The store answers without records only after it has waited for some.
    auto waited = aAnswer.mRecords.empty() ? Duration(aAnswer.mCall.mWait) : 0ms;
    stream.mCurrentAsOf = std::max(stream.mCurrentAsOf, stream.mSentAt + waited);
    stream.mProvenAt = std::max(stream.mProvenAt, stream.mSentAt);
  }
  if (stream.mStream == Stream::Executors) {
    stream.mNextReadAt = aNow.mAt + kExecutorListInterval;
  }
  return changes;
}

FollowerChanges
OnFollowerReadNewest(Follower& aFollower,
                     const Now& aNow,
                     const ReadNewestAnswer& aAnswer,
                     Actions& aActions)
{
  FollowerChanges changes;
  auto& stream = StreamOf(aFollower, aAnswer.mCall.mStream);
  stream.mInFlight = false;
  RecordCallResult(stream, aAnswer.mResult, aNow, aActions);
  if (aAnswer.mResult != CallResult::Done) {
    stream.mNextReadAt = aNow.mAt + kRetryPause;
    return changes;
  }
  if (stream.mPagedEnd < 0) {
    stream.mPagedEnd = aAnswer.mEnd;
  }
  ApplyRecords(aFollower, aNow, aAnswer.mExternalRecords, stream.mPagedEnd, changes, aActions);
  for (const auto& entry : aAnswer.mExternalRecords.mExecutors) {
    stream.mListed.insert(entry.mId);
  }
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    stream.mPageKey = aAnswer.mRecords.back().mKey;
    return changes;
  }
  stream.mLoaded = true;
  stream.mPosition = stream.mPagedEnd;
  stream.mCurrentAsOf = std::max(stream.mCurrentAsOf, stream.mLoadCurrentAsOf);
  stream.mProvenAt = std::max(stream.mProvenAt, stream.mLoadCurrentAsOf);
  if (stream.mStream == Stream::Executors) {
    MarkUnlistedGone(aFollower, stream.mListed, changes);
  }
  return changes;
}

void
AdvanceFollower(Follower& aFollower,
                const Now& aNow,
                const FollowerSettings& aSettings,
                bool aNeedsExecutors,
                Actions& aActions)
{
  ReportManifestAge(aFollower, aNow, aSettings, aActions);
  SendRead(aFollower.mOperator, aNow, aSettings.mManifestDeadline, aActions);
  if (aNeedsExecutors) {
    SendRead(aFollower.mExecutorList, aNow, aSettings.mDrainDeadline, aActions);
  }
}

std::optional<std::chrono::milliseconds>
ManifestAge(const Follower& aFollower, Instant aNow)
{
  if (aFollower.mOperator.mCurrentAsOf == Instant()) {
    return std::nullopt;
  }
  return ToMilliseconds(aNow - aFollower.mOperator.mCurrentAsOf);
}

std::optional<Duration>
ProvenAge(const Follower& aFollower, Instant aNow)
{
  if (aFollower.mOperator.mProvenAt == Instant()) {
    return std::nullopt;
  }
  return aNow - aFollower.mOperator.mProvenAt;
}

ManifestLimits
LimitsOf(const FollowerSettings& aSettings)
{
  return { aSettings.mManifestDeadline, aSettings.mRevocationDeadline };
}

const Route*
FindRoute(const Manifest& aManifest, const std::string& aHost, const std::string& aPath)
{
  const Route* best = nullptr;
  for (const auto& route : aManifest.mRoutes) {
    auto matches = route.mHost == aHost && aPath.starts_with(route.mPrefix);
    if (matches && (best == nullptr || route.mPrefix.size() > best->mPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

}
