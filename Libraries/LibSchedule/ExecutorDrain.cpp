#include "LibSchedule/ExecutorDrain.h"

#include "LibSchedule/ShardEnds.h"

#include <algorithm>

namespace sesameseam::schedule::detail {

namespace {

constexpr int kReadyPercent = 100;
// Time for an executor to answer the last stop call of a former owner.
constexpr Duration kStopMargin = 500ms;
// A heartbeat waits for up to 2 s at its executor. What is known longer than this says no longer
// that a task is at work.
constexpr Duration kMaxAnswerAge = 3s;

bool
IsAvailable(const Shard& aShard, const Attempt& aAttempt, const TaskId& aTask, Instant aNow)
{
  auto executor = aShard.mExecutors.find(aAttempt.mExecutor);
  if (executor == aShard.mExecutors.end() || executor->second.mUnansweredCalls > 0 ||
      aNow - executor->second.mHeartbeatAnsweredAt > kMaxAnswerAge) {
    return false;
  }
  auto run = executor->second.mRuns.find({ aTask, aAttempt.mRun });
  return run != executor->second.mRuns.end() && run->second.mState == RunState::Running &&
         run->second.mPercent == kReadyPercent && !run->second.mStopRequested;
}

}

int
CountUnavailableTasks(const Shard& aShard, Job& aJob, const TaskId& aTask, Instant aNow)
{
  int unavailable = 0;
  auto name = aTask;
  for (name.mIndex = 0;; ++name.mIndex) {
    const auto* task = FindTask(aJob, name);
    if (task == nullptr) {
      return unavailable;
    }
    if (name.mIndex == aTask.mIndex) {
      continue;
    }
    auto isAvailable =
      std::any_of(task->mAttempts.begin(), task->mAttempts.end(), [&](const Attempt& aAttempt) {
        return IsAvailable(aShard, aAttempt, name, aNow);
      });
    unavailable += isAvailable ? 0 : 1;
  }
}

bool
MaySendStop(Shard& aShard,
            const Executor& aExecutor,
            const TaskRun& aName,
            const PlacedRun& aRun,
            Instant aNow)
{
  auto isForDrain = aRun.mIsLongRunning && aRun.mState == RunState::Running &&
                    aExecutor.mDrainReason != DrainReason::None &&
                    aExecutor.mEntry.mState != ExecutorState::Draining;
  auto* job = isForDrain ? FindJob(aShard, aName.mTask.mJob) : nullptr;
  if (job == nullptr || IsFinal(job->mPhase) || FindTask(*job, aName.mTask) == nullptr) {
    return true;
  }
  return CountUnavailableTasks(aShard, *job, aName.mTask, aNow) <
         StepOf(*job, aName.mTask).mMaxUnavailable;
}

void
StopLongRunningTasks(Shard& aShard, Executor& aExecutor, Instant aNow)
{
  auto drains = aExecutor.mEntry.mState == ExecutorState::Draining;
  if (!drains && aExecutor.mDrainReason == DrainReason::None) {
    return;
  }
  // A task that a former owner has stopped is listed as running until it has ended.
  auto knowsStoppedTasks = aNow - aShard.mTakenOverAt > aShard.mSettings.mStopTime + kStopMargin;
  for (auto& [name, run] : aExecutor.mRuns) {
    if (!run.mIsLongRunning || run.mState != RunState::Running || run.mStopRequested) {
      continue;
    }
    auto* job = FindJob(aShard, name.mTask.mJob);
    if (job == nullptr || FindTask(*job, name.mTask) == nullptr) {
      continue;
    }
    const auto& step = job->mDefinition.mSteps[static_cast<std::size_t>(name.mTask.mStep)];
    if (drains || (knowsStoppedTasks &&
                   CountUnavailableTasks(aShard, *job, name.mTask, aNow) < step.mMaxUnavailable)) {
      run.mStopRequested = true;
    }
  }
}

}
