#include "LibSchedule/StatusView.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 100ms;
// A long answer would keep a host with a slow link from everything else that it reads.
constexpr int kMaxReadKilobytes = 64;

void
ApplyCoverage(StatusView& aView, const KeyedRecord& aRecord)
{
  auto coverage = DecodeStateCoverage(aRecord.mValue);
  if (!coverage.ok() || coverage->mJobsEnd <= aView.mCoveredJobsEnd) {
    // An unreadable record is not logged here: the next owner of the shard reads and logs it.
    return;
  }
  aView.mCoveredJobsEnd = coverage->mJobsEnd;
  std::erase_if(aView.mUncoveredJobs,
                [&](const auto& aEntry) { return aEntry.second.mOffset < aView.mCoveredJobsEnd; });
  aView.mUncovered.mPosition = std::max(aView.mUncovered.mPosition, aView.mCoveredJobsEnd);
}

void
AddToPendingCount(StatusView& aView, const JobState& aState, int aChange)
{
  if (!aState.mRunBy.IsEmpty()) {
    auto& services = aView.mHandedOver[aState.mPendingIn];
    auto& count = services[aState.mRunBy];
    count += aChange;
    if (count == 0) {
      services.erase(aState.mRunBy);
    }
    return;
  }
  if (aState.mPhase == JobPhase::Pending && !aState.mPendingIn.IsEmpty()) {
    aView.mPendingCounts[aState.mPendingIn] += aChange;
  }
}

void
ApplyState(StatusView& aView, const KeyedRecord& aRecord)
{
  if (aRecord.mKey == kStateCoverageKey) {
    ApplyCoverage(aView, aRecord);
    return;
  }
  JobId id(aRecord.mKey);
  auto known = aView.mJobs.find(id);
  if (aRecord.mValue.empty()) {
    if (known != aView.mJobs.end()) {
      AddToPendingCount(aView, known->second, -1);
      aView.mJobs.erase(known);
    }
    return;
  }
  auto state = DecodeJobState(aRecord.mValue);
  if (!state.ok()) {
    // As above.
    return;
  }
  if (known == aView.mJobs.end()) {
    AddToPendingCount(aView, *state, 1);
    aView.mJobs.emplace(id, *std::move(state));
    return;
  }
  // A page may show a newer state than the records that are read after it.
  if (!IsFinal(known->second.mPhase)) {
    AddToPendingCount(aView, known->second, -1);
    AddToPendingCount(aView, *state, 1);
    known->second = *std::move(state);
  }
}

void
ApplyJob(StatusView& aView, const KeyedRecord& aRecord)
{
  auto isJob = !IsCancellationKey(aRecord.mKey) && !IsEndNoticeKey(aRecord.mKey);
  auto isNewJob = !aRecord.mValue.empty() && isJob && aRecord.mOffset >= aView.mCoveredJobsEnd;
  if (!isNewJob) {
    return;
  }
  auto definition = DecodeJob(aRecord.mValue);
  if (!definition.ok()) {
    // Not logged here: the owner of the shard reads the same record and logs the error.
    return;
  }
  auto queue = definition->mRunCount > 0 ? QueueName() : definition->mQueue;
  aView.mUncoveredJobs[JobId(aRecord.mKey)] = { aRecord.mOffset,
                                                std::move(queue),
                                                TenantHashOf(definition->mTenant) };
}

void
ApplyRecords(StatusView& aView, Stream aStream, const std::vector<KeyedRecord>& aRecords)
{
  for (const auto& record : aRecords) {
    if (aStream == Stream::JobStates) {
      ApplyState(aView, record);
    } else {
      ApplyJob(aView, record);
    }
  }
}

