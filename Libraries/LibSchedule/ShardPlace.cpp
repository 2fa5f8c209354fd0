#include "LibSchedule/Placement.h"
#include "LibSchedule/QueueOrder.h"
#include "LibSchedule/Shard.h"

#include <algorithm>

// The placement pass over the waiting tasks of a shard.
namespace sesameseam::schedule {

namespace {

// How often tasks are reconsidered that wait for other reasons than free resources.
constexpr Duration kPassInterval = 100ms;
// In a full pool each pass examines all waiting tasks to place only one or two of them. With this
// minimum interval, several ends accumulate between passes.
constexpr Duration kPassIntervalWhenFull = 20ms;
// A pass examines all jobs, so that passes are spaced in proportion to their number.
constexpr Duration kPassIntervalPerJob = 10us;
constexpr Duration kMaxPassInterval = 20ms;

// For each service, the needs of a step that could not be placed in this pass. Free resources only
// shrink during a pass, so a step with at least the same needs can't be placed either.
using UnplaceableNeeds = std::map<ServiceName, Resources>;

bool
IsUnplaceable(const UnplaceableNeeds& aUnplaceable,
              const ServiceName& aService,
              const Resources& aNeeds)
{
  auto found = aUnplaceable.find(aService);
  return found != aUnplaceable.end() && Covers(aNeeds, found->second);
}

// Whether free resources are the only constraint on where a task of the step may run.
bool
DependsOnCapacityOnly(const Step& aStep)
{
  return aStep.mRequiredLabel.empty() && aStep.mMaxPerExecutor == 0;
}

void
PlaceTask(Shard& aShard,
          const ReadyStep& aReady,
          const TaskId& aName,
          int aRun,
          Candidate& aCandidate,
          Instant aNow)
{
  auto& job = *aReady.mJob;
  const auto& step = job.mDefinition.mSteps[static_cast<std::size_t>(aName.mStep)];
  auto* task = FindTask(job, aName);
  task->mHighestRun = aRun;
  task->mAttempts.push_back({ aCandidate.mExecutor->mEntry.mId, aRun });
  SetTaskState(job, aName, TaskState::Placed);
  TaskRun name{ aName, aRun };
  auto run = detail::MakeRun(step, RunState::Recording, aNow);
  run.mTargetTailLatency = step.mTargetTailLatency;
  aCandidate.mExecutor->mRuns.emplace(name, run);
  aShard.mRunsToRecord.push_back(name);
  if (job.mPhase == JobPhase::Pending) {
    job.mPhase = JobPhase::Running;
  }
  detail::MarkDirty(aShard, job);
}

TaskId
TaskNameOf(const ReadyStep& aReady, int aIndex)
{
  return { aReady.mJob->mId, aReady.mOccurrence, aReady.mStep, aIndex };
}

void
PlaceIndependentTasks(Shard& aShard,
                      const ReadyStep& aReady,
                      std::vector<Candidate>& aCandidates,
                      UnplaceableNeeds& aUnplaceable,
                      Instant aNow)
{
  auto& job = *aReady.mJob;
  const auto& step = job.mDefinition.mSteps[static_cast<std::size_t>(aReady.mStep)];
  if (IsUnplaceable(aUnplaceable, job.mDefinition.mService, NeedsOf(step))) {
    return;
  }
  for (int index = 0; index < step.mCount; ++index) {
    auto name = TaskNameOf(aReady, index);
    auto* task = FindTask(job, name);
    if (task->mState != TaskState::Waiting || aNow < task->mNotBefore) {
      continue;
    }
    auto* candidate = ChooseCandidate(aCandidates, job.mDefinition.mService, { &step, task, name });
    if (candidate == nullptr) {
      if (DependsOnCapacityOnly(step)) {
        aUnplaceable[job.mDefinition.mService] = NeedsOf(step);
      }
      return;
    }
    PlaceTask(aShard, aReady, name, task->mHighestRun + 1, *candidate, aNow);
    Reserve(*candidate, step);
  }
}

// Places either all tasks of a gang or none.
void
PlaceGang(Shard& aShard, const ReadyStep& aReady, std::vector<Candidate>& aCandidates, Instant aNow)
{
  auto& job = *aReady.mJob;
  const auto& step = job.mDefinition.mSteps[static_cast<std::size_t>(aReady.mStep)];
  std::vector<Candidate*> places;
  int run = 0;
  for (int index = 0; index < step.mCount; ++index) {
    auto name = TaskNameOf(aReady, index);
    auto* task = FindTask(job, name);
    run = std::max(run, task->mHighestRun + 1);
    auto* candidate =
      task->mState == TaskState::Waiting
        ? ChooseCandidate(aCandidates, job.mDefinition.mService, { &step, task, name })
        : nullptr;
    if (candidate == nullptr) {
      break;
    }
    Reserve(*candidate, step);
    places.push_back(candidate);
  }
  if (places.size() < static_cast<std::size_t>(step.mCount)) {
    for (auto* candidate : places) {
      Release(*candidate, step);
    }
    return;
  }
  for (int index = 0; index < step.mCount; ++index) {
    PlaceTask(aShard,
              aReady,
              TaskNameOf(aReady, index),
              run,
              *places[static_cast<std::size_t>(index)],
              aNow);
  }
}

Duration
MinPassInterval(const Shard& aShard)
{
  if (aShard.mHasUnplacedTasks) {
    return kPassIntervalWhenFull;
  }
  auto jobs = static_cast<std::int64_t>(aShard.mJobs.size());
  return std::min(kMaxPassInterval, kPassIntervalPerJob * jobs);
}

}

namespace detail {

void
PlaceTasks(Shard& aShard, const Now& aNow, Actions& /*aActions*/)
{
  auto isTooSoon = aNow.mAt - aShard.mLastPlacementPassAt < MinPassInterval(aShard);
  auto isDue =
    (aShard.mNeedsPlacementPass && !isTooSoon) || aNow.mAt >= aShard.mNextPlacementPassAt;
  if (!isDue || !MayStartTasks(aShard, aNow.mAt)) {
    return;
  }
  aShard.mNeedsPlacementPass = false;
  aShard.mLastPlacementPassAt = aNow.mAt;
  aShard.mHasUnplacedTasks = false;
  aShard.mNextPlacementPassAt = aNow.mAt + kPassInterval;
  std::vector<ReadyStep> ready;
  for (auto& [id, job] : aShard.mJobs) {
    if (!IsFinal(job.mPhase)) {
      CollectReadySteps(job, aNow.mWall, ready);
    }
  }
  if (ready.empty()) {
    return;
  }
  SortReadySteps(ready);
  auto candidates = MakeCandidates(aShard.mExecutors, aNow.mAt);
  UnplaceableNeeds unplaceable;
  for (const auto& step : ready) {
    const auto& definition = step.mJob->mDefinition.mSteps[static_cast<std::size_t>(step.mStep)];
    if (definition.mGang) {
      PlaceGang(aShard, step, candidates, aNow.mAt);
    } else {
      PlaceIndependentTasks(aShard, step, candidates, unplaceable, aNow.mAt);
    }
    const auto& state = step.mJob->mOccurrences[static_cast<std::size_t>(step.mOccurrence)]
                          .mSteps[static_cast<std::size_t>(step.mStep)];
    aShard.mHasUnplacedTasks |= state.mWaiting > 0;
  }
}

}

}
