#include "LibEntry/Membership.h"

#include <algorithm>

namespace sesameseam {

namespace {

// A change should be in force on every member within this time; members that lag are then left out
// of the report.
constexpr Duration kInForceTimeout = 17s;

TimePoint
HeardAt(const Control& aControl, const MemberName& aMember)
{
  auto peer = aControl.mPeers.find(aMember);
  auto heard = peer == aControl.mPeers.end() ? TimePoint() : peer->second.mHeardAt;
  // Members count as heard when this entry host starts, so that they get the full timeout to
  // answer.
  return std::max(heard, aControl.mStarted);
}

}

bool
IsResponsive(const Control& aControl, TimePoint aNow, const MemberName& aMember)
{
  return aMember == aControl.mSettings.mSelf ||
         aNow - HeardAt(aControl, aMember) <= aControl.mSettings.mMemberTimeout;
}

bool
IsLogReachable(const Control& aControl, TimePoint aNow)
{
  return aNow - aControl.mLogConfirmed <= aControl.mSettings.mViewStaleAfter;
}

void
ElectLeader(Control& aControl, TimePoint aNow)
{
  const auto& leader = aControl.mFleet.mLeader;
  bool hasLeader = aControl.mFleet.mMembers.contains(leader.mMember) &&
                   IsResponsive(aControl, aNow, leader.mMember);
  if (hasLeader) {
    return;
  }
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    if (!IsResponsive(aControl, aNow, name)) {
      continue;
    }
    if (name == aControl.mSettings.mSelf) {
      Propose(aControl, aNow, "lead", std::nullopt, LeaderElected{ name, leader.mEpoch + 1 });
    }
    return;
  }
}

// True if the process at the member's address has ended: its machine has refused connections for
// the whole member timeout. A member that is only partitioned or paused does not refuse
// connections.
bool
IsProcessGone(const Control& aControl, TimePoint aNow, const MemberName& aMember)
{
  auto refused = aControl.mRefusals.find(aMember);
  if (refused == aControl.mRefusals.end()) {
    return false;
  }
  const auto& [since, last] = refused->second;
  return last - since > aControl.mSettings.mMemberTimeout &&
         aNow - last <= aControl.mSettings.mViewStaleAfter;
}

void
RemoveUnresponsiveMembers(Control& aControl, TimePoint aNow)
{
  std::size_t responsive = 0;
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    responsive += IsResponsive(aControl, aNow, name) ? 1 : 0;
  }
  bool majority = responsive * 2 > aControl.mFleet.mMembers.size();
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    auto silent = aNow - HeardAt(aControl, name);
    bool mayRemoveEarly = majority || IsProcessGone(aControl, aNow, name);
    auto limit = mayRemoveEarly ? aControl.mSettings.mMemberTimeout
                                : aControl.mSettings.mMinorityMemberTimeout;
    if (name == aControl.mSettings.mSelf || silent <= limit) {
      continue;
    }
    Propose(aControl,
            aNow,
            "remove " + name.mValue,
            member.mVersion,
            MemberRemoved{ name, member.mJoined.mIncarnation });
  }
}

void
ReportInForce(Control& aControl, TimePoint aNow)
{
  auto& tracker = aControl.mInForce;
  const auto& fleet = aControl.mFleet;
  auto reported = fleet.mInForce.empty() ? kNoOffset : fleet.mInForce.back().mVersion;
  if (tracker.mVersion <= reported) {
    if (fleet.mVersion <= reported) {
      return;
    }
    tracker = InForceTracker{ fleet.mVersion, aNow, {} };
  }
  for (const auto& [name, member] : fleet.mMembers) {
    auto peer = aControl.mPeers.find(name);
    bool own = name == aControl.mSettings.mSelf;
    if (own ||
        (peer != aControl.mPeers.end() && peer->second.mReport.mVersion >= tracker.mVersion)) {
      tracker.mSince.try_emplace(name, aNow);
    }
  }
  bool everywhere = tracker.mSince.size() >= fleet.mMembers.size();
  if (everywhere || aNow - tracker.mBegan > kInForceTimeout) {
    Propose(aControl,
            aNow,
            "in force",
            std::nullopt,
            InForceReported{ tracker.mVersion, tracker.mSince });
  }
}

bool
IsLeader(const Control& aControl)
{
  return IsMember(aControl) && aControl.mFleet.mLeader.mMember == aControl.mSettings.mSelf;
}

}
