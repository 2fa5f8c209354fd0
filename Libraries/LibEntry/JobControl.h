#pragma once

#include "LibEntry/Control.h"

namespace sesameseam {

// What the leader does about jobs: assigns them, renews the leases of their tasks, and records
// their ends. All its records carry epochs, so that two leaders at once do no harm.
void
ScheduleJobs(Control& aControl, TimePoint aNow, ControlActions& aActions);

}
