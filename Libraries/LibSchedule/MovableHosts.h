#pragma once

#include "LibSchedule/Rebalance.h"

#include <vector>

// Selects the hosts of a pool that may move to another pool.
namespace sesameseam::schedule {

// Whether no run is known on the host.
bool
HasNoRuns(const Shard& aShard, const Machine& aMachine);

// Returns the hosts that may move now: those of a standby pool, idle ones, and those that have
// drained for a move.
std::vector<MachineId>
HostsReadyToMove(const FleetContext& aContext,
                 const Rebalance& aRebalance,
                 const Shard& aShard,
                 const Service& aPool,
                 const Now& aNow);

struct BusyHost
{
  MachineId mId;
  std::int64_t mReservedCpu = 0;
};

// Returns the usable hosts without long-running tasks, whose work ends by itself, in ascending
// order of reserved CPU.
std::vector<BusyHost>
HostsToDrain(const FleetContext& aContext,
             const Rebalance& aRebalance,
             const Shard& aShard,
             const ServiceName& aPool,
             const Now& aNow);

}
