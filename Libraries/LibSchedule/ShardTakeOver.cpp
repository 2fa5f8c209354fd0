#include "LibSchedule/ExecutorAddresses.h"
#include "LibSchedule/Shard.h"

#include <algorithm>

// Takeover of a shard: the host obtains a fencing token, fences off writes of the former owner, and
// loads the stored progress and jobs. Each call is retried until it succeeds.
namespace sesameseam::schedule {

namespace {

// The delay before a failed call is retried.
constexpr Duration kRetryDelay = 150ms;
constexpr int kOwnersPartition = 0;

AppendCall
ClaimCall(const Shard& aShard)
{
  AppendCall call;
  call.mStream = Stream::Owners;
  call.mPartition = kOwnersPartition;
  call.mRecords.push_back({ std::to_string(aShard.mPartition), aShard.mSettings.mHost });
  call.mTicket = aShard.mPartition;
  return call;
}

AppendCall
FenceCall(const Shard& aShard)
{
  AppendCall call;
  call.mStream = Stream::Progress;
  call.mPartition = aShard.mPartition;
  call.mFence = AppendFence{ aShard.mEpoch, aShard.mSequence };
  call.mTicket = aShard.mEpoch;
  return call;
}

ReadNewestCall
LoadCall(const Shard& aShard, Stream aStream)
{
  ReadNewestCall call;
  call.mStream = aStream;
  call.mPartition = aShard.mPartition;
  call.mReader = Reader::Owner;
  call.mAfterKey = aShard.mPageKey;
  call.mTicket = aShard.mEpoch;
  return call;
}

ReadCall
FollowCall(const Shard& aShard)
{
  constexpr std::chrono::milliseconds kLongPoll = 1s;
  ReadCall call;
  call.mStream = Stream::Jobs;
  call.mPartition = aShard.mPartition;
  call.mReader = Reader::Owner;
  call.mFrom = aShard.mNextJobsOffset;
  call.mWait = kLongPoll;
  call.mTicket = aShard.mEpoch;
  return call;
}

void
SetPhase(Shard& aShard, ShardPhase aPhase)
{
  aShard.mPhase = aPhase;
  aShard.mPageKey.clear();
}

// Executors that are no longer listed can't be reached. They are recorded as unresponsive, so that
// a later owner doesn't wait for their leases again.
void
RecordUnlistedExecutors(Shard& aShard)
{
  for (const auto& [id, executor] : aShard.mExecutors) {
    auto isUnlisted =
      executor.mEntry.mState == ExecutorState::Gone && !executor.mHasAnsweredHeartbeat;
    if (isUnlisted && !executor.mIsUnresponsive && !executor.mRuns.empty()) {
      aShard.mResponsivenessToRecord.insert(id);
    }
  }
}

// Ended jobs that have no definition any more were removed by a former owner, and those that were
// handed over by the owner of the shard that ran them.
void
KeepEndedJobs(Shard& aShard, Instant aNow)
{
  for (const auto& [id, progress] : aShard.mLoadedProgress) {
    auto hasEnded = IsFinal(progress.mPhase) || detail::KeepEndedHandOver(aShard, id, progress);
    if (hasEnded && aShard.mEnded.mIds.insert(id).second) {
      aShard.mEnded.mExpiring.push_back({ id, aNow });
    }
  }
}

void
Activate(Shard& aShard, const Now& aNow, Actions& aActions)
{
  SetPhase(aShard, ShardPhase::Active);
  KeepEndedJobs(aShard, aNow.mAt);
  aShard.mLoadedProgress.clear();
  aShard.mNeedsPlacementPass = true;
  RecordUnlistedExecutors(aShard);
  detail::RemoveUnlistedAddresses(aShard);
  LogEntry entry{ LogLevel::Info, "shard-owned" };
  entry.mSubject = std::to_string(aShard.mPartition);
  entry.mOutcome = std::to_string(aShard.mJobs.size()) + " unfinished jobs";
  entry.mVersion = aShard.mEpoch;
  entry.mAge = ToMilliseconds(aNow.mAt - aShard.mTakenOverAt);
  aActions.emplace_back(std::move(entry));
}

void
ApplyUnresponsiveRecord(Shard& aShard,
                        const Now& aNow,
                        const KeyedRecord& aRecord,
                        Actions& aActions)
{
  auto lapsed = DecodeLeaseExpiry(aRecord.mValue);
  if (!lapsed.ok()) {
    LogEntry entry{ LogLevel::Warning, "record-unreadable", {}, aRecord.mKey };
    entry.mOutcome = "waiting for the longest possible lease";
    entry.mReason = std::string(lapsed.status().message());
    aActions.emplace_back(std::move(entry));
    return;
  }
  auto id = ExecutorOfKey(aRecord.mKey);
  aShard.mLoadedUnresponsive[id] = *lapsed;
  auto found = aShard.mExecutors.find(id);
  if (found != aShard.mExecutors.end()) {
    found->second.mAllLeasesExpiredAt = detail::FormerOwnerLeaseExpiry(aShard, id, aNow);
    found->second.mIsUnresponsive = true;
  }
}

void
ApplyProgressRecord(Shard& aShard, const Now& aNow, const KeyedRecord& aRecord, Actions& aActions)
{
  if (IsLeaseExpiryKey(aRecord.mKey)) {
    ApplyUnresponsiveRecord(aShard, aNow, aRecord, aActions);
    return;
  }
  if (IsExecutorAddressKey(aRecord.mKey)) {
    detail::OnLoadedAddress(aShard, aRecord);
    return;
  }
  auto progress = DecodeProgress(aRecord.mValue);
  if (!progress.ok()) {
    LogEntry entry{ LogLevel::Warning, "progress-unreadable", aRecord.mKey };
    entry.mReason = std::string(progress.status().message());
    entry.mVersion = aRecord.mOffset;
    aActions.emplace_back(std::move(entry));
    return;
  }
  JobId id(aRecord.mKey);
  // A job that is still pending is published from its definition, which names its queue.
  if (progress->mPhase != JobPhase::Pending) {
    AddLoadedState(aShard.mStates,
                   { id,
                     { progress->mPhase, {}, progress->mTenantHash },
                     StateSource::Progress,
                     aRecord.mOffset });
  }
  aShard.mLoadedProgress[id] = *std::move(progress);
}

void
OnClaimAnswer(Shard& aShard, const AppendAnswer& aAnswer)
{
  if (aShard.mPhase != ShardPhase::Claiming) {
    return;
  }
  // Offsets begin at 0, and an executor reads a missing token as 0.
  aShard.mEpoch = aAnswer.mOffset + 1;
  aShard.mStates.mEpoch = aShard.mEpoch;
  SetPhase(aShard, ShardPhase::Fencing);
}

void
OnFenceAnswer(Shard& aShard, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions)
{
  if (aAnswer.mRefusal == AppendRefusal::Fenced) {
    detail::LoseOwnership(aShard, "a later owner has fenced the log", aActions);
    return;
  }
  if (aAnswer.mRefusal == AppendRefusal::Sequence) {
    aShard.mSequence = aAnswer.mExpectedSequence;
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    return;
  }
  aShard.mFencedAt = aNow.mAt;
  for (auto& [id, executor] : aShard.mExecutors) {
    executor.mAllLeasesExpiredAt = detail::FormerOwnerLeaseExpiry(aShard, id, aNow);
  }
  SetPhase(aShard, ShardPhase::LoadingProgress);
}

}

void
OnAppendAnswer(Shard& aShard, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions)
{
  if (aAnswer.mCall.mStream == Stream::Progress && aAnswer.mCall.mTicket != aShard.mEpoch) {
    return;
  }
  if (aAnswer.mCall.mStream == Stream::Jobs) {
    if (aAnswer.mCall.mTicket != aShard.mEpoch) {
      return;
    }
    if (IsRemoval(aAnswer.mCall)) {
      OnRemovalAnswer(aShard.mEnded, aNow.mAt, aAnswer);
    } else {
      detail::OnForwardAnswer(aShard, aNow.mAt, aAnswer, aActions);
    }
    return;
  }
  if (aAnswer.mCall.mStream == Stream::JobStates) {
    if (aAnswer.mResult == CallResult::Done && aAnswer.mCall.mTicket == aShard.mEpoch) {
      OnStatesPublished(aShard.mEnded, aAnswer.mCall.mRecords);
    }
    // A later owner fences this stream last, so that the answer doesn't confirm the ownership.
    if (OnPublishAnswer(aShard.mStates, aNow, aAnswer) == PublishOutcome::Fenced) {
      detail::LoseOwnership(aShard, "a later owner has fenced the job states", aActions);
    }
    return;
  }
  auto isWrite = aShard.mWrite && aShard.mWrite->mInFlight;
  if (aAnswer.mResult == CallResult::Done) {
    auto sentAt = isWrite ? aShard.mWrite->mFirstSentAt.value_or(aAnswer.mSentAt) : aAnswer.mSentAt;
    ConfirmOwnership(aShard, std::min(sentAt, aAnswer.mSentAt));
  }
  if (isWrite) {
    detail::OnWriteAnswer(aShard, aNow, aAnswer, aActions);
    return;
  }
  aShard.mCallPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    aShard.mRetryAt = aNow.mAt + kRetryDelay;
  }
  if (aAnswer.mCall.mStream == Stream::Owners && aAnswer.mResult == CallResult::Done) {
    OnClaimAnswer(aShard, aAnswer);
  } else if (aAnswer.mCall.mStream == Stream::Progress) {
    OnFenceAnswer(aShard, aNow, aAnswer, aActions);
  }
}

