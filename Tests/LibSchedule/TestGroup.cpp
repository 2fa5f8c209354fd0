#include "Actions.h"
#include "LibSchedule/GroupMembership.h"
#include "LibStandIn/FakeStore.h"

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

  // Delivers the owners to the host and lets it act on them.
  void Learn(const OwnersAnswer& aAnswer)
  {
    mActions.clear();
    OnOwnersAnswer(mGroup, kNow, aAnswer, mActions);
    AdvanceGroup(mGroup, kNow, mActions);
  }
};

}

BOOST_AUTO_TEST_SUITE(TheGroup)

// In a rolling restart of small hosts, each host joined when it started and left once it learned of
// larger ones. Every join and leave made the log reassign all shards.
BOOST_AUTO_TEST_CASE(a_small_host_that_starts_does_not_join_beside_larger_ones)
{
  Member member(100);
  AdvanceGroup(member.mGroup, kNow, member.mActions);
  BOOST_TEST(Contains<OwnersCall>(member.mActions));
  BOOST_TEST(!Contains<JoinCall>(member.mActions));
  member.Learn(OwnersOf({ 500, 500 }));
  BOOST_TEST(!Contains<JoinCall>(member.mActions));
  // A host that is not a member must not leave either, since that also causes a reassignment.
  BOOST_TEST(!Contains<LeaveCall>(member.mActions));
}

// After the loss of all hosts, small hosts took over the shards and gave them to the large former
// owners as soon as those were back.
BOOST_AUTO_TEST_CASE(where_nobody_owns_partitions_the_former_owners_join_first)
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
  // The former owners do not return.
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

// One join that was lost on a connection that had gone silent was given up so late that the group
// had dealt the member's partitions to others.
BOOST_AUTO_TEST_CASE(a_member_whose_join_is_lost_keeps_its_partitions)
{
  constexpr Duration kTick = 10ms;
  standin::FakeStore store;
  store.mGroup.mPartitions = 2;
  Member member(100);
  OnFormerOwnersAnswer(member.mGroup, kNow, FormerOwners({}));
  member.Learn(OwnersOf({}));
  auto lostAt = kNow.mAt + 3s;
  std::optional<Instant> lostSince;
  std::chrono::milliseconds limit{ 0 };
  std::int64_t generation = 0;
  for (auto now = kNow.mAt; now < kNow.mAt + 8s; now += kTick) {
    Now when{ now, kNow.mWall };
    if (lostSince && now - *lostSince >= limit) {
      lostSince.reset();
      OnJoinAnswer(member.mGroup, when, {}, member.mActions);
    }
    AdvanceGroup(member.mGroup, when, member.mActions);
    for (const auto& call : Select<JoinCall>(member.mActions)) {
      if (now >= lostAt) {
        lostAt = Instant::max();
        lostSince = now;
        limit = call.mAnswerTimeout;
        continue;
      }
      auto answer = standin::Join(store, "e", call, now);
      answer.mSentAt = now;
      OnJoinAnswer(member.mGroup, when, answer, member.mActions);
      BOOST_TEST((generation == 0 || answer.mGeneration == generation));
      generation = answer.mGeneration;
    }
    member.mActions.clear();
    // Another member's call lets the group notice that this one is silent.
    BOOST_TEST((generation == 0 || standin::Owners(store, now).size() == 2u));
  }
}

BOOST_AUTO_TEST_SUITE_END()
