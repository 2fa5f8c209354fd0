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
                      const ServiceName& aService,
                      const PlacementRequest& aRequest,
                      Isolation aIsolation)
{
  const auto& executor = *aCandidate.mExecutor;
  const auto& step = *aRequest.mStep;
  // In a full pool most candidates are left out by this one, which is the cheapest.
  if (!Covers(aCandidate.mFree, NeedsOf(step))) {
    return PlacementObstacle::NoRoom;
  }
  if (executor.mEntry.mService != aService) {
    return PlacementObstacle::OtherPool;
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

// The second label of an executor is its rack; the first is its kind.
std::string
RackOf(const ExecutorEntry& aEntry)
{
  return aEntry.mLabels.size() > 1 ? aEntry.mLabels[1] : std::string();
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
  if (step.mBestEffort) {
    cost += kInterferenceCost * aCandidate.mLatencySensitiveRuns;
  }
  if (step.mTargetTailLatency.count() != 0) {
    cost += kInterferenceCost * (aCandidate.mBestEffortRuns + aCandidate.mLatencySensitiveRuns);
  }
  return cost;
}

}

std::vector<Candidate>
MakeCandidates(std::map<ExecutorId, Executor>& aExecutors, Instant aNow)
{
  std::vector<Candidate> candidates;
  for (auto& [id, executor] : aExecutors) {
    if (!IsSchedulable(executor, aNow)) {
      continue;
    }
    Candidate candidate;
    candidate.mExecutor = &executor;
    candidate.mFree = executor.mEntry.mCapacity - ReservedResources(executor);
    candidate.mRack = RackOf(executor.mEntry);
    for (const auto& [name, run] : executor.mRuns) {
      candidate.mLatencySensitiveRuns += run.mIsLatencySensitive ? 1 : 0;
      candidate.mBestEffortRuns += run.mBestEffort ? 1 : 0;
      AddOccupant(candidate.mOccupants, run.mIsolation, run.mIsLongRunning);
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

PlacementObstacle
ObstacleTo(const Candidate& aCandidate,
           const ServiceName& aService,
           const PlacementRequest& aRequest)
{
  auto isolation = IsolationOf(*aRequest.mStep, *aRequest.mTask);
  return ObstacleWithIsolation(aCandidate, aService, aRequest, isolation);
}

Candidate*
ChooseCandidate(std::vector<Candidate>& aCandidates,
                const ServiceName& aService,
                const PlacementRequest& aRequest)
{
  auto isolation = IsolationOf(*aRequest.mStep, *aRequest.mTask);
  Candidate* best = nullptr;
  std::int64_t bestCost = 0;
  for (auto& candidate : aCandidates) {
    if (ObstacleWithIsolation(candidate, aService, aRequest, isolation) !=
        PlacementObstacle::None) {
      continue;
    }
    auto cost = CostOf(candidate, aRequest, isolation);
    if (best == nullptr || cost < bestCost) {
      best = &candidate;
      bestCost = cost;
    }
  }
  return best;
}

void
Reserve(Candidate& aCandidate, const PlacementRequest& aRequest)
{
  const auto& step = *aRequest.mStep;
  aCandidate.mFree = aCandidate.mFree - NeedsOf(step);
  aCandidate.mLatencySensitiveRuns += step.mTargetTailLatency.count() != 0 ? 1 : 0;
  aCandidate.mBestEffortRuns += step.mBestEffort ? 1 : 0;
  AddOccupant(aCandidate.mOccupants, IsolationOf(step, *aRequest.mTask), step.mLongRunning);
}

void
Release(Candidate& aCandidate, const PlacementRequest& aRequest)
{
  const auto& step = *aRequest.mStep;
  aCandidate.mFree = aCandidate.mFree + NeedsOf(step);
  aCandidate.mLatencySensitiveRuns -= step.mTargetTailLatency.count() != 0 ? 1 : 0;
  aCandidate.mBestEffortRuns -= step.mBestEffort ? 1 : 0;
  RemoveOccupant(aCandidate.mOccupants, IsolationOf(step, *aRequest.mTask), step.mLongRunning);
}

}
