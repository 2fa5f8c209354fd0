#pragma once

#include "LibFleet/FleetState.h"

// The availability budget of a pool: how many hosts, racks and zones may be out of service.
namespace sesameseam {

// What is out of service in one pool, for whatever reason.
struct UnavailableHosts
{
  std::set<HostName> mHosts;
  std::map<RackName, int> mRacks;
  std::map<ZoneName, int> mZones;
};

void
AddUnavailable(UnavailableHosts& aUnavailable, const HostState& aHost);

// True if the log says that the host is out of service in its pool. A host that moves counts
// for neither pool: the size of a pool is for the planning of capacity.
bool
IsOutOfServiceByLog(const HostState& aHost);

// What is out of service in the pool by the log alone.
UnavailableHosts
FindUnavailableHosts(const FleetState& aState, const PoolName& aPool);

// Why the host must stay in service now; empty if the budget lets it go.
std::optional<std::string>
FindBudgetObstacle(const PoolDefined& aPool,
                   const UnavailableHosts& aUnavailable,
                   const HostState& aHost);

}
