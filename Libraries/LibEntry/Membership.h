#pragma once

#include "LibEntry/Control.h"

// Which entry hosts take part, and which of them leads the planning.
namespace sesameseam {

// True if the member answered a report within the member timeout.
bool
IsResponsive(const Control& aControl, TimePoint aNow, const MemberName& aMember);

bool
IsLogReachable(const Control& aControl, TimePoint aNow);

// The first member by name that is heard proposes itself where the leader is gone.
void
ElectLeader(Control& aControl, TimePoint aNow);

// Takes members out that were silent for too long.
void
RemoveUnresponsiveMembers(Control& aControl, TimePoint aNow);

bool
IsProcessGone(const Control& aControl, TimePoint aNow, const MemberName& aMember);

// Proposes the report of a version once it is in force on every member, or after a while on
// those that have it. At most one report a second goes into the log.
void
ReportInForce(Control& aControl, TimePoint aNow);

// True if this entry host leads, by the fold.
bool
IsLeader(const Control& aControl);

}
