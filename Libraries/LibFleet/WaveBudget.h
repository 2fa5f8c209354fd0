#pragma once

#include "LibFleet/FleetState.h"

// The availability budget of a pool: how many hosts, racks and zones may be out of service.
namespace sesameseam {

// The hosts that are out of service in one pool, for any reason.
struct UnavailableHosts
{
  std::set<HostName> mHosts;
  std::map<RackName, int> mRacks;
  std::map<ZoneName, int> mZones;
};

void
AddUnavailable(UnavailableHosts& aUnavailable, const HostState& aHost);

// Returns whether the host is out of service in its pool according to the log. A host that moves
// between pools counts for neither: the size of a pool is a matter of capacity planning.
bool
IsOutOfServiceByLog(const HostState& aHost);

// Returns the hosts that are out of service in the pool according to the log alone.
UnavailableHosts
FindUnavailableHosts(const FleetState& aState, const PoolName& aPool);

// Returns why the budget requires the host to stay in service, or nullopt if it may leave.
std::optional<std::string>
FindBudgetObstacle(const PoolDefined& aPool,
                   const UnavailableHosts& aUnavailable,
                   const HostState& aHost);

}
