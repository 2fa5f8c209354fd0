#pragma once

#include "LibEntry/Control.h"

namespace sesameseam {

// Runs the leader's job scheduling: assigns jobs, renews the leases of their tasks and records
// their results. All records carry epochs, so that two concurrent leaders do no harm.
void
ScheduleJobs(Control& aControl, TimePoint aNow, ControlActions& aActions);

}
