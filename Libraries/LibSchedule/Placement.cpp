#include "LibSchedule/Placement.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// Costs that count against a candidate. Each one outweighs all smaller ones together, as long as
// fewer than ten runs interfere. The smallest cost is the CPU that would be left free, in
// millicores: the tightest fit keeps capacity free for large tasks elsewhere.
constexpr std::int64_t kFailedBeforeCost = 1'000'000'000;
constexpr std::int64_t kOtherRackCost = 100'000'000;
constexpr std::int64_t kInterferenceCost = 10'000'000;
constexpr std::int64_t kDueForMaintenanceCost = 1'000'000;
// If a suspect crashes its executor, a run that lasts has to start anew elsewhere.
constexpr std::int64_t kSuspectBesideLongRunningCost = kOtherRackCost;

bool
HasLabel(const Executor& aExecutor, const std::string& aLabel)
{
  const auto& labels = aExecutor.mEntry.mLabels;
  return aLabel.empty() || std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

int
CountRunsOfStep(const Executor& aExecutor, const TaskId& aTask)
{
  TaskRun first{ { aTask.mJob, aTask.mOccurrence, aTask.mStep, 0 }, 0 };
  int count = 0;
  for (auto run = aExecutor.mRuns.lower_bound(first); run != aExecutor.mRuns.end(); ++run) {
    const auto& name = run->first.mTask;
    if (name.mJob != aTask.mJob || name.mOccurrence != aTask.mOccurrence ||
        name.mStep != aTask.mStep) {
      break;
    }
    ++count;
  }
  return count;
}

PlacementObstacle
ObstacleWithIsolation(const Candidate& aCandidate,
                      const PlacementRequest& aRequest,
                      Isolation aIsolation,
                      Instant aNow)
{
  const auto& executor = *aCandidate.mExecutor;
  const auto& step = *aRequest.mStep;
  if (!Covers(aCandidate.mFree, NeedsOf(step))) {
    return PlacementObstacle::NoRoom;
  }
  auto obstacle = SchedulingObstacle(aCandidate, aNow);
  if (obstacle != PlacementObstacle::None) {
    return obstacle;
  }
  if (!HasLabel(executor, step.mRequiredLabel)) {
    return PlacementObstacle::MissingLabel;
  }
  if (executor.mIsReservedForSuspects && aIsolation == Isolation::None) {
    return PlacementObstacle::ReservedForSuspects;
  }
  if (!MayJoin(aCandidate.mOccupants, aIsolation, step.mLongRunning)) {
    return PlacementObstacle::Isolation;
  }
  auto isAtLimit =
    step.mMaxPerExecutor != 0 && CountRunsOfStep(executor, aRequest.mName) >= step.mMaxPerExecutor;
  return isAtLimit ? PlacementObstacle::StepLimit : PlacementObstacle::None;
}

std::int64_t
CostOf(const Candidate& aCandidate, const PlacementRequest& aRequest, Isolation aIsolation)
{
  const auto& step = *aRequest.mStep;
  const auto& failedOn = aRequest.mTask->mFailedOn;
  const auto& id = aCandidate.mExecutor->mEntry.mId;
  std::int64_t cost = aCandidate.mFree.mCpuMillicores - NeedsOf(step).mCpuMillicores;
  if (std::find(failedOn.begin(), failedOn.end(), id) != failedOn.end()) {
    cost += kFailedBeforeCost;
  }
  if (!step.mPreferredRack.empty() && aCandidate.mRack != step.mPreferredRack) {
    cost += kOtherRackCost;
  }
  if (step.mLongRunning && aCandidate.mExecutor->mIsDueForMaintenance) {
    cost += kDueForMaintenanceCost;
  }
  if (aIsolation != Isolation::None) {
    cost += kSuspectBesideLongRunningCost * aCandidate.mOccupants.mLongRunning;
  } else if (step.mLongRunning) {
    cost += kSuspectBesideLongRunningCost * aCandidate.mOccupants.mSuspects;
  }
  if (aRequest.mTask->mMayJoinOthers) {
    cost += kInterferenceCost * static_cast<std::int64_t>(aCandidate.mExecutor->mRuns.size());
  }
  if (step.mBestEffort) {
    cost += kInterferenceCost * aCandidate.mLatencySensitiveRuns;
  }
  if (step.mTargetTailLatency.count() != 0) {
    cost += kInterferenceCost * (aCandidate.mBestEffortRuns + aCandidate.mLatencySensitiveRuns);
  }
  return cost;
}

struct CandidateCost
{
  Candidate* mCandidate = nullptr;
  std::int64_t mCost = 0;
};

bool
IsCheaper(const CandidateCost& aLeft, const CandidateCost& aRight)
{
  if (aRight.mCandidate == nullptr || aLeft.mCost != aRight.mCost) {
    return aRight.mCandidate == nullptr || aLeft.mCost < aRight.mCost;
  }
  return aLeft.mCandidate->mExecutor->mEntry.mId < aRight.mCandidate->mExecutor->mEntry.mId;
}

// Whether a candidate, or one that comes after it in the order by free capacity, may cost less than
// the best one so far: its cost is at least what it would have left, and of candidates with as much
// free those with the lower ids come first.
bool
MayBeCheaper(const Candidate& aCandidate, std::int64_t aNeeded, const CandidateCost& aBest)
{
  auto free = aCandidate.mFree.mCpuMillicores;
  auto leastCost = free - aNeeded;
  return leastCost < aBest.mCost ||
         (leastCost == aBest.mCost && free != aBest.mCandidate->mFree.mCpuMillicores);
}

}

