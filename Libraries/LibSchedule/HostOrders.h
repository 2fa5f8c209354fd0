#pragma once

#include "LibSchedule/FleetContext.h"

// When a host may be ordered to move or to go down. Entry hosts that order one host leave a pause
// between them, and each order is recorded in the fleet log before it is given.
namespace sesameseam::schedule {

// Whether no other holder can have ordered the host within the time that holders must leave.
bool
MayOrder(const FleetContext& aContext,
         const Shard& aShard,
         const MachineId& aMachine,
         const Now& aNow);

// An order to move the host may be under way, or repeated.
bool
IsMoving(const FleetLog& aLog, const MachineId& aMachine, TimePoint aNow);

}
