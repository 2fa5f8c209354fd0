#include "LibFleet/Capacity.h"

#include "LibFleet/Views.h"

#include <algorithm>
#include <cmath>

namespace sesameseam {

namespace {

// A longer silence than this says nothing about the load in between.
constexpr Duration kMaxSampleGap = std::chrono::minutes(1);

// Hosts are given back at this share of the target utilisation.
constexpr double kReturnUtilisationShare = 0.85;

void
UpdateAverage(LoadAverage& aAverage, Duration aWindow, TimePoint aNow, int aBusySlots)
{
  auto elapsed = aNow - aAverage.mLast;
  if (aAverage.mLast == TimePoint() || elapsed > kMaxSampleGap) {
    aAverage = { static_cast<double>(aBusySlots), aNow, aNow };
    return;
  }
  auto covered = std::min<Duration>(aNow - aAverage.mSince, aWindow);
  if (covered > Duration::zero()) {
    auto weight = std::min(1.0, static_cast<double>(elapsed.count()) / covered.count());
    aAverage.mBusySlots += weight * (aBusySlots - aAverage.mBusySlots);
  }
  aAverage.mLast = aNow;
}

int
HostsForLoad(double aBusySlots, double aUtilisation, double aSlotsOfHost)
{
  // The tolerance keeps rounding errors of the average from asking for one more host.
  constexpr double kTolerance = 1e-6;
  return static_cast<int>(std::ceil(aBusySlots / (aUtilisation * aSlotsOfHost) - kTolerance));
}

template<typename Domain>
int
LargestDomainSize(const std::map<Domain, int>& aDomains)
{
  int largest = 0;
  for (const auto& [name, hosts] : aDomains) {
    largest = std::max(largest, hosts);
  }
  return largest;
}

// The hosts that the pool holds for bursts or for the loss of its largest rack or zone. A pool
// that runs at the target utilisation has some of it in hand already: it may run full for a while.
int
ComputeBuffer(const PlannerSettings& aSettings, const PoolHosts& aPool, int aLoadHosts)
{
  auto burst = static_cast<int>(std::ceil(aSettings.mBurstShare * aLoadHosts));
  auto lost =
    std::max(LargestDomainSize(ServingByRack(aPool)), LargestDomainSize(ServingByZone(aPool)));
  auto slack = static_cast<int>((1.0 - aSettings.mTargetUtilisation) * aLoadHosts);
  return std::max({ 0, burst, lost - slack });
}

}

void
UpdateLoadAverages(const PlannerSettings& aSettings,
                   const FleetLoad& aLoad,
                   TimePoint aNow,
                   PlannerMemory& aMemory)
{
  for (const auto& [pool, load] : aLoad.mPools) {
    UpdateAverage(aMemory.mLoads[pool], aSettings.mLoadWindow, aNow, load.mBusySlots);
  }
}

PoolRequirement
ComputeRequirement(const PlannerSettings& aSettings,
                   const PoolHosts& aPool,
                   const LoadAverage* aLoad)
{
  PoolRequirement need;
  const auto* preset = PresetInForce(*aPool.mPool);
  if (preset == nullptr) {
    return need;
  }
  need.mHosts = preset->mHosts;
  need.mReturnThreshold = preset->mHosts;
  if (aLoad == nullptr || aPool.mServing.empty()) {
    return need;
  }
  auto slots = static_cast<double>(aPool.mServingSlots) / std::ssize(aPool.mServing);
  auto target = aSettings.mTargetUtilisation;
  need.mHostsForLoad = HostsForLoad(aLoad->mBusySlots, target, slots);
  need.mBuffer = std::min(preset->mBuffer, ComputeBuffer(aSettings, aPool, need.mHostsForLoad));
  need.mHosts = std::max(preset->mHosts, need.mHostsForLoad + need.mBuffer);
  need.mSetByPreset = need.mHosts == preset->mHosts;
  auto relaxed = HostsForLoad(aLoad->mBusySlots, target * kReturnUtilisationShare, slots);
  need.mReturnThreshold = std::max(need.mHosts, relaxed + need.mBuffer);
  return need;
}

const LoadAverage*
SustainedLoad(const PlannerSettings& aSettings, const PlannerMemory& aMemory, const PoolName& aPool)
{
  auto found = aMemory.mLoads.find(aPool);
  if (found == aMemory.mLoads.end() ||
      found->second.mLast - found->second.mSince < aSettings.mLoadWindow) {
    return nullptr;
  }
  return &found->second;
}

}
