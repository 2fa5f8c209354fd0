#pragma once

#include "LibFleet/PlannerView.h"

// Plans how drained hosts return to service, and keeps watch for hosts that fail.
namespace sesameseam {

// Proposes reboots, joins and failures of drained hosts.
std::vector<Proposal>
PlanReturns(const PlannerSettings& aSettings,
            const FleetState& aState,
            const FleetLoad& aLoad,
            TimePoint aNow);

// Proposes failures of hosts in service that the platform no longer lists, and recoveries of those
// that it lists again.
std::vector<Proposal>
PlanFailures(const PlannerSettings& aSettings,
             const FleetState& aState,
             const FleetLoad& aLoad,
             TimePoint aNow,
             PlannerMemory& aMemory);

}
