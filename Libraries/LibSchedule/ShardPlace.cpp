#include "LibSchedule/CrashIsolation.h"
#include "LibSchedule/Placement.h"
#include "LibSchedule/PoolContest.h"
#include "LibSchedule/QueueOrder.h"
#include "LibSchedule/Shard.h"

#include <algorithm>
#include <utility>
#include <vector>

// The placement pass over the waiting tasks of a shard.
namespace sesameseam::schedule {

namespace {

// How often tasks are reconsidered that wait for other reasons than free resources.
constexpr Duration kPassInterval = 100ms;
// In a full pool a pass looks at all waiting steps to place only one or two tasks. With this
// minimum interval, several ends accumulate between passes.
constexpr Duration kPassIntervalWhenFull = 20ms;
// A pass looks at the waiting steps of all jobs, so that passes are spaced in proportion to the
// jobs.
constexpr Duration kPassIntervalPerJob = 10us;
constexpr Duration kMaxPassInterval = 20ms;

bool
IsUnplaceable(const UnplaceableNeeds& aUnplaceable, const ReadyStep& aReady)
{
  const auto& needs = aUnplaceable[aReady.mPool];
  return needs && Covers(aReady.mNeeds, *needs);
}

// Whether free resources are the only constraint on where a task of the step may run.
bool
DependsOnCapacityOnly(const Step& aStep)
{
  return aStep.mRequiredLabel.empty() && aStep.mMaxPerExecutor == 0;
}

// The work of one task, by its estimate.
double
CoreSecondsOf(const Step& aStep)
{
  constexpr double kMillicoreMilliseconds = 1'000'000.0;
  return static_cast<double>(NeedsOf(aStep).mCpuMillicores * aStep.mEstimate.count()) /
         kMillicoreMilliseconds;
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
  auto incarnation = aCandidate.mExecutor->mProcess.mIncarnation;
  task->mHighestRun = aRun;
  task->mKeptWaitingSince.reset();
  task->mAttempts.push_back({ aCandidate.mExecutor->mEntry.mId, aRun, incarnation });
  SetTaskState(job, aName, TaskState::Placed);
  TaskRun name{ aName, aRun };
  auto run = detail::MakeRun(job.mDefinition, step, RunState::Recording, aNow);
  run.mTargetTailLatency = step.mTargetTailLatency;
  run.mIsolation = IsolationOf(step, *task);
  run.mIncarnation = incarnation;
  // The candidate has taken the run into account when it was reserved.
  AddRun(aShard.mUsage, *aCandidate.mExecutor, name, run);
  aShard.mRunsToRecord.push_back(name);
  detail::MarkDirty(aShard, job);
  if (!step.mLongRunning) {
    RecordServed(aShard.mTenantShares, job.mDefinition.mTenant, CoreSecondsOf(step), aNow);
  }
}

TaskId
TaskNameOf(const ReadyStep& aReady, int aIndex)
{
  return { aReady.mJob->mId, aReady.mOccurrence, aReady.mStep, aIndex };
}

// What a placement pass has found out so far.
struct PlacementPass
{
  UnplaceableNeeds& mUnplaceable;
  // Suspects that found no executor, by pool.
  std::map<ServiceName, UnplacedSuspects> mUnplacedSuspects;
  Instant mNow;
};

void
AddUnplaced(PlacementPass& aPass, const ServiceName& aPool, Isolation aIsolation)
{
  if (aIsolation == Isolation::None) {
    return;
  }
  auto& unplaced = aPass.mUnplacedSuspects[aPool];
  unplaced.mSuspects += aIsolation == Isolation::AmongSuspects ? 1 : 0;
  unplaced.mAlone += aIsolation == Isolation::Alone ? 1 : 0;
}

const StepState&
StateOf(const ReadyStep& aReady)
{
  return aReady.mJob->mOccurrences[static_cast<std::size_t>(aReady.mOccurrence)]
    .mSteps[static_cast<std::size_t>(aReady.mStep)];
}

// Spares the pass the search for room for steps that need as much, if that is all that the step
// lacks.
void
NoteUnplaceable(PlacementPass& aPass, const ReadyStep& aReady)
{
  const auto& definition = aReady.mJob->mDefinition;
  if (DependsOnCapacityOnly(definition.mSteps[static_cast<std::size_t>(aReady.mStep)])) {
    aPass.mUnplaceable[aReady.mPool] = aReady.mNeeds;
  }
}

// Notes what the waiting tasks of a step lack in quota, provided that there is room for one of
// them. Their needs remain placeable for other tenants. Returns false if there is no room.
bool
HoldBack(Shard& aShard,
         const ReadyStep& aReady,
         const PlacementRequest& aRequest,
         PlacementPass& aPass)
{
  const auto& definition = aReady.mJob->mDefinition;
  if (LacksEnough(aShard.mUsage, definition.mTenant)) {
    return true;
  }
  auto& candidates = aShard.mPlacement.mCandidates;
  if (ChooseCandidate(candidates, definition.mService, aRequest, aPass.mNow) == nullptr) {
    return false;
  }
  const auto& each = aRequest.mStep->mNeeds;
  AddLacking(aShard.mUsage, definition.mTenant, each, StateOf(aReady).mWaiting, aPass.mNow);
  return true;
}

// The candidate for a task. A suspect that has waited to be kept apart for long enough takes one
// beside others.
Candidate*
ChooseCandidateOrJoin(Shard& aShard,
                      const ReadyStep& aReady,
                      const PlacementRequest& aRequest,
                      Task& aTask,
                      Instant aNow)
{
  auto& candidates = aShard.mPlacement.mCandidates;
  const auto& pool = aReady.mJob->mDefinition.mService;
  auto* candidate = ChooseCandidate(candidates, pool, aRequest, aNow);
  if (candidate != nullptr || !MayStopWaiting(*aRequest.mStep, aTask, aNow)) {
    return candidate;
  }
  aTask.mMayJoinOthers = true;
  detail::NoteDemandChange(aShard, *aReady.mJob);
  return ChooseCandidate(candidates, pool, aRequest, aNow);
}

void
PlaceIndependentTasks(Shard& aShard, const ReadyStep& aReady, PlacementPass& aPass)
{
  auto& job = *aReady.mJob;
  const auto& service = job.mDefinition.mService;
  const auto& step = job.mDefinition.mSteps[static_cast<std::size_t>(aReady.mStep)];
  if (!HasFree(aShard.mPlacement.mCandidates, service, aReady.mNeeds.mCpuMillicores) &&
      !aReady.mHasSuspects) {
    NoteUnplaceable(aPass, aReady);
    return;
  }
  auto isUnplaceable = IsUnplaceable(aPass.mUnplaceable, aReady);
  for (int index = 0; index < step.mCount && (!isUnplaceable || aReady.mHasSuspects); ++index) {
    auto name = TaskNameOf(aReady, index);
    auto* task = FindTask(job, name);
    auto isolation = IsolationOf(step, *task);
    auto isSuspect = isolation != Isolation::None;
    auto isWaiting = task->mState == TaskState::Waiting && aPass.mNow >= task->mNotBefore;
    if (!isWaiting || (isUnplaceable && !isSuspect)) {
      continue;
    }
    PlacementRequest request{ &step, task, name };
    if (!HasQuota(aShard.mUsage, job.mDefinition.mTenant, step.mNeeds)) {
      auto hasRoom = HoldBack(aShard, aReady, request, aPass);
      if (!hasRoom && !isSuspect) {
        NoteUnplaceable(aPass, aReady);
      }
      return;
    }
    auto* candidate = ChooseCandidateOrJoin(aShard, aReady, request, *task, aPass.mNow);
    if (candidate != nullptr) {
      // Before the placement is noted: a request is judged by the task as it waits.
      Reserve(*candidate, request);
      PlaceTask(aShard, aReady, name, task->mHighestRun + 1, *candidate, aPass.mNow);
    } else if (isSuspect) {
      AddUnplaced(aPass, service, isolation);
    } else {
      isUnplaceable = true;
      NoteUnplaceable(aPass, aReady);
    }
  }
}

// Whether the whole quota of the tenant does not suffice.
bool
IsWiderThanQuota(const TenantUsage& aUsage, const TenantName& aTenant, const Resources& aNeeds)
{
  auto found = aUsage.mTenants.find(aTenant);
  if (found == aUsage.mTenants.end() || !found->second.mQuota) {
    return false;
  }
  const auto& quota = *found->second.mQuota;
  return !Covers(quota, LimitedPart(aNeeds, quota));
}

// Places either all tasks of a gang or none.
void
PlaceGang(Shard& aShard, const ReadyStep& aReady, PlacementPass& aPass)
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
        ? ChooseCandidateOrJoin(aShard, aReady, { &step, task, name }, *task, aPass.mNow)
        : nullptr;
    if (candidate == nullptr) {
      AddUnplaced(aPass, job.mDefinition.mService, IsolationOf(step, *task));
      break;
    }
    Reserve(*candidate, { &step, task, name });
    places.push_back(candidate);
  }
  auto fits = places.size() == static_cast<std::size_t>(step.mCount);
  auto all = Times(step.mNeeds, step.mCount);
  if (fits && IsWiderThanQuota(aShard.mUsage, job.mDefinition.mTenant, all)) {
    // It can never start as a whole, and must keep no quota from what can.
    fits = false;
  }
  if (fits && !HasQuota(aShard.mUsage, job.mDefinition.mTenant, all)) {
    fits = false;
    AddLacking(aShard.mUsage, job.mDefinition.mTenant, all, 1, aPass.mNow);
  }
  if (!fits) {
    for (std::size_t index = 0; index < places.size(); ++index) {
      auto name = TaskNameOf(aReady, static_cast<int>(index));
      Release(*places[index], { &step, FindTask(job, name), name });
    }
    return;
  }
  for (int index = 0; index < step.mCount; ++index) {
    PlaceTask(aShard,
              aReady,
              TaskNameOf(aReady, index),
              run,
              *places[static_cast<std::size_t>(index)],
              aPass.mNow);
  }
}

