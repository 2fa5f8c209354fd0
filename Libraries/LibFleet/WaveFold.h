#pragma once

#include "LibFleet/FleetState.h"

// Folds the records of maintenance and of host failures into the state of the fleet.
namespace sesameseam {

// A host failure this soon after the maintenance of the host is attributed to the maintenance.
// Older outcomes no longer count towards stopping a wave.
constexpr Duration kOutcomeWindow = std::chrono::hours(1);

// Refuses a leave of a host that is not in service, that a former leader decided, or that breaks
// the preset or the availability budget of the pool according to the log. Two leaders that each
// keep the budget by their own view could break it together.
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

// Marks the maintenance of a rebooted host that joins a pool as finished, and ends a maintenance
// with its last host.
void
MarkReturned(FleetState& aState, HostState& aHost, TimePoint aTime);

// Removes a host from the state, and ends each maintenance that waited only for it.
void
RemoveHost(FleetState& aState, const HostName& aHost);

// Returns whether a running or paused maintenance has yet to reboot the host.
bool
NeedsMaintenanceReboot(const FleetState& aState, const HostName& aHost);

}
