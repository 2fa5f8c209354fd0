#include "LibEntry/Leader.h"

#include "LibEntry/HostUse.h"
#include "LibEntry/Membership.h"
#include "LibFleet/JobFold.h"
#include "LibFleet/Planner.h"

#include <algorithm>

namespace sesameseam {

namespace {

// Planning interval. Drains end between two plans, because callers are waiting for slots.
constexpr Duration kPlanPeriod = 1s;

// An accepted reboot is requested from the platform within this time or not at all. Must be shorter
// than the time after which the planner asks for the reboot again.
constexpr Duration kRebootRequestWindow = 5s;

// Older loads say nothing about the current state.
constexpr Duration kLoadStaleAfter = 2s;

// True if no member uses the host any more or will use it.
bool
IsDrained(const Control& aControl, TimePoint aNow, const HostState& aHost)
{
  return !HasJobs(aControl.mFleet, aHost.mHost) &&
         IsHostUnused(aControl, aNow, aHost.mHost, aHost.mPhaseVersion);
}

void
EndDrains(Control& aControl, TimePoint aNow)
{
  for (const auto& [name, host] : aControl.mFleet.mHosts) {
    if (host.mPhase == HostPhase::Leaving && IsDrained(aControl, aNow, host)) {
      Propose(aControl, aNow, "drained " + name.mValue, host.mPhaseVersion, HostDrained{ name });
    }
  }
}

void
ProposePlan(Control& aControl, TimePoint aNow)
{
  // The next plan must see the effects of the last one, or changes would be planned twice.
  if (aNow < aControl.mNextPlan || !aControl.mPlanUndecided.empty()) {
    return;
  }
  aControl.mNextPlan = aNow + kPlanPeriod;
  auto plan = PlanFleet(aControl.mSettings.mPlanner,
                        aControl.mFleet,
                        LoadOfFleet(aControl, aNow),
                        aControl.mPlannerMemory,
                        aNow);
  for (auto& proposal : plan.mProposals) {
    auto id =
      Propose(aControl, aNow, proposal.mTopic, proposal.mBasedOn, std::move(proposal.mChange));
    if (id) {
      aControl.mPlanUndecided.insert(*id);
    }
  }
}

// The load reports of all members; empty if a report is missing or too old.
std::vector<const std::map<PoolName, PeerLoadReported>*>
LoadsOfMembers(const Control& aControl, TimePoint aNow)
{
  std::vector<const std::map<PoolName, PeerLoadReported>*> loads;
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    if (name == aControl.mSettings.mSelf) {
      loads.push_back(&aControl.mOwnLoads);
      continue;
    }
    auto peer = aControl.mPeers.find(name);
    if (peer == aControl.mPeers.end() || aNow - peer->second.mHeardAt > kLoadStaleAfter) {
      return {};
    }
    loads.push_back(&peer->second.mReport.mLoads);
  }
  return loads;
}

std::map<PoolName, int>
SlotsInService(const FleetState& aState)
{
  std::map<PoolName, int> slots;
  for (const auto& [name, host] : aState.mHosts) {
    if (host.mPhase == HostPhase::InService) {
      slots[host.mPool] += host.mSlots;
    }
  }
  return slots;
}

// The summed load of all members; nullopt while members report different versions, because their
// free slots then cannot be added up.
std::optional<PoolDemand>
LoadOfPool(const std::vector<const std::map<PoolName, PeerLoadReported>*>& aMembers,
           const PoolName& aPool,
           Offset aVersion,
           int aSlots)
{
  PoolDemand total;
  total.mBusySlots = aSlots;
  for (const auto* loads : aMembers) {
    auto found = loads->find(aPool);
    if (found == loads->end() || found->second.mVersion != aVersion) {
      return std::nullopt;
    }
    total.mBusySlots -= found->second.mFreeSlots;
    total.mQueued += found->second.mQueued;
  }
  total.mBusySlots = std::max(0, total.mBusySlots);
  return total;
}

}

FleetLoad
LoadOfFleet(const Control& aControl, TimePoint aNow)
{
  FleetLoad load;
  load.mBoots = aControl.mBoots;
  load.mListedAt = aControl.mBootsListedAt;
  auto members = LoadsOfMembers(aControl, aNow);
  if (members.empty()) {
    return load;
  }
  auto slots = SlotsInService(aControl.mFleet);
  for (const auto& [name, pool] : aControl.mFleet.mPools) {
    auto total = LoadOfPool(members, name, aControl.mFleet.mVersion, slots[name]);
    if (total) {
      load.mPools.emplace(name, *total);
    }
  }
  return load;
}

void
RebootIfProposedHere(const Control& aControl,
                     TimePoint aNow,
                     const Record& aRecord,
                     const HostRebootRequested& aReboot,
                     ControlActions& aActions)
{
  if (aRecord.mAuthor == AuthorOf(aControl) && aNow - aRecord.mTime <= kRebootRequestWindow) {
    aActions.push_back(RebootHost{ aReboot.mHost });
  }
}

void
RunLeaderDuties(Control& aControl, TimePoint aNow)
{
  if (!IsMember(aControl) || !IsLogReachable(aControl, aNow)) {
    return;
  }
  ElectLeader(aControl, aNow);
  if (!IsLeader(aControl)) {
    return;
  }
  RemoveUnresponsiveMembers(aControl, aNow);
  EndDrains(aControl, aNow);
  ProposePlan(aControl, aNow);
}

}
