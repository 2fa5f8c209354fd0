#pragma once

#include "LibFleet/FleetState.h"
#include "LibServe/PoolView.h"

namespace sesameseam {

// What serving the pool needs to know. Hosts that are leaving are not in it.
PoolView
MakePoolView(const FleetState& aState, const PoolName& aPool);

const Preset*
PresetInForce(const PoolState& aPool);

}
