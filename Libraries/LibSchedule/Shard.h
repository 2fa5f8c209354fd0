#pragma once

#include "LibSchedule/CrashEvidence.h"
#include "LibSchedule/DemandSums.h"
#include "LibSchedule/Dependency.h"
#include "LibSchedule/EndedJobs.h"
#include "LibSchedule/Executor.h"
#include "LibSchedule/Job.h"
#include "LibSchedule/Lease.h"
#include "LibSchedule/PlacementState.h"
#include "LibSchedule/ShardHandOver.h"
#include "LibSchedule/ShardLoad.h"
#include "LibSchedule/StatePublisher.h"
#include "LibSchedule/TenantShares.h"
#include "LibSchedule/TenantUsage.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// The scheduler of one shard: the jobs of the services that map to one partition. Exactly one
// entry host owns a shard; it holds a fencing token that is higher than those of all former owners.
namespace sesameseam::schedule {

enum class ShardPhase
{
  // Requests a fencing token from the log.
  Claiming,
  // Fences the former owner off from the progress stream.
  Fencing,
  LoadingProgress,
  LoadingJobs,
  Active,
  // Another host took over.
  Lost,
};

struct ShardSettings
{
  std::string mHost;
  LeaseLimits mLease;
  std::chrono::milliseconds mStopTime{ 900 };
  // The number of shards; 0 if there is no other one.
  int mPartitions = 0;
};

// A progress append in flight, and the actions that wait until it is stored.
struct PendingWrite
{
  // When it was first sent under its sequence number. The log answers a repeat as it answered the
  // first sending, also if another owner has fenced it since.
  std::optional<Instant> mFirstSentAt;
  AppendCall mCall;
  bool mInFlight = false;
  Instant mRetryAt;
  std::vector<TaskRun> mStarts;
  std::map<ExecutorId, std::int64_t> mEnds;
  std::vector<JobId> mFinished;
  // Ended jobs whose progress is removed by this append.
  std::vector<JobId> mExpired;
  // Jobs of which it is stored who runs them, or that they were handed over.
  std::vector<JobId> mHandOvers;
  // Executors whose record as unresponsive is removed by this append.
  std::vector<ExecutorId> mResponsiveAgain;
};

struct ShardCounters
{
  std::int64_t mStarts = 0;
  std::int64_t mStartsRefused = 0;
  std::int64_t mStartsUnanswered = 0;
  std::int64_t mTasksDone = 0;
  std::int64_t mTasksFailed = 0;
  std::int64_t mTasksLost = 0;
  // Those of the lost ones whose executor crashed.
  std::int64_t mTasksCrashed = 0;
  // Runs that were taken for ended, and that their executor has listed afterwards as at work.
  std::int64_t mRunsReturned = 0;
  std::int64_t mJobsCompleted = 0;
  std::int64_t mJobsFailed = 0;
  std::int64_t mJobsCancelled = 0;
  // The work of placement passes: how many there were, and how many steps and executors they looked
  // at.
  std::int64_t mPlacementPasses = 0;
  std::int64_t mStepsExamined = 0;
  std::int64_t mExecutorsExamined = 0;
};

// When an executor is checked at the latest, for what becomes due by time alone. Kept apart from
// the executors, so that a sweep reads little memory.
struct ExecutorCheck
{
  Executor* mExecutor = nullptr;
  Instant mAt;
};

struct Shard
{
  int mPartition = 0;
  ShardSettings mSettings;
  ShardPhase mPhase = ShardPhase::Claiming;
  // The fencing token.
  std::int64_t mEpoch = 0;
  Instant mTakenOverAt;
  // When the log had fenced the former owner off. Until then, the former owner may have been
  // confirmed.
  Instant mFencedAt;
  // The last time at which this host was confirmed as the owner, by the log or by the group.
  Instant mConfirmedAt;
  bool mCallPending = false;
  Instant mRetryAt;

  std::map<JobId, Job> mJobs;
  TenantShares mTenantShares;
  EndedJobs mEnded;
  HandOvers mHandOvers;
  std::map<JobId, JobProgress> mLoadedProgress;
  std::int64_t mNextJobsOffset = -1;
  // All jobs and cancellations that were stored before this time are known.
  Instant mJobsCurrentAsOf;
  // The end of the progress stream, as far as this owner has read or written it.
  std::int64_t mProgressEnd = 0;
  StatePublisher mStates;
  std::string mPageKey;

