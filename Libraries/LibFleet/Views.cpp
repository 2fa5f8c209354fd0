#include "LibFleet/Views.h"

#include "LibFleet/JobFold.h"

#include <algorithm>

namespace sesameseam {

const Preset*
PresetInForce(const PoolState& aPool)
{
  for (const auto& preset : aPool.mDefinition.mPresets) {
    if (preset.mName == aPool.mInForce) {
      return &preset;
    }
  }
  return nullptr;
}

PoolView
MakePoolView(const FleetState& aState, const PoolName& aPool)
{
  PoolView view;
  view.mPool = aPool;
  view.mVersion = aState.mVersion;
  view.mMemberEpoch = aState.mMemberEpoch;
  for (const auto& [name, member] : aState.mMembers) {
    view.mMembers.push_back(name);
  }
  auto pool = aState.mPools.find(aPool);
  if (pool == aState.mPools.end()) {
    return view;
  }
  view.mQuotas = pool->second.mQuotas;
  view.mAttemptTimeout = pool->second.mDefinition.mAttemptTimeout;
  const auto* preset = PresetInForce(pool->second);
  if (preset != nullptr) {
    view.mLongShare = preset->mLongShare;
  }
  for (const auto& [name, host] : aState.mHosts) {
    if (host.mPool == aPool && host.mPhase == HostPhase::InService) {
      auto slots = std::max(0, host.mSlots - SlotsHeldByJobs(aState, name));
      view.mTargets.push_back({ name, host.mAddress, slots });
    }
  }
  return view;
}

}
