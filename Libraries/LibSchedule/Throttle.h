#pragma once

#include "LibSchedule/Shard.h"

// Throttles best-effort tasks while they raise the tail latency of the
// latency-sensitive tasks beside them.
namespace sesameseam::schedule::detail {

void
AdjustThrottle(Shard& aShard, Executor& aExecutor, Instant aNow, Actions& aActions);

}
