#include "LibSchedule/Dependency.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

BOOST_AUTO_TEST_SUITE(TheDependency)

BOOST_AUTO_TEST_CASE(a_loss_and_a_recovery_are_logged_once_each)
{
  Dependency dependency;
  Actions actions;
  auto update = [&](CallResult aResult, Duration aAfter) {
    UpdateDependency(dependency, "the list", aResult, Instant(100s) + aAfter, actions);
  };
  // A single failure is retried and not logged.
  update(CallResult::Refused, 0ms);
  update(CallResult::Done, 100ms);
  BOOST_TEST(actions.empty());
  update(CallResult::Unanswered, 1000ms);
  update(CallResult::Unanswered, 1600ms);
  update(CallResult::Refused, 2200ms);
  BOOST_REQUIRE(actions.size() == 1u);
  BOOST_TEST(std::get<LogEntry>(actions[0]).mEvent == "dependency-lost");
  update(CallResult::Done, 3000ms);
  update(CallResult::Done, 3100ms);
  BOOST_REQUIRE(actions.size() == 2u);
  const auto& regained = std::get<LogEntry>(actions[1]);
  BOOST_TEST(regained.mEvent == "dependency-regained");
  BOOST_TEST((regained.mAge == std::chrono::milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()
