#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/JobRecords.h"

#include <map>
#include <optional>
#include <vector>

// Takes in jobs and cancellations at any entry host: each is stored in the log before its caller is
// told so. One append a partition is under way; what comes meanwhile goes with the next.
namespace sesameseam::schedule {

struct WaitingCaller
{
  RequestTicket mTicket = 0;
  ReplyKind mReplyOnStored = ReplyKind::Accepted;
  JobId mJob;
  Instant mArrivedAt;
  Instant mDeadline;
};

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
  // An append of the sent batch got no answer, so that its records may be stored.
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

void
EnqueueRecord(Intake& aIntake, int aPartition, LogRecord aRecord, WaitingCaller aCaller);
void
OnIntakeAnswer(Intake& aIntake, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);
void
AdvanceIntake(Intake& aIntake, const Now& aNow, Actions& aActions);

}
