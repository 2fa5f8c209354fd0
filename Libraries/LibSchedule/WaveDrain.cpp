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

// The hosts of one shard that the wave has yet to take down.
struct WaveDrainState
{
  // Draining hosts, those of them with long-running tasks, and hosts that could drain next.
  int mDraining = 0;
  int mDrainingWithLongRunning = 0;
  std::vector<Executor*> mCandidates;
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
HasAcknowledgedOrder(Maintenance& aMaintenance, WaveHost& aHost)
{
  if (aHost.mOrder == nullptr) {
    auto found = aMaintenance.mOrders.find(aHost.mKey);
    aHost.mOrder = found == aMaintenance.mOrders.end() ? nullptr : &found->second;
  }
  return aHost.mOrder != nullptr && aHost.mOrder->mEpoch == aHost.mHost->mShard->mEpoch &&
         aHost.mOrder->mAcknowledged;
}

// A host that drains for a move to another pool continues to.
void
SetDraining(const IndexedHost& aHost, bool aForMaintenance)
{
  auto& executor = *aHost.mExecutor;
  if (executor.mDrainReason != DrainReason::ForMove) {
    auto reason = aForMaintenance ? DrainReason::ForMaintenance : DrainReason::None;
    detail::SetDrainReason(*aHost.mShard, executor, reason);
  }
}

// Whether a wave other than aWave has the maintenance of the host under way.
bool
IsBegunInAnother(const FleetContext& aContext, const IndexedHost& aHost, const Wave& aWave)
{
  return std::any_of(aHost.mDueIn.begin(), aHost.mDueIn.end(), [&](const Wave* aOther) {
    const auto* record =
      aOther == &aWave ? nullptr
                       : FindMaintenance(*aContext.mLog, { aOther->mNumber, aHost.mMachine->mId });
    return record != nullptr && record->mPhase == MaintenancePhase::Begun;
  });
}

// Updates the drain of an executor whose host has a record of maintenance in the wave.
void
RefreshRecordedHost(Maintenance& aMaintenance,
                    const FleetContext& aContext,
                    const Wave& aWave,
                    WaveHost& aHost)
{
  if (IsMaintenanceFinished(aHost)) {
    if (!IsBegunInAnother(aContext, *aHost.mHost, aWave)) {
      SetDraining(*aHost.mHost, false);
    }
    return;
  }
  // The list of executors may have the former one for some time after the host went down.
  auto isBack = HasAcknowledgedOrder(aMaintenance, aHost) &&
                aHost.mHost->mExecutor->mEntry.mId != aHost.mRecord->mFormerExecutor;
  SetDraining(*aHost.mHost, !isBack);
}

// Updates what the executor of a host knows of the wave.
void
RefreshHost(Maintenance& aMaintenance,
            const FleetContext& aContext,
            const Wave& aWave,
            WaveHost& aHost,
            WaveDrainState& aState)
{
  auto& executor = *aHost.mHost->mExecutor;
  auto isUp = aHost.mHost->mMachine->mState == MachineState::Up;
  executor.mIsDueForMaintenance = !IsMaintenanceFinished(aHost);
  if (aHost.mRecord != nullptr) {
    RefreshRecordedHost(aMaintenance, aContext, aWave, aHost);
    return;
  }
  if (executor.mDrainReason == DrainReason::ForMaintenance) {
    ++aState.mDraining;
    aState.mDrainingWithLongRunning += HasLongRunningTasks(executor) ? 1 : 0;
  } else if (executor.mDrainReason == DrainReason::None && isUp) {
    aState.mCandidates.push_back(&executor);
  }
}

// The states by shard.
using WaveDrainStates = std::map<Shard*, WaveDrainState>;

// Looks at each host that the wave has yet to finish, and for a last time at those that it has.
WaveDrainStates
RefreshHosts(Maintenance& aMaintenance,
             const FleetContext& aContext,
             const Wave& aWave,
             IndexedWave& aIndexed)
{
  WaveDrainStates states;
  aContext.mHosts->mVisits += static_cast<std::int64_t>(aIndexed.mHosts.size());
  for (auto& host : aIndexed.mHosts) {
    if (host.mHost->mExecutor != nullptr) {
      RefreshHost(aMaintenance, aContext, aWave, host, states[host.mHost->mShard]);
    }
  }
  std::erase_if(aIndexed.mHosts, [&](const WaveHost& aHost) {
    return IsMaintenanceFinished(aHost) && RemoveDueWave(*aHost.mHost, aWave);
  });
  return states;
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

std::vector<DrainCandidate>
OrderCandidates(const std::vector<Executor*>& aExecutors)
{
  std::vector<DrainCandidate> candidates;
  candidates.reserve(aExecutors.size());
  for (auto* executor : aExecutors) {
    candidates.push_back({ executor, ReservedCpu(*executor), HasLongRunningTasks(*executor) });
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const DrainCandidate& aLeft, const DrainCandidate& aRight) {
              return aLeft.mReservedCpu < aRight.mReservedCpu;
            });
  return candidates;
}

void
DrainCandidates(const Now& aNow, const Wave& aWave, Shard& aShard, WaveDrainState& aState)
{
  auto left = aState.mDraining + static_cast<int>(aState.mCandidates.size());
  auto busyAtOnce = ParallelDrains(aWave, left, aNow.mAt);
  for (auto& host : OrderCandidates(aState.mCandidates)) {
    auto isNeeded = host.mHasLongRunning &&
                    aState.mDrainingWithLongRunning < kMaxLongRunningDrains &&
                    aState.mDraining < aWave.mMaxConcurrent;
    if (!isNeeded && aState.mDraining >= DrainLimitFor(host, aWave, busyAtOnce)) {
      continue;
    }
    detail::SetDrainReason(aShard, *host.mExecutor, DrainReason::ForMaintenance);
    ++aState.mDraining;
    aState.mDrainingWithLongRunning += host.mHasLongRunning ? 1 : 0;
  }
}

}

void
ChooseHostsToDrain(Maintenance& aMaintenance,
                   const Now& aNow,
                   const FleetContext& aContext,
                   const Wave& aWave,
                   IndexedWave& aIndexed)
{
  for (auto& [shard, state] : RefreshHosts(aMaintenance, aContext, aWave, aIndexed)) {
    if (state.mDraining < aWave.mMaxConcurrent) {
      DrainCandidates(aNow, aWave, *shard, state);
    }
  }
}

bool
IsPinnedForMaintenance(const FleetContext& aContext, const IndexedHost& aHost, Instant aNow)
{
  return std::any_of(aHost.mDueIn.begin(), aHost.mDueIn.end(), [&](const Wave* aWave) {
    return aNow - aWave->mSeenAt > ShareOf(aWave->mTimeLimit, kMoveTimeShare) &&
           !IsMaintenanceFinished(*aContext.mLog, { aWave->mNumber, aHost.mMachine->mId });
  });
}

}
