#include "LibSchedule/Follower.h"

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 150ms;
// The operator's changes have to be in force within two seconds, and come seldom.
constexpr std::chrono::milliseconds kOperatorLongPoll = 1500ms;
// Executors write every second or two; a draining one must get no work after two seconds.
constexpr Duration kExecutorListInterval = 400ms;

FollowedStream&
StreamOf(Follower& aFollower, Stream aStream)
{
  return aStream == Stream::Operator ? aFollower.mOperator : aFollower.mExecutorList;
}

void
ApplyManifest(Follower& aFollower,
              const Now& aNow,
              const Manifest& aManifest,
              FollowerChanges& aChanges,
              Actions& aActions)
{
  if (aFollower.mManifest && aManifest.mVersion <= aFollower.mManifest->mVersion) {
    return;
  }
  aFollower.mManifest = aManifest;
  aFollower.mManifestAt = aNow.mAt;
  aChanges.mManifest = true;
  LogEntry entry{ LogLevel::Info, "manifest-in-force" };
  entry.mOutcome = std::to_string(aManifest.mRoutes.size()) + " routes";
  entry.mVersion = aManifest.mVersion;
  aActions.emplace_back(std::move(entry));
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

void
ApplyRecords(Follower& aFollower,
             const Now& aNow,
             const ExternalRecords& aRecords,
             FollowerChanges& aChanges,
             Actions& aActions)
{
  for (const auto& manifest : aRecords.mManifests) {
    ApplyManifest(aFollower, aNow, manifest, aChanges, aActions);
  }
  for (const auto& wave : aRecords.mWaves) {
    auto [known, isNew] = aFollower.mWaves.try_emplace(wave.mNumber, wave);
    auto seenAt = isNew ? aNow.mAt : known->second.mSeenAt;
    known->second = wave;
    known->second.mSeenAt = seenAt;
  }
  for (const auto& entry : aRecords.mExecutors) {
    ApplyExecutorEntry(aFollower, entry, aChanges);
  }
  for (const auto& key : aRecords.mUnreadable) {
    LogEntry entry{ LogLevel::Warning, "record-unreadable", {}, key };
    entry.mOutcome = "left out";
    aActions.emplace_back(std::move(entry));
  }
}

// An executor that the whole list no longer has was removed while the list was not followed.
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
SendRead(FollowedStream& aStream, const Now& aNow, Actions& aActions)
{
  if (aStream.mInFlight || aNow.mAt < aStream.mNextReadAt) {
    return;
  }
  aStream.mInFlight = true;
  if (!aStream.mLoaded) {
    ReadNewestCall call;
    call.mStream = aStream.mStream;
    call.mAfterKey = aStream.mPageKey;
    aActions.emplace_back(std::move(call));
    return;
  }
  ReadCall call;
  call.mStream = aStream.mStream;
  call.mFrom = aStream.mPosition;
  call.mWait = aStream.mStream == Stream::Operator ? kOperatorLongPoll : 0ms;
  aActions.emplace_back(call);
}

void
RecordCallResult(FollowedStream& aStream, CallResult aResult, const Now& aNow, Actions& aActions)
{
  auto isOperator = aStream.mStream == Stream::Operator;
  UpdateDependency(aStream.mDependency,
                   isOperator ? "the operator's stream" : "the list of executors",
                   aResult,
                   aNow.mAt,
                   aActions);
}

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
  stream.mAnsweredAt = aNow.mAt;
  ApplyRecords(aFollower, aNow, aAnswer.mExternalRecords, changes, aActions);
  if (!aAnswer.mRecords.empty()) {
    stream.mPosition = aAnswer.mRecords.back().mOffset + 1;
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
  stream.mAnsweredAt = aNow.mAt;
  if (stream.mPagedEnd < 0) {
    stream.mPagedEnd = aAnswer.mEnd;
  }
  ApplyRecords(aFollower, aNow, aAnswer.mExternalRecords, changes, aActions);
  for (const auto& entry : aAnswer.mExternalRecords.mExecutors) {
    stream.mListed.insert(entry.mId);
  }
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    stream.mPageKey = aAnswer.mRecords.back().mKey;
    return changes;
  }
  stream.mLoaded = true;
  stream.mPosition = stream.mPagedEnd;
  if (stream.mStream == Stream::Executors) {
    MarkUnlistedGone(aFollower, stream.mListed, changes);
  }
  return changes;
}

void
AdvanceFollower(Follower& aFollower, const Now& aNow, bool aNeedsExecutors, Actions& aActions)
{
  SendRead(aFollower.mOperator, aNow, aActions);
  if (aNeedsExecutors) {
    SendRead(aFollower.mExecutorList, aNow, aActions);
  }
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
