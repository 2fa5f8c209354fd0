#pragma once

#include "LibSchedule/FleetLog.h"
#include "LibSchedule/Shard.h"

// How many hosts a pool needs for the work that waits and keeps coming.
namespace sesameseam::schedule {

// The pool's hosts that take work, and how many it wants. The second is never below the number
// that the running work takes.
PoolDemand
EstimateDemand(const Shard& aShard, const ServiceName& aPool, const Now& aNow);

}
