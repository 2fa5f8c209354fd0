#pragma once

#include "LibSchedule/Upkeep.h"

// Which hosts of a wave are emptied next.
namespace sesameseam::schedule {

// Chooses the hosts of a shard that get no new work, so that the wave goes on as soon as its limit
// allows: idle ones at once, and as many busy ones as the time demands. A few with lasting tasks
// are among them from the start, since their steps let only some tasks be away at a time.
void
ChooseHostsToDrain(const Upkeep& aUpkeep,
                   const Now& aNow,
                   const FleetContext& aContext,
                   const Wave& aWave,
                   Shard& aShard);

// Whether the host is due for its upkeep, and the time for that is no longer ample: it stays in its
// pool until then.
bool
IsPinnedForUpkeep(const FleetContext& aContext, const MachineId& aMachine, Instant aNow);

}
