#include "LibEntry/Membership.h"

#include <algorithm>

namespace sesameseam {

namespace {

// Changes are to be in force everywhere within this time; members that lag are left out.
constexpr Duration kInForceTimeout = 17s;

TimePoint
HeardAt(const Control& aControl, const MemberName& aMember)
{
  auto peer = aControl.mPeers.find(aMember);
  auto heard = peer == aControl.mPeers.end() ? TimePoint() : peer->second.mHeardAt;
  // A member gets the time to answer that it would have had if it was heard at the start.
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
  bool leaderIsThere = aControl.mFleet.mMembers.contains(leader.mMember) &&
                       IsResponsive(aControl, aNow, leader.mMember);
  if (leaderIsThere) {
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

// True if the process at the member's address has ended, as its machine has said throughout the
// member timeout. A member that is only cut off or paused refuses nothing.
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
  std::size_t heard = 0;
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    heard += IsResponsive(aControl, aNow, name) ? 1 : 0;
  }
  bool majority = heard * 2 > aControl.mFleet.mMembers.size();
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    auto silent = aNow - HeardAt(aControl, name);
    bool known = majority || IsProcessGone(aControl, aNow, name);
    auto limit =
      known ? aControl.mSettings.mMemberTimeout : aControl.mSettings.mMinorityMemberTimeout;
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
