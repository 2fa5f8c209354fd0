#include "LibFleet/Planner.h"

#include "LibFleet/Capacity.h"
#include "LibFleet/Moves.h"
#include "LibFleet/Wave.h"
#include "LibFleet/WaveReturn.h"

#include <iterator>

namespace sesameseam {

namespace {

void
Append(std::vector<Proposal>& aAll, std::vector<Proposal> aMore)
{
  aAll.insert(
    aAll.end(), std::make_move_iterator(aMore.begin()), std::make_move_iterator(aMore.end()));
}

}

FleetPlan
PlanFleet(const PlannerSettings& aSettings,
          const FleetState& aState,
          const FleetLoad& aLoad,
          PlannerMemory& aMemory,
          TimePoint aNow)
{
  FleetPlan plan;
  UpdateLoadAverages(aSettings, aLoad, aNow, aMemory);
  auto view = MakeFleetView(aState, aLoad);
  plan.mProposals = PlanFailures(aSettings, aState, aLoad, aNow, aMemory);
  Append(plan.mProposals, PlanReturns(aSettings, aState, aLoad, aNow));
  auto wave = PlanWave(aSettings, aState, aLoad, view, aNow);
  Append(plan.mProposals, std::move(wave.mProposals));
  SelectedHosts taken;
  for (const auto& [host, maintenance] : wave.mSelected) {
    taken.insert(host);
  }
  Append(plan.mProposals, PlanMoves(aSettings, aState, view, taken, aNow, aMemory));
  plan.mWaits = std::move(wave.mWaits);
  return plan;
}

std::vector<HostWait>
ExplainWaits(const PlannerSettings& aSettings,
             const FleetState& aState,
             const FleetLoad& aLoad,
             TimePoint aNow)
{
  auto step = PlanWave(aSettings, aState, aLoad, MakeFleetView(aState, aLoad), aNow);
  for (const auto& [host, maintenance] : step.mSelected) {
    step.mWaits.push_back({ maintenance, host, "is next" });
  }
  return std::move(step.mWaits);
}

}
