#include "LibSchedule/Intake.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryPause = 60ms;
constexpr std::chrono::seconds kRetryAfter = 1s;
// Keeps an append below the maximum request size of the store.
constexpr std::size_t kMaxBatchBytes = 1 << 20;

void
ReplyTo(const WaitingCaller& aCaller, ReplyKind aKind, std::string aReason, Actions& aActions)
{
  Reply reply;
  reply.mTicket = aCaller.mTicket;
  reply.mKind = aKind;
  reply.mReason = std::move(aReason);
  if (aKind == ReplyKind::Refused) {
    reply.mRetryAfter = kRetryAfter;
  }
  aActions.emplace_back(std::move(reply));
}

// Moves records from the front of aPending into a new batch until the batch is full.
IntakeBatch
TakeBatch(IntakeBatch& aPending)
{
  IntakeBatch batch;
  std::size_t bytes = 0;
  std::size_t count = 0;
  while (count < aPending.mRecords.size() && bytes < kMaxBatchBytes) {
    bytes += aPending.mRecords[count].mValue.size();
    ++count;
  }
  auto end = static_cast<std::ptrdiff_t>(count);
  batch.mRecords.assign(std::make_move_iterator(aPending.mRecords.begin()),
                        std::make_move_iterator(aPending.mRecords.begin() + end));
  batch.mCallers.assign(aPending.mCallers.begin(), aPending.mCallers.begin() + end);
  aPending.mRecords.erase(aPending.mRecords.begin(), aPending.mRecords.begin() + end);
  aPending.mCallers.erase(aPending.mCallers.begin(), aPending.mCallers.begin() + end);
  return batch;
}

void
CompleteBatch(Intake& aIntake, PartitionIntake& aPartition, Actions& aActions)
{
  for (const auto& caller : aPartition.mSent->mCallers) {
    ReplyTo(caller, caller.mReplyOnStored, {}, aActions);
    LogEntry entry{ LogLevel::Info, "job-stored", caller.mJob.mValue };
    entry.mTenant = caller.mTenant.mValue;
    entry.mOutcome = caller.mReplyOnStored == ReplyKind::Cancelled ? "cancelled" : "accepted";
    aActions.emplace_back(std::move(entry));
    ++aIntake.mAccepted;
  }
  aPartition.mSent.reset();
  aPartition.mMayBeStored = false;
}

void
Refuse(Intake& aIntake, const WaitingCaller& aCaller, const std::string& aReason, Actions& aActions)
{
  ReplyTo(aCaller, ReplyKind::Refused, aReason, aActions);
  LogEntry entry{ LogLevel::Info, "job-refused", aCaller.mJob.mValue };
  entry.mTenant = aCaller.mTenant.mValue;
  entry.mReason = aReason;
  aActions.emplace_back(std::move(entry));
  ++aIntake.mRefused;
}

// Refuses the whole batch: none of it was stored, and it is not retried.
void
RefuseBatch(Intake& aIntake,
            PartitionIntake& aPartition,
            const std::string& aReason,
            Actions& aActions)
{
  for (const auto& caller : aPartition.mSent->mCallers) {
    Refuse(aIntake, caller, aReason, aActions);
  }
  aPartition.mSent.reset();
}

// Records that wait behind an unanswered append were never sent, so their callers can be refused.
void
RefuseUnsent(Intake& aIntake, IntakeBatch& aPending, Instant aNow, Actions& aActions)
{
  while (!aPending.mCallers.empty() &&
         aNow - aPending.mCallers.front().mArrivedAt > kMaxUnsentAge) {
    Refuse(aIntake, aPending.mCallers.front(), "the log does not answer", aActions);
    aPending.mCallers.erase(aPending.mCallers.begin());
    aPending.mRecords.erase(aPending.mRecords.begin());
  }
}

// Answers callers past their deadline that the outcome is unknown. Their records stay in the batch,
// since they may have been stored.
void
ExpireWaitingCallers(Intake& aIntake, PartitionIntake& aPartition, Instant aNow, Actions& aActions)
{
  std::erase_if(aPartition.mSent->mCallers, [&](const WaitingCaller& aCaller) {
    if (aNow < aCaller.mDeadline) {
      return false;
    }
    ReplyTo(aCaller, ReplyKind::Unknown, "the log did not answer in time", aActions);
    LogEntry entry{ LogLevel::Warning, "job-unknown", aCaller.mJob.mValue };
    entry.mTenant = aCaller.mTenant.mValue;
    entry.mReason = "the log did not answer in time";
    aActions.emplace_back(std::move(entry));
    ++aIntake.mUnknown;
    return true;
  });
}

}

void
EnqueueRecord(Intake& aIntake, int aPartition, LogRecord aRecord, WaitingCaller aCaller)
{
  auto& partition = aIntake.mPartitions[aPartition];
  partition.mPartition = aPartition;
  partition.mPendingBatch.mRecords.push_back(std::move(aRecord));
  partition.mPendingBatch.mCallers.push_back(std::move(aCaller));
}

bool
IsIntakeCall(const AppendCall& aCall)
{
  // Owners set their epoch, which is never 0.
  return aCall.mTicket == 0;
}

void
OnIntakeAnswer(Intake& aIntake, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions)
{
  auto found = aIntake.mPartitions.find(aAnswer.mCall.mPartition);
  if (found == aIntake.mPartitions.end() || !found->second.mSent) {
    return;
  }
  auto& partition = found->second;
  partition.mInFlight = false;
  if (aAnswer.mResult == CallResult::Done) {
    CompleteBatch(aIntake, partition, aActions);
    return;
  }
  if (aAnswer.mResult == CallResult::Refused && !partition.mMayBeStored) {
    RefuseBatch(aIntake, partition, "the log takes no records now", aActions);
    return;
  }
  // The append can be retried: a job is keyed by its id, so storing it twice is idempotent.
  partition.mMayBeStored = true;
  partition.mRetryAt = aNow.mAt + kRetryPause;
}

void
AdvanceIntake(Intake& aIntake, const Now& aNow, Actions& aActions)
{
  for (auto& [number, partition] : aIntake.mPartitions) {
    if (partition.mSent && partition.mMayBeStored) {
      ExpireWaitingCallers(aIntake, partition, aNow.mAt, aActions);
      if (partition.mSent->mCallers.empty() && !partition.mInFlight) {
        partition.mSent.reset();
        partition.mMayBeStored = false;
      }
    }
    if (!partition.mSent && !partition.mPendingBatch.mRecords.empty()) {
      partition.mSent = TakeBatch(partition.mPendingBatch);
    }
    RefuseUnsent(aIntake, partition.mPendingBatch, aNow.mAt, aActions);
    if (!partition.mSent || partition.mInFlight || aNow.mAt < partition.mRetryAt) {
      continue;
    }
    AppendCall call;
    call.mStream = Stream::Jobs;
    call.mPartition = number;
    call.mRecords = partition.mSent->mRecords;
    partition.mInFlight = true;
    aActions.emplace_back(std::move(call));
  }
}

}
