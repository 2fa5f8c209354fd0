#pragma once

#include "LibSchedule/HostIndex.h"
#include "LibSchedule/Maintenance.h"

// Chooses which hosts of a wave drain next.
namespace sesameseam::schedule {

// Chooses the hosts of each shard that get no new work, so that the wave continues as soon as its
// limit allows: idle ones at once, and as many busy ones as the time limit requires. A few with
// long-running tasks drain from the start, since their steps allow only some tasks to be
// unavailable at a time. Hosts that the wave has finished with are removed from the index.
void
ChooseHostsToDrain(Maintenance& aMaintenance,
                   const Now& aNow,
                   const FleetContext& aContext,
                   const Wave& aWave,
                   IndexedWave& aIndexed);

// Whether a wave has yet to maintain the host, and the share of its time in which such hosts may
// move is over: the host stays in its pool until it was maintained.
bool
IsPinnedForMaintenance(const FleetContext& aContext, const IndexedHost& aHost, Instant aNow);

}
