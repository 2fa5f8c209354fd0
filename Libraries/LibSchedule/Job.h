#pragma once

#include "LibSchedule/Clock.h"
#include "LibSchedule/JobRecords.h"
#include "LibSchedule/Model.h"
#include "LibSchedule/ReadyStep.h"

#include <optional>
#include <vector>

// The progress of a job: which of its tasks wait, which may be running, and which are done.
namespace sesameseam::schedule {

enum class TaskState
{
  Waiting,
  Placed,
  Done,
};

// A run that is not known to have ended.
struct Attempt
{
  ExecutorId mExecutor;
  int mRun = 0;
  // The incarnation of the executor that the run was placed on; 0 if it is unknown.
  std::int64_t mIncarnation = 0;
  // It is known to have begun. Kept for suspects and, once it was listed in the process that it was
  // placed on, for tasks that last.
  bool mHasBegun = false;
};

// Where a task, or a gang as a whole, resumes.
struct Checkpoint
{
  // Opaque; empty if there is none.
  std::string mValue;
  // The run that produced it.
  int mRun = 0;
};

struct Task
{
  TaskState mState = TaskState::Waiting;
  int mHighestRun = 0;
  std::vector<int> mFailedRuns;
  // Not used for a task of a gang.
  Checkpoint mCheckpoint;
  std::vector<Attempt> mAttempts;
  // Executors on which the task has failed; placement prefers others.
  std::vector<ExecutorId> mFailedOn;
  // How many executors have crashed while a run of the task may have been there.
  int mCrashes = 0;
  // How likely it is that all of them would have ended without the task, between 0 and 1.
  double mCoincidence = 1;
  // These executors, as far as this owner has seen them.
  std::vector<ExecutorId> mCrashedOn;
  // Since when it has found no executor on which it would be kept apart.
  std::optional<Instant> mKeptWaitingSince;
  // It has waited for one for too long, and may run beside others until the next crash.
  bool mMayJoinOthers = false;
  Instant mNotBefore;
};

// How the runs of a step have ended, as far as this owner has seen them.
struct StepOutcomes
{
  // Executors on which runs have failed, each once.
  std::vector<ExecutorId> mFailedOn;
  // A run is done or, if it lasts, has been at work.
  bool mHasSucceeded = false;
  // Its failures are taken to be its own fault.
  bool mIsAtFault = false;
};

struct StepState
{
  std::vector<Task> mTasks;
  int mDone = 0;
  int mWaiting = 0;
  // Tasks under which an executor has crashed.
  int mSuspects = 0;
  StepOutcomes mOutcomes;
  // That of all tasks of a gang: a value from any member is valid for the gang, and all members of
  // a run have to start from the same one.
  Checkpoint mGangCheckpoint;
};

struct Occurrence
{
  TimePoint mDueAt;
  std::vector<StepState> mSteps;
};

struct Job
{
  JobId mId;
  JobDefinition mDefinition;
  std::vector<Occurrence> mOccurrences;
  // For each step, the sum of the estimates on the longest path from its start to the job's end.
  std::vector<std::chrono::milliseconds> mCriticalPaths;
  // Running from when an executor is known to have begun a task, which no placement tells.
  JobPhase mPhase = JobPhase::Pending;
  // Why it has ended.
  std::string mEndReason;
  // When the owner of the shard received the job; unset for a job that it loaded when taking over.
  Instant mArrivedAt;
  // Its tenant had sent more than its weight in jobs per second when it came.
  bool mIsBeyondWeight = false;
  // It has changes that are not in the log yet.
  bool mDirty = false;
  // It is among the changed jobs of the shard's placement.
  bool mIsReadinessStale = false;
  // Its steps in the ready queue, and the time for which it stands there as due.
  std::vector<ReadyStep> mReadySteps;
  std::optional<TimePoint> mNextDueAt;
  // It is in DemandSums::mChangedJobs.
  bool mIsDemandChanged = false;
};

// Restores the progress from the log, if there is any. Rows that match no task are ignored.
Job
MakeJob(const JobId& aId, const JobDefinition& aDefinition, const JobProgress* aProgress);

JobProgress
ProgressOf(const Job& aJob);

// An attempt at a task of a job, by name.
struct NamedAttempt
{
  TaskRun mRun;
  ExecutorId mExecutor;
};

// All attempts at tasks of the job that are not known to have ended.
std::vector<NamedAttempt>
AttemptsOf(const Job& aJob);

// What callers are told about the job.
JobState
StateOf(const Job& aJob);

Task*
FindTask(Job& aJob, const TaskId& aName);

// Whether all steps that aStep depends on are done, and the occurrence is due.
bool
IsReady(const Job& aJob, int aOccurrence, int aStep, TimePoint aWall);

// When the last task of the occurrence should have ended: the critical path, stretched by the
// queue's percentage, plus the queue's response goal, counted from the due time.
TimePoint
CompletionObjective(const Job& aJob, int aOccurrence);

// The latest start of a step with which, by the estimates, its job meets the completion objective.
TimePoint
LatestStart(const Job& aJob, int aOccurrence, int aStep);

// CPU time of all tasks of one occurrence, in millicore-seconds.
std::int64_t
WorkOf(const JobDefinition& aDefinition);

// Sets the state of the task and updates the counts of its step.
void
SetTaskState(Job& aJob, const TaskId& aName, TaskState aState);

// What the next run of the task resumes from.
const Checkpoint&
CheckpointOf(const Job& aJob, const TaskId& aName);

// Keeps a checkpoint that a run of the task has reported, unless a later run has reported one.
void
KeepCheckpoint(Job& aJob, const TaskRun& aRun, const std::string& aValue);

// Counts an executor that has crashed under the task. aCoincidence is how likely it would have
// ended without it.
void
AddCrash(Job& aJob, const TaskId& aName, double aCoincidence = 1);

// Forgets one of the crashes under the task: the executor had not crashed.
void
WithdrawCrash(Job& aJob, const TaskId& aName, const ExecutorId& aExecutor, double aCoincidence);

// Forgets the crashes under the task: it has shown that it does not cause them.
void
ClearCrashes(Job& aJob, const TaskId& aName);

// Whether every task of every occurrence is done.
bool
AllDone(const Job& aJob);

// A job with a longer specification is rejected.
inline constexpr std::size_t kMaxSpecBytes = 4000;

// Sets what a job takes from the queue that it is submitted to.
void
ApplyRoute(JobDefinition& aDefinition, const Route& aRoute);

// Why the definition is rejected; empty if it is valid.
std::string
ValidationError(const JobDefinition& aDefinition);

}
