#pragma once

#include "LibFleet/PlannerView.h"

// Plans maintenance waves, which take hosts out of service a few at a time.
namespace sesameseam {

struct WaveStep
{
  std::vector<Proposal> mProposals;
  // Every host of an open maintenance that is neither finished nor selected by this step.
  std::vector<HostWait> mWaits;
  // The hosts that this step takes out of service.
  std::map<HostName, MaintenanceId> mSelected;
};

// Takes hosts out of service for running maintenance, within the availability budget of each pool.
// Hosts in racks that are already affected come first, so that whole racks are done together.
WaveStep
PlanWave(const PlannerSettings& aSettings,
         const FleetState& aState,
         const FleetLoad& aLoad,
         const FleetView& aView,
         TimePoint aNow);

}