void
OnNewestAnswer(Shard& aShard, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions)
{
  if (aAnswer.mCall.mStream == Stream::JobStates) {
    OnCoverageAnswer(aShard.mStates, aNow, aAnswer, aActions);
    return;
  }
  if (aAnswer.mCall.mTicket != aShard.mEpoch) {
    return;
  }
  aShard.mCallPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    aShard.mRetryAt = aNow.mAt + kRetryDelay;
    return;
  }
  auto isProgress = aAnswer.mCall.mStream == Stream::Progress;
  if (!isProgress && aAnswer.mCall.mAfterKey.empty()) {
    // The pages are not a snapshot: changes made while they are read are read again from here.
    aShard.mNextJobsOffset = aAnswer.mEnd;
  }
  if (isProgress) {
    aShard.mProgressEnd = std::max(aShard.mProgressEnd, aAnswer.mEnd);
  }
  // The key of a cancellation sorts after the keys of all jobs, so its job is known by then.
  for (const auto& record : aAnswer.mRecords) {
    if (isProgress) {
      ApplyProgressRecord(aShard, aNow, record, aActions);
    } else {
      detail::ApplyJobRecord(aShard, aNow, record, aActions);
    }
  }
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    aShard.mPageKey = aAnswer.mRecords.back().mKey;
    return;
  }
  if (isProgress) {
    SetPhase(aShard, ShardPhase::LoadingJobs);
  } else {
    Activate(aShard, aNow, aActions);
  }
}

