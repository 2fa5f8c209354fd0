#include "LibSchedule/ShardEnds.h"

#include "LibSchedule/CrashIsolation.h"
#include "LibSchedule/ExecutorBackOff.h"
#include "LibSchedule/ExecutorEnds.h"
#include "LibSchedule/ShardLosses.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sesameseam::schedule::detail {

namespace {

StepState&
StepStateOf(Job& aJob, const TaskId& aTask)
{
  return aJob.mOccurrences[static_cast<std::size_t>(aTask.mOccurrence)]
    .mSteps[static_cast<std::size_t>(aTask.mStep)];
}

// A gang fails as a whole: all failures of its tasks with the same run number count once.
std::size_t
CountFailedRuns(Job& aJob, const TaskId& aTask)
{
  if (!StepOf(aJob, aTask).mGang) {
    return FindTask(aJob, aTask)->mFailedRuns.size();
  }
  std::set<int> runs;
  for (const auto& task : StepStateOf(aJob, aTask).mTasks) {
    runs.insert(task.mFailedRuns.begin(), task.mFailedRuns.end());
  }
  return runs.size();
}

void
StopAttempts(Shard& aShard, const TaskId& aName, const Task& aTask)
{
  for (const auto& attempt : aTask.mAttempts) {
    auto found = aShard.mExecutors.find(attempt.mExecutor);
    if (found != aShard.mExecutors.end()) {
      RequestStop(found->second, { aName, attempt.mRun });
    }
  }
}

void
CompleteTask(Shard& aShard, Job& aJob, const TaskId& aName)
{
  ++aShard.mCounters.mTasksDone;
  auto& tasks = StepStateOf(aJob, aName).mTasks;
  auto first = StepOf(aJob, aName).mGang ? 0 : aName.mIndex;
  auto last = StepOf(aJob, aName).mGang ? static_cast<int>(tasks.size()) - 1 : aName.mIndex;
  for (auto index = first; index <= last; ++index) {
    auto name = aName;
    name.mIndex = index;
    SetTaskState(aJob, name, TaskState::Done);
    StopAttempts(aShard, name, tasks[static_cast<std::size_t>(index)]);
  }
  if (AllDone(aJob)) {
    FinishJob(aShard, aJob, JobPhase::Completed, "all tasks are done");
  }
}

void
RecordFailedRun(Shard& aShard, Job& aJob, const TaskRun& aRun, const ExecutorId& aOn)
{
  ++aShard.mCounters.mTasksFailed;
  auto* task = FindTask(aJob, aRun.mTask);
  auto& failed = task->mFailedRuns;
  if (std::find(failed.begin(), failed.end(), aRun.mRun) == failed.end()) {
    failed.push_back(aRun.mRun);
  }
  task->mFailedOn.push_back(aOn);
  if (StepOf(aJob, aRun.mTask).mLongRunning) {
    failed.clear();
    return;
  }
  if (CountFailedRuns(aJob, aRun.mTask) >= static_cast<std::size_t>(aJob.mDefinition.mAttempts)) {
    auto reason = "a task failed " + std::to_string(aJob.mDefinition.mAttempts) + " times";
    FinishJob(aShard, aJob, JobPhase::Failed, reason);
  }
}

// The evidence that an executor ended because of one of its runs, for the log.
std::string
DescribeEnd(const std::map<ExecutorId, Executor>& aExecutors,
            const Executor& aExecutor,
            const PlacedRun& aRun)
{
  std::string text(NameOf(SignOfEnd(aExecutor, aRun)));
  if (aRun.mBeganAt && aExecutor.mEnded) {
    auto atWork = ToMilliseconds(aExecutor.mEnded->mLatest - *aRun.mBeganAt);
    text += ", begun " + std::to_string(atWork.count()) + " ms before";
  } else {
    text += ", not known to have begun";
  }
  auto bystanders = CountBystanders(aExecutors, aExecutor);
  return text + ", " + std::to_string(bystanders.mEnded) + " of " +
         std::to_string(bystanders.mPresent) + " others at work ended then";
}

// Decides anew whose fault the failures of the step are, and tells the executors on which it has
// failed if that has changed.
void
UpdateBlame(Shard& aShard, Instant aNow, Job& aJob, const TaskId& aTask, Actions& aActions)
{
  auto& outcomes = StepStateOf(aJob, aTask).mOutcomes;
  auto isAtFault = IsAtFault(outcomes, aShard.mExecutors);
  if (isAtFault == outcomes.mIsAtFault) {
    return;
  }
  outcomes.mIsAtFault = isAtFault;
  for (const auto& id : outcomes.mFailedOn) {
    auto found = aShard.mExecutors.find(id);
    if (found != aShard.mExecutors.end()) {
      SetStepAtFault(found->second, StepNameOf(aTask), isAtFault);
      LimitBackOff(aShard.mExecutors, found->second, aNow);
    }
  }
  aShard.mNeedsPlacementPass = true;
  LogEntry entry{ LogLevel::Info, "step-blamed", aJob.mId.mValue };
  entry.mSubject = std::to_string(aTask.mOccurrence) + "." + std::to_string(aTask.mStep);
  entry.mOutcome = isAtFault ? "at fault itself" : "not at fault";
  entry.mReason = "its runs have failed on " + std::to_string(outcomes.mFailedOn.size()) +
                  " executors and " + (outcomes.mHasSucceeded ? "one" : "none") + " has succeeded";
  aActions.emplace_back(std::move(entry));
}

// Counts a failed run, against its executor unless the step is at fault.
void
NoteRunFailed(Shard& aShard,
              Instant aNow,
              Job& aJob,
              Executor& aExecutor,
              const TaskId& aTask,
              Actions& aActions)
{
  auto& outcomes = StepStateOf(aJob, aTask).mOutcomes;
  auto& failedOn = outcomes.mFailedOn;
  if (std::find(failedOn.begin(), failedOn.end(), aExecutor.mEntry.mId) == failedOn.end()) {
    failedOn.push_back(aExecutor.mEntry.mId);
  }
  RecordFailure(aExecutor, StepNameOf(aTask), outcomes.mIsAtFault, aNow);
  UpdateBlame(aShard, aNow, aJob, aTask, aActions);
  LimitBackOff(aShard.mExecutors, aExecutor, aNow);
  if (aExecutor.mProcess.mBackOffUntil > aNow) {
    LogEntry entry{ LogLevel::Info, "executor-put-off", {}, aExecutor.mEntry.mId.mValue };
    entry.mReason = std::to_string(CountFailures(aExecutor)) + " runs in a row have failed there";
    entry.mAge = ToMilliseconds(aExecutor.mProcess.mBackOffUntil - aNow);
    aActions.emplace_back(std::move(entry));
  }
}

// Runs of a task that is less suspected than before need be kept apart no longer.
void
UpdateIsolation(Shard& aShard, Job& aJob, const TaskId& aTask)
{
  const auto* task = FindTask(aJob, aTask);
  if (task == nullptr) {
    return;
  }
  for (const auto& attempt : task->mAttempts) {
    auto& executor = aShard.mExecutors.at(attempt.mExecutor);
    auto run = executor.mRuns.find({ aTask, attempt.mRun });
    if (run != executor.mRuns.end()) {
      run->second.mIsolation = IsolationOf(StepOf(aJob, aTask), *task);
      NoteChange(aShard.mPlacement, executor);
    }
  }
}

// An end frees the resources of its run, whether or not the task is known here.
void
ApplyEnd(Shard& aShard,
         const Now& aNow,
         Executor& aExecutor,
         const TaskEnd& aEnd,
         Actions& aActions)
{
  if (!aExecutor.mRuns.contains(aEnd.mRun)) {
    NoteReturnedRun(aShard, aExecutor, aEnd.mRun, aEnd.mKind, aActions);
  }
  RemoveRun(aShard, aExecutor, aEnd.mRun);
  aShard.mNeedsPlacementPass = true;
  auto* job = FindJob(aShard, aEnd.mRun.mTask.mJob);
  RecordBegin(aShard, job);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aEnd.mRun.mTask);
  if (aEnd.mKind == EndKind::Done) {
    RecordSuccess(aExecutor);
  }
  if (task != nullptr && aEnd.mKind == EndKind::Done) {
    NoteStepSucceeded(aShard, aNow.mAt, *job, aEnd.mRun.mTask, aActions);
  } else if (task != nullptr && aEnd.mKind == EndKind::Failed) {
    NoteRunFailed(aShard, aNow.mAt, *job, aExecutor, aEnd.mRun.mTask, aActions);
  }
  if (task == nullptr || IsFinal(job->mPhase)) {
    return;
  }
  RemoveAttempt(*task, aExecutor.mEntry.mId, aEnd.mRun.mRun);
  MarkDirty(aShard, *job);
  if (task->mState == TaskState::Done) {
    return;
  }
  KeepCheckpoint(*job, aEnd.mRun, aEnd.mCheckpoint);
  if (aEnd.mKind == EndKind::Done && !StepOf(*job, aEnd.mRun.mTask).mLongRunning) {
    CompleteTask(aShard, *job, aEnd.mRun.mTask);
    return;
  }
  if (aEnd.mKind == EndKind::Failed) {
    LogRun("task-failed", aEnd.mRun, aExecutor, "reported by the executor", aActions);
    RecordFailedRun(aShard, *job, aEnd.mRun, aExecutor.mEntry.mId);
  }
  if (task->mAttempts.empty()) {
    SetTaskState(*job, aEnd.mRun.mTask, TaskState::Waiting);
  }
}

}

