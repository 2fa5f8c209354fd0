#include "LibSchedule/GroupMembership.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Now kNow{ Instant(100s), TimePoint(1000s) };

template<typename Call>
bool
Contains(const Actions& aActions)
{
  for (const auto& action : aActions) {
    if (std::holds_alternative<Call>(action)) {
      return true;
    }
  }
  return false;
}

OwnersAnswer
OwnersOf(const std::vector<int>& aCapacities)
{
  OwnersAnswer answer;
  answer.mResult = CallResult::Done;
  for (auto capacity : aCapacities) {
    answer.mOwners.push_back({ "e" + std::to_string(capacity), capacity });
  }
  return answer;
}

ReadNewestAnswer
FormerOwners(const std::vector<std::string>& aHosts)
{
  ReadNewestAnswer answer;
  answer.mCall.mStream = Stream::Owners;
  answer.mResult = CallResult::Done;
  for (const auto& host : aHosts) {
    answer.mRecords.push_back({ "7", host, 0 });
  }
  return answer;
}

struct Member
{
  GroupMembership mGroup;
  Actions mActions;

  explicit Member(int aCapacity) { mGroup.mCapacityMillicores = aCapacity; }

  // What the host does once it knows the owners.
  void Learn(const OwnersAnswer& aAnswer)
  {
    mActions.clear();
    OnOwnersAnswer(mGroup, kNow, aAnswer, mActions);
    AdvanceGroup(mGroup, kNow, mActions);
  }
};

}

BOOST_AUTO_TEST_SUITE(TheGroup)

// A rolling restart of small hosts: each joined at its start and left once it knew of larger ones,
// and with each of them the log dealt all shards anew.
BOOST_AUTO_TEST_CASE(a_small_host_that_starts_does_not_join_beside_larger_ones)
{
  Member member(100);
  AdvanceGroup(member.mGroup, kNow, member.mActions);
  BOOST_TEST(Contains<OwnersCall>(member.mActions));
  BOOST_TEST(!Contains<JoinCall>(member.mActions));
  member.Learn(OwnersOf({ 500, 500 }));
  BOOST_TEST(!Contains<JoinCall>(member.mActions));
  // The log would deal anew for whoever leaves, too.
  BOOST_TEST(!Contains<LeaveCall>(member.mActions));
}

// After a loss of all hosts, small ones took shards over, and gave them to the large ones of before
// as soon as those were there.
BOOST_AUTO_TEST_CASE(where_nobody_owns_partitions_the_former_owners_come_first)
{
  Member former(100);
  former.mGroup.mHost = "e0";
  Member other(100);
  other.mGroup.mHost = "e1";
  for (auto* member : { &former, &other }) {
    member->Learn(OwnersOf({}));
    BOOST_TEST(Contains<ReadNewestCall>(member->mActions));
    BOOST_TEST(!Contains<JoinCall>(member->mActions));
    OnFormerOwnersAnswer(member->mGroup, kNow, FormerOwners({ "e0" }));
    member->mActions.clear();
    AdvanceGroup(member->mGroup, kNow, member->mActions);
  }
  BOOST_TEST(Contains<OwnersCall>(former.mActions));
  BOOST_TEST(!Contains<OwnersCall>(other.mActions));
  former.Learn(OwnersOf({}));
  BOOST_TEST(Contains<JoinCall>(former.mActions));
  // They do not come back.
  AdvanceGroup(other.mGroup, { kNow.mAt + 1s, kNow.mWall + 1s }, other.mActions);
  BOOST_TEST(Contains<OwnersCall>(other.mActions));
  other.Learn(OwnersOf({}));
  BOOST_TEST(Contains<JoinCall>(other.mActions));
}

BOOST_AUTO_TEST_CASE(a_host_joins_where_nobody_is_larger)
{
  Member alone(100);
  OnFormerOwnersAnswer(alone.mGroup, kNow, FormerOwners({}));
  alone.Learn(OwnersOf({}));
  BOOST_TEST(Contains<JoinCall>(alone.mActions));
  Member equal(500);
  equal.Learn(OwnersOf({ 500, 100 }));
  BOOST_TEST(Contains<JoinCall>(equal.mActions));
}

BOOST_AUTO_TEST_CASE(a_member_leaves_for_a_larger_host)
{
  Member member(100);
  OnFormerOwnersAnswer(member.mGroup, kNow, FormerOwners({}));
  member.Learn(OwnersOf({}));
  JoinAnswer joined;
  joined.mResult = CallResult::Done;
  joined.mGeneration = 1;
  joined.mPartitions = { 1, 2 };
  OnJoinAnswer(member.mGroup, kNow, joined, member.mActions);
  member.Learn(OwnersOf({ 100, 500 }));
  BOOST_TEST(Contains<LeaveCall>(member.mActions));
  BOOST_TEST(member.mGroup.mPartitions.empty());
}

BOOST_AUTO_TEST_SUITE_END()
