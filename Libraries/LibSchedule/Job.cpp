#include "LibSchedule/Job.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// The progress of a job has to fit into one log record.
constexpr int kMaxTasks = 4096;
constexpr std::size_t kMaxSteps = 256;
constexpr int kMaxOccurrences = 1024;
constexpr int kMillicores = 1000;

std::vector<std::chrono::milliseconds>
CriticalPathsOf(const std::vector<Step>& aSteps)
{
  std::vector<std::chrono::milliseconds> chains(aSteps.size());
  for (std::size_t i = aSteps.size(); i-- > 0;) {
    chains[i] += aSteps[i].mEstimate;
    for (auto before : aSteps[i].mDependsOn) {
      auto& chain = chains[static_cast<std::size_t>(before)];
      chain = std::max(chain, chains[i]);
    }
  }
  return chains;
}

// Members of a gang that a former version has stored may have different values. Those of the last
// run are the newest; any of them is valid.
void
RestoreCheckpoint(Job& aJob, const TaskId& aName, const TaskProgress& aProgress)
{
  if (aProgress.mCheckpointRun > CheckpointOf(aJob, aName).mRun) {
    KeepCheckpoint(aJob, { aName, aProgress.mCheckpointRun }, aProgress.mCheckpoint);
  }
}

void
RestoreTask(Job& aJob, const TaskProgress& aProgress)
{
  TaskId name{ aJob.mId, aProgress.mOccurrence, aProgress.mStep, aProgress.mIndex };
  auto* task = FindTask(aJob, name);
  if (task == nullptr) {
    return;
  }
  task->mHighestRun = aProgress.mHighestRun;
  task->mFailedRuns = aProgress.mFailedRuns;
  RestoreCheckpoint(aJob, name, aProgress);
  for (int i = 0; i < aProgress.mCrashes; ++i) {
    AddCrash(aJob, name);
  }
  task->mCoincidence = aProgress.mCoincidence;
  for (const auto& placed : aProgress.mExecutors) {
    task->mAttempts.push_back(
      { placed.mExecutor, aProgress.mHighestRun, placed.mIncarnation, placed.mHasBegun });
  }
  if (aProgress.mDone) {
    SetTaskState(aJob, name, TaskState::Done);
  } else if (!task->mAttempts.empty()) {
    SetTaskState(aJob, name, TaskState::Placed);
  }
}

void
RestoreFinishedStep(Job& aJob, const StepId& aStep)
{
  TaskId name{ aJob.mId, aStep.mOccurrence, aStep.mStep, 0 };
  while (FindTask(aJob, name) != nullptr) {
    SetTaskState(aJob, name, TaskState::Done);
    ++name.mIndex;
  }
}

std::string
StepValidationError(const Step& aStep, int aNumber)
{
  auto name = "step " + std::to_string(aNumber);
  if (aStep.mCount < 1) {
    return name + " has no task";
  }
  if (aStep.mNeeds.mCpuMillicores < 0 || aStep.mNeeds.mMemoryMb < 0 || aStep.mNeeds.mGpus < 0) {
    return name + " asks for less than nothing";
  }
  for (auto before : aStep.mDependsOn) {
    if (before < 0 || before >= aNumber) {
      return name + " comes after step " + std::to_string(before) + ", which is not an earlier one";
    }
  }
  return {};
}

}

Job
MakeJob(const JobId& aId, const JobDefinition& aDefinition, const JobProgress* aProgress)
{
  Job job;
  job.mId = aId;
  job.mDefinition = aDefinition;
  job.mCriticalPaths = CriticalPathsOf(aDefinition.mSteps);
  auto occurrences = std::max(1, aDefinition.mRunCount);
  job.mOccurrences.resize(static_cast<std::size_t>(occurrences));
  auto due = aDefinition.mRunCount > 0 ? aDefinition.mStartTime : aDefinition.mAcceptedAt;
  for (auto& occurrence : job.mOccurrences) {
    occurrence.mDueAt = due;
    due += aDefinition.mInterval;
    for (const auto& step : aDefinition.mSteps) {
      StepState state;
      state.mTasks.resize(static_cast<std::size_t>(step.mCount));
      state.mWaiting = step.mCount;
      occurrence.mSteps.push_back(std::move(state));
    }
  }
  if (aProgress != nullptr) {
    job.mPhase = aProgress->mPhase;
    for (const auto& step : aProgress->mFinishedSteps) {
      RestoreFinishedStep(job, step);
    }
    for (const auto& task : aProgress->mTasks) {
      RestoreTask(job, task);
    }
  }
  return job;
}

