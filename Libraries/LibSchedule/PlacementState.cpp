#include "LibSchedule/PlacementState.h"

namespace sesameseam::schedule {

namespace {

void
Build(PlacementState& aState,
      std::map<ExecutorId, Executor>& aExecutors,
      std::map<JobId, Job>& aJobs)
{
  aState.mIsBuilt = true;
  aState.mChangedExecutors.clear();
  aState.mChangedJobs.clear();
  for (auto& [id, executor] : aExecutors) {
    aState.mHasReservations |= executor.mIsReservedForSuspects;
    executor.mIsCandidateStale = true;
    aState.mChangedExecutors.push_back(&executor);
  }
  for (auto& [id, job] : aJobs) {
    // They may be those of the shard that this one is a copy of.
    job.mReadySteps.clear();
    job.mNextDueAt.reset();
    job.mIsReadinessStale = true;
    aState.mChangedJobs.push_back(&job);
  }
}

}

void
NoteChange(PlacementState& aState, Executor& aExecutor)
{
  if (aState.mIsBuilt && !aExecutor.mIsCandidateStale) {
    aExecutor.mIsCandidateStale = true;
    aState.mChangedExecutors.push_back(&aExecutor);
  }
}

void
NoteChange(PlacementState& aState, Job& aJob)
{
  if (aState.mIsBuilt && !aJob.mIsReadinessStale) {
    aJob.mIsReadinessStale = true;
    aState.mChangedJobs.push_back(&aJob);
  }
}

void
ForgetJob(PlacementState& aState, Job& aJob)
{
  if (!aState.mIsBuilt) {
    return;
  }
  RemoveJob(aState.mReady, aJob);
  if (aJob.mIsReadinessStale) {
    std::erase(aState.mChangedJobs, &aJob);
  }
}

void
UpdatePlacement(PlacementState& aState,
                std::map<ExecutorId, Executor>& aExecutors,
                std::map<JobId, Job>& aJobs,
                TimePoint aWall)
{
  if (!aState.mIsBuilt) {
    Build(aState, aExecutors, aJobs);
  }
  for (auto* executor : aState.mChangedExecutors) {
    executor->mIsCandidateStale = false;
    UpdateCandidate(aState.mCandidates, *executor);
  }
  aState.mChangedExecutors.clear();
  for (auto* job : aState.mChangedJobs) {
    job->mIsReadinessStale = false;
    UpdateJob(aState.mReady, *job, aWall);
  }
  aState.mChangedJobs.clear();
  UpdateDueJobs(aState.mReady, aWall);
}

}
