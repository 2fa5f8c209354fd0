#include "LibFleet/Capacity.h"

#include "LibFleet/Views.h"

#include <algorithm>
#include <cmath>

namespace sesameseam {

namespace {

// After a longer gap between samples the average restarts, since the load in between is unknown.
constexpr Duration kMaxSampleGap = std::chrono::minutes(1);

// A host is returned only if the others then run at or below this share of the target utilisation.
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
  // Keeps rounding errors of the average from requiring one more host.
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

// Returns the hosts to keep in reserve for bursts or for the loss of the largest rack or zone. The
// slack between the target utilisation and full utilisation covers part of such a loss, since a
// pool may run at full utilisation for a while.
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
  PoolRequirement requirement;
  const auto* preset = PresetInForce(*aPool.mPool);
  if (preset == nullptr) {
    return requirement;
  }
  requirement.mHosts = preset->mHosts;
  requirement.mReturnThreshold = preset->mHosts;
  if (aLoad == nullptr || aPool.mServing.empty()) {
    return requirement;
  }
  auto slots = static_cast<double>(aPool.mServingSlots) / std::ssize(aPool.mServing);
  auto target = aSettings.mTargetUtilisation;
  requirement.mHostsForLoad = HostsForLoad(aLoad->mBusySlots, target, slots);
  requirement.mBuffer =
    std::min(preset->mBuffer, ComputeBuffer(aSettings, aPool, requirement.mHostsForLoad));
  requirement.mHosts = std::max(preset->mHosts, requirement.mHostsForLoad + requirement.mBuffer);
  requirement.mSetByPreset = requirement.mHosts == preset->mHosts;
  auto relaxed = HostsForLoad(aLoad->mBusySlots, target * kReturnUtilisationShare, slots);
  requirement.mReturnThreshold = std::max(requirement.mHosts, relaxed + requirement.mBuffer);
  return requirement;
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
