#include "LibSchedule/GroupMembership.h"

#include "LibSchedule/CallTimes.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// The interval between two joins, in percent of the time to live: one join may be lost.
constexpr int kJoinIntervalPercent = 30;
constexpr int kPercent = 100;
constexpr Duration kRetryPause = 150ms;
// A host outside of the group must notice within about a second that no larger host is left.
constexpr Duration kOwnersPollInterval = 700ms;
constexpr Duration kMemberOwnersPollInterval = 2s;
// After the loss of all hosts, the former owners have this long to return before others may join.
constexpr Duration kFormerOwnersGracePeriod = 700ms;

Duration
JoinInterval(const GroupMembership& aGroup)
{
  return Duration(aGroup.mTimeToLive) * kJoinIntervalPercent / kPercent;
}

// The newest record of each partition names the host that owned it last.
void
RequestFormerOwners(GroupMembership& aGroup, Actions& aActions)
{
  if (aGroup.mFormerOwnersPending) {
    return;
  }
  aGroup.mFormerOwnersPending = true;
  ReadNewestCall call;
  call.mStream = Stream::Owners;
  aActions.emplace_back(std::move(call));
}

}

bool
OnJoinAnswer(GroupMembership& aGroup, const Now& aNow, const JoinAnswer& aAnswer, Actions& aActions)
{
  aGroup.mInFlight = false;
  auto isLost = aAnswer.mResult == CallResult::Unanswered;
  aGroup.mUnansweredJoins = isLost ? aGroup.mUnansweredJoins + 1 : 0;
  UpdateDependency(
    aGroup.mDependency, "the group of entry hosts", aAnswer.mResult, aNow.mAt, aActions);
  if (aGroup.mLeft || aGroup.mIsOutranked) {
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
  aGroup.mNextJoinAt = changed ? aNow.mAt : aNow.mAt + JoinInterval(aGroup);
  return true;
}

bool
OnOwnersAnswer(GroupMembership& aGroup,
               const Now& aNow,
               const OwnersAnswer& aAnswer,
               Actions& aActions)
{
  aGroup.mOwnersPending = false;
  if (aGroup.mLeft || aAnswer.mResult != CallResult::Done) {
    aGroup.mNextOwnersAt = aNow.mAt + kRetryPause;
    return false;
  }
  aGroup.mConfirmedAt = aNow.mAt;
  if (aAnswer.mOwners.empty() && !aGroup.mKnowsFormerOwners) {
    RequestFormerOwners(aGroup, aActions);
    aGroup.mNextOwnersAt = aNow.mAt + kRetryPause;
    return false;
  }
  aGroup.mKnowsOwners = true;
  auto isOutranked =
    std::any_of(aAnswer.mOwners.begin(), aAnswer.mOwners.end(), [&](const GroupOwner& aOwner) {
      return aOwner.mCapacityMillicores > aGroup.mCapacityMillicores;
    });
  auto interval = isOutranked ? kOwnersPollInterval : kMemberOwnersPollInterval;
  aGroup.mNextOwnersAt = aNow.mAt + interval;
  if (isOutranked == aGroup.mIsOutranked) {
    return false;
  }
  aGroup.mIsOutranked = isOutranked;
  if (!isOutranked) {
    return false;
  }
  auto wasMember = aGroup.mGeneration != 0 || aGroup.mInFlight;
  aGroup.mPartitions.clear();
  aGroup.mGeneration = 0;
  if (wasMember) {
    aActions.emplace_back(LeaveCall{});
  }
  return wasMember;
}

void
OnFormerOwnersAnswer(GroupMembership& aGroup, const Now& aNow, const ReadNewestAnswer& aAnswer)
{
  aGroup.mFormerOwnersPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    return;
  }
  aGroup.mKnowsFormerOwners = true;
  auto isOwn = [&](const KeyedRecord& aRecord) { return aRecord.mValue == aGroup.mHost; };
  auto wasOwner = aAnswer.mRecords.empty() ||
                  std::any_of(aAnswer.mRecords.begin(), aAnswer.mRecords.end(), isOwn);
  aGroup.mNextOwnersAt = wasOwner ? aNow.mAt : aNow.mAt + kFormerOwnersGracePeriod;
}

void
AdvanceGroup(GroupMembership& aGroup, const Now& aNow, Actions& aActions)
{
  if (aGroup.mLeft) {
    return;
  }
  if (!aGroup.mOwnersPending && aNow.mAt >= aGroup.mNextOwnersAt) {
    aGroup.mOwnersPending = true;
    aActions.emplace_back(OwnersCall{});
  }
  auto shouldJoin = aGroup.mKnowsOwners && !aGroup.mIsOutranked;
  if (aGroup.mInFlight || !shouldJoin || aNow.mAt < aGroup.mNextJoinAt) {
    return;
  }
  aGroup.mInFlight = true;
  // A lost join has to be found, and repeated, before the time to live is over.
  auto times = PlanCall(aGroup.mTimeToLive, aGroup.mUnansweredJoins);
  aActions.emplace_back(JoinCall{ aGroup.mGeneration, times.mAnswerTimeout });
}

void
LeaveGroup(GroupMembership& aGroup, Actions& aActions)
{
  if (aGroup.mLeft) {
    return;
  }
  aGroup.mLeft = true;
  aGroup.mPartitions.clear();
  aActions.emplace_back(LeaveCall{});
}

}