void
PlaceStep(Shard& aShard, const ReadyStep& aReady, PlacementPass& aPass)
{
  if (aReady.mIsGang) {
    PlaceGang(aShard, aReady, aPass);
  } else if (!aReady.mHasSuspects && IsUnplaceable(aPass.mUnplaceable, aReady)) {
    // Most steps of a full pool: nothing else of their jobs is looked at.
    aShard.mHasUnplacedTasks = true;
    return;
  } else {
    PlaceIndependentTasks(aShard, aReady, aPass);
  }
  aShard.mHasUnplacedTasks |= StateOf(aReady).mWaiting > 0;
}

// Adjusts the reservations of all pools of the shard. Pools without waiting suspects give theirs
// up.
void
AdjustReservations(Shard& aShard, PlacementPass& aPass)
{
  auto isAnyUnplaced = !aPass.mUnplacedSuspects.empty();
  if (!isAnyUnplaced && !aShard.mPlacement.mHasReservations) {
    return;
  }
  for (const auto& [id, executor] : aShard.mExecutors) {
    if (executor.mIsReservedForSuspects) {
      aPass.mUnplacedSuspects.try_emplace(executor.mEntry.mService);
    }
  }
  for (const auto& [pool, unplaced] : aPass.mUnplacedSuspects) {
    ReserveForSuspects(aShard.mExecutors, pool, unplaced, aPass.mNow);
  }
  aShard.mPlacement.mHasReservations = isAnyUnplaced;
}

