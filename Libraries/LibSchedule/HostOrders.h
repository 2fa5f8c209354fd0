#pragma once

#include "LibSchedule/HostIndex.h"

// Decides when a host may be ordered to move or to go down for maintenance. Owners leave a minimum
// time between their orders for one host, and record each order in the fleet log before they send
// it.
namespace sesameseam::schedule {

// Whether no other owner can have sent an order for the host within the minimum time between orders
// of two owners.
bool
MayOrder(const FleetContext& aContext, const IndexedHost& aHost, const Now& aNow);

// Whether an order to move the host may be in flight or retried.
bool
IsMoving(const FleetLog& aLog, const MachineId& aMachine, TimePoint aNow);

}
