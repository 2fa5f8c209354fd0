#include "LibSchedule/Dependency.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

BOOST_AUTO_TEST_SUITE(TheDependency)

BOOST_AUTO_TEST_CASE(a_loss_and_the_return_are_told_once_each)
{
  Dependency dependency;
  Actions actions;
  auto note = [&](CallResult aResult, Duration aAfter) {
    UpdateDependency(dependency, "the list", aResult, Instant(100s) + aAfter, actions);
  };
  // A single failure is repeated and not told.
  note(CallResult::Refused, 0ms);
  note(CallResult::Done, 100ms);
  BOOST_TEST(actions.empty());
  note(CallResult::Unanswered, 1000ms);
  note(CallResult::Unanswered, 1600ms);
  note(CallResult::Refused, 2200ms);
  BOOST_REQUIRE(actions.size() == 1u);
  BOOST_TEST(std::get<LogEntry>(actions[0]).mEvent == "dependency-lost");
  note(CallResult::Done, 3000ms);
  note(CallResult::Done, 3100ms);
  BOOST_REQUIRE(actions.size() == 2u);
  const auto& regained = std::get<LogEntry>(actions[1]);
  BOOST_TEST(regained.mEvent == "dependency-regained");
  BOOST_TEST((regained.mAge == std::chrono::milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()
