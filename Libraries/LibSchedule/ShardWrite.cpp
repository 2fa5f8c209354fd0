#include "LibSchedule/ExecutorAddresses.h"
#include "LibSchedule/Shard.h"

#include <algorithm>
#include <utility>

// Writes the progress of jobs to the log. One append is in flight at a time; changes made meanwhile
// go into the next one. Starts, acknowledgements of ends and final states wait until it is stored.
namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryDelay = 60ms;
// Keeps a write well below the maximum request size of the store.
constexpr std::size_t kMaxWriteBytes = 1 << 20;
constexpr std::size_t kMaxExpiredPerWrite = 100;

void
AddExpiredJobs(Shard& aShard, Instant aNow, PendingWrite& aWrite)
{
  aWrite.mExpired = TakeExpired(aShard.mEnded, aNow, kMaxExpiredPerWrite);
  for (const auto& id : aWrite.mExpired) {
    aWrite.mCall.mRecords.push_back({ id.mValue, {} });
  }
}

void
AddChangedJobs(Shard& aShard, PendingWrite& aWrite)
{
  std::size_t bytes = 0;
  while (!aShard.mDirty.empty() && bytes < kMaxWriteBytes) {
    auto id = *aShard.mDirty.begin();
    aShard.mDirty.erase(aShard.mDirty.begin());
    auto* job = detail::FindJob(aShard, id);
    if (job == nullptr) {
      continue;
    }
    job->mDirty = false;
    auto value = EncodeProgress(ProgressOf(*job));
    bytes += value.size();
    aWrite.mCall.mRecords.push_back({ id.mValue, std::move(value) });
    if (IsFinal(job->mPhase)) {
      aWrite.mFinished.push_back(id);
    }
  }
}

void
AddUnresponsiveRecords(Shard& aShard, const Now& aNow, PendingWrite& aWrite)
{
  // A later owner compares the time with the wall clock of its own host.
  constexpr Duration kWallClockError = 2500ms;
  for (const auto& id : std::exchange(aShard.mResponsivenessToRecord, {})) {
    auto found = aShard.mExecutors.find(id);
    if (found == aShard.mExecutors.end()) {
      continue;
    }
    auto& executor = found->second;
    // Without runs there is nothing that a later owner would have to wait for.
    auto answers = executor.mHasAnsweredHeartbeat && executor.mUnansweredCalls == 0;
    if (answers || executor.mRuns.empty()) {
      aWrite.mCall.mRecords.push_back({ LeaseExpiryKey(id), {} });
      aWrite.mResponsiveAgain.push_back(id);
      continue;
    }
    // From here on, no lease is renewed until its unresponsive record is removed from the log.
    executor.mIsUnresponsive = true;
    auto lapsed = aNow.mWall + (LeaseExpiryOfAll(executor) - aNow.mAt) + kWallClockError;
    aWrite.mCall.mRecords.push_back({ LeaseExpiryKey(id), EncodeLeaseExpiry(lapsed) });
  }
}

PendingWrite
MakeWrite(Shard& aShard, const Now& aNow)
{
  PendingWrite write;
  write.mCall.mStream = Stream::Progress;
  write.mCall.mPartition = aShard.mPartition;
  write.mCall.mTicket = aShard.mEpoch;
  AddChangedJobs(aShard, write);
  detail::AddHandOverRecords(aShard, write);
  AddExpiredJobs(aShard, aNow.mAt, write);
  AddUnresponsiveRecords(aShard, aNow, write);
  if (!aShard.mDirty.empty()) {
    // Not all changed jobs fit: starts and ends that may depend on the rest go with the next write.
    return write;
  }
  write.mStarts.swap(aShard.mRunsToRecord);
  write.mEnds.swap(aShard.mEndsToRecord);
  detail::AddAddressRecords(aShard, write);
  return write;
}

// Publishes, counts and logs how a job has ended.
void
ReportEnd(Shard& aShard, const Job& aJob, Actions& aActions)
{
  AddState(aShard.mStates, aJob.mId, StateOf(aJob));
  auto& counters = aShard.mCounters;
  counters.mJobsCompleted += aJob.mPhase == JobPhase::Completed ? 1 : 0;
  counters.mJobsFailed += aJob.mPhase == JobPhase::Failed ? 1 : 0;
  counters.mJobsCancelled += aJob.mPhase == JobPhase::Cancelled ? 1 : 0;
  LogEntry entry{ LogLevel::Info, "job-finished", aJob.mId.mValue, aJob.mDefinition.mQueue.mValue };
  entry.mOutcome = aJob.mPhase == JobPhase::Completed ? "completed"
                   : aJob.mPhase == JobPhase::Failed  ? "failed"
                                                      : "cancelled";
  entry.mTenant = aJob.mDefinition.mTenant.mValue;
  entry.mReason = aJob.mEndReason;
  entry.mVersion = aShard.mEpoch;
  aActions.emplace_back(std::move(entry));
}

