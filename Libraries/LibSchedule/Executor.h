#pragma once

#include "LibSchedule/Calls.h"

#include <map>
#include <optional>

// What the owner of a shard knows of one executor: its clock, the lease that holds what runs
// there, and the room that is taken.
namespace sesameseam::schedule {

enum class RunState
{
  // The placement is being written to the log; nothing has been sent.
  Recording,
  Starting,
  Running,
  // Whether it runs is not known: its start was not answered, or another owner made it.
  Uncertain,
  Stopping,
};

struct PlacedRun
{
  Resources mReserved;
  RunState mState = RunState::Recording;
  bool mIsLasting = false;
  bool mIsLatencySensitive = false;
  bool mBestEffort = false;
  // When mState changed last.
  Instant mStateSince;
  int mPercent = 0;
  std::int64_t mLoad = 0;
  std::chrono::milliseconds mTargetTailLatency{ 0 };
  int mPace = 100;
  bool mPacePending = false;
  Instant mPaceSentAt;
  // It is to be stopped, and no call for that was answered yet.
  bool mStopRequested = false;
  bool mStopPending = false;
  Instant mStopRetryAt;
  // It was found running, and its size is not known.
  bool mIsForeign = false;
  // The epoch of the owner that started it.
  std::int64_t mEpoch = 0;
};

// Why an executor gets no new work although it is ready.
enum class DrainReason
{
  None,
  // Its host is about to be taken down.
  ForUpkeep,
  // Its host is about to move to another pool.
  ForMove,
};

struct ClockReading
{
  std::chrono::milliseconds mClock{ 0 };
  Instant mAt;
};

struct Executor
{
  ExecutorEntry mEntry;
  std::optional<ClockReading> mClockReading;
  // By then everything that runs there has surely ended, unless a lease is renewed.
  Instant mLeasesExpiredAt;
  Instant mRenewedAt;
  // The incarnation that the ends and runs below belong to, from its own lists.
  std::int64_t mListedIncarnation = 0;
  // It has answered a hold of this owner, which shut out the former one.
  bool mHasAnsweredHold = false;
  bool mHoldPending = false;
  Instant mHoldSentAt;
  Instant mRetryAt;
  int mUnansweredCalls = 0;
  // The log says that it is silent. Nothing is renewed or started until that is taken back there.
  bool mIsSilent = false;
  // Ends up to here are processed.
  std::int64_t mProcessedEnds = 0;
  // Ends up to here are also in the log and may be acknowledged.
  std::int64_t mRecordedEnds = 0;
  std::int64_t mAcknowledgedEnds = 0;
  std::map<TaskRun, PlacedRun> mRuns;
  DrainReason mDrainReason = DrainReason::None;
  // Its host has yet to be maintained in a wave, so that a task that lasts would soon have to go.
  bool mIsDueForUpkeep = false;
  int mConsecutiveFailures = 0;
  Instant mBackOffUntil;
  // It is among those that the shard looks at before the next sweep.
  bool mIsCheckScheduled = false;
};

struct LeaseLimits
{
  // The longest lease that an executor grants.
  std::chrono::milliseconds mMaximum{ 6000 };
};

// The end of a lease that is renewed now, on the executor's clock.
std::chrono::milliseconds
LeaseEnd(const Executor& aExecutor, const LeaseLimits& aLimits, Instant aNow);

// Notes that the lease may have been renewed until aEnd.
void
UpdateLeaseExpiry(Executor& aExecutor, std::chrono::milliseconds aEnd);

// When the longest lease that is granted now has surely ended.
Instant
LatestLeaseExpiry(const LeaseLimits& aLimits, Instant aNow);

void
UpdateClock(Executor& aExecutor, std::chrono::milliseconds aClock, Instant aNow);

Resources
ReservedRoom(const Executor& aExecutor);

// Whether new work may be placed there.
bool
IsSchedulable(const Executor& aExecutor, Instant aNow);

// Sets the executor apart after repeated failures, for longer with each further one.
void
RecordFailure(Executor& aExecutor, Instant aNow);
void
RecordSuccess(Executor& aExecutor);

}
