#pragma once

#include "LibEntry/Control.h"

// The member set of entry hosts, and leader election.
namespace sesameseam {

// True for this entry host, and for members that answered a report within the member timeout.
bool
IsResponsive(const Control& aControl, TimePoint aNow, const MemberName& aMember);

bool
IsLogReachable(const Control& aControl, TimePoint aNow);

// Proposes this entry host as leader if the current leader is gone and this is the first responsive
// member by name.
void
ElectLeader(Control& aControl, TimePoint aNow);

// Proposes to remove members that have not responded for too long.
void
RemoveUnresponsiveMembers(Control& aControl, TimePoint aNow);

bool
IsProcessGone(const Control& aControl, TimePoint aNow, const MemberName& aMember);

// Proposes an in-force report of a version once it is in force on every member, or after a timeout,
// with the members that have it. At most one report per second goes into the log.
void
ReportInForce(Control& aControl, TimePoint aNow);

// True if this entry host is the leader according to the folded state.
bool
IsLeader(const Control& aControl);

}
