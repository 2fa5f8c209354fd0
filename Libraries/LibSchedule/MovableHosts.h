#pragma once

#include "LibSchedule/Rebalance.h"

#include <vector>

// Selects the hosts of a pool that may move to another pool.
namespace sesameseam::schedule {

// Whether no run is known on the host.
bool
HasNoRuns(const Shard& aShard, const Machine& aMachine);

// Returns how many hosts of the pool are up.
int
CountHostsUp(const FleetContext& aContext, const ServiceName& aPool);

struct ReadyHosts
{
  std::vector<MachineId> mIds;
  // The time may change which hosts are ready.
  bool mDependsOnTime = false;
};

// Returns the first hosts that may move now, at most aLimit: those of a standby pool, idle ones,
// and those that have drained for a move.
ReadyHosts
HostsReadyToMove(const FleetContext& aContext,
                 const Rebalance& aRebalance,
                 const Service& aPool,
                 int aLimit,
                 const Now& aNow);

// Returns how many hosts may move now, at most aLimit. The hosts are looked at only if the count
// may have changed.
int
CountHostsReadyToMove(const FleetContext& aContext,
                      Rebalance& aRebalance,
                      const Service& aPool,
                      int aLimit,
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
             const ServiceName& aPool,
             const Now& aNow);

}
