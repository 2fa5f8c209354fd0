#pragma once

#include "LibSchedule/FleetLog.h"
#include "LibSchedule/Shard.h"

// Estimates how many hosts a pool needs for its waiting, running and arriving work.
namespace sesameseam::schedule {

// Returns how many hosts of the pool accept work and how many it needs. The need is never below the
// number that the running work takes. All jobs and executors of the shard are measured.
PoolDemand
EstimateDemand(const Shard& aShard, const ServiceName& aPool, const Now& aNow);

// Returns the same from the sums that the shard keeps, of which only what has changed is measured.
PoolDemand
UpdateDemand(Shard& aShard, const ServiceName& aPool, const Now& aNow);

}
