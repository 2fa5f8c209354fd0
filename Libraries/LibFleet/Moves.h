#pragma once

#include "LibFleet/PlannerView.h"

// Loans of hosts from the spare pool, and their return.
namespace sesameseam {

// Hosts that other proposals of the same plan take out of service.
using SelectedHosts = std::set<HostName>;

std::vector<Proposal>
PlanMoves(const PlannerSettings& aSettings,
          const FleetState& aState,
          const FleetView& aView,
          const SelectedHosts& aTaken,
          TimePoint aNow,
          PlannerMemory& aMemory);

}