namespace {

// Runs of an ended job that are still to be stopped. A later owner has to know whose quota they
// count against.
void
AddRemainingRuns(const Job& aJob, JobProgress& aProgress)
{
  if (aJob.mDefinition.mTenant.mValue.empty()) {
    return;
  }
  for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
    const auto& steps = aJob.mOccurrences[k].mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::size_t i = 0; i < steps[s].mTasks.size(); ++i) {
        TaskProgress row;
        row.mOccurrence = static_cast<int>(k);
        row.mStep = static_cast<int>(s);
        row.mIndex = static_cast<int>(i);
        row.mHighestRun = steps[s].mTasks[i].mHighestRun;
        for (const auto& attempt : steps[s].mTasks[i].mAttempts) {
          row.mExecutors.push_back({ attempt.mExecutor, attempt.mIncarnation });
        }
        if (!row.mExecutors.empty()) {
          aProgress.mTasks.push_back(std::move(row));
        }
      }
    }
  }
}

}

JobProgress
ProgressOf(const Job& aJob)
{
  JobProgress progress;
  progress.mPhase = aJob.mPhase;
  progress.mTenantHash = TenantHashOf(aJob.mDefinition.mTenant);
  if (!aJob.mDefinition.mHome.IsEmpty()) {
    progress.mService = aJob.mDefinition.mService;
  }
  if (IsFinal(aJob.mPhase)) {
    AddRemainingRuns(aJob, progress);
    return progress;
  }
  for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
    const auto& steps = aJob.mOccurrences[k].mSteps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      const auto& tasks = steps[s].mTasks;
      if (steps[s].mDone == static_cast<int>(tasks.size())) {
        progress.mFinishedSteps.push_back({ static_cast<int>(k), static_cast<int>(s) });
        continue;
      }
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        const auto& task = tasks[i];
        auto isDone = task.mState == TaskState::Done;
        if (!isDone && task.mHighestRun == 0) {
          continue;
        }
        TaskProgress row;
        row.mOccurrence = static_cast<int>(k);
        row.mStep = static_cast<int>(s);
        row.mIndex = static_cast<int>(i);
        row.mDone = isDone;
        if (!isDone) {
          row.mHighestRun = task.mHighestRun;
          row.mFailedRuns = task.mFailedRuns;
          const auto& checkpoint =
            CheckpointOf(aJob, { aJob.mId, row.mOccurrence, row.mStep, row.mIndex });
          row.mCheckpoint = checkpoint.mValue;
          row.mCheckpointRun = checkpoint.mRun;
          row.mCrashes = task.mCrashes;
          row.mCoincidence = task.mCoincidence;
          for (const auto& attempt : task.mAttempts) {
            row.mExecutors.push_back(
              { attempt.mExecutor, attempt.mIncarnation, attempt.mHasBegun });
          }
        }
        progress.mTasks.push_back(std::move(row));
      }
    }
  }
  return progress;
}

std::vector<NamedAttempt>
AttemptsOf(const Job& aJob)
{
  std::vector<NamedAttempt> attempts;
  TaskId name{ aJob.mId };
  for (const auto& occurrence : aJob.mOccurrences) {
    name.mStep = 0;
    for (const auto& step : occurrence.mSteps) {
      name.mIndex = 0;
      for (const auto& task : step.mTasks) {
        for (const auto& attempt : task.mAttempts) {
          attempts.push_back({ { name, attempt.mRun }, attempt.mExecutor });
        }
        ++name.mIndex;
      }
      ++name.mStep;
    }
    ++name.mOccurrence;
  }
  return attempts;
}

