#include "LibFleet/PlannerView.h"

namespace sesameseam {

namespace {

void
AddInService(PoolHosts& aPool, const FleetLoad& aLoad, const HostState& aHost)
{
  if (aHost.mFailure || !IsListed(aLoad, aHost.mHost)) {
    AddUnavailable(aPool.mUnavailable, aHost);
    return;
  }
  aPool.mServing.push_back(&aHost);
  aPool.mServingSlots += aHost.mSlots;
}

void
AddOutOfService(PoolHosts& aPool, const HostState& aHost)
{
  AddUnavailable(aPool.mUnavailable, aHost);
  if (aHost.mReason == LeaveReason::Maintenance && !aHost.mFailure) {
    aPool.mReturning += 1;
  }
}

void
AddHost(FleetView& aView, PoolHosts& aPool, const FleetLoad& aLoad, const HostState& aHost)
{
  if (aHost.mPhase == HostPhase::InService) {
    AddInService(aPool, aLoad, aHost);
    return;
  }
  if (aHost.mReason != LeaveReason::Move) {
    AddOutOfService(aPool, aHost);
    return;
  }
  aView.mMoves += 1;
  auto destination = aView.mPools.find(aHost.mDestination.value_or(aHost.mPool));
  if (destination != aView.mPools.end()) {
    destination->second.mIncoming += 1;
  }
}

}

bool
IsListed(const FleetLoad& aLoad, const HostName& aHost)
{
  return aLoad.mBoots.contains(aHost);
}

FleetView
MakeFleetView(const FleetState& aState, const FleetLoad& aLoad)
{
  FleetView view;
  for (const auto& [name, pool] : aState.mPools) {
    view.mPools[name].mPool = &pool;
  }
  for (const auto& [name, host] : aState.mHosts) {
    auto pool = view.mPools.find(host.mPool);
    if (pool != view.mPools.end()) {
      AddHost(view, pool->second, aLoad, host);
    }
  }
  return view;
}

std::map<RackName, int>
ServingByRack(const PoolHosts& aPool)
{
  std::map<RackName, int> racks;
  for (const auto* host : aPool.mServing) {
    racks[host->mRack] += 1;
  }
  return racks;
}

std::map<ZoneName, int>
ServingByZone(const PoolHosts& aPool)
{
  std::map<ZoneName, int> zones;
  for (const auto* host : aPool.mServing) {
    zones[host->mZone] += 1;
  }
  return zones;
}

}
