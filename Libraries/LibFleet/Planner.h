#pragma once

#include "LibFleet/PlannerTypes.h"

// Decides what the leader does about capacity, moves and maintenance. Nothing here performs
// anything: every proposal is a record, and counts once the fold has accepted it.
namespace sesameseam {

struct FleetPlan
{
  std::vector<Proposal> mProposals;
  std::vector<HostWait> mWaits;
};

FleetPlan
PlanFleet(const PlannerSettings& aSettings,
          const FleetState& aState,
          const FleetLoad& aLoad,
          PlannerMemory& aMemory,
          TimePoint aNow);

// Why hosts of open maintenance wait. Any entry host can tell, since it follows from the log
// and the list of live hosts.
std::vector<HostWait>
ExplainWaits(const PlannerSettings& aSettings,
             const FleetState& aState,
             const FleetLoad& aLoad,
             TimePoint aNow);

}
