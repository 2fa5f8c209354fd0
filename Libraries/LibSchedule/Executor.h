#pragma once

#include "LibSchedule/Calls.h"

#include <map>
#include <optional>
#include <string_view>

// State that the owner of a shard keeps for one executor: its clock, the leases of its runs, and
// the resources that they reserve.
namespace sesameseam::schedule {

// The speed of a run that is not throttled, in percent.
inline constexpr int kFullSpeed = 100;

enum class RunState
{
  // The placement is being written to the log; no start has been sent.
  Recording,
  Starting,
  Running,
  // It is unknown whether it runs: its start was not answered, or a former owner placed it.
  Uncertain,
  Stopping,
};

// How a run is kept apart from other runs on its executor.
enum class Isolation
{
  None,
  // An executor has crashed under its task: it runs only beside other suspects.
  AmongSuspects,
  Alone,
};

// The value of an executor's clock, and when it was received here.
struct ClockReading
{
  std::chrono::milliseconds mClock{ 0 };
  Instant mAt;
};

struct PlacedRun
{
  Resources mReserved;
  // Whose quota it counts against, and how much. Empty for a run that counts against none.
  TenantName mTenant;
  Resources mCounted;
  RunState mState = RunState::Recording;
  bool mIsLongRunning = false;
  bool mIsLatencySensitive = false;
  bool mBestEffort = false;
  // When mState was last set.
  Instant mStateSince;
  int mPercent = 0;
  std::int64_t mLoad = 0;
  std::chrono::milliseconds mTargetTailLatency{ 0 };
  // The percentage of its speed that a best-effort run is limited to. Empty while it is unknown: a
  // former owner may have changed it, or a change was not answered.
  std::optional<int> mThrottlePercent;
  bool mThrottlePending = false;
  Instant mThrottleSentAt;
  // A change without an answer, of this owner or a former one, may be carried out until then.
  Instant mThrottleDoubtfulUntil;
  // A stop was requested, and no stop call has been answered yet.
  bool mStopRequested = false;
  bool mStopPending = false;
  Instant mStopRetryAt;
  // The executor listed it but this owner has no record of it, so its size is unknown.
  bool mIsForeign = false;
  // The epoch with which this owner sent its start; 0 if another owner started it.
  std::int64_t mEpoch = 0;
  Isolation mIsolation = Isolation::None;
  // The incarnation of the executor that the run was placed on; 0 if it is unknown.
  std::int64_t mIncarnation = 0;
  // The incarnation that is known to have it; 0 if it is not known which one has, if any.
  std::int64_t mKnownIn = 0;
  // What the clock of the process that has it showed in the answer to its start.
  std::optional<ClockReading> mClockAtStart;
  // When it is first known to have run: its start was answered, or the executor listed it.
  std::optional<Instant> mBeganAt;
  // By this time the leases of a former owner have expired, which has seen the run in the process
  // that it was placed on. Empty for any other run.
  std::optional<Instant> mFormerLeaseExpiredAt;
};

// Why an executor that reports itself as ready gets no new work.
enum class DrainReason
{
  None,
  // Its host is about to go down for maintenance.
  ForMaintenance,
  // Its host is about to move to another pool.
  ForMove,
};

// A step of which an executor has failed runs. Refused starts stand under an empty name.
struct FailedStep
{
  StepName mName;
  int mRuns = 0;
  Instant mLastAt;
  // The failures are the step's own fault, and don't speak against the executor.
  bool mIsAtFault = false;
};

// What the owner has learned of one process of an executor. Another process under the same id knows
// and counts nothing of it, so that all of this is replaced together.
struct ExecutorProcess
{
  // As reported in its heartbeat answers; 0 before the first one.
  std::int64_t mIncarnation = 0;
  std::optional<ClockReading> mClockReading;
  // By this time every run that is known to be in this process has ended, unless a lease is
  // renewed.
  Instant mLeasesExpiredAt;
  // What that was when the process became known, for calls that were sent before.
  Instant mFormerLeasesExpiredAt;
  // The latest end of a lease that was asked for since, on its clock.
  std::chrono::milliseconds mLatestLeaseEnd{ 0 };
  // The number of the last processed end.
  std::int64_t mProcessedEnds = 0;
  // The number of the last end that is also stored in the log and may be acknowledged.
  std::int64_t mRecordedEnds = 0;
  std::int64_t mAcknowledgedEnds = 0;
  // Since its last success.
  std::vector<FailedStep> mFailedSteps;
  // It gets no work until then, since it has refused a start.
  Instant mRefusedUntil;
  // It gets no work until then, since it has failed or refused runs.
  Instant mBackOffUntil;
};

// When the process of an executor ended, as far as its owner can tell.
struct TimeOfEnd
{
  Instant mEarliest;
  Instant mLatest;
  // Runs were there, and suspects among them, one of which may have been the cause.
  bool mHadRuns = false;
  bool mHadSuspects = false;
};

// An executor that left the list under a task was counted as crashed: its process may also have
// been out of reach.
struct CountedCrash
{
  TaskId mTask;
  // How likely it would have ended without the task.
  double mCoincidence = 1;
};

struct Executor
{
  ExecutorEntry mEntry;
  // Its address in the log; empty if the log has none.
  std::string mRecordedAddress;
  ExecutorProcess mProcess;
  // By this time every run there has ended, whichever process has it, unless a lease is renewed.
  Instant mAllLeasesExpiredAt;
  Instant mRenewedAt;
  // It has answered a heartbeat of this owner, which fenced off the former owner.
  bool mHasAnsweredHeartbeat = false;
  bool mHeartbeatPending = false;
  Instant mHeartbeatSentAt;
  Instant mHeartbeatAnsweredAt;
  Instant mRetryAt;
  int mUnansweredCalls = 0;
  // The log records it as unresponsive. No lease is renewed and no run is started until that record
  // is removed from the log.
  bool mIsUnresponsive = false;
  std::map<TaskRun, PlacedRun> mRuns;
  DrainReason mDrainReason = DrainReason::None;
  // Its entry said that it drains before it was removed.
  bool mHasAnnouncedLeave = false;
  // What the last heartbeat met.
  HeartbeatFailure mFailure = HeartbeatFailure::None;
  // It does not answer, or is no longer listed: its process may have ended.
  bool mIsMissing = false;
  // When its process ended, if it did. Kept after it answers again, if it had restarted.
  std::optional<TimeOfEnd> mEnded;
  // Withdrawn if the same process answers again.
  std::vector<CountedCrash> mDoubtfulCrashes;
  // It takes no work but suspects, until none waits.
  bool mIsReservedForSuspects = false;
  // Its host is still due for maintenance in a wave, so that a long-running task would soon
  // have to move.
  bool mIsDueForMaintenance = false;
  // Its place in Shard::mChecks.
  std::size_t mCheckIndex = 0;
  // It is in Shard::mExecutorsToCheck.
  bool mIsCheckScheduled = false;
  // It is among the changed executors of the shard's placement.
  bool mIsCandidateStale = false;
};

// Whether its entry in the list and its last answer are of different processes, so that what is
// known of the one may not hold for the other.
bool
MayHaveRestarted(const Executor& aExecutor);

Resources
ReservedResources(const Executor& aExecutor);

// Why a task can't be placed on an executor at present.
enum class PlacementObstacle
{
  None,
  OtherPool,
  // It has not reported itself as ready, or has not answered this owner yet.
  NotReady,
  Draining,
  Unresponsive,
  // It has failed several runs in a row.
  BackingOff,
  // It has runs whose size is unknown.
  ForeignRuns,
  MissingLabel,
  ReservedForSuspects,
  // The task has to be kept apart from the runs there.
  Isolation,
  // It has as many tasks of the step as one executor may have.
  StepLimit,
  NoRoom,
};

std::string_view
NameOf(PlacementObstacle aObstacle);

// Why no new run may be placed on the executor, whatever its task and whatever runs there; None if
// one may.
PlacementObstacle
AvailabilityObstacle(const Executor& aExecutor, Instant aNow);

// As above, with regard to what runs there.
PlacementObstacle
SchedulingObstacle(const Executor& aExecutor, Instant aNow);

// Whether new runs may be placed on the executor.
bool
IsSchedulable(const Executor& aExecutor, Instant aNow);

}
