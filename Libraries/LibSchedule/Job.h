#pragma once

#include "LibSchedule/Clock.h"
#include "LibSchedule/JobRecords.h"
#include "LibSchedule/Model.h"

#include <vector>

// How far a job is: which of its tasks wait, which may run somewhere, and which are done.
namespace sesameseam::schedule {

enum class TaskState
{
  Waiting,
  Placed,
  Done,
};

// A run that has not ended, as far as is known.
struct Attempt
{
  ExecutorId mExecutor;
  int mRun = 0;
};

struct Task
{
  TaskState mState = TaskState::Waiting;
  int mHighestRun = 0;
  std::vector<int> mFailedRuns;
  std::string mCheckpoint;
  std::vector<Attempt> mAttempts;
  // Executors on which it failed; others are preferred.
  std::vector<ExecutorId> mFailedOn;
  Instant mNotBefore;
};

struct StepState
{
  std::vector<Task> mTasks;
  int mDone = 0;
  int mWaiting = 0;
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
  // For each step, the longest chain of estimates from its start to the job's end.
  std::vector<std::chrono::milliseconds> mCriticalPaths;
  JobPhase mPhase = JobPhase::Pending;
  // When the owner of the shard saw it come; not set where it was there before the owner.
  Instant mArrivedAt;
  // Something changed that the log doesn't have yet.
  bool mDirty = false;
};

// Takes over how far the job is, where the log says so. Rows that fit no task are left out.
Job
MakeJob(const JobId& aId, const JobDefinition& aDefinition, const JobProgress* aProgress);

JobProgress
ProgressOf(const Job& aJob);

Task*
FindTask(Job& aJob, const TaskId& aName);

// Whether all tasks of the steps that aStep comes after are done, and its time has come.
bool
IsReady(const Job& aJob, int aOccurrence, int aStep, TimePoint aWall);

// When the last task should have ended.
TimePoint
CompletionObjective(const Job& aJob, int aOccurrence);

// When a step has to start, by the estimates, so that its job ends in time.
TimePoint
LatestStart(const Job& aJob, int aOccurrence, int aStep);

// Processor time of all tasks of one occurrence, in thousandths of a core times seconds.
std::int64_t
WorkOf(const JobDefinition& aDefinition);

// Sets the state and keeps the step's counts.
void
SetTaskState(Job& aJob, const TaskId& aName, TaskState aState);

// Whether every task of every occurrence is done.
bool
AllDone(const Job& aJob);

// The longest specification of a job's work that is taken.
inline constexpr std::size_t kMaxSpecBytes = 4000;

// Why the definition can't be accepted; empty if it can.
std::string
ValidationError(const JobDefinition& aDefinition);

}
