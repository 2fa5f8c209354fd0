#include "LibDaemon/Metrics.h"

#include "LibFleet/Views.h"

#include <algorithm>

namespace sesameseam {

namespace {

double
Hours(Duration aDuration)
{
  return std::chrono::duration<double, std::ratio<3600>>(aDuration).count();
}

std::map<PoolName, int>
HostsInService(const FleetState& aState)
{
  std::map<PoolName, int> counts;
  for (const auto& [name, host] : aState.mHosts) {
    counts[host.mPool] += host.mPhase == HostPhase::InService ? 1 : 0;
  }
  return counts;
}

int
BufferHosts(const PoolState& aPool, int aInService)
{
  const auto* preset = PresetInForce(aPool);
  return preset == nullptr ? 0 : std::max(0, aInService - preset->mHosts);
}

// Returns the time of the change with this version. Searches backwards, because mAudit ends with
// the newest decisions.
std::optional<TimePoint>
TimeOfVersion(const FleetState& aState, Offset aVersion)
{
  for (auto it = aState.mAudit.rbegin(); it != aState.mAudit.rend(); ++it) {
    if (it->mOffset == aVersion) {
      return it->mTime;
    }
    if (it->mOffset < aVersion) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

}

void
RequestMetrics::Add(RequestLabels aLabels, Duration aDuration)
{
  std::lock_guard lock(mMutex);
  if (!mPools.contains(aLabels.mPool) && mPools.size() >= kMaxPoolLabels) {
    aLabels.mPool = "other";
  }
  mPools.insert(aLabels.mPool);
  mSeries[aLabels].Add(aDuration);
}

void
UpdateBufferCosts(FleetMetrics& aMetrics, const FleetState& aState, TimePoint aNow)
{
  auto since = aMetrics.mLastSampled ? aNow - *aMetrics.mLastSampled : Duration::zero();
  aMetrics.mLastSampled = aNow;
  std::erase_if(aMetrics.mBufferCosts,
                [&](const auto& aEntry) { return !aState.mPools.contains(aEntry.first); });
  auto inService = HostsInService(aState);
  for (const auto& [name, pool] : aState.mPools) {
    auto& cost = aMetrics.mBufferCosts[name];
    cost.mHostHours += cost.mBufferHosts * Hours(since);
    cost.mBufferHosts = BufferHosts(pool, inService[name]);
  }
}

void
UpdateRollOut(FleetMetrics& aMetrics,
              const FleetState& aState,
              Offset aReachedByAll,
              TimePoint aNow)
{
  // The version that is in force at the first call is not counted as a roll-out.
  if (aMetrics.mRolledOutVersion == kNoOffset) {
    aMetrics.mRolledOutVersion = aState.mVersion;
    return;
  }
  if (!aMetrics.mRollOutInProgress && aState.mVersion > aMetrics.mRolledOutVersion) {
    auto time = TimeOfVersion(aState, aState.mVersion);
    aMetrics.mRollOutInProgress = { aState.mVersion, time.value_or(aNow) };
  }
  if (aMetrics.mRollOutInProgress && aReachedByAll >= aMetrics.mRollOutInProgress->first) {
    auto took = std::max(aNow - aMetrics.mRollOutInProgress->second, Duration::zero());
    aMetrics.mRollOutDurations.Add(took);
    aMetrics.mRolledOutVersion = aMetrics.mRollOutInProgress->first;
    aMetrics.mRollOutInProgress.reset();
  }
}

}
