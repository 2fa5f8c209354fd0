#include "LibEntry/Leader.h"

#include "LibEntry/HostUse.h"
#include "LibEntry/Membership.h"
#include "LibFleet/JobFold.h"
#include "LibFleet/Planner.h"

#include <algorithm>

namespace sesameseam {

namespace {

// The period of the planning. Drains end between two plans, since callers wait for slots.
constexpr Duration kPlanPeriod = 1s;

// An accepted reboot is asked for within this time or not at all. It must be shorter than the
// time after which the planner asks again.
constexpr Duration kRebootAskWindow = 5s;

// Loads that are older than this say nothing about now.
constexpr Duration kLoadStaleAfter = 2s;

// True if no member uses the host any more, nor will use it.
bool
IsDrained(const Control& aControl, TimePoint aNow, const HostState& aHost)
{
  return !HasJobs(aControl.mFleet, aHost.mHost) &&
         NoMemberUses(aControl, aNow, aHost.mHost, aHost.mPhaseVersion);
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
CarryOutPlan(Control& aControl, TimePoint aNow)
{
  // A plan is made on a state that holds the last plan, so that two plans do not add up.
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

// The reports of all members about their loads; empty while one is missing or is old.
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

// The sum over all members; empty while they do not count for the same configuration, since
// their free slots do not add up then.
std::optional<PoolDemand>
LoadOfPool(const std::vector<const std::map<PoolName, PeerLoadReported>*>& aMembers,
           const PoolName& aPool,
           Offset aVersion,
           int aSlots)
{
  PoolDemand sum;
  sum.mBusySlots = aSlots;
  for (const auto* loads : aMembers) {
    auto found = loads->find(aPool);
    if (found == loads->end() || found->second.mVersion != aVersion) {
      return std::nullopt;
    }
    sum.mBusySlots -= found->second.mFreeSlots;
    sum.mQueued += found->second.mQueued;
  }
  sum.mBusySlots = std::max(0, sum.mBusySlots);
  return sum;
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
    auto sum = LoadOfPool(members, name, aControl.mFleet.mVersion, slots[name]);
    if (sum) {
      load.mPools.emplace(name, *sum);
    }
  }
  return load;
}

void
RebootIfOurs(const Control& aControl,
             TimePoint aNow,
             const Record& aRecord,
             const HostRebootRequested& aReboot,
             ControlActions& aActions)
{
  if (aRecord.mAuthor == AuthorOf(aControl) && aNow - aRecord.mTime <= kRebootAskWindow) {
    aActions.push_back(RebootHost{ aReboot.mHost });
  }
}

void
Lead(Control& aControl, TimePoint aNow)
{
  if (!IsMember(aControl) || !LogIsReachable(aControl, aNow)) {
    return;
  }
  ElectLeader(aControl, aNow);
  if (!IsLeader(aControl)) {
    return;
  }
  RemoveSilentMembers(aControl, aNow);
  EndDrains(aControl, aNow);
  CarryOutPlan(aControl, aNow);
}

}
