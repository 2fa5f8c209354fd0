#pragma once

#include "LibSchedule/Maintenance.h"

// Chooses which hosts of a wave drain next.
namespace sesameseam::schedule {

// What an owner has left of a wave in a shard.
struct WaveProgress
{
  // Hosts that have not begun, and those of them that drain.
  int mLeft = 0;
  int mDraining = 0;
  // Draining hosts that still have long-running tasks.
  int mWithLongRunning = 0;
  // The step that needs the most rounds to move its long-running tasks.
  JobId mSlowestJob;
  int mSlowestTasks = 0;
  int mSlowestRounds = 0;
  // Tasks of that step that are unavailable, for any reason.
  int mSlowestUnavailable = 0;
};

// Chooses the hosts of a shard that get no new work, so that the wave continues as soon as its
// limit allows: idle ones at once, and as many busy ones as the time limit requires. Hosts
// with long-running tasks drain from the start, so that each step moves as many tasks as it allows
// to be unavailable.
WaveProgress
ChooseHostsToDrain(const Maintenance& aMaintenance,
                   const Now& aNow,
                   const FleetContext& aContext,
                   const Wave& aWave,
                   Shard& aShard);

// Whether a wave has yet to maintain the host, and the share of its time in which such hosts may
// move is over: the host stays in its pool until it was maintained.
bool
IsPinnedForMaintenance(const FleetContext& aContext, const MachineId& aMachine, Instant aNow);

}
