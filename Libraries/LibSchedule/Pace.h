#pragma once

#include "LibSchedule/Shard.h"

// Slows tasks that fill an executor while they harm those that serve beside them.
namespace sesameseam::schedule::detail {

void
AdjustPace(Shard& aShard, Executor& aExecutor, Instant aNow, Actions& aActions);

}
