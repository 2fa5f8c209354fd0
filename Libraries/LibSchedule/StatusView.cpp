#include "LibSchedule/StatusView.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 100ms;

void
ApplyDefinition(StatusView& aView, const KeyedRecord& aRecord)
{
  auto id = JobOfKey(aRecord.mKey);
  if (aRecord.mValue.empty()) {
    aView.mJobs.erase(id);
    aView.mPendingJobQueues.erase(id);
    return;
  }
  auto& job = aView.mJobs[id];
  if (IsCancellationKey(aRecord.mKey)) {
    job.mIsCancelled = true;
    return;
  }
  auto definition = DecodeJob(aRecord.mValue);
  if (!definition.ok()) {
    // The owner of the shard reads the same record and logs it.
    return;
  }
  job.mIsKnown = true;
  job.mIsRecurring = definition->mRunCount > 0;
  if (job.mPhase == JobPhase::Pending && !job.mIsRecurring) {
    aView.mPendingJobQueues[id] = definition->mQueue;
  }
}

void
ApplyProgress(StatusView& aView, const KeyedRecord& aRecord)
{
  if (IsLeaseExpiryKey(aRecord.mKey)) {
    return;
  }
  JobId id(aRecord.mKey);
  if (aRecord.mValue.empty()) {
    aView.mJobs.erase(id);
    aView.mPendingJobQueues.erase(id);
    return;
  }
  auto progress = DecodeProgress(aRecord.mValue);
  if (!progress.ok()) {
    // As above.
    return;
  }
  auto& job = aView.mJobs[id];
  job.mIsKnown = true;
  job.mPhase = progress->mPhase;
  if (job.mPhase != JobPhase::Pending) {
    aView.mPendingJobQueues.erase(id);
  }
}

void
ApplyRecords(StatusView& aView, Stream aStream, const std::vector<KeyedRecord>& aRecords)
{
  for (const auto& record : aRecords) {
    if (aStream == Stream::Progress) {
      ApplyProgress(aView, record);
    } else {
      ApplyDefinition(aView, record);
    }
  }
}

ViewStream&
StreamOf(StatusView& aView, Stream aStream)
{
  return aStream == Stream::Progress ? aView.mProgress : aView.mDefinitions;
}

void
SendRead(const StatusView& aView, ViewStream& aStream, const Now& aNow, Actions& aActions)
{
  if (aStream.mInFlight || aNow.mAt < aStream.mRetryAt) {
    return;
  }
  aStream.mInFlight = true;
  if (aStream.mLoaded) {
    ReadCall call;
    call.mStream = aStream.mStream;
    call.mPartition = aView.mPartition;
    call.mReader = Reader::View;
    call.mFrom = aStream.mPosition;
    aActions.emplace_back(call);
    return;
  }
  ReadNewestCall call;
  call.mStream = aStream.mStream;
  call.mPartition = aView.mPartition;
  call.mReader = Reader::View;
  call.mAfterKey = aStream.mPageKey;
  aActions.emplace_back(std::move(call));
}

// Whether the view knows all of the stream that was stored before the question was asked.
bool
IsCurrentFor(const ViewStream& aStream, const StatusQuery& aQuestion)
{
  return aStream.mLoaded && aStream.mCurrentAsOf >= aQuestion.mReceivedAt;
}

const ViewedJob*
FindKnown(const StatusView& aView, const JobId& aId)
{
  auto found = aView.mJobs.find(aId);
  return found == aView.mJobs.end() || !found->second.mIsKnown ? nullptr : &found->second;
}

// Progress tells all of a job that has begun; the definitions tell whether there is one at all.
bool
NeedsDefinitions(const StatusView& aView, const StatusQuery& aQuestion)
{
  return aQuestion.mIsCountQuery || FindKnown(aView, aQuestion.mJob) == nullptr;
}

std::optional<ViewAnswer>
Answer(const StatusView& aView, const StatusQuery& aQuestion, Instant aNow)
{
  ViewAnswer answer;
  answer.mQuery = aQuestion;
  const auto* known = FindKnown(aView, aQuestion.mJob);
  // What is final stays so, however old the view is.
  if (!aQuestion.mIsCountQuery && known != nullptr && IsFinal(known->mPhase)) {
    answer.mJob = *known;
    return answer;
  }
  auto isCovered =
    IsCurrentFor(aView.mProgress, aQuestion) &&
    (!NeedsDefinitions(aView, aQuestion) || IsCurrentFor(aView.mDefinitions, aQuestion));
  if (isCovered) {
    if (known != nullptr) {
      answer.mJob = *known;
    }
    answer.mCount =
      std::count_if(aView.mPendingJobQueues.begin(),
                    aView.mPendingJobQueues.end(),
                    [&](const auto& aEntry) { return aEntry.second == aQuestion.mQueue; });
    return answer;
  }
  if (aNow >= aQuestion.mDeadline) {
    answer.mTimedOut = true;
    return answer;
  }
  return std::nullopt;
}

}

void
AddQuery(StatusView& aView, StatusQuery aQuestion)
{
  aView.mQueries.push_back(std::move(aQuestion));
}

void
OnViewRead(StatusView& aView, const Now& aNow, const ReadAnswer& aAnswer)
{
  auto& stream = StreamOf(aView, aAnswer.mCall.mStream);
  stream.mInFlight = false;
  if (aAnswer.mTrimmed) {
    stream.mLoaded = false;
    stream.mPageKey.clear();
    stream.mPagedEnd = -1;
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    stream.mRetryAt = aNow.mAt + kRetryPause;
    return;
  }
  ApplyRecords(aView, stream.mStream, aAnswer.mRecords);
  if (!aAnswer.mRecords.empty()) {
    stream.mPosition = aAnswer.mRecords.back().mOffset + 1;
  }
  if (stream.mPosition >= aAnswer.mEnd) {
    stream.mCurrentAsOf = aAnswer.mSentAt;
  }
}

void
OnViewReadNewest(StatusView& aView, const Now& aNow, const ReadNewestAnswer& aAnswer)
{
  auto& stream = StreamOf(aView, aAnswer.mCall.mStream);
  stream.mInFlight = false;
  if (aAnswer.mResult != CallResult::Done) {
    stream.mRetryAt = aNow.mAt + kRetryPause;
    return;
  }
  if (stream.mPagedEnd < 0) {
    stream.mPagedEnd = aAnswer.mEnd;
  }
  ApplyRecords(aView, stream.mStream, aAnswer.mRecords);
  if (aAnswer.mHasMore && !aAnswer.mRecords.empty()) {
    stream.mPageKey = aAnswer.mRecords.back().mKey;
    return;
  }
  // Pages are no snapshot, so that reading goes on from the end that the first page named.
  stream.mPosition = stream.mPagedEnd;
  stream.mLoaded = true;
}

std::vector<ViewAnswer>
AdvanceView(StatusView& aView, const Now& aNow, Actions& aActions)
{
  std::vector<ViewAnswer> answers;
  auto needsProgress = false;
  auto needsDefinitions = false;
  std::erase_if(aView.mQueries, [&](const StatusQuery& aQuestion) {
    if (auto answer = Answer(aView, aQuestion, aNow.mAt)) {
      answers.push_back(*std::move(answer));
      return true;
    }
    if (!IsCurrentFor(aView.mProgress, aQuestion)) {
      needsProgress = true;
    } else {
      needsDefinitions = true;
    }
    return false;
  });
  if (needsProgress) {
    SendRead(aView, aView.mProgress, aNow, aActions);
  }
  if (needsDefinitions) {
    SendRead(aView, aView.mDefinitions, aNow, aActions);
  }
  return answers;
}

}
