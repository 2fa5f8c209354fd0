#include "LibEntry/HostUse.h"

#include "LibEntry/Membership.h"

namespace sesameseam {

namespace {

bool
UsesHost(const std::map<PoolName, PeerLoadReported>& aLoads, const HostName& aHost)
{
  for (const auto& [pool, load] : aLoads) {
    auto first = load.mSlotsInUse.lower_bound(SlotId{ aHost, 0 });
    if (first != load.mSlotsInUse.end() && first->mHost == aHost) {
      return true;
    }
  }
  return false;
}

// A member folds a record shortly before its pools apply it. Therefore the version in the pool's
// load report counts, not the one in the member's report.
bool
HasAppliedVersion(const std::map<PoolName, PeerLoadReported>& aLoads,
                  const PoolName& aPool,
                  Offset aVersion)
{
  auto load = aLoads.find(aPool);
  return load != aLoads.end() && load->second.mVersion >= aVersion;
}

bool
HasReleasedHost(const Control& aControl,
                TimePoint aNow,
                const MemberName& aMember,
                const HostState& aHost,
                Offset aVersion)
{
  if (aMember == aControl.mSettings.mSelf) {
    return HasAppliedVersion(aControl.mOwnLoads, aHost.mPool, aVersion) &&
           !UsesHost(aControl.mOwnLoads, aHost.mHost);
  }
  auto peer = aControl.mPeers.find(aMember);
  if (peer == aControl.mPeers.end() || !IsResponsive(aControl, aNow, aMember)) {
    return false;
  }
  const auto& loads = peer->second.mReport.mLoads;
  return HasAppliedVersion(loads, aHost.mPool, aVersion) && !UsesHost(loads, aHost.mHost);
}

// A removed member may still have had running attempts.
bool
RemovedMembersHaveFinished(const Control& aControl, TimePoint aNow, const HostState& aHost)
{
  auto pool = aControl.mFleet.mPools.find(aHost.mPool);
  auto attempt =
    pool == aControl.mFleet.mPools.end() ? 0s : pool->second.mDefinition.mAttemptTimeout;
  return aNow - aControl.mMemberRemovedAt > aControl.mSettings.mViewStaleAfter + attempt;
}

}

bool
IsHostUnused(const Control& aControl, TimePoint aNow, const HostName& aHost, Offset aVersion)
{
  auto host = aControl.mFleet.mHosts.find(aHost);
  if (host == aControl.mFleet.mHosts.end()) {
    return true;
  }
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    if (!HasReleasedHost(aControl, aNow, name, host->second, aVersion)) {
      return false;
    }
  }
  return RemovedMembersHaveFinished(aControl, aNow, host->second);
}

}
