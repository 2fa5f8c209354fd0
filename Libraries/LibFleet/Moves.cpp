#include "LibFleet/Moves.h"

#include "LibFleet/Capacity.h"
#include "LibFleet/Views.h"
#include "LibFleet/WaveFold.h"

#include <algorithm>
#include <tuple>

namespace sesameseam {

namespace {

// The parts that every step of the planning of moves looks at.
struct MoveContext
{
  const PlannerSettings& mSettings;
  const FleetState& mState;
  const FleetView& mView;
  SelectedHosts mSelected;
  int mMoves = 0;
  std::vector<Proposal> mProposals;
};

// True once the condition has held for the given time without a break.
bool
HasHeldFor(std::map<PoolName, TimePoint>& aSince,
           const PoolName& aPool,
           bool aHolds,
           TimePoint aNow,
           Duration aTime)
{
  if (!aHolds) {
    aSince.erase(aPool);
    return false;
  }
  auto since = aSince.try_emplace(aPool, aNow).first->second;
  return aNow - since >= aTime;
}

const PoolHosts*
SparePool(const FleetView& aView)
{
  for (const auto& [name, pool] : aView.mPools) {
    if (pool.mPool->mDefinition.mSpare) {
      return &pool;
    }
  }
  return nullptr;
}

void
ProposeMove(MoveContext& aContext,
            const HostState& aHost,
            const PoolName& aDestination,
            const std::string& aWhy)
{
  HostLeaving leaving;
  leaving.mHost = aHost.mHost;
  leaving.mReason = LeaveReason::Move;
  leaving.mDestination = aDestination;
  leaving.mLoan = true;
  leaving.mEpoch = aContext.mState.mLeader.mEpoch;
  leaving.mExplanation = aWhy;
  aContext.mSelected.insert(aHost.mHost);
  aContext.mMoves += 1;
  aContext.mProposals.push_back({ "move " + aHost.mHost.mValue, aHost.mPhaseVersion, leaving });
}

std::vector<const HostState*>
UnselectedHosts(const MoveContext& aContext, const PoolHosts& aPool)
{
  std::vector<const HostState*> hosts;
  for (const auto* host : aPool.mServing) {
    if (!aContext.mSelected.contains(host->mHost)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

// How many hosts the spare pool can do without.
int
SurplusHosts(const MoveContext& aContext, const PoolHosts& aSpare, const PlannerMemory& aMemory)
{
  const auto& name = aSpare.mPool->mDefinition.mPool;
  const auto* load = SustainedLoad(aContext.mSettings, aMemory, name);
  auto need = ComputeRequirement(aContext.mSettings, aSpare, load);
  return static_cast<int>(UnselectedHosts(aContext, aSpare).size()) - need.mHosts;
}

// The host of the spare pool in the zone and rack where the borrower has fewest.
const HostState*
ChooseHostToLend(const MoveContext& aContext, const PoolHosts& aSpare, const PoolHosts& aBorrower)
{
  auto racks = ServingByRack(aBorrower);
  auto zones = ServingByZone(aBorrower);
  for (const auto* host : aSpare.mServing) {
    if (aContext.mSelected.contains(host->mHost)) {
      zones[host->mZone] += 1;
      racks[host->mRack] += 1;
    }
  }
  const HostState* best = nullptr;
  std::tuple<bool, int, int> bestRank;
  for (const auto* host : UnselectedHosts(aContext, aSpare)) {
    // Hosts that a wave will take soon come last.
    std::tuple<bool, int, int> rank{ NeedsMaintenanceReboot(aContext.mState, host->mHost),
                                     zones[host->mZone],
                                     racks[host->mRack] };
    if (best == nullptr || rank < bestRank) {
      best = host;
      bestRank = rank;
    }
  }
  return best;
}

std::string
DescribeShortage(const PoolHosts& aPool, const PoolRequirement& aNeed)
{
  auto name = "pool " + aPool.mPool->mDefinition.mPool.mValue;
  auto serving = std::to_string(aPool.mServing.size()) + " serve";
  if (aNeed.mSetByPreset) {
    return name + " needs " + std::to_string(aNeed.mHosts) + " hosts by preset " +
           aPool.mPool->mInForce.mValue + ", " + serving;
  }
  return name + " needs " + std::to_string(aNeed.mHostsForLoad) + " hosts for its load and " +
         std::to_string(aNeed.mBuffer) + " as buffer, " + serving;
}

void
BorrowHosts(MoveContext& aContext,
            const PoolHosts& aPool,
            const PoolRequirement& aNeed,
            TimePoint aNow,
            PlannerMemory& aMemory)
{
  const auto& name = aPool.mPool->mDefinition.mPool;
  auto have = static_cast<int>(aPool.mServing.size()) + aPool.mReturning + aPool.mIncoming;
  const auto* preset = PresetInForce(*aPool.mPool);
  bool belowPreset = preset != nullptr && have < preset->mHosts;
  auto after =
    belowPreset ? aContext.mSettings.mPresetBorrowDelay : aContext.mSettings.mBorrowDelay;
  if (!HasHeldFor(aMemory.mShortageSince, name, have < aNeed.mHosts, aNow, after)) {
    return;
  }
  const auto* spare = SparePool(aContext.mView);
  if (spare == nullptr) {
    return;
  }
  auto room = std::min(aContext.mSettings.mMaxMovesPerPool - aPool.mIncoming,
                       aContext.mSettings.mMaxMoves - aContext.mMoves);
  auto wanted = std::min({ aNeed.mHosts - have, room, SurplusHosts(aContext, *spare, aMemory) });
  for (int i = 0; i < wanted; ++i) {
    ProposeMove(
      aContext, *ChooseHostToLend(aContext, *spare, aPool), name, DescribeShortage(aPool, aNeed));
  }
}

// The borrowed host whose loss leaves the pool spread best.
const HostState*
ChooseHostToReturn(const MoveContext& aContext, const PoolHosts& aPool)
{
  auto racks = ServingByRack(aPool);
  auto zones = ServingByZone(aPool);
  const HostState* best = nullptr;
  std::pair<int, int> bestRank;
  for (const auto* host : UnselectedHosts(aContext, aPool)) {
    std::pair<int, int> rank{ zones[host->mZone], racks[host->mRack] };
    bool borrowed =
      host->mHomePool != host->mPool && aContext.mState.mPools.contains(host->mHomePool);
    if (borrowed && (best == nullptr || rank > bestRank)) {
      best = host;
      bestRank = rank;
    }
  }
  return best;
}

void
ReturnHost(MoveContext& aContext,
           const PoolHosts& aPool,
           const PoolRequirement& aNeed,
           TimePoint aNow,
           PlannerMemory& aMemory)
{
  const auto& name = aPool.mPool->mDefinition.mPool;
  auto serving = static_cast<int>(UnselectedHosts(aContext, aPool).size());
  const auto* host = ChooseHostToReturn(aContext, aPool);
  bool surplus = host != nullptr && aPool.mIncoming == 0 && serving - 1 >= aNeed.mReturnThreshold;
  if (!HasHeldFor(aMemory.mSurplusSince, name, surplus, aNow, aContext.mSettings.mReturnDelay) ||
      aContext.mMoves >= aContext.mSettings.mMaxMoves) {
    return;
  }
  ProposeMove(aContext,
              *host,
              host->mHomePool,
              "pool " + name.mValue + " needs " + std::to_string(aNeed.mReturnThreshold) +
                " hosts, " + std::to_string(serving) + " serve");
}

}

std::vector<Proposal>
PlanMoves(const PlannerSettings& aSettings,
          const FleetState& aState,
          const FleetView& aView,
          const SelectedHosts& aTaken,
          TimePoint aNow,
          PlannerMemory& aMemory)
{
  MoveContext context{ aSettings, aState, aView, aTaken, aView.mMoves, {} };
  for (const auto& [name, pool] : aView.mPools) {
    if (pool.mPool->mDefinition.mSpare) {
      continue;
    }
    auto need = ComputeRequirement(aSettings, pool, SustainedLoad(aSettings, aMemory, name));
    BorrowHosts(context, pool, need, aNow, aMemory);
    ReturnHost(context, pool, need, aNow, aMemory);
  }
  return std::move(context.mProposals);
}

}
