#include "LibSchedule/ExecutorHeartbeat.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

BOOST_AUTO_TEST_SUITE(TheLease)

BOOST_AUTO_TEST_CASE(a_lease_expires_only_when_the_slowest_clock_has_reached_its_end)
{
  Executor executor;
  UpdateClock(executor, 10s, Instant(100s));
  auto end = LeaseEnd(executor, { 6000ms }, Instant(100s));
  BOOST_TEST((end <= 16s));
  UpdateLeaseExpiry(executor, end);
  auto length = Duration(end - 10s);
  BOOST_TEST((executor.mLeasesExpiredAt - Instant(100s) > length * 100 / 98));
}

BOOST_AUTO_TEST_CASE(no_lease_is_renewed_before_the_clock_is_known)
{
  Executor executor;
  BOOST_TEST((LeaseEnd(executor, { 6000ms }, Instant(100s)) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheHeartbeat)

// A wave moved the tasks of an archive one after the other. Each round lost up to 400 ms between
// the moment at which a task was at work again and the next question of its executor.
BOOST_AUTO_TEST_CASE(a_heartbeat_is_answered_when_a_task_is_expected_at_work)
{
  constexpr Instant kStarted{ 100s };
  constexpr auto kAnswered = kStarted + 400ms;
  Executor executor;
  executor.mHasAnsweredHeartbeat = true;
  auto& run = executor.mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }];
  run.mState = RunState::Running;
  run.mStateSince = kStarted;
  run.mIsLongRunning = true;
  BOOST_TEST((HeartbeatPollTime(executor, kStarted) == 400ms));
  UpdatePercent(run, 40, kAnswered);
  BOOST_TEST((HeartbeatPollTime(executor, kAnswered) == 600ms));
  UpdatePercent(run, 99, kAnswered + 600ms);
  BOOST_TEST((HeartbeatPollTime(executor, kAnswered + 600ms) == 80ms));
  UpdatePercent(run, 100, kAnswered + 680ms);
  BOOST_TEST((HeartbeatPollTime(executor, kAnswered + 680ms) == 2s));
}

// A startup that begins slowly is not taken to go on as slowly.
BOOST_AUTO_TEST_CASE(a_slow_begin_of_a_startup_is_not_extrapolated_far)
{
  constexpr Instant kStarted{ 100s };
  Executor executor;
  executor.mHasAnsweredHeartbeat = true;
  auto& run = executor.mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }];
  run.mState = RunState::Running;
  run.mStateSince = kStarted;
  run.mIsLongRunning = true;
  UpdatePercent(run, 5, kStarted + 400ms);
  BOOST_TEST((HeartbeatPollTime(executor, kStarted + 400ms) == 800ms));
}

// A task that stays below its full speed is no reason for a question every few milliseconds.
BOOST_AUTO_TEST_CASE(a_task_that_does_not_get_up_to_speed_is_asked_for_as_before)
{
  constexpr Instant kStarted{ 100s };
  Executor executor;
  executor.mHasAnsweredHeartbeat = true;
  auto& run = executor.mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }];
  run.mState = RunState::Running;
  run.mStateSince = kStarted;
  run.mIsLongRunning = true;
  UpdatePercent(run, 50, kStarted + 400ms);
  UpdatePercent(run, 50, kStarted + 900ms);
  BOOST_TEST((HeartbeatPollTime(executor, kStarted + 900ms) == 400ms));
}

BOOST_AUTO_TEST_SUITE_END()
