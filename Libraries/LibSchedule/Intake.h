#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/JobRecords.h"

#include <map>
#include <optional>
#include <vector>

// Accepts jobs and cancellations at any entry host. Each is stored in the log before its caller is
// answered. Each partition has at most one append in flight; records that arrive meanwhile are
// batched for the next one.
namespace sesameseam::schedule {

// A caller is refused if its record could not be sent to the log within this time.
inline constexpr Duration kMaxUnsentAge = 600ms;

struct WaitingCaller
{
  RequestTicket mTicket = 0;
  ReplyKind mReplyOnStored = ReplyKind::Accepted;
  JobId mJob;
  TenantName mTenant;
  Instant mArrivedAt;
  Instant mDeadline;
};

// Records and, at the same indexes, the callers that wait for them to be stored. Once the batch was
// sent, callers may be removed without their records.
struct IntakeBatch
{
  std::vector<LogRecord> mRecords;
  std::vector<WaitingCaller> mCallers;
};

struct PartitionIntake
{
  int mPartition = 0;
  IntakeBatch mPendingBatch;
  std::optional<IntakeBatch> mSent;
  bool mInFlight = false;
  // An append of the sent batch got no answer, so its records may have been stored.
  bool mMayBeStored = false;
  Instant mRetryAt;
};

struct Intake
{
  std::map<int, PartitionIntake> mPartitions;
  std::int64_t mAccepted = 0;
  std::int64_t mRefused = 0;
  std::int64_t mUnknown = 0;
};

// Adds a record to the next batch of its partition.
void
EnqueueRecord(Intake& aIntake, int aPartition, LogRecord aRecord, WaitingCaller aCaller);
// Whether an append to the jobs stream was made by an intake; the owner of a shard makes others.
bool
IsIntakeCall(const AppendCall& aCall);
void
OnIntakeAnswer(Intake& aIntake, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);
void
AdvanceIntake(Intake& aIntake, const Now& aNow, Actions& aActions);

}
