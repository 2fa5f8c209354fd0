#pragma once

#include "LibFleet/PlannerTypes.h"
#include "LibFleet/WaveBudget.h"

// The fleet by pool, counted once for each plan.
namespace sesameseam {

struct PoolHosts
{
  const PoolState* mPool = nullptr;
  // Live hosts in service.
  std::vector<const HostState*> mServing;
  UnavailableHosts mUnavailable;
  // Hosts in maintenance that are expected back soon.
  int mReturning = 0;
  // Hosts on their way into the pool.
  int mIncoming = 0;
  int mServingSlots = 0;
};

struct FleetView
{
  std::map<PoolName, PoolHosts> mPools;
  // Hosts that are on their way between pools.
  int mMoves = 0;
};

bool
IsListed(const FleetLoad& aLoad, const HostName& aHost);

FleetView
MakeFleetView(const FleetState& aState, const FleetLoad& aLoad);

// The hosts that serve, by rack and by zone.
std::map<RackName, int>
ServingByRack(const PoolHosts& aPool);
std::map<ZoneName, int>
ServingByZone(const PoolHosts& aPool);

}
