#pragma once

#include "LibSchedule/Dependency.h"
#include "LibSchedule/Executor.h"
#include "LibSchedule/Job.h"

#include <deque>
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
  // Asks the log for a fencing token.
  Claiming,
  // Shuts the former owner out of the stream of progress.
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
};

// A progress append under way, and what may go on once it is stored.
struct PendingWrite
{
  AppendCall mCall;
  bool mInFlight = false;
  Instant mRetryAt;
  std::vector<TaskRun> mStarts;
  std::map<ExecutorId, std::int64_t> mEnds;
  std::vector<JobId> mFinished;
  // Executors that the log no longer calls silent once this is stored.
  std::vector<ExecutorId> mNoLongerSilent;
};

// A job that has ended and is kept for callers who ask.
struct FinishedJob
{
  JobId mId;
  Instant mAt;
};

struct ShardCounters
{
  std::int64_t mStarts = 0;
  std::int64_t mStartsRefused = 0;
  std::int64_t mStartsUnanswered = 0;
  std::int64_t mTasksDone = 0;
  std::int64_t mTasksFailed = 0;
  std::int64_t mTasksLost = 0;
  std::int64_t mJobsCompleted = 0;
  std::int64_t mJobsFailed = 0;
  std::int64_t mJobsCancelled = 0;
};

struct Shard
{
  int mPartition = 0;
  ShardSettings mSettings;
  ShardPhase mPhase = ShardPhase::Claiming;
  // The fencing token.
  std::int64_t mEpoch = 0;
  Instant mTakenOverAt;
  // The last time at which the log was known to take this host for the owner.
  Instant mConfirmedAt;
  bool mCallPending = false;
  Instant mRetryAt;

  std::map<JobId, Job> mJobs;
  std::set<JobId> mFinished;
  std::deque<FinishedJob> mRetainedJobs;
  std::map<JobId, JobProgress> mLoadedProgress;
  std::int64_t mNextJobsOffset = -1;
  std::string mPageKey;

  std::map<ExecutorId, Executor> mExecutors;
  // Executors that may need a call at once; all others wait for the next sweep.
  std::vector<Executor*> mExecutorsToCheck;
  Instant mNextSweepAt;
  // Runs whose placement is to be written, in the order of their choice.
  std::vector<TaskRun> mRunsToRecord;
  std::set<JobId> mDirty;
  // Executors that have fallen silent or answer again, which the log doesn't say yet.
  std::set<ExecutorId> mSilenceToRecord;
  std::map<ExecutorId, TimePoint> mLoadedSilence;
  // Ends that were processed and wait for the next write.
  std::map<ExecutorId, std::int64_t> mEndsToRecord;
  std::int64_t mSequence = 0;
  std::optional<PendingWrite> mWrite;
  Dependency mProgressLog;
  bool mNeedsPlacementPass = false;
  Instant mNextPlacementPassAt;
  // The last pass left tasks without a place.
  bool mHasUnplacedTasks = false;
  Instant mLastPlacementPassAt;
  ShardCounters mCounters;
};

Shard
MakeShard(int aPartition, const ShardSettings& aSettings, Instant aNow);

// Takes a change of the executor list; an entry whose service doesn't belong to the shard removes
// it from consideration for new work.
void
UpdateExecutor(Shard& aShard, const Now& aNow, const ExecutorEntry& aEntry);

void
OnAppendAnswer(Shard& aShard, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);
void
OnNewestAnswer(Shard& aShard, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions);
void
OnReadAnswer(Shard& aShard, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
void
OnHoldAnswer(Shard& aShard, const Now& aNow, const HeartbeatAnswer& aAnswer, Actions& aActions);
void
OnStartAnswer(Shard& aShard, const Now& aNow, const StartAnswer& aAnswer, Actions& aActions);
void
OnStopAnswer(Shard& aShard, const Now& aNow, const StopAnswer& aAnswer, Actions& aActions);
void
OnPaceAnswer(Shard& aShard, const ThrottleAnswer& aAnswer);

// Does what is due: places waiting tasks, writes, renews leases, repeats calls. To be called after
// events and at intervals.
void
Advance(Shard& aShard, const Now& aNow, Actions& aActions);

// Notes that the group still lists this host as the owner.
void
ConfirmOwnership(Shard& aShard, Instant aAskedAt);

namespace detail {

// Whether this host may still act as owner, although the log has not confirmed it lately.
bool
MayActAsOwner(const Shard& aShard, Instant aNow);
bool
MayRenewLeases(const Shard& aShard, Instant aNow);

ExecutorAddress
AddressOf(const Shard& aShard, const Executor& aExecutor);

// When the lease on an executor has surely ended that this owner has not reached.
Instant
FormerOwnerLeaseExpiry(const Shard& aShard, const ExecutorId& aExecutor, const Now& aNow);

PlacedRun
MakeRun(const Step& aStep, RunState aState, Instant aNow);

Job*
FindJob(Shard& aShard, const JobId& aId);
void
MarkDirty(Shard& aShard, Job& aJob);

// Takes in a job or a cancellation from the stream of jobs.
void
ApplyJobRecord(Shard& aShard, const Now& aNow, const KeyedRecord& aRecord, Actions& aActions);

// Ends a job in a final phase and stops what runs of it.
void
FinishJob(Shard& aShard, Job& aJob, JobPhase aPhase, std::string aReason, Actions& aActions);

// A run is known not to run any more, and has left no end: its task waits again.
void
DropRun(Shard& aShard, Executor& aExecutor, const TaskRun& aRun);
void
RequestStop(Executor& aExecutor, const TaskRun& aRun);
// Lets the shard look at the executor after this event.
void
ScheduleCheck(Shard& aShard, Executor& aExecutor);

// The same, but a run that was not sent yet is forgotten at once.
void
StopOrDiscard(Executor& aExecutor, const TaskRun& aRun);

// The parts of Advance, each in a file of its own.
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
