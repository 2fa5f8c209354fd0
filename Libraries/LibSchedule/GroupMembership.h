#pragma once

#include "LibSchedule/Dependency.h"

#include <optional>
#include <set>

// Membership of the group of entry hosts, to which the log deals the partitions.
namespace sesameseam::schedule {

// Hosts differ in size, and the log deals partitions evenly. A host stays out of the group while a
// larger one owns partitions, and comes in once none does. Each member that comes or leaves lets
// the log deal anew, so that a host joins only once it knows that it is to stay.
struct GroupMembership
{
  std::string mHost;
  int mCapacityMillicores = 0;
  bool mKnowsOwners = false;
  bool mIsOutranked = false;
  // Where nobody owns partitions, the hosts that owned them last come first.
  bool mKnowsFormerOwners = false;
  bool mFormerOwnersPending = false;
  bool mOwnersPending = false;
  Instant mNextOwnersAt;
  std::int64_t mGeneration = 0;
  std::set<int> mPartitions;
  Dependency mDependency;
  bool mInFlight = false;
  bool mLeft = false;
  Instant mNextJoinAt;
  Instant mConfirmedAt;
};

// Returns whether the partitions may have changed.
bool
OnJoinAnswer(GroupMembership& aGroup,
             const Now& aNow,
             const JoinAnswer& aAnswer,
             Actions& aActions);

// Returns whether the partitions have changed.
bool
OnOwnersAnswer(GroupMembership& aGroup,
               const Now& aNow,
               const OwnersAnswer& aAnswer,
               Actions& aActions);

void
OnFormerOwnersAnswer(GroupMembership& aGroup, const Now& aNow, const ReadNewestAnswer& aAnswer);

void
AdvanceGroup(GroupMembership& aGroup, const Now& aNow, Actions& aActions);

// Gives all partitions up at once.
void
LeaveGroup(GroupMembership& aGroup, Actions& aActions);

}