  std::map<ExecutorId, Executor> mExecutors;
  TenantUsage mUsage;
  // How often the entry or the drain of an executor has changed.
  std::int64_t mCapacityChanges = 0;
  // How often an executor has begun or ceased to answer.
  std::int64_t mAnswerChanges = 0;
  DemandSums mDemand;
  // Executors that may need a call at once; all others are checked when their time has come.
  std::vector<Executor*> mExecutorsToCheck;
  std::vector<ExecutorCheck> mChecks;
  Instant mNextSweepAt;
  // Runs whose placement has yet to be written, in the order of placement.
  std::vector<TaskRun> mRunsToRecord;
  std::set<JobId> mDirty;
  // Executors that have become unresponsive or answer again, which is not in the log yet.
  std::set<ExecutorId> mResponsivenessToRecord;
  // Executors that the log records as unresponsive, and when the last lease on each has expired.
  std::map<ExecutorId, TimePoint> mLoadedUnresponsive;
  // The addresses of executors in the log, as this owner found them.
  std::map<ExecutorId, std::string> mLoadedAddresses;
  // Executors that are gone and whose address in the log is removed once they have no runs.
  std::set<ExecutorId> mAddressesToRemove;
  // The last processed end of each executor that waits for the next write.
  std::map<ExecutorId, std::int64_t> mEndsToRecord;
  std::int64_t mSequence = 0;
  std::optional<PendingWrite> mWrite;
  Dependency mProgressLog;
  PlacementState mPlacement;
  bool mNeedsPlacementPass = false;
  Instant mNextPlacementPassAt;
  // The last placement pass could not place all ready tasks.
  bool mHasUnplacedTasks = false;
  Instant mLastPlacementPassAt;
  ShardLoad mLoad;
  YieldCounts mYielding;
  Instant mNextLoadReportAt;
  ShardCounters mCounters;
};

Shard
MakeShard(int aPartition, const ShardSettings& aSettings, Instant aNow);

// Applies a change of the executor list. An executor whose service doesn't belong to the shard gets
// no new work from it.
void
UpdateExecutor(Shard& aShard, const Now& aNow, const ExecutorEntry& aEntry);

void
OnAppendAnswer(Shard& aShard, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);
void
OnNewestAnswer(Shard& aShard, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions);
void
OnReadAnswer(Shard& aShard, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
void
OnHeartbeatAnswer(Shard& aShard,
                  const Now& aNow,
                  const HeartbeatAnswer& aAnswer,
                  Actions& aActions);
void
OnStartAnswer(Shard& aShard, const Now& aNow, const StartAnswer& aAnswer, Actions& aActions);
void
OnStopAnswer(Shard& aShard, const Now& aNow, const StopAnswer& aAnswer, Actions& aActions);
void
OnThrottleAnswer(Shard& aShard, const ThrottleAnswer& aAnswer);

// Performs the work that is due: places waiting tasks, writes progress, renews leases and retries
// calls. To be called after events and at intervals.
void
Advance(Shard& aShard, const Now& aNow, Actions& aActions);

// Records that the log or the group confirmed this host as the owner, by a call made at aAskedAt.
void
ConfirmOwnership(Shard& aShard, Instant aAskedAt);

namespace detail {

// An executor that has restarted knows no fencing token and takes starts of any owner. An owner
// that was suspended therefore confirms that it still is the owner before it sends the starts that
// it prepared.
inline constexpr Duration kMaxUnconfirmedToStart = 1s;

// Whether this host may still act as owner, although the log has not confirmed it lately.
bool
MayActAsOwner(const Shard& aShard, Instant aNow);
// Whether this host may start tasks: as the owner, and with recent knowledge of cancellations.
bool
MayStartTasks(const Shard& aShard, Instant aNow);
bool
MayRenewLeases(const Shard& aShard, Instant aNow);

ExecutorAddress
AddressOf(const Shard& aShard, const Executor& aExecutor);

// The time by which the leases of the former owner have expired on an executor that this owner has
// not reached.
Instant
FormerOwnerLeaseExpiry(const Shard& aShard, const ExecutorId& aExecutor, const Now& aNow);

PlacedRun
MakeRun(const JobDefinition& aJob, const Step& aStep, RunState aState, Instant aNow);

Job*
FindJob(Shard& aShard, const JobId& aId);
void
MarkDirty(Shard& aShard, Job& aJob);
// Has the job measured anew for the demand of its pool, since it came, changed or goes.
void
NoteDemandChange(Shard& aShard, Job& aJob);

// Sets why an executor that reports itself as ready gets no new work.
void
SetDrainReason(Shard& aShard, Executor& aExecutor, DrainReason aReason);

// Adds a run to its executor, or removes it.
void
AddRun(Shard& aShard, Executor& aExecutor, const TaskRun& aName, const PlacedRun& aRun);
void
RemoveRun(Shard& aShard, Executor& aExecutor, const TaskRun& aName);

Job&
AddJob(Shard& aShard, Job aJob);
void
RemoveJob(Shard& aShard, Job& aJob);

// Applies a job or a cancellation from the jobs stream.
void
ApplyJobRecord(Shard& aShard, const Now& aNow, const KeyedRecord& aRecord, Actions& aActions);

// Shows a job as running, if it is known: an executor has begun a task of it. That needs no write
// of its own, since a later owner learns it from the executor, and leaves what is published.
void
RecordBegin(Shard& aShard, Job* aJob);

// Puts a job into a final phase. Its runs are stopped, and its end is published, counted and
// logged, once that phase is stored.
void
FinishJob(Shard& aShard, Job& aJob, JobPhase aPhase, std::string aReason);

// Counts a crash under the run's task, and gives its job up if that is hardly a coincidence.
void
RecordCrash(Shard& aShard,
            Executor& aExecutor,
            const TaskRun& aName,
            const PlacedRun& aRun,
            const CrashEvidence& aEvidence,
            Actions& aActions);

// Removes a run that has stopped without reporting an end. Its task waits again if it has no other
// attempt.
void
DropRun(Shard& aShard, Executor& aExecutor, const TaskRun& aRun);
void
RequestStop(Executor& aExecutor, const TaskRun& aRun);
// Has the executor checked at the next call of Advance().
void
ScheduleCheck(Shard& aShard, Executor& aExecutor);

// Like RequestStop(), but discards a run at once whose start has not been sent.
void
StopOrDiscard(Shard& aShard, Executor& aExecutor, const TaskRun& aRun);

// The parts of Advance(), implemented in separate files.
void
AdvanceLog(Shard& aShard, const Now& aNow, Actions& aActions);
void
AdvanceExecutors(Shard& aShard, const Now& aNow, Actions& aActions);
void
LoseOwnership(Shard& aShard, std::string aReason, Actions& aActions);
void
PlaceTasks(Shard& aShard, const Now& aNow, Actions& aActions);
void
WriteProgress(Shard& aShard, const Now& aNow, Actions& aActions);
void
OnWriteAnswer(Shard& aShard, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);
void
SendStart(Shard& aShard, const Now& aNow, const TaskRun& aRun, Actions& aActions);

}

}