ViewStream&
StreamOf(StatusView& aView, Stream aStream)
{
  return aStream == Stream::JobStates ? aView.mStates : aView.mUncovered;
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
    call.mMaxKilobytes = kMaxReadKilobytes;
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

// Whether the view contains everything that was stored in the stream before the query arrived.
bool
IsCurrentFor(const ViewStream& aStream, const StatusQuery& aQuery)
{
  return aStream.mLoaded && aStream.mCurrentAsOf >= aQuery.mReceivedAt;
}

std::optional<JobState>
FindState(const StatusView& aView, const JobId& aId)
{
  auto published = aView.mJobs.find(aId);
  if (published != aView.mJobs.end()) {
    return published->second;
  }
  auto uncovered = aView.mUncoveredJobs.find(aId);
  if (uncovered == aView.mUncoveredJobs.end()) {
    return std::nullopt;
  }
  return JobState{ JobPhase::Pending, uncovered->second.mQueue, uncovered->second.mTenantHash, {} };
}

// Whether a job that is in neither stream does not exist. It may have left the jobs stream after
// its final state was published, so that the states have to be read last.
bool
IsKnownToBeUnknown(const StatusView& aView, const StatusQuery& aQuery)
{
  return IsCurrentFor(aView.mStates, aQuery) && IsCurrentFor(aView.mUncovered, aQuery) &&
         aView.mStates.mCurrentAsOf > aView.mUncovered.mCurrentAsOf;
}

// The published states describe every job that the owner of the shard has read. The rest of the
// jobs stream tells whether an unknown job exists, and completes the count of pending jobs.
bool
IsAnswerable(const StatusView& aView, const StatusQuery& aQuery, bool aIsKnown)
{
  if (aQuery.mIsCountQuery) {
    return IsCurrentFor(aView.mStates, aQuery) && IsCurrentFor(aView.mUncovered, aQuery);
  }
  return aIsKnown ? IsCurrentFor(aView.mStates, aQuery) : IsKnownToBeUnknown(aView, aQuery);
}

std::int64_t
CountPending(const StatusView& aView, const QueueName& aQueue)
{
  auto counted = aView.mPendingCounts.find(aQueue);
  auto published = counted == aView.mPendingCounts.end() ? 0 : counted->second;
  auto uncovered = std::count_if(
    aView.mUncoveredJobs.begin(), aView.mUncoveredJobs.end(), [&](const auto& aEntry) {
      return aEntry.second.mQueue == aQueue && !aView.mJobs.contains(aEntry.first);
    });
  return published + uncovered;
}

std::vector<ServiceName>
ServicesGivenJobs(const StatusView& aView, const QueueName& aQueue)
{
  std::vector<ServiceName> services;
  auto found = aView.mHandedOver.find(aQueue);
  if (found != aView.mHandedOver.end()) {
    for (const auto& [service, count] : found->second) {
      services.push_back(service);
    }
  }
  return services;
}

std::optional<ViewAnswer>
Answer(const StatusView& aView, const StatusQuery& aQuery, Instant aNow)
{
  ViewAnswer answer;
  answer.mQuery = aQuery;
  auto state = FindState(aView, aQuery.mJob);
  if (state) {
    answer.mPhase = state->mPhase;
    answer.mTenantHash = state->mTenantHash;
    answer.mRunBy = state->mRunBy;
  }
  // A final phase never changes, so the view need not be current.
  if (!aQuery.mIsCountQuery && state && IsFinal(state->mPhase)) {
    return answer;
  }
  if (IsAnswerable(aView, aQuery, state.has_value())) {
    if (aQuery.mIsCountQuery) {
      answer.mCount = CountPending(aView, aQuery.mQueue);
      answer.mOthers = ServicesGivenJobs(aView, aQuery.mQueue);
    }
    return answer;
  }
  if (aNow >= aQuery.mDeadline) {
    answer.mPhase.reset();
    answer.mTimedOut = true;
    return answer;
  }
  return std::nullopt;
}

// Loads the newest record of every key instead of the records that are gone.
void
RestartLoad(ViewStream& aStream)
{
  aStream.mLoaded = false;
  aStream.mPageKey.clear();
  aStream.mPagedEnd = -1;
}

// The owner of the shard publishes what it reads within moments, so that the states are read again
// before all jobs are.
void
OnTrimmed(StatusView& aView, ViewStream& aStream)
{
  if (aStream.mStream == Stream::Jobs && aView.mTrimmedAt != aStream.mPosition) {
    aView.mTrimmedAt = aStream.mPosition;
    aView.mStates.mCurrentAsOf = {};
    return;
  }
  RestartLoad(aStream);
}

}

void
AddQuery(StatusView& aView, StatusQuery aQuery)
{
  aView.mQueries.push_back(std::move(aQuery));
}

void
OnViewRead(StatusView& aView, const Now& aNow, const ReadAnswer& aAnswer)
{
  auto& stream = StreamOf(aView, aAnswer.mCall.mStream);
  stream.mInFlight = false;
  if (aAnswer.mTrimmed) {
    OnTrimmed(aView, stream);
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    stream.mRetryAt = aNow.mAt + kRetryPause;
    return;
  }
  ApplyRecords(aView, stream.mStream, aAnswer.mRecords);
  if (!aAnswer.mRecords.empty()) {
    stream.mPosition = std::max(stream.mPosition, aAnswer.mRecords.back().mOffset + 1);
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
  // The pages do not form a snapshot, so reading continues from the end that the first page gave.
  stream.mPosition = std::max(stream.mPosition, stream.mPagedEnd);
  stream.mLoaded = true;
}

std::vector<ViewAnswer>
AdvanceView(StatusView& aView, const Now& aNow, Actions& aActions)
{
  std::vector<ViewAnswer> answers;
  auto needsStates = false;
  auto needsUncovered = false;
  std::erase_if(aView.mQueries, [&](const StatusQuery& aQuery) {
    if (auto answer = Answer(aView, aQuery, aNow.mAt)) {
      answers.push_back(*std::move(answer));
      return true;
    }
    auto needsUncoveredFirst =
      IsCurrentFor(aView.mStates, aQuery) && !IsCurrentFor(aView.mUncovered, aQuery);
    (needsUncoveredFirst ? needsUncovered : needsStates) = true;
    return false;
  });
  if (needsStates) {
    SendRead(aView, aView.mStates, aNow, aActions);
  }
  if (needsUncovered) {
    SendRead(aView, aView.mUncovered, aNow, aActions);
  }
  return answers;
}

}
