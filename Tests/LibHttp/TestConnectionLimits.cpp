#include "LibHttp/ConnectionLimits.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

const ConnectionInstant kStart{ std::chrono::hours(1) };

ConnectionTable
MakeTable(std::size_t aMaxConnections, std::size_t aMaxHeldBytes)
{
  ConnectionTable table;
  table.mLimits.mMaxConnections = aMaxConnections;
  table.mLimits.mMaxHeldBytes = aMaxHeldBytes;
  return table;
}

void
Add(ConnectionTable& aTable,
    ConnectionId aId,
    ConnectionPhase aPhase,
    Duration aSince,
    std::size_t aBytes = 0)
{
  AddConnection(aTable, aId, kStart);
  EnterPhase(aTable, aId, aPhase, kStart + aSince);
  SetHeldBytes(aTable, aId, aBytes);
}

// A table with any connections, whose times are up to 10 s after the start.
ConnectionTable
AnyTable()
{
  auto table =
    MakeTable(*rc::gen::inRange<std::size_t>(0, 12), *rc::gen::inRange<std::size_t>(0, 800));
  auto count = *rc::gen::inRange(1, 12);
  for (int id = 1; id <= count; ++id) {
    auto phase = *rc::gen::element(ConnectionPhase::Idle,
                                   ConnectionPhase::Receiving,
                                   ConnectionPhase::Handling,
                                   ConnectionPhase::Sending);
    Add(table,
        id,
        phase,
        std::chrono::milliseconds(*rc::gen::inRange(0, 10'000)),
        *rc::gen::inRange<std::size_t>(0, 200));
  }
  return table;
}

}

BOOST_AUTO_TEST_SUITE(TestConnectionLimits)

BOOST_AUTO_TEST_CASE(nothing_is_closed_within_the_limits)
{
  auto table = MakeTable(2, 100);
  Add(table, 1, ConnectionPhase::Idle, 0s);
  Add(table, 2, ConnectionPhase::Receiving, 0s, 100);
  BOOST_TEST(!ChooseToFreeBytes(table, kStart + 60s).has_value());
  BOOST_TEST(!ChooseToMakeRoom(table, 2, kStart + 60s).has_value());
}

BOOST_AUTO_TEST_CASE(the_request_that_is_unfinished_for_the_longest_gives_way_to_others)
{
  auto table = MakeTable(10, 100);
  Add(table, 1, ConnectionPhase::Handling, 0s, 60);
  Add(table, 2, ConnectionPhase::Receiving, 2s, 30);
  Add(table, 3, ConnectionPhase::Receiving, 1s, 30);
  BOOST_TEST(ChooseToFreeBytes(table, kStart + 3s).value() == 3);
  RemoveConnection(table, 3);
  BOOST_TEST(table.mHeldBytes == 90);
  BOOST_TEST(!ChooseToFreeBytes(table, kStart + 3s).has_value());
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_being_read_is_kept_and_one_that_is_not_is_given_up)
{
  auto table = MakeTable(10, 100);
  Add(table, 1, ConnectionPhase::Sending, 0s, 200);
  BOOST_TEST(!ChooseToFreeBytes(table, kStart + 1999ms).has_value());
  BOOST_TEST(ChooseToFreeBytes(table, kStart + 2s).value() == 1);
  EnterPhase(table, 1, ConnectionPhase::Sending, kStart + 1500ms);
  BOOST_TEST(!ChooseToFreeBytes(table, kStart + 2s).has_value());
}

BOOST_AUTO_TEST_CASE(the_connection_that_is_idle_for_the_longest_makes_room)
{
  auto table = MakeTable(3, 100);
  Add(table, 1, ConnectionPhase::Handling, 0s);
  Add(table, 2, ConnectionPhase::Idle, 2s);
  Add(table, 3, ConnectionPhase::Idle, 1s);
  Add(table, 4, ConnectionPhase::Idle, 3s);
  BOOST_TEST(ChooseToMakeRoom(table, 4, kStart + 3s).value() == 3);
}

BOOST_AUTO_TEST_CASE(a_new_connection_is_refused_only_if_every_other_has_a_request_under_way)
{
  auto table = MakeTable(2, 100);
  Add(table, 1, ConnectionPhase::Handling, 0s);
  Add(table, 2, ConnectionPhase::Receiving, 2500ms);
  Add(table, 3, ConnectionPhase::Idle, 3s);
  BOOST_TEST(ChooseToMakeRoom(table, 3, kStart + 3s).value() == 3);
  // A request that never comes to its end doesn't keep its place for good.
  BOOST_TEST(ChooseToMakeRoom(table, 3, kStart + 3500ms).value() == 2);
}

BOOST_AUTO_TEST_CASE(the_limits_are_held_and_no_request_under_way_is_cut)
{
  rc::check([] {
    auto table = AnyTable();
    auto now = kStart + 10s;
    while (auto chosen = ChooseToFreeBytes(table, now)) {
      const auto& state = table.mConnections.at(*chosen);
      RC_ASSERT(state.mPhase != ConnectionPhase::Handling);
      RC_ASSERT(state.mPhase != ConnectionPhase::Idle);
      RC_ASSERT(state.mPhase != ConnectionPhase::Sending || now - state.mSince >= 2s);
      RC_ASSERT(table.mHeldBytes > table.mLimits.mMaxHeldBytes);
      RemoveConnection(table, *chosen);
    }
    std::size_t held = 0;
    auto mayBeClosed = false;
    for (const auto& [id, state] : table.mConnections) {
      held += state.mHeldBytes;
      auto isUnread = state.mPhase == ConnectionPhase::Sending && now - state.mSince >= 2s;
      mayBeClosed = mayBeClosed || isUnread || state.mPhase == ConnectionPhase::Receiving;
    }
    RC_ASSERT(table.mHeldBytes == held);
    RC_ASSERT(held <= table.mLimits.mMaxHeldBytes || !mayBeClosed);
  });
}

BOOST_AUTO_TEST_CASE(the_number_of_connections_is_held_and_the_longest_idle_one_goes_first)
{
  rc::check([] {
    auto table = AnyTable();
    auto now = kStart + 10s;
    auto newest = table.mConnections.rbegin()->first;
    auto isOver = table.mConnections.size() > table.mLimits.mMaxConnections;
    auto chosen = ChooseToMakeRoom(table, newest, now);
    RC_ASSERT(chosen.has_value() == isOver);
    if (!chosen || *chosen == newest) {
      return;
    }
    const auto& state = table.mConnections.at(*chosen);
    RC_ASSERT(state.mPhase != ConnectionPhase::Handling);
    for (const auto& [id, other] : table.mConnections) {
      if (id != newest && other.mPhase == ConnectionPhase::Idle) {
        RC_ASSERT(state.mPhase == ConnectionPhase::Idle);
        RC_ASSERT(state.mSince <= other.mSince);
      }
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
