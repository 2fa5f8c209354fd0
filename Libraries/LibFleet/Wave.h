#pragma once

#include "LibFleet/PlannerView.h"

// The next step of maintenance.
namespace sesameseam {

struct WaveStep
{
  std::vector<Proposal> mProposals;
  // Every host of an open maintenance that is neither finished nor taken by this step.
  std::vector<HostWait> mWaits;
  // The hosts that this step takes out of service.
  std::map<HostName, MaintenanceId> mSelected;
};

// Takes hosts out of service for the maintenance that runs, within the budget of each pool.
// Hosts of a rack that is affected already come first, so that whole racks are done at once.
WaveStep
PlanWave(const PlannerSettings& aSettings,
         const FleetState& aState,
         const FleetLoad& aLoad,
         const FleetView& aView,
         TimePoint aNow);

}
