#pragma once

#include "LibFleet/PlannerTypes.h"

// Plans capacity, moves and maintenance for the leader. The planner only proposes: each proposal is
// a record that takes effect once the fold has accepted it.
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

// Explains why hosts of open maintenance wait. Any entry host can compute this, since it depends
// only on the log and the list of live hosts.
std::vector<HostWait>
ExplainWaits(const PlannerSettings& aSettings,
             const FleetState& aState,
             const FleetLoad& aLoad,
             TimePoint aNow);

}