void
OnReadAnswer(Shard& aShard, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions)
{
  if (aAnswer.mCall.mTicket != aShard.mEpoch) {
    return;
  }
  aShard.mCallPending = false;
  if (aAnswer.mTrimmed) {
    // The history was trimmed, but the newest record of each key is kept.
    SetPhase(aShard, ShardPhase::LoadingJobs);
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    aShard.mRetryAt = aNow.mAt + kRetryDelay;
    return;
  }
  for (const auto& record : aAnswer.mRecords) {
    if (record.mOffset < aShard.mNextJobsOffset) {
      continue;
    }
    detail::ApplyJobRecord(aShard, aNow, record, aActions);
    aShard.mNextJobsOffset = record.mOffset + 1;
  }
  if (aShard.mNextJobsOffset >= aAnswer.mEnd) {
    // The store answers without records only after it has waited for some.
    auto waited = aAnswer.mRecords.empty() ? Duration(aAnswer.mCall.mWait) : 0ms;
    aShard.mJobsCurrentAsOf = std::max(aShard.mJobsCurrentAsOf, aAnswer.mSentAt + waited);
  }
}

namespace detail {

void
LoseOwnership(Shard& aShard, std::string aReason, Actions& aActions)
{
  aShard.mPhase = ShardPhase::Lost;
  LogEntry entry{ LogLevel::Info, "shard-lost" };
  entry.mSubject = std::to_string(aShard.mPartition);
  entry.mReason = std::move(aReason);
  entry.mVersion = aShard.mEpoch;
  aActions.emplace_back(std::move(entry));
}

void
AdvanceLog(Shard& aShard, const Now& aNow, Actions& aActions)
{
  if (aShard.mCallPending || aNow.mAt < aShard.mRetryAt) {
    return;
  }
  aShard.mCallPending = true;
  switch (aShard.mPhase) {
    case ShardPhase::Claiming:
      aActions.emplace_back(ClaimCall(aShard));
      return;
    case ShardPhase::Fencing:
      aActions.emplace_back(FenceCall(aShard));
      return;
    case ShardPhase::LoadingProgress:
      aActions.emplace_back(LoadCall(aShard, Stream::Progress));
      return;
    case ShardPhase::LoadingJobs:
      if (aShard.mPageKey.empty()) {
        aShard.mJobsCurrentAsOf = aNow.mAt;
      }
      aActions.emplace_back(LoadCall(aShard, Stream::Jobs));
      return;
    case ShardPhase::Active:
      aActions.emplace_back(FollowCall(aShard));
      return;
    case ShardPhase::Lost:
      aShard.mCallPending = false;
      return;
  }
}

}

}
