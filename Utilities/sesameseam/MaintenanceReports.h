#pragma once

#include "Commands.h"

#include <string>

namespace sesameseam {

// Prints the progress of a maintenance and why its hosts wait. An empty id selects all maintenance.
int
ShowMaintenance(const CommandContext& aContext, const std::string& aId);

// Prints why the host waits, for each maintenance that it waits for.
int
ShowWhyHostWaits(const CommandContext& aContext, const std::string& aHost);

}
