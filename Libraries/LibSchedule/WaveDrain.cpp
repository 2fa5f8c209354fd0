#include "LibSchedule/WaveDrain.h"

#include "LibSchedule/ExecutorDrain.h"

#include <algorithm>
#include <tuple>

namespace sesameseam::schedule {

namespace {

// Time in which a busy host drains and is down.
constexpr Duration kTimePerHost = 4s;
// A wave is planned to end after this share of its time limit, since some hosts take longer.
constexpr double kPlannedTimeShare = 0.5;
// So many hosts with long-running tasks drain concurrently from the start of a wave, also if their
// steps can't use that.
constexpr int kMinLongRunningDrains = 4;
// After this share of the time limit, hosts that are due for maintenance stay in their pools.
constexpr double kMoveTimeShare = 0.3;

// CPU that an executor's runs reserve: executors with the least drain first.
std::int64_t
ReservedCpu(const Executor& aExecutor)
{
  return ReservedResources(aExecutor).mCpuMillicores;
}

struct DrainCandidate
{
  Executor* mExecutor = nullptr;
  std::int64_t mReservedCpu = 0;
  bool mHasLongRunning = false;
  // Rounds in which the step of its long-running tasks that needs the most can move them all.
  int mRounds = 0;
};

// A step of a job.
struct StepKey
{
  JobId mJob;
  int mOccurrence = 0;
  int mStep = 0;

  auto operator<=>(const StepKey&) const = default;
};

// The long-running tasks of a step that have to leave hosts of the wave.
struct StepToMove
{
  int mTasks = 0;
  // Those of them whose hosts drain.
  int mOnDrainingHosts = 0;
  // How many the step allows to be unavailable.
  int mMaxUnavailable = 1;
};

struct WaveDrainState
{
  // Draining hosts with long-running tasks, which wait for other tasks of the same steps, and those
  // without.
  int mDrainingWithLongRunning = 0;
  int mDrainingOthers = 0;
  std::vector<DrainCandidate> mCandidates;
  std::map<StepKey, StepToMove> mSteps;
};

bool
HasLongRunningTasks(const Executor& aExecutor)
{
  return std::any_of(aExecutor.mRuns.begin(), aExecutor.mRuns.end(), [](const auto& aEntry) {
    return aEntry.second.mIsLongRunning;
  });
}

Duration
ShareOf(std::chrono::seconds aTime, double aShare)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aTime) * aShare);
}

// When the wave began, as far as this owner can tell: an owner that was started later finds records
// of those before it.
Instant
StartOf(const FleetContext& aContext, const Wave& aWave, const Now& aNow)
{
  auto start = aWave.mSeenAt;
  const auto& records = aContext.mLog->mMaintenanceRecords;
  for (auto record = records.lower_bound({ aWave.mNumber, MachineId() });
       record != records.end() && record->first.mWave == aWave.mNumber;
       ++record) {
    start = std::min(start, aNow.mAt - (aNow.mWall - record->second.mAt));
  }
  return start;
}

// Returns how many busy hosts have to drain concurrently, so that all that are left finish in time.
int
ParallelDrains(const Wave& aWave, int aLeft, Instant aStart, Instant aNow)
{
  auto until = aStart + ShareOf(aWave.mTimeLimit, kPlannedTimeShare);
  auto rounds = std::max<std::int64_t>((until - aNow) / kTimePerHost, 1);
  return static_cast<int>((aLeft + rounds - 1) / rounds);
}

bool
HasAcknowledgedOrder(const Maintenance& aMaintenance,
                     const MaintenanceKey& aKey,
                     const Shard& aShard)
{
  auto order = aMaintenance.mOrders.find(aKey);
  return order != aMaintenance.mOrders.end() && order->second.mEpoch == aShard.mEpoch &&
         order->second.mAcknowledged;
}

StepKey
StepKeyOf(const TaskId& aTask)
{
  return { aTask.mJob, aTask.mOccurrence, aTask.mStep };
}

// Adds the host's long-running tasks to those that their steps have to move. Runs of unknown jobs
// are not moved by this owner.
void
AddTasksToMove(WaveDrainState& aState, Shard& aShard, const Executor& aExecutor, bool aDrains)
{
  for (const auto& [name, run] : aExecutor.mRuns) {
    const auto* job = run.mIsLongRunning ? detail::FindJob(aShard, name.mTask.mJob) : nullptr;
    if (job == nullptr) {
      continue;
    }
    auto& step = aState.mSteps[StepKeyOf(name.mTask)];
    const auto& definition = job->mDefinition.mSteps[static_cast<std::size_t>(name.mTask.mStep)];
    step.mMaxUnavailable = std::max(1, definition.mMaxUnavailable);
    ++step.mTasks;
    step.mOnDrainingHosts += aDrains ? 1 : 0;
  }
}

