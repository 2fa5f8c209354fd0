#pragma once

#include "LibSchedule/Calls.h"

#include <optional>
#include <set>

// Membership of the group of entry hosts, to which the log deals the partitions.
namespace sesameseam::schedule {

struct Group
{
  std::int64_t mGeneration = 0;
  std::set<int> mPartitions;
  bool mInFlight = false;
  bool mLeft = false;
  Instant mNextJoinAt;
  // The generation that was known when partitions were given up last is sent at once, since only
  // then do others get them.
  Instant mConfirmedAt;
};

// Returns whether the partitions may have changed.
bool
OnJoinAnswer(Group& aGroup, const Now& aNow, const JoinAnswer& aAnswer);

void
AdvanceGroup(Group& aGroup, const Now& aNow, Actions& aActions);

// Gives all partitions up at once.
void
LeaveGroup(Group& aGroup, Actions& aActions);

}
