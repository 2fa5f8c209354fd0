#include "LibSchedule/WaveVacating.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// What a busy host needs to become empty, and to be down.
constexpr Duration kTimeForOneHost = 4s;
// A wave is to be over after this share of its time, since some hosts take longer.
constexpr double kPlannedShare = 0.5;
// So many hosts with lasting tasks are emptied side by side from the start of a wave.
constexpr int kLastingAtOnce = 4;
// After this share of the time hosts that are due stay in their pools.
constexpr double kShareForMoves = 0.3;

// How much processor time an executor's runs take: those with least are emptied first.
std::int64_t
UsedCpu(const Executor& aExecutor)
{
  return ReservedRoom(aExecutor).mCpuMillicores;
}

struct NextHost
{
  Executor* mExecutor = nullptr;
  std::int64_t mUsedCpu = 0;
  bool mHasLasting = false;
};

struct VacatingHosts
{
  // Hosts that get no new work, those of them with lasting tasks, and those that could be next.
  int mChosen = 0;
  int mChosenWithLasting = 0;
  std::vector<NextHost> mNext;
};

bool
HasLasting(const Executor& aExecutor)
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
HostsToEmptyAtOnce(const Wave& aWave, int aLeft, Instant aNow)
{
  auto until = aWave.mSeenAt + ShareOf(aWave.mTimeLimit, kPlannedShare);
  auto rounds = std::max<std::int64_t>((until - aNow) / kTimeForOneHost, 1);
  return static_cast<int>((aLeft + rounds - 1) / rounds);
}

bool
HasOrder(const Upkeep& aUpkeep, const UpkeepKey& aKey, const Shard& aShard)
{
  auto task = aUpkeep.mTasks.find(aKey);
  return task != aUpkeep.mTasks.end() && task->second.mEpoch == aShard.mEpoch &&
         task->second.mOrdered;
}

// A host on the way to another pool stays so.
void
SetVacating(Executor& aExecutor, bool aForUpkeep)
{
  if (aExecutor.mDrainReason != DrainReason::ForMove) {
    aExecutor.mDrainReason = aForUpkeep ? DrainReason::ForUpkeep : DrainReason::None;
  }
}

VacatingHosts
FindVacating(const Upkeep& aUpkeep, const FleetContext& aContext, const Wave& aWave, Shard& aShard)
{
  VacatingHosts vacating;
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
    found->second.mIsDueForUpkeep = !IsOver(*aContext.mLog, key);
    if (FindUpkeep(*aContext.mLog, key) != nullptr) {
      // One that this owner has ordered is down or back by now, with another executor.
      auto isBack =
        HasOrder(aUpkeep, key, aShard) && found->second.mDrainReason == DrainReason::None;
      auto needsOrder = !isBack && !IsOver(*aContext.mLog, key);
      SetVacating(found->second, needsOrder && machine->mState == MachineState::Up);
      continue;
    }
    if (found->second.mDrainReason == DrainReason::ForUpkeep) {
      ++vacating.mChosen;
      vacating.mChosenWithLasting += HasLasting(found->second) ? 1 : 0;
    } else if (found->second.mDrainReason == DrainReason::None &&
               machine->mState == MachineState::Up) {
      vacating.mNext.push_back(
        { &found->second, UsedCpu(found->second), HasLasting(found->second) });
    }
  }
  return vacating;
}

// How many hosts with such work may get no new work side by side.
int
LimitFor(const NextHost& aHost, const Wave& aWave, int aBusyAtOnce)
{
  if (aHost.mExecutor->mRuns.empty()) {
    return aWave.mMaxAtOnce;
  }
  return std::min(aWave.mMaxAtOnce, aBusyAtOnce);
}

}

void
ChooseVacating(const Upkeep& aUpkeep,
               const Now& aNow,
               const FleetContext& aContext,
               const Wave& aWave,
               Shard& aShard)
{
  auto vacating = FindVacating(aUpkeep, aContext, aWave, aShard);
  auto left = vacating.mChosen + static_cast<int>(vacating.mNext.size());
  auto busyAtOnce = HostsToEmptyAtOnce(aWave, left, aNow.mAt);
  std::sort(
    vacating.mNext.begin(),
    vacating.mNext.end(),
    [](const NextHost& aLeft, const NextHost& aRight) { return aLeft.mUsedCpu < aRight.mUsedCpu; });
  for (auto& host : vacating.mNext) {
    auto isNeeded = host.mHasLasting && vacating.mChosenWithLasting < kLastingAtOnce &&
                    vacating.mChosen < aWave.mMaxAtOnce;
    if (!isNeeded && vacating.mChosen >= LimitFor(host, aWave, busyAtOnce)) {
      continue;
    }
    host.mExecutor->mDrainReason = DrainReason::ForUpkeep;
    ++vacating.mChosen;
    vacating.mChosenWithLasting += host.mHasLasting ? 1 : 0;
  }
}

bool
StaysForUpkeep(const FleetContext& aContext, const MachineId& aMachine, Instant aNow)
{
  return std::any_of(aContext.mWaves->begin(), aContext.mWaves->end(), [&](const auto& aEntry) {
    const auto& [number, wave] = aEntry;
    auto isDue =
      std::find(wave.mMachines.begin(), wave.mMachines.end(), aMachine) != wave.mMachines.end();
    return isDue && !IsOver(*aContext.mLog, { number, aMachine }) &&
           aNow - wave.mSeenAt > ShareOf(wave.mTimeLimit, kShareForMoves);
  });
}

}