int
RoundsOf(const StepToMove& aStep)
{
  return (aStep.mTasks + aStep.mMaxUnavailable - 1) / aStep.mMaxUnavailable;
}

int
RoundsToMove(const WaveDrainState& aState, const Executor& aExecutor)
{
  int rounds = 0;
  for (const auto& [name, run] : aExecutor.mRuns) {
    auto step = aState.mSteps.find(StepKeyOf(name.mTask));
    if (run.mIsLongRunning && step != aState.mSteps.end()) {
      rounds = std::max(rounds, RoundsOf(step->second));
    }
  }
  return rounds;
}

// Whether a step with a task on the host may have more tasks unavailable than those on hosts that
// drain.
bool
HasUnusedAllowance(const WaveDrainState& aState, const Executor& aExecutor)
{
  return std::any_of(aExecutor.mRuns.begin(), aExecutor.mRuns.end(), [&](const auto& aEntry) {
    auto step = aState.mSteps.find(StepKeyOf(aEntry.first.mTask));
    return aEntry.second.mIsLongRunning && step != aState.mSteps.end() &&
           step->second.mOnDrainingHosts < step->second.mMaxUnavailable;
  });
}

// A host that drains for a move to another pool continues to.
void
SetDrainReason(Executor& aExecutor, bool aForMaintenance)
{
  if (aExecutor.mDrainReason != DrainReason::ForMove) {
    aExecutor.mDrainReason = aForMaintenance ? DrainReason::ForMaintenance : DrainReason::None;
  }
}

WaveDrainState
RefreshDrainState(const Maintenance& aMaintenance,
                  const FleetContext& aContext,
                  const Wave& aWave,
                  Shard& aShard)
{
  WaveDrainState state;
  for (const auto& id : aWave.mMachines) {
    const auto* machine = FindMachine(*aContext.mMachines, id);
    if (machine == nullptr || FindShard(aContext, machine->mPool) != &aShard) {
      continue;
    }
    auto found = aShard.mExecutors.find(machine->mExecutor);
    if (found == aShard.mExecutors.end()) {
      continue;
    }
    MaintenanceKey key{ aWave.mNumber, id };
    found->second.mIsDueForMaintenance = !IsMaintenanceFinished(*aContext.mLog, key);
    if (FindMaintenance(*aContext.mLog, key) != nullptr) {
      // A host whose order was acknowledged to this owner is down, or back with another executor.
      auto isBack = HasAcknowledgedOrder(aMaintenance, key, aShard) &&
                    found->second.mDrainReason == DrainReason::None;
      auto needsOrder = !isBack && !IsMaintenanceFinished(*aContext.mLog, key);
      SetDrainReason(found->second, needsOrder && machine->mState == MachineState::Up);
      continue;
    }
    if (found->second.mDrainReason == DrainReason::ForMaintenance) {
      AddTasksToMove(state, aShard, found->second, true);
      ++(HasLongRunningTasks(found->second) ? state.mDrainingWithLongRunning
                                            : state.mDrainingOthers);
    } else if (found->second.mDrainReason == DrainReason::None &&
               machine->mState == MachineState::Up) {
      AddTasksToMove(state, aShard, found->second, false);
      state.mCandidates.push_back(
        { &found->second, ReservedCpu(found->second), HasLongRunningTasks(found->second) });
    }
  }
  for (auto& host : state.mCandidates) {
    host.mRounds = RoundsToMove(state, *host.mExecutor);
  }
  return state;
}

void
CountAsDraining(WaveDrainState& aState, const DrainCandidate& aHost)
{
  ++(aHost.mHasLongRunning ? aState.mDrainingWithLongRunning : aState.mDrainingOthers);
  for (const auto& [name, run] : aHost.mExecutor->mRuns) {
    auto step = aState.mSteps.find(StepKeyOf(name.mTask));
    if (run.mIsLongRunning && step != aState.mSteps.end()) {
      ++step->second.mOnDrainingHosts;
    }
  }
}

