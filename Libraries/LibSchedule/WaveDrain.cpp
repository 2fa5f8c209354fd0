#include "LibSchedule/WaveDrain.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// Time in which a busy host drains and is down.
constexpr Duration kTimePerHost = 4s;
// A wave is planned to end after this share of its time limit, since some hosts take longer.
constexpr double kPlannedTimeShare = 0.5;
// Number of hosts with long-running tasks that drain concurrently from the start of a wave.
constexpr int kMaxLongRunningDrains = 4;
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
};

struct WaveDrainState
{
  // Draining hosts, those of them with long-running tasks, and hosts that could drain next.
  int mDraining = 0;
  int mDrainingWithLongRunning = 0;
  std::vector<DrainCandidate> mCandidates;
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

// Returns how many busy hosts have to drain concurrently, so that all that are left finish in time.
int
ParallelDrains(const Wave& aWave, int aLeft, Instant aNow)
{
  auto until = aWave.mSeenAt + ShareOf(aWave.mTimeLimit, kPlannedTimeShare);
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
      ++state.mDraining;
      state.mDrainingWithLongRunning += HasLongRunningTasks(found->second) ? 1 : 0;
    } else if (found->second.mDrainReason == DrainReason::None &&
               machine->mState == MachineState::Up) {
      state.mCandidates.push_back(
        { &found->second, ReservedCpu(found->second), HasLongRunningTasks(found->second) });
    }
  }
  return state;
}

// Returns how many hosts may drain concurrently: busy ones have the lower limit.
int
DrainLimitFor(const DrainCandidate& aHost, const Wave& aWave, int aBusyAtOnce)
{
  if (aHost.mExecutor->mRuns.empty()) {
    return aWave.mMaxConcurrent;
  }
  return std::min(aWave.mMaxConcurrent, aBusyAtOnce);
}

}

void
ChooseHostsToDrain(const Maintenance& aMaintenance,
                   const Now& aNow,
                   const FleetContext& aContext,
                   const Wave& aWave,
                   Shard& aShard)
{
  auto state = RefreshDrainState(aMaintenance, aContext, aWave, aShard);
  auto left = state.mDraining + static_cast<int>(state.mCandidates.size());
  auto busyAtOnce = ParallelDrains(aWave, left, aNow.mAt);
  std::sort(state.mCandidates.begin(),
            state.mCandidates.end(),
            [](const DrainCandidate& aLeft, const DrainCandidate& aRight) {
              return aLeft.mReservedCpu < aRight.mReservedCpu;
            });
  for (auto& host : state.mCandidates) {
    auto isNeeded = host.mHasLongRunning &&
                    state.mDrainingWithLongRunning < kMaxLongRunningDrains &&
                    state.mDraining < aWave.mMaxConcurrent;
    if (!isNeeded && state.mDraining >= DrainLimitFor(host, aWave, busyAtOnce)) {
      continue;
    }
    host.mExecutor->mDrainReason = DrainReason::ForMaintenance;
    ++state.mDraining;
    state.mDrainingWithLongRunning += host.mHasLongRunning ? 1 : 0;
  }
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