// Reports the end of a job, stops its remaining runs, and discards its state except for its id.
void
CloseJob(Shard& aShard, const JobId& aId, Actions& aActions)
{
  auto found = aShard.mJobs.find(aId);
  if (found == aShard.mJobs.end()) {
    return;
  }
  ReportEnd(aShard, found->second, aActions);
  for (const auto& attempt : AttemptsOf(found->second)) {
    auto executor = aShard.mExecutors.find(attempt.mExecutor);
    if (executor != aShard.mExecutors.end()) {
      detail::StopOrDiscard(aShard, executor->second, attempt.mRun);
      detail::ScheduleCheck(aShard, executor->second);
    }
  }
  auto home = detail::OtherHomePartition(aShard, found->second.mDefinition);
  AddEndedJob(aShard.mEnded, aId, home);
  if (found->second.mPhase == JobPhase::Cancelled) {
    AddEndedJobRecord(aShard.mEnded, aId, CancellationKey(aId));
  }
  detail::RemoveJob(aShard, found->second);
}

void
CompleteWrite(Shard& aShard, const Now& aNow, Actions& aActions)
{
  auto write = std::move(*aShard.mWrite);
  aShard.mWrite.reset();
  ++aShard.mSequence;
  for (const auto& [id, number] : write.mEnds) {
    auto found = aShard.mExecutors.find(id);
    if (found != aShard.mExecutors.end()) {
      found->second.mProcess.mRecordedEnds = std::max(found->second.mProcess.mRecordedEnds, number);
      detail::ScheduleCheck(aShard, found->second);
    }
  }
  for (const auto& id : write.mResponsiveAgain) {
    auto found = aShard.mExecutors.find(id);
    if (found != aShard.mExecutors.end() && found->second.mUnansweredCalls == 0) {
      found->second.mIsUnresponsive = false;
      ++aShard.mAnswerChanges;
      aShard.mNeedsPlacementPass = true;
    }
  }
  for (const auto& id : write.mExpired) {
    AddState(aShard.mStates, id, std::nullopt);
  }
  for (const auto& id : write.mHandOvers) {
    detail::OnHandOverRecorded(aShard, id);
  }
  for (const auto& id : write.mFinished) {
    CloseJob(aShard, id, aActions);
  }
  for (const auto& run : write.mStarts) {
    detail::SendStart(aShard, aNow, run, aActions);
  }
}

}

namespace detail {

void
WriteProgress(Shard& aShard, const Now& aNow, Actions& aActions)
{
  if (!aShard.mWrite) {
    auto hasWork = !aShard.mDirty.empty() || !aShard.mEndsToRecord.empty() ||
                   !aShard.mResponsivenessToRecord.empty() ||
                   !aShard.mHandOvers.mToRecord.empty() || HasExpired(aShard.mEnded, aNow.mAt);
    if (!hasWork) {
      return;
    }
    aShard.mWrite = MakeWrite(aShard, aNow);
    if (aShard.mWrite->mCall.mRecords.empty()) {
      // There are only ends of jobs that are already closed, so there is nothing to store.
      --aShard.mSequence;
      CompleteWrite(aShard, aNow, aActions);
      return;
    }
  }
  auto& write = *aShard.mWrite;
  if (write.mInFlight || aNow.mAt < write.mRetryAt) {
    return;
  }
  write.mInFlight = true;
  write.mFirstSentAt = write.mFirstSentAt.value_or(aNow.mAt);
  write.mCall.mFence = AppendFence{ aShard.mEpoch, aShard.mSequence };
  aActions.emplace_back(write.mCall);
}

void
OnWriteAnswer(Shard& aShard, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions)
{
  auto& write = *aShard.mWrite;
  write.mInFlight = false;
  UpdateDependency(aShard.mProgressLog,
                   "progress of shard " + std::to_string(aShard.mPartition),
                   aAnswer.mResult,
                   aNow.mAt,
                   aActions);
  if (aAnswer.mRefusal == AppendRefusal::Fenced) {
    LoseOwnership(aShard, "a later owner has fenced the log", aActions);
    return;
  }
  if (aAnswer.mRefusal == AppendRefusal::Sequence) {
    // The store returns the number that it expects: this write was not stored under any other.
    aShard.mSequence = aAnswer.mExpectedSequence;
    write.mFirstSentAt.reset();
    write.mRetryAt = aNow.mAt;
    return;
  }
  if (aAnswer.mResult != CallResult::Done) {
    // The retry keeps its sequence number, so that the records are stored only once.
    write.mRetryAt = aNow.mAt + kRetryDelay;
    return;
  }
  aShard.mProgressEnd = std::max(aShard.mProgressEnd, aAnswer.mEnd);
  CompleteWrite(aShard, aNow, aActions);
}

}

}