// The ready steps in their order. Where tenants share the pools, some of them yield.
std::vector<ReadyStep>&
OrderSteps(Shard& aShard, const Now& aNow)
{
  auto& placement = aShard.mPlacement;
  auto& steps = ReadySteps(placement.mReady, aNow.mWall);
  if (steps.empty() || aShard.mTenantShares.IsEmpty()) {
    return steps;
  }
  steps.clear();
  for (const auto& [id, job] : aShard.mJobs) {
    for (const auto& step : job.mReadySteps) {
      steps.push_back(step);
      steps.back().mIsLate = IsLate(step, aNow.mWall);
    }
  }
  aShard.mYielding =
    MarkYieldingSteps(aShard.mJobs, steps, placement.mCandidates, aShard.mTenantShares, aNow);
  SortReadySteps(steps);
  return steps;
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
  auto& placement = aShard.mPlacement;
  UpdatePlacement(placement, aShard.mExecutors, aShard.mJobs, aNow.mWall);
  ClearLacking(aShard.mUsage);
  aShard.mYielding = {};
  const auto& ready = OrderSteps(aShard, aNow);
  placement.mUnplaceable.assign(placement.mReady.mPools.size(), std::nullopt);
  PlacementPass pass{ placement.mUnplaceable, {}, aNow.mAt };
  for (const auto& step : ready) {
    PlaceStep(aShard, step, pass);
  }
  AdjustReservations(aShard, pass);
  ++aShard.mCounters.mPlacementPasses;
  aShard.mCounters.mStepsExamined += static_cast<std::int64_t>(ready.size());
  aShard.mCounters.mExecutorsExamined += std::exchange(placement.mCandidates.mExamined, 0);
}

}

}
