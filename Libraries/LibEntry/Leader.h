#pragma once

#include "LibEntry/Control.h"

namespace sesameseam {

// What the leader does: ends drains, carries out the plan, and takes silent members out.
// All its records are conditional, so that two leaders at once do no harm.
void
Lead(Control& aControl, TimePoint aNow);

// Asks the platform for the reboot that the fold has just accepted, if this incarnation proposed
// it. A record that took long to be folded is left: by then a later leader may have asked again,
// and the host may be back at work.
void
RebootIfOurs(const Control& aControl,
             TimePoint aNow,
             const Record& aRecord,
             const HostRebootRequested& aReboot,
             ControlActions& aActions);

// What this entry host knows of the load and of the platform's hosts.
FleetLoad
LoadOfFleet(const Control& aControl, TimePoint aNow);

}
