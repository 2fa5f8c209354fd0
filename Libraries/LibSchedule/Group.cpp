#include "LibSchedule/Group.h"

namespace sesameseam::schedule {

namespace {

// A third of the time after which a silent member loses its partitions.
constexpr Duration kJoinInterval = 450ms;
constexpr Duration kRetryPause = 150ms;

}

bool
OnJoinAnswer(Group& aGroup, const Now& aNow, const JoinAnswer& aAnswer)
{
  aGroup.mInFlight = false;
  if (aGroup.mLeft) {
    return false;
  }
  if (aAnswer.mResult != CallResult::Done) {
    aGroup.mNextJoinAt = aNow.mAt + kRetryPause;
    return false;
  }
  std::set<int> partitions(aAnswer.mPartitions.begin(), aAnswer.mPartitions.end());
  auto changed = partitions != aGroup.mPartitions || aAnswer.mGeneration != aGroup.mGeneration;
  aGroup.mPartitions = std::move(partitions);
  aGroup.mGeneration = aAnswer.mGeneration;
  aGroup.mConfirmedAt = aAnswer.mSentAt;
  aGroup.mNextJoinAt = changed ? aNow.mAt : aNow.mAt + kJoinInterval;
  return true;
}

void
AdvanceGroup(Group& aGroup, const Now& aNow, Actions& aActions)
{
  if (aGroup.mInFlight || aGroup.mLeft || aNow.mAt < aGroup.mNextJoinAt) {
    return;
  }
  aGroup.mInFlight = true;
  aActions.emplace_back(JoinCall{ aGroup.mGeneration });
}

void
LeaveGroup(Group& aGroup, Actions& aActions)
{
  if (aGroup.mLeft) {
    return;
  }
  aGroup.mLeft = true;
  aGroup.mPartitions.clear();
  aActions.emplace_back(LeaveCall{});
}

}
