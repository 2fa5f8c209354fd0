#pragma once

#include "LibFleet/FleetState.h"
#include "LibServe/PoolView.h"

namespace sesameseam {

// Returns the data needed to serve requests of the pool. Excludes hosts that are not in service.
PoolView
MakePoolView(const FleetState& aState, const PoolName& aPool);

// Returns nullptr if the pool does not define the preset that is in force.
const Preset*
PresetInForce(const PoolState& aPool);

}
