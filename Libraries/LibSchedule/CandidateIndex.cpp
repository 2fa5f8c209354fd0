#include "LibSchedule/CandidateIndex.h"

namespace sesameseam::schedule {

namespace {

// The second label of an executor is its rack; the first is its kind.
const std::string&
RackOf(const ExecutorEntry& aEntry)
{
  static const std::string kNone;
  return aEntry.mLabels.size() > 1 ? aEntry.mLabels[1] : kNone;
}

void
CountRuns(Candidate& aCandidate)
{
  aCandidate.mLatencySensitiveRuns = 0;
  aCandidate.mBestEffortRuns = 0;
  aCandidate.mHasForeignRuns = false;
  aCandidate.mOccupants = {};
  for (const auto& [name, run] : aCandidate.mExecutor->mRuns) {
    aCandidate.mLatencySensitiveRuns += run.mIsLatencySensitive ? 1 : 0;
    aCandidate.mBestEffortRuns += run.mBestEffort ? 1 : 0;
    aCandidate.mHasForeignRuns |= run.mIsForeign;
    AddOccupant(aCandidate.mOccupants, run.mIsolation, run.mIsLongRunning);
  }
}

}

bool
HasLessFree::operator()(const Candidate* aLeft, const Candidate* aRight) const
{
  if (aLeft->mFree.mCpuMillicores != aRight->mFree.mCpuMillicores) {
    return aLeft->mFree.mCpuMillicores < aRight->mFree.mCpuMillicores;
  }
  return aLeft->mExecutor->mEntry.mId < aRight->mExecutor->mEntry.mId;
}

bool
HasLessFree::operator()(const Candidate* aLeft, std::int64_t aMillicores) const
{
  return aLeft->mFree.mCpuMillicores < aMillicores;
}

bool
HasLessFree::operator()(std::int64_t aMillicores, const Candidate* aRight) const
{
  return aMillicores < aRight->mFree.mCpuMillicores;
}

CandidateIndex
MakeCandidates(std::map<ExecutorId, Executor>& aExecutors)
{
  CandidateIndex index;
  for (auto& [id, executor] : aExecutors) {
    UpdateCandidate(index, executor);
  }
  return index;
}

void
UpdateCandidate(CandidateIndex& aIndex, Executor& aExecutor)
{
  auto& candidate = aIndex.mCandidates[&aExecutor];
  candidate.mExecutor = &aExecutor;
  candidate.mRack = RackOf(aExecutor.mEntry);
  CountRuns(candidate);
  auto free = aExecutor.mEntry.mCapacity - ReservedResources(aExecutor);
  // Executors that have left stay known to their shard, and would be searched for ever.
  auto isGone = aExecutor.mEntry.mState == ExecutorState::Gone;
  auto* pool = isGone ? nullptr : &aIndex.mPools[aExecutor.mEntry.mService];
  if (pool != nullptr && candidate.mPool == pool) {
    SetFree(candidate, free);
    return;
  }
  if (candidate.mPool != nullptr) {
    candidate.mPool->erase(candidate.mPlace);
  }
  candidate.mFree = free;
  candidate.mPool = pool;
  if (pool != nullptr) {
    candidate.mPlace = pool->insert(&candidate).first;
  }
}

void
SetFree(Candidate& aCandidate, const Resources& aFree)
{
  if (aCandidate.mFree.mCpuMillicores == aFree.mCpuMillicores) {
    aCandidate.mFree = aFree;
    return;
  }
  auto node = aCandidate.mPool->extract(aCandidate.mPlace);
  aCandidate.mFree = aFree;
  aCandidate.mPlace = aCandidate.mPool->insert(std::move(node)).position;
}

PlacementObstacle
SchedulingObstacle(const Candidate& aCandidate, Instant aNow)
{
  auto obstacle = AvailabilityObstacle(*aCandidate.mExecutor, aNow);
  if (obstacle != PlacementObstacle::None) {
    return obstacle;
  }
  return aCandidate.mHasForeignRuns ? PlacementObstacle::ForeignRuns : PlacementObstacle::None;
}

}
