#include "LibSchedule/PoolContest.h"

#include "LibSchedule/InTimeSelection.h"

#include <algorithm>
#include <set>

namespace sesameseam::schedule {

namespace {

// A job is large if its work is this many times the mean of those that wait.
constexpr double kLargeJobFactor = 2.0;
constexpr double kMillicores = 1000.0;
// A job that has not begun is planned to start earlier than at the last moment, by this part of the
// time that it takes: estimates are wrong, and one task of many is slow.
constexpr double kEstimateMargin = 0.3;
// And by this time, which passes until a task has started and its end is known.
constexpr Duration kCallMargin = 150ms;

// What the executors of a pool have for jobs: long-running tasks don't make room.
struct PoolRoom
{
  Resources mCapacity;
  Resources mFree;
  // What waits and could be in time.
  Resources mWaiting;
};

using PoolRooms = std::map<ServiceName, PoolRoom>;

Resources
HeldByLongRunning(const Executor& aExecutor)
{
  Resources sum;
  for (const auto& [name, run] : aExecutor.mRuns) {
    if (run.mIsLongRunning) {
      sum = sum + run.mReserved;
    }
  }
  return sum;
}

const Step&
DefinitionOf(const ReadyStep& aReady)
{
  return aReady.mJob->mDefinition.mSteps[static_cast<std::size_t>(aReady.mStep)];
}

const StepState&
StateOf(const ReadyStep& aReady)
{
  return aReady.mJob->mOccurrences[static_cast<std::size_t>(aReady.mOccurrence)]
    .mSteps[static_cast<std::size_t>(aReady.mStep)];
}

// Whether the step takes part in the contest: long-running tasks come first anyway, and what is
// late takes what the others leave.
bool
TakesPart(const ReadyStep& aReady)
{
  return !aReady.mIsLate && !DefinitionOf(aReady).mLongRunning;
}

// Returns the pools in which more waits than is free.
PoolRooms
FindShortPools(const std::vector<ReadyStep>& aSteps,
               const CandidateIndex& aCandidates,
               Instant aNow)
{
  PoolRooms rooms;
  for (const auto& ready : aSteps) {
    if (TakesPart(ready)) {
      auto& room = rooms[ready.mJob->mDefinition.mService];
      room.mWaiting = room.mWaiting + Times(NeedsOf(DefinitionOf(ready)), StateOf(ready).mWaiting);
    }
  }
  for (const auto& [executor, candidate] : aCandidates.mCandidates) {
    auto room = rooms.find(executor->mEntry.mService);
    if (room != rooms.end() && SchedulingObstacle(candidate, aNow) == PlacementObstacle::None) {
      room->second.mFree = room->second.mFree + candidate.mFree;
    }
  }
  std::erase_if(
    rooms, [](const auto& aRoom) { return Covers(aRoom.second.mFree, aRoom.second.mWaiting); });
  for (const auto& [executor, candidate] : aCandidates.mCandidates) {
    auto found = rooms.find(executor->mEntry.mService);
    if (found != rooms.end() && SchedulingObstacle(candidate, aNow) == PlacementObstacle::None) {
      auto& capacity = found->second.mCapacity;
      capacity = capacity + executor->mEntry.mCapacity - HeldByLongRunning(*executor);
    }
  }
  return rooms;
}

double
Part(std::int64_t aAmount, std::int64_t aOf)
{
  // Nothing is known of a resource that no executor reports.
  return aOf > 0 ? static_cast<double>(aAmount) / static_cast<double>(aOf) : 0.0;
}

PoolShares
PartsOf(const Resources& aAmounts, const Resources& aOf)
{
  return { Part(aAmounts.mCpuMillicores, aOf.mCpuMillicores),
           Part(aAmounts.mMemoryMb, aOf.mMemoryMb),
           Part(aAmounts.mGpus, aOf.mGpus) };
}

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// The contest for one pool, and which of the ready steps belong to which of its jobs.
struct PoolContest
{
  PoolBacklog mBacklog;
  Resources mCapacity;
  std::map<TenantName, std::size_t> mTenants;
  // Of the jobs of the contest: all their work, in core-milliseconds.
  std::vector<std::int64_t> mWholeWork;
  // For each ready step of the pool, its index among all of them and that of its job.
  std::vector<std::pair<std::size_t, std::size_t>> mSteps;
};

std::size_t
IndexOfTenant(PoolContest& aContest,
              const TenantName& aTenant,
              const TenantShares& aShares,
              Instant aNow)
{
  auto [found, isNew] = aContest.mTenants.try_emplace(aTenant, aContest.mTenants.size());
  if (isNew) {
    auto cores = static_cast<double>(aContest.mCapacity.mCpuMillicores) / kMillicores;
    auto served = cores > 0 ? ServedShare(aShares, aTenant, aNow) / cores : 0.0;
    aContest.mBacklog.mTenants.push_back({ WeightOf(aShares, aTenant), served });
  }
  return found->second;
}

// Whether a task of the occurrence was placed or is done.
bool
HasBegun(const Occurrence& aOccurrence)
{
  return std::any_of(
    aOccurrence.mSteps.begin(), aOccurrence.mSteps.end(), [](const StepState& aStep) {
      return aStep.mWaiting < static_cast<int>(aStep.mTasks.size());
    });
}

// Jobs under way go on to their end, so that no margin is taken from them.
Duration
MarginOf(const Job& aJob, bool aHasBegun, std::size_t aStep)
{
  if (aHasBegun) {
    return Duration::zero();
  }
  return kCallMargin +
         std::chrono::duration_cast<Duration>(kEstimateMargin * aJob.mCriticalPaths[aStep]);
}

// Adds what is still to be started of an occurrence. Steps whose turn has not come yet need room
// later on.
void
AddOccurrence(PoolContest& aContest, const Job& aJob, int aOccurrence, std::size_t aTenant)
{
  WaitingJob waiting;
  waiting.mTenant = aTenant;
  waiting.mPriority = aJob.mDefinition.mPriority;
  waiting.mIsBeyondWeight = aJob.mIsBeyondWeight;
  waiting.mMustStay = true;
  auto index = aContest.mBacklog.mJobs.size();
  const auto& occurrence = aJob.mOccurrences[static_cast<std::size_t>(aOccurrence)];
  const auto& states = occurrence.mSteps;
  auto objective = CompletionObjective(aJob, aOccurrence);
  auto hasBegun = HasBegun(occurrence);
  for (std::size_t i = 0; i < states.size(); ++i) {
    const auto& step = aJob.mDefinition.mSteps[i];
    if (states[i].mWaiting == 0 || step.mLongRunning) {
      continue;
    }
    auto needs = PartsOf(Times(NeedsOf(step), states[i].mWaiting), aContest.mCapacity);
    auto latest = objective - aJob.mCriticalPaths[i] - MarginOf(aJob, hasBegun, i);
    aContest.mBacklog.mSteps.push_back({ index, latest, needs, step.mEstimate });
    waiting.mWork += *std::max_element(needs.begin(), needs.end()) * Seconds(step.mEstimate);
  }
  aContest.mBacklog.mJobs.push_back(waiting);
  aContest.mWholeWork.push_back(WorkOf(aJob.mDefinition));
}

void
MarkLargeJobs(PoolContest& aContest)
{
  double sum = 0;
  for (auto work : aContest.mWholeWork) {
    sum += static_cast<double>(work);
  }
  auto mean = sum / static_cast<double>(std::max<std::size_t>(1, aContest.mWholeWork.size()));
  for (std::size_t i = 0; i < aContest.mWholeWork.size(); ++i) {
    aContest.mBacklog.mJobs[i].mIsLarge =
      static_cast<double>(aContest.mWholeWork[i]) > kLargeJobFactor * mean;
  }
}

// Adds the ready steps of the pool, each with what else is to come of its job.
void
AddReadySteps(PoolContest& aContest,
              const ServiceName& aPool,
              const std::vector<ReadyStep>& aSteps,
              const TenantShares& aShares,
              Instant aNow)
{
  const ReadyStep* last = nullptr;
  for (std::size_t i = 0; i < aSteps.size(); ++i) {
    const auto& ready = aSteps[i];
    if (ready.mJob->mDefinition.mService != aPool || !TakesPart(ready)) {
      continue;
    }
    auto isSameJob =
      last != nullptr && last->mJob == ready.mJob && last->mOccurrence == ready.mOccurrence;
    if (!isSameJob) {
      auto tenant = IndexOfTenant(aContest, ready.mJob->mDefinition.mTenant, aShares, aNow);
      AddOccurrence(aContest, *ready.mJob, ready.mOccurrence, tenant);
      aContest.mBacklog.mJobs.back().mMustStay = false;
    }
    aContest.mSteps.emplace_back(i, aContest.mBacklog.mJobs.size() - 1);
    last = &ready;
  }
}

// Adds the jobs at work whose next steps will need room.
void
AddJobsAtWork(PoolContest& aContest,
              const ServiceName& aPool,
              const std::map<JobId, Job>& aJobs,
              const std::set<const Job*>& aWithReadySteps,
              const TenantShares& aShares,
              const Now& aNow)
{
  for (const auto& [id, job] : aJobs) {
    const auto& definition = job.mDefinition;
    auto isOfPool = definition.mService == aPool && definition.mRunCount == 0;
    if (!isOfPool || IsFinal(job.mPhase) || !HasBegun(job.mOccurrences[0]) ||
        aWithReadySteps.contains(&job) || CompletionObjective(job, 0) < aNow.mWall) {
      continue;
    }
    AddOccurrence(aContest, job, 0, IndexOfTenant(aContest, definition.mTenant, aShares, aNow.mAt));
  }
}

void
MarkInPool(const ServiceName& aPool,
           const PoolRoom& aRoom,
           const std::map<JobId, Job>& aJobs,
           std::vector<ReadyStep>& aSteps,
           const TenantShares& aShares,
           const Now& aNow)
{
  PoolContest contest;
  contest.mCapacity = aRoom.mCapacity;
  contest.mBacklog.mFree = PartsOf(aRoom.mFree, aRoom.mCapacity);
  AddReadySteps(contest, aPool, aSteps, aShares, aNow.mAt);
  std::set<const Job*> withReadySteps;
  for (const auto& ready : aSteps) {
    withReadySteps.insert(ready.mJob);
  }
  AddJobsAtWork(contest, aPool, aJobs, withReadySteps, aShares, aNow);
  MarkLargeJobs(contest);
  auto yields = SelectYieldingJobs(std::move(contest.mBacklog), aNow.mWall);
  for (auto [step, job] : contest.mSteps) {
    aSteps[step].mYields = yields[job];
  }
}

YieldCounts
CountYielding(const std::vector<ReadyStep>& aSteps)
{
  YieldCounts counts;
  std::map<TenantName, int> byTenant;
  int most = 0;
  for (const auto& ready : aSteps) {
    if (!ready.mYields) {
      continue;
    }
    auto tasks = StateOf(ready).mWaiting;
    counts.mTasks += tasks;
    counts.mBeyondWeight += ready.mJob->mIsBeyondWeight ? tasks : 0;
    auto& ofTenant = byTenant[ready.mJob->mDefinition.mTenant];
    ofTenant += tasks;
    if (ofTenant > most) {
      most = ofTenant;
      counts.mMostOf = ready.mJob->mDefinition.mTenant;
    }
  }
  return counts;
}

}

YieldCounts
MarkYieldingSteps(const std::map<JobId, Job>& aJobs,
                  std::vector<ReadyStep>& aSteps,
                  const CandidateIndex& aCandidates,
                  TenantShares& aShares,
                  const Now& aNow)
{
  std::set<TenantName> waiting;
  for (const auto& ready : aSteps) {
    if (TakesPart(ready)) {
      waiting.insert(ready.mJob->mDefinition.mTenant);
    }
  }
  UpdateWaitingTenants(aShares, waiting, aNow.mAt);
  for (const auto& [pool, room] : FindShortPools(aSteps, aCandidates, aNow.mAt)) {
    MarkInPool(pool, room, aJobs, aSteps, aShares, aNow);
  }
  return CountYielding(aSteps);
}

}