PlacementObstacle
ObstacleTo(const Candidate& aCandidate, const PlacementRequest& aRequest, Instant aNow)
{
  auto isolation = IsolationOf(*aRequest.mStep, *aRequest.mTask);
  return ObstacleWithIsolation(aCandidate, aRequest, isolation, aNow);
}

Candidate*
ChooseCandidate(CandidateIndex& aCandidates,
                const ServiceName& aPool,
                const PlacementRequest& aRequest,
                Instant aNow)
{
  auto pool = aCandidates.mPools.find(aPool);
  if (pool == aCandidates.mPools.end()) {
    return nullptr;
  }
  auto isolation = IsolationOf(*aRequest.mStep, *aRequest.mTask);
  auto needed = NeedsOf(*aRequest.mStep).mCpuMillicores;
  CandidateCost best;
  for (auto at = pool->second.lower_bound(needed); at != pool->second.end(); ++at) {
    auto& candidate = **at;
    if (best.mCandidate != nullptr && !MayBeCheaper(candidate, needed, best)) {
      break;
    }
    ++aCandidates.mExamined;
    if (ObstacleWithIsolation(candidate, aRequest, isolation, aNow) == PlacementObstacle::None) {
      CandidateCost cost{ &candidate, CostOf(candidate, aRequest, isolation) };
      best = IsCheaper(cost, best) ? cost : best;
    }
  }
  return best.mCandidate;
}

bool
HasFree(const CandidateIndex& aCandidates, const ServiceName& aPool, std::int64_t aMillicores)
{
  auto pool = aCandidates.mPools.find(aPool);
  return pool != aCandidates.mPools.end() && !pool->second.empty() &&
         (*pool->second.rbegin())->mFree.mCpuMillicores >= aMillicores;
}

void
Reserve(Candidate& aCandidate, const PlacementRequest& aRequest)
{
  const auto& step = *aRequest.mStep;
  SetFree(aCandidate, aCandidate.mFree - NeedsOf(step));
  aCandidate.mLatencySensitiveRuns += step.mTargetTailLatency.count() != 0 ? 1 : 0;
  aCandidate.mBestEffortRuns += step.mBestEffort ? 1 : 0;
  AddOccupant(aCandidate.mOccupants, IsolationOf(step, *aRequest.mTask), step.mLongRunning);
}

void
Release(Candidate& aCandidate, const PlacementRequest& aRequest)
{
  const auto& step = *aRequest.mStep;
  SetFree(aCandidate, aCandidate.mFree + NeedsOf(step));
  aCandidate.mLatencySensitiveRuns -= step.mTargetTailLatency.count() != 0 ? 1 : 0;
  aCandidate.mBestEffortRuns -= step.mBestEffort ? 1 : 0;
  RemoveOccupant(aCandidate.mOccupants, IsolationOf(step, *aRequest.mTask), step.mLongRunning);
}

std::int64_t
detail::CostOf(const Candidate& aCandidate, const PlacementRequest& aRequest)
{
  auto isolation = IsolationOf(*aRequest.mStep, *aRequest.mTask);
  return schedule::CostOf(aCandidate, aRequest, isolation);
}

}
