#pragma once

#include "LibEntry/Control.h"

namespace sesameseam {

// True if no member uses a slot of the host that it does not have at this version, nor will
// use one: every member has reported that its serving of the host's pool follows the version.
bool
IsHostUnused(const Control& aControl, TimePoint aNow, const HostName& aHost, Offset aVersion);

}