void
Drain(WaveDrainState& aState, DrainCandidate& aHost)
{
  aHost.mExecutor->mDrainReason = DrainReason::ForMaintenance;
  CountAsDraining(aState, aHost);
}

// Drains hosts so that each step always moves as many of its long-running tasks as it allows. Those
// that take the most rounds come first: no later haste makes up for rounds that a step has missed.
void
DrainForUnusedAllowances(WaveDrainState& aState, const Wave& aWave)
{
  for (auto& host : aState.mCandidates) {
    if (aState.mDrainingWithLongRunning < aWave.mMaxConcurrent &&
        HasUnusedAllowance(aState, *host.mExecutor)) {
      Drain(aState, host);
    }
  }
}

// Whether a host may drain beside those that drain. Hosts that wait until their long-running tasks
// may move don't hold up hosts that have none.
bool
MayDrain(const WaveDrainState& aState,
         const DrainCandidate& aHost,
         const Wave& aWave,
         int aBusyAtOnce)
{
  auto longRunning = aState.mDrainingWithLongRunning;
  if (aHost.mHasLongRunning &&
      longRunning < std::min(kMinLongRunningDrains, aWave.mMaxConcurrent)) {
    return true;
  }
  auto draining = aState.mDrainingOthers + (aHost.mHasLongRunning ? longRunning : 0);
  auto isIdle = aHost.mExecutor->mRuns.empty();
  return draining < (isIdle ? aWave.mMaxConcurrent : std::min(aWave.mMaxConcurrent, aBusyAtOnce));
}

WaveProgress
ProgressOf(const WaveDrainState& aState, Shard& aShard, int aLeft, Instant aNow)
{
  WaveProgress progress;
  progress.mLeft = aLeft;
  progress.mWithLongRunning = aState.mDrainingWithLongRunning;
  progress.mDraining = aState.mDrainingOthers + aState.mDrainingWithLongRunning;
  for (const auto& [key, step] : aState.mSteps) {
    if (RoundsOf(step) <= progress.mSlowestRounds) {
      continue;
    }
    progress.mSlowestJob = key.mJob;
    progress.mSlowestTasks = step.mTasks;
    progress.mSlowestRounds = RoundsOf(step);
    // An index that no task has: all tasks of the step are counted.
    progress.mSlowestUnavailable =
      detail::CountUnavailableTasks(aShard,
                                    *detail::FindJob(aShard, key.mJob),
                                    { key.mJob, key.mOccurrence, key.mStep, -1 },
                                    aNow);
  }
  return progress;
}

}

WaveProgress
ChooseHostsToDrain(const Maintenance& aMaintenance,
                   const Now& aNow,
                   const FleetContext& aContext,
                   const Wave& aWave,
                   Shard& aShard)
{
  auto state = RefreshDrainState(aMaintenance, aContext, aWave, aShard);
  auto left = state.mDrainingWithLongRunning + state.mDrainingOthers +
              static_cast<int>(state.mCandidates.size());
  auto busyAtOnce = ParallelDrains(aWave, left, StartOf(aContext, aWave, aNow), aNow.mAt);
  std::sort(state.mCandidates.begin(),
            state.mCandidates.end(),
            [](const DrainCandidate& aLeft, const DrainCandidate& aRight) {
              return std::tuple(-aLeft.mRounds, aLeft.mReservedCpu) <
                     std::tuple(-aRight.mRounds, aRight.mReservedCpu);
            });
  DrainForUnusedAllowances(state, aWave);
  for (auto& host : state.mCandidates) {
    if (host.mExecutor->mDrainReason == DrainReason::None &&
        MayDrain(state, host, aWave, busyAtOnce)) {
      Drain(state, host);
    }
  }
  return ProgressOf(state, aShard, left, aNow.mAt);
}

bool
IsPinnedForMaintenance(const FleetContext& aContext, const MachineId& aMachine, Instant aNow)
{
  return std::any_of(aContext.mWaves->begin(), aContext.mWaves->end(), [&](const auto& aEntry) {
    const auto& [number, wave] = aEntry;
    // The search through the wave comes last, since it takes the longest.
    return aNow - wave.mSeenAt > ShareOf(wave.mTimeLimit, kMoveTimeShare) &&
           !IsMaintenanceFinished(*aContext.mLog, { number, aMachine }) &&
           std::find(wave.mMachines.begin(), wave.mMachines.end(), aMachine) !=
             wave.mMachines.end();
  });
}

}