JobState
StateOf(const Job& aJob)
{
  JobState state;
  state.mPhase = aJob.mPhase;
  state.mTenantHash = TenantHashOf(aJob.mDefinition.mTenant);
  if (aJob.mPhase == JobPhase::Pending && aJob.mDefinition.mRunCount == 0) {
    state.mPendingIn = aJob.mDefinition.mQueue;
  }
  return state;
}

Task*
FindTask(Job& aJob, const TaskId& aName)
{
  auto occurrence = static_cast<std::size_t>(aName.mOccurrence);
  if (occurrence >= aJob.mOccurrences.size()) {
    return nullptr;
  }
  auto& steps = aJob.mOccurrences[occurrence].mSteps;
  auto step = static_cast<std::size_t>(aName.mStep);
  if (step >= steps.size()) {
    return nullptr;
  }
  auto& tasks = steps[step].mTasks;
  auto index = static_cast<std::size_t>(aName.mIndex);
  return index < tasks.size() ? &tasks[index] : nullptr;
}

bool
IsReady(const Job& aJob, int aOccurrence, int aStep, TimePoint aWall)
{
  const auto& occurrence = aJob.mOccurrences[static_cast<std::size_t>(aOccurrence)];
  if (aJob.mDefinition.mRunCount > 0 && aWall < occurrence.mDueAt) {
    return false;
  }
  const auto& step = aJob.mDefinition.mSteps[static_cast<std::size_t>(aStep)];
  return std::all_of(step.mDependsOn.begin(), step.mDependsOn.end(), [&](int aBefore) {
    const auto& before = occurrence.mSteps[static_cast<std::size_t>(aBefore)];
    return before.mDone == static_cast<int>(before.mTasks.size());
  });
}

TimePoint
CompletionObjective(const Job& aJob, int aOccurrence)
{
  constexpr int kPercent = 100;
  auto chain = std::chrono::milliseconds(0);
  for (auto length : aJob.mCriticalPaths) {
    chain = std::max(chain, length);
  }
  const auto& occurrence = aJob.mOccurrences[static_cast<std::size_t>(aOccurrence)];
  return occurrence.mDueAt + chain * aJob.mDefinition.mStretchPercent / kPercent +
         aJob.mDefinition.mResponseGoal;
}

TimePoint
LatestStart(const Job& aJob, int aOccurrence, int aStep)
{
  return CompletionObjective(aJob, aOccurrence) -
         aJob.mCriticalPaths[static_cast<std::size_t>(aStep)];
}

std::int64_t
WorkOf(const JobDefinition& aDefinition)
{
  std::int64_t sum = 0;
  for (const auto& step : aDefinition.mSteps) {
    sum += step.mCount * step.mNeeds.mCpuMillicores * step.mEstimate.count() / kMillicores;
  }
  return sum;
}

void
SetTaskState(Job& aJob, const TaskId& aName, TaskState aState)
{
  auto* task = FindTask(aJob, aName);
  if (task == nullptr || task->mState == aState) {
    return;
  }
  auto& step = aJob.mOccurrences[static_cast<std::size_t>(aName.mOccurrence)]
                 .mSteps[static_cast<std::size_t>(aName.mStep)];
  step.mWaiting -= task->mState == TaskState::Waiting ? 1 : 0;
  step.mDone -= task->mState == TaskState::Done ? 1 : 0;
  task->mState = aState;
  step.mWaiting += aState == TaskState::Waiting ? 1 : 0;
  step.mDone += aState == TaskState::Done ? 1 : 0;
}

namespace {

template<typename AnyJob>
auto&
CheckpointIn(AnyJob& aJob, const TaskId& aName)
{
  auto& state = aJob.mOccurrences[static_cast<std::size_t>(aName.mOccurrence)]
                  .mSteps[static_cast<std::size_t>(aName.mStep)];
  auto isGang = aJob.mDefinition.mSteps[static_cast<std::size_t>(aName.mStep)].mGang;
  return isGang ? state.mGangCheckpoint
                : state.mTasks[static_cast<std::size_t>(aName.mIndex)].mCheckpoint;
}

}

const Checkpoint&
CheckpointOf(const Job& aJob, const TaskId& aName)
{
  return CheckpointIn(aJob, aName);
}