void
NoteStepSucceeded(Shard& aShard, Instant aNow, Job& aJob, const TaskId& aTask, Actions& aActions)
{
  auto& outcomes = StepStateOf(aJob, aTask).mOutcomes;
  if (!outcomes.mHasSucceeded) {
    outcomes.mHasSucceeded = true;
    UpdateBlame(aShard, aNow, aJob, aTask, aActions);
  }
}

void
RecordCrash(Shard& aShard,
            Executor& aExecutor,
            const TaskRun& aName,
            const PlacedRun& aRun,
            const CrashEvidence& aEvidence,
            Actions& aActions)
{
  ++aShard.mCounters.mTasksCrashed;
  auto* job = FindJob(aShard, aName.mTask.mJob);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aName.mTask);
  if (task == nullptr || IsFinal(job->mPhase) || task->mState == TaskState::Done) {
    return;
  }
  auto end = DescribeEnd(aShard.mExecutors, aExecutor, aRun);
  if (!aEvidence.mIsSuspicious) {
    LogRun("crash-not-counted", aName, aExecutor, std::move(end), aActions);
    return;
  }
  AddCrash(*job, aName.mTask, aEvidence.mCoincidence);
  task->mCrashedOn.push_back(aExecutor.mEntry.mId);
  if (SignOfEnd(aExecutor, aRun) == EndSign::LeftList) {
    aExecutor.mDoubtfulCrashes.push_back({ aName.mTask, aEvidence.mCoincidence });
  }
  MarkDirty(aShard, *job);
  auto count = std::to_string(task->mCrashes) + " executors have crashed under the task";
  LogRun("executor-crashed", aName, aExecutor, count + ": " + end, aActions);
  if (IsToBeGivenUp(StepOf(*job, aName.mTask), *task, aEvidence)) {
    FinishJob(aShard, *job, JobPhase::Failed, count);
  }
}

