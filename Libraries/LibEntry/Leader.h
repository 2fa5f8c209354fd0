#pragma once

#include "LibEntry/Control.h"

namespace sesameseam {

// Runs leader election and the leader's duties: ends drains, proposes the plan and removes
// unresponsive members. All records are conditional, so that two concurrent leaders do no harm.
void
RunLeaderDuties(Control& aControl, TimePoint aNow);

// Requests the accepted reboot from the platform if this incarnation proposed it. A record that was
// folded late is ignored: a later leader may have requested the reboot again, and the host may be
// back in service.
void
RebootIfProposedHere(const Control& aControl,
                     TimePoint aNow,
                     const Record& aRecord,
                     const HostRebootRequested& aReboot,
                     ControlActions& aActions);

// The load of the pools and the platform's host list, as known to this entry host.
FleetLoad
LoadOfFleet(const Control& aControl, TimePoint aNow);

}
