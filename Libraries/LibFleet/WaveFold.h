#pragma once

#include "LibFleet/FleetState.h"

// How the records of maintenance and of host failures change the state.
namespace sesameseam {

// Failures of hosts within this time after their maintenance are laid to it.
constexpr Duration kOutcomeWindow = std::chrono::hours(1);

// Refuses a leave that a former leader decided, or that breaks the availability budget by what
// the log says. Two leaders that each keep the budget by their own view could break it together.
absl::Status
CheckLeaving(const FleetState& aState, const HostState& aHost, const HostLeaving& aChange);

absl::Status
ApplyRebootRequested(FleetState& aState,
                     const Record& aRecord,
                     Offset aOffset,
                     const HostRebootRequested& aChange);

absl::Status
ApplyHostFailed(FleetState& aState, const Record& aRecord, const HostFailed& aChange);

absl::Status
ApplyHostRecovered(FleetState& aState, const HostRecovered& aChange);

absl::Status
ApplyPhaseChange(FleetState& aState,
                 const Record& aRecord,
                 Offset aOffset,
                 const MaintenancePhaseChanged& aChange);

// Notes a host that joins a pool after a leave, and ends a maintenance with its last host.
void
MarkReturned(FleetState& aState, HostState& aHost, TimePoint aTime);

// Takes a removed host out of the state and out of what maintenance waits for.
void
RemoveHost(FleetState& aState, const HostName& aHost);

// True if a maintenance that may go on wants the host rebooted.
bool
NeedsMaintenanceReboot(const FleetState& aState, const HostName& aHost);

}
