#pragma once

#include "LibSchedule/Dependency.h"

#include <optional>
#include <set>

// Membership in the group of entry hosts, to which the log assigns partitions.
namespace sesameseam::schedule {

// The log assigns partitions evenly, although hosts differ in capacity. A host therefore stays out
// of the group while a host with more capacity owns partitions, and joins once none does. Every
// member that joins or leaves makes the log reassign all partitions, so a host joins only once it
// knows that it will stay.
struct GroupMembership
{
  std::string mHost;
  int mCapacityMillicores = 0;
  // The log deals a member's partitions to others if it has not joined again for this long.
  std::chrono::milliseconds mTimeToLive{ 1500 };
  bool mKnowsOwners = false;
  // Whether a host with more capacity owns partitions.
  bool mIsOutranked = false;
  // While no host owns partitions, the hosts that owned them last may join first.
  bool mKnowsFormerOwners = false;
  bool mFormerOwnersPending = false;
  bool mOwnersPending = false;
  Instant mNextOwnersAt;
  std::int64_t mGeneration = 0;
  std::set<int> mPartitions;
  Dependency mDependency;
  bool mInFlight = false;
  // Joins in a row that were not answered.
  int mUnansweredJoins = 0;
  // Set for good by LeaveGroup().
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

// Returns whether the host has left the group and thus lost its partitions.
bool
OnOwnersAnswer(GroupMembership& aGroup,
               const Now& aNow,
               const OwnersAnswer& aAnswer,
               Actions& aActions);

void
OnFormerOwnersAnswer(GroupMembership& aGroup, const Now& aNow, const ReadNewestAnswer& aAnswer);

void
AdvanceGroup(GroupMembership& aGroup, const Now& aNow, Actions& aActions);

// Leaves the group for good and gives up all partitions immediately.
void
LeaveGroup(GroupMembership& aGroup, Actions& aActions);

}
