#pragma once

#include "LibEntry/Control.h"

namespace sesameseam {

// True if no member uses or will use a slot of the host that it does not own at this version: every
// member reports that its server of the host's pool has applied the version, and that it uses none
// of the host's former slots.
bool
IsHostUnused(const Control& aControl, TimePoint aNow, const HostName& aHost, Offset aVersion);

}
