#pragma once

#include "LibSchedule/Rebalance.h"

#include <vector>

// Which hosts of a pool may go to another one.
namespace sesameseam::schedule {

// Whether nothing runs on the host, as far as is known.
bool
HasNoRuns(const Shard& aShard, const Machine& aMachine);

// Hosts that may go now: those of the reserve, idle ones, and those that were emptied for it.
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

// Hosts whose work ends by itself, those with least of it first.
std::vector<BusyHost>
HostsToDrain(const FleetContext& aContext,
             const Rebalance& aRebalance,
             const Shard& aShard,
             const ServiceName& aPool,
             const Now& aNow);

}