void
KeepCheckpoint(Job& aJob, const TaskRun& aRun, const std::string& aValue)
{
  // The end of a former run may be listed long after its task was started again.
  auto& checkpoint = CheckpointIn(aJob, aRun.mTask);
  if (!aValue.empty() && aRun.mRun >= checkpoint.mRun) {
    checkpoint = { aValue, aRun.mRun };
  }
}

void
AddCrash(Job& aJob, const TaskId& aName, double aCoincidence)
{
  auto* task = FindTask(aJob, aName);
  if (task == nullptr) {
    return;
  }
  auto& step = aJob.mOccurrences[static_cast<std::size_t>(aName.mOccurrence)]
                 .mSteps[static_cast<std::size_t>(aName.mStep)];
  step.mSuspects += task->mCrashes == 0 ? 1 : 0;
  ++task->mCrashes;
  task->mCoincidence *= aCoincidence;
  task->mMayJoinOthers = false;
}

void
WithdrawCrash(Job& aJob, const TaskId& aName, const ExecutorId& aExecutor, double aCoincidence)
{
  auto* task = FindTask(aJob, aName);
  if (task == nullptr) {
    return;
  }
  auto counted = std::find(task->mCrashedOn.begin(), task->mCrashedOn.end(), aExecutor);
  if (counted == task->mCrashedOn.end()) {
    return;
  }
  task->mCrashedOn.erase(counted);
  if (task->mCrashes <= 1) {
    ClearCrashes(aJob, aName);
    return;
  }
  --task->mCrashes;
  task->mCoincidence = std::min(1.0, task->mCoincidence / aCoincidence);
}

void
ClearCrashes(Job& aJob, const TaskId& aName)
{
  auto* task = FindTask(aJob, aName);
  if (task == nullptr || task->mCrashes == 0) {
    return;
  }
  auto& step = aJob.mOccurrences[static_cast<std::size_t>(aName.mOccurrence)]
                 .mSteps[static_cast<std::size_t>(aName.mStep)];
  --step.mSuspects;
  task->mCrashes = 0;
  task->mCoincidence = 1;
  task->mCrashedOn.clear();
  task->mKeptWaitingSince.reset();
  task->mMayJoinOthers = false;
}

bool
AllDone(const Job& aJob)
{
  for (const auto& occurrence : aJob.mOccurrences) {
    for (const auto& step : occurrence.mSteps) {
      if (step.mDone != static_cast<int>(step.mTasks.size())) {
        return false;
      }
    }
  }
  return true;
}

void
ApplyRoute(JobDefinition& aDefinition, const Route& aRoute)
{
  aDefinition.mQueue = aRoute.mQueue;
  aDefinition.mService = aRoute.mService;
  aDefinition.mAttempts = aRoute.mAttempts;
  aDefinition.mPriority = aRoute.mPriority;
  aDefinition.mStretchPercent = aRoute.mStretchPercent;
  aDefinition.mResponseGoal = aRoute.mResponseGoal;
}

std::string
ValidationError(const JobDefinition& aDefinition)
{
  if (aDefinition.mSpec.size() > kMaxSpecBytes) {
    return "spec is longer than " + std::to_string(kMaxSpecBytes) + " bytes";
  }
  if (aDefinition.mSteps.empty()) {
    return "there is no step";
  }
  if (aDefinition.mSteps.size() > kMaxSteps) {
    return "there are more than " + std::to_string(kMaxSteps) + " steps";
  }
  if (aDefinition.mRunCount < 0 || aDefinition.mRunCount > kMaxOccurrences) {
    return "the number of occurrences is not between 0 and " + std::to_string(kMaxOccurrences);
  }
  std::int64_t tasks = 0;
  int number = 0;
  for (const auto& step : aDefinition.mSteps) {
    auto error = StepValidationError(step, number);
    if (!error.empty()) {
      return error;
    }
    tasks += step.mCount;
    ++number;
  }
  if (tasks * std::max(1, aDefinition.mRunCount) > kMaxTasks) {
    return "there are more than " + std::to_string(kMaxTasks) + " tasks";
  }
  return {};
}

}
