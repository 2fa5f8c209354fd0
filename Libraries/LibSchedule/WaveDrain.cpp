#include "LibSchedule/WaveDrain.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// What a busy host needs to become empty, and to be down.
constexpr Duration kTimePerHost = 4s;
// A wave is to be over after this share of its time, since some hosts take longer.
constexpr double kPlannedTimeShare = 0.5;
// So many hosts with lasting tasks are emptied side by side from the start of a wave.
constexpr int kMaxLastingDrains = 4;
// After this share of the time hosts that are due stay in their pools.
constexpr double kMoveTimeShare = 0.3;

// How much processor time an executor's runs take: those with least are emptied first.
std::int64_t
ReservedCpu(const Executor& aExecutor)
{
  return ReservedRoom(aExecutor).mCpuMillicores;
}

struct DrainCandidate
{
  Executor* mExecutor = nullptr;
  std::int64_t mReservedCpu = 0;
  bool mHasLasting = false;
};

struct WaveDrainState
{
  // Hosts that get no new work, those of them with lasting tasks, and those that could be next.
  int mDraining = 0;
  int mDrainingWithLasting = 0;
  std::vector<DrainCandidate> mCandidates;
};

bool
HasLastingTasks(const Executor& aExecutor)
{
  return std::any_of(aExecutor.mRuns.begin(), aExecutor.mRuns.end(), [](const auto& aEntry) {
    return aEntry.second.mIsLasting;
  });
}

Duration
ShareOf(std::chrono::seconds aTime, double aShare)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aTime) * aShare);
}

// How many busy hosts have to be emptied side by side, so that all that are left are done in time.
int
ParallelDrains(const Wave& aWave, int aLeft, Instant aNow)
{
  auto until = aWave.mSeenAt + ShareOf(aWave.mTimeLimit, kPlannedTimeShare);
  auto rounds = std::max<std::int64_t>((until - aNow) / kTimePerHost, 1);
  return static_cast<int>((aLeft + rounds - 1) / rounds);
}

bool
HasAcknowledgedOrder(const Upkeep& aUpkeep, const UpkeepKey& aKey, const Shard& aShard)
{
  auto task = aUpkeep.mOrders.find(aKey);
  return task != aUpkeep.mOrders.end() && task->second.mEpoch == aShard.mEpoch &&
         task->second.mAcknowledged;
}

// A host on the way to another pool stays so.
void
SetVacating(Executor& aExecutor, bool aForUpkeep)
{
  if (aExecutor.mDrainReason != DrainReason::ForMove) {
    aExecutor.mDrainReason = aForUpkeep ? DrainReason::ForUpkeep : DrainReason::None;
  }
}

WaveDrainState
RefreshDrainState(const Upkeep& aUpkeep,
                  const FleetContext& aContext,
                  const Wave& aWave,
                  Shard& aShard)
{
  WaveDrainState vacating;
  for (const auto& id : aWave.mMachines) {
    const auto* machine = FindMachine(*aContext.mMachines, id);
    if (machine == nullptr || FindShard(aContext, machine->mPool) != &aShard) {
      continue;
    }
    auto found = aShard.mExecutors.find(machine->mExecutor);
    if (found == aShard.mExecutors.end()) {
      continue;
    }
    UpkeepKey key{ aWave.mNumber, id };
    found->second.mIsDueForUpkeep = !IsUpkeepFinished(*aContext.mLog, key);
    if (FindUpkeep(*aContext.mLog, key) != nullptr) {
      // One that this owner has ordered is down or back by now, with another executor.
      auto isBack = HasAcknowledgedOrder(aUpkeep, key, aShard) &&
                    found->second.mDrainReason == DrainReason::None;
      auto needsOrder = !isBack && !IsUpkeepFinished(*aContext.mLog, key);
      SetVacating(found->second, needsOrder && machine->mState == MachineState::Up);
      continue;
    }
    if (found->second.mDrainReason == DrainReason::ForUpkeep) {
      ++vacating.mDraining;
      vacating.mDrainingWithLasting += HasLastingTasks(found->second) ? 1 : 0;
    } else if (found->second.mDrainReason == DrainReason::None &&
               machine->mState == MachineState::Up) {
      vacating.mCandidates.push_back(
        { &found->second, ReservedCpu(found->second), HasLastingTasks(found->second) });
    }
  }
  return vacating;
}

// How many hosts with such work may get no new work side by side.
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
ChooseHostsToDrain(const Upkeep& aUpkeep,
                   const Now& aNow,
                   const FleetContext& aContext,
                   const Wave& aWave,
                   Shard& aShard)
{
  auto vacating = RefreshDrainState(aUpkeep, aContext, aWave, aShard);
  auto left = vacating.mDraining + static_cast<int>(vacating.mCandidates.size());
  auto busyAtOnce = ParallelDrains(aWave, left, aNow.mAt);
  std::sort(vacating.mCandidates.begin(),
            vacating.mCandidates.end(),
            [](const DrainCandidate& aLeft, const DrainCandidate& aRight) {
              return aLeft.mReservedCpu < aRight.mReservedCpu;
            });
  for (auto& host : vacating.mCandidates) {
    auto isNeeded = host.mHasLasting && vacating.mDrainingWithLasting < kMaxLastingDrains &&
                    vacating.mDraining < aWave.mMaxConcurrent;
    if (!isNeeded && vacating.mDraining >= DrainLimitFor(host, aWave, busyAtOnce)) {
      continue;
    }
    host.mExecutor->mDrainReason = DrainReason::ForUpkeep;
    ++vacating.mDraining;
    vacating.mDrainingWithLasting += host.mHasLasting ? 1 : 0;
  }
}

bool
IsPinnedForUpkeep(const FleetContext& aContext, const MachineId& aMachine, Instant aNow)
{
  return std::any_of(aContext.mWaves->begin(), aContext.mWaves->end(), [&](const auto& aEntry) {
    const auto& [number, wave] = aEntry;
    auto isDue =
      std::find(wave.mMachines.begin(), wave.mMachines.end(), aMachine) != wave.mMachines.end();
    return isDue && !IsUpkeepFinished(*aContext.mLog, { number, aMachine }) &&
           aNow - wave.mSeenAt > ShareOf(wave.mTimeLimit, kMoveTimeShare);
  });
}

}
