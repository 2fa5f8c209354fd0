#include "LibSchedule/PlacementPreview.h"

#include "LibSchedule/Placement.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// No caller can choose this id: ids of jobs consist of hexadecimal digits.
const char kPreviewedJob[] = "preview";

int
CountWaiting(const Shard& aShard)
{
  int waiting = 0;
  for (const auto& [id, job] : aShard.mJobs) {
    for (const auto& occurrence : job.mOccurrences) {
      for (const auto& step : occurrence.mSteps) {
        waiting += IsFinal(job.mPhase) || id.mValue == kPreviewedJob ? 0 : step.mWaiting;
      }
    }
  }
  return waiting;
}

// A copy without the pointers into the original.
Shard
CopyShard(const Shard& aShard)
{
  auto copy = aShard;
  copy.mExecutorsToCheck.clear();
  copy.mChecks.clear();
  copy.mDemand = {};
  for (auto& [id, executor] : copy.mExecutors) {
    executor.mIsCheckScheduled = false;
  }
  return copy;
}

void
RunPass(Shard& aShard, const Now& aNow)
{
  Actions none;
  aShard.mNextPlacementPassAt = aNow.mAt;
  detail::PlaceTasks(aShard, aNow, none);
}

std::map<PlacementObstacle, int>
ObstaclesTo(const Shard& aShard, const Now& aNow, const Job& aJob, const PlacementRequest& aRequest)
{
  std::map<PlacementObstacle, int> obstacles;
  const auto& service = aJob.mDefinition.mService;
  for (const auto& [executor, candidate] : aShard.mPlacement.mCandidates.mCandidates) {
    if (executor->mEntry.mService != service) {
      continue;
    }
    auto obstacle = SchedulingObstacle(candidate, aNow.mAt);
    if (obstacle == PlacementObstacle::None) {
      obstacle = ObstacleTo(candidate, aRequest, aNow.mAt);
    }
    if (obstacle != PlacementObstacle::None) {
      ++obstacles[obstacle];
    }
  }
  return obstacles;
}

StepPreview
PreviewStep(const Shard& aShard, const Now& aNow, const Job& aJob, int aStep)
{
  const auto& step = aJob.mDefinition.mSteps[static_cast<std::size_t>(aStep)];
  const auto& state = aJob.mOccurrences.front().mSteps[static_cast<std::size_t>(aStep)];
  StepPreview preview;
  preview.mStep = aStep;
  preview.mIsReady = IsReady(aJob, 0, aStep, aNow.mWall);
  preview.mWaiting = state.mWaiting;
  for (const auto& task : state.mTasks) {
    for (const auto& attempt : task.mAttempts) {
      ++preview.mPlaced[attempt.mExecutor];
    }
  }
  auto waiting = std::find_if(state.mTasks.begin(), state.mTasks.end(), [](const Task& aTask) {
    return aTask.mState == TaskState::Waiting;
  });
  if (preview.mIsReady && waiting != state.mTasks.end()) {
    auto index = static_cast<int>(waiting - state.mTasks.begin());
    PlacementRequest request{ &step, &*waiting, { aJob.mId, 0, aStep, index } };
    preview.mObstacles = ObstaclesTo(aShard, aNow, aJob, request);
    auto needs = Times(step.mNeeds, step.mGang ? step.mCount : 1);
    preview.mIsHeldByQuota = !HasQuota(aShard.mUsage, aJob.mDefinition.mTenant, needs);
  }
  return preview;
}

}

JobPreview
PreviewJob(const Shard& aShard, const Now& aNow, const JobDefinition& aDefinition)
{
  JobPreview preview;
  preview.mMayStart = detail::MayStartTasks(aShard, aNow.mAt);
  preview.mWaitingBefore = CountWaiting(aShard);
  auto copy = CopyShard(aShard);
  auto definition = aDefinition;
  definition.mAcceptedAt = aNow.mWall;
  JobId id(kPreviewedJob);
  auto& job = detail::AddJob(copy, MakeJob(id, definition, nullptr));
  job.mArrivedAt = aNow.mAt;
  job.mIsBeyondWeight = !CountArrival(copy.mTenantShares, definition.mTenant, aNow.mWall);
  RunPass(copy, aNow);
  // A pass may give up executors that were reserved, which only the next one can use.
  RunPass(copy, aNow);
  preview.mWaitingAfter = CountWaiting(copy);
  preview.mIsInTime = true;
  for (int step = 0; step < static_cast<int>(definition.mSteps.size()); ++step) {
    auto late = IsReady(job, 0, step, aNow.mWall) && LatestStart(job, 0, step) < aNow.mWall;
    preview.mIsInTime &= !late;
    preview.mSteps.push_back(PreviewStep(copy, aNow, job, step));
  }
  return preview;
}

}