void
WithdrawCrashes(Shard& aShard, Executor& aExecutor, Actions& aActions)
{
  for (const auto& crash : std::exchange(aExecutor.mDoubtfulCrashes, {})) {
    auto* job = FindJob(aShard, crash.mTask.mJob);
    if (job == nullptr || IsFinal(job->mPhase)) {
      continue;
    }
    WithdrawCrash(*job, crash.mTask, aExecutor.mEntry.mId, crash.mCoincidence);
    UpdateIsolation(aShard, *job, crash.mTask);
    MarkDirty(aShard, *job);
    aShard.mNeedsPlacementPass = true;
    auto process = std::to_string(aExecutor.mProcess.mIncarnation);
    TaskRun name{ crash.mTask, 0 };
    LogRun("crash-withdrawn", name, aExecutor, "process " + process + " has answered", aActions);
  }
}

void
ApplyEnds(Shard& aShard,
          const Now& aNow,
          Executor& aExecutor,
          const HeartbeatAnswer& aAnswer,
          Actions& aActions)
{
  for (const auto& end : aAnswer.mEnds) {
    if (end.mNumber <= aExecutor.mProcess.mProcessedEnds) {
      continue;
    }
    ApplyEnd(aShard, aNow, aExecutor, end, aActions);
    aExecutor.mProcess.mProcessedEnds = end.mNumber;
    aShard.mEndsToRecord[aExecutor.mEntry.mId] = end.mNumber;
  }
}

const Step&
StepOf(const Job& aJob, const TaskId& aTask)
{
  return aJob.mDefinition.mSteps[static_cast<std::size_t>(aTask.mStep)];
}

void
RemoveAttempt(Task& aTask, const ExecutorId& aExecutor, int aRun)
{
  std::erase_if(aTask.mAttempts, [&](const Attempt& aAttempt) {
    return aAttempt.mRun == aRun && aAttempt.mExecutor == aExecutor;
  });
}

void
LogRun(std::string_view aEvent,
       const TaskRun& aRun,
       const Executor& aExecutor,
       std::string aReason,
       Actions& aActions)
{
  LogEntry entry{ LogLevel::Info, aEvent, aRun.mTask.mJob.mValue, aExecutor.mEntry.mId.mValue };
  entry.mOutcome = std::to_string(aRun.mTask.mOccurrence) + "." + std::to_string(aRun.mTask.mStep) +
                   "." + std::to_string(aRun.mTask.mIndex) + " run " + std::to_string(aRun.mRun);
  entry.mReason = std::move(aReason);
  aActions.emplace_back(std::move(entry));
}

}
