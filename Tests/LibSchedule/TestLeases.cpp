#include "Actions.h"
#include "LibSchedule/Lease.h"
#include "Plays.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr LeaseLimits kLimits{ 6000ms };
constexpr std::int64_t kFirst = 1;

// An executor whose first process has answered at 100 s that its clock shows 10 s.
Executor
MakeExecutor()
{
  Executor executor;
  executor.mProcess.mIncarnation = kFirst;
  UpdateClock(executor, 10s, Instant(100s));
  return executor;
}

std::chrono::milliseconds
RequestLease(Executor& aExecutor, Instant aNow)
{
  auto end = LeaseEnd(aExecutor, kLimits, aNow, aNow);
  NoteLeaseRequest(aExecutor, kLimits, { end, LatestArrival(aNow, 0ms) });
  return end;
}

PlacedRun
MakeRunIn(std::int64_t aIncarnation)
{
  PlacedRun run;
  run.mKnownIn = aIncarnation;
  return run;
}

// Two executors, of which the first has no room left, so that whatever comes next goes to the
// second one, whose clock is slow.
struct OneFreeExecutor
{
  Simulation mSimulation{ { .mHosts = 3, .mExecutors = 2 } };
  JobId mOther;

  OneFreeExecutor()
  {
    mSimulation.CutExecutor(1, true);
    mSimulation.RunFor(1s);
    mOther = mSimulation.Submit(0, { MakeStep(1, 8, 100s) }, "100000");
    mSimulation.RunFor(1s);
    mSimulation.CutExecutor(1, false);
    mSimulation.RunFor(8s);
    BOOST_REQUIRE(mSimulation.mExecutors[0].mRuns.size() == 1u);
  }

  // Makes room on the first executor, where the task may start that the second one has.
  void FreeTheFirst() { mSimulation.Cancel(0, mOther); }
};

}

BOOST_AUTO_TEST_SUITE(TheLease)

BOOST_AUTO_TEST_CASE(a_lease_expires_only_when_the_slowest_clock_has_reached_its_end)
{
  auto executor = MakeExecutor();
  auto end = RequestLease(executor, Instant(100s));
  BOOST_TEST((end <= 16s));
  auto length = Duration(end - 10s);
  auto expiry = LeaseExpiryOf(executor, MakeRunIn(kFirst));
  BOOST_TEST((expiry - Instant(100s) > length * 100 / 98));
}

BOOST_AUTO_TEST_CASE(no_lease_is_renewed_before_the_clock_is_known)
{
  Executor executor;
  BOOST_TEST((LeaseEnd(executor, kLimits, Instant(100s), Instant(100s)) == 0ms));
}

BOOST_AUTO_TEST_CASE(no_lease_is_reckoned_by_a_clock_that_may_be_of_a_former_process)
{
  auto executor = MakeExecutor();
  executor.mEntry.mIncarnation = kFirst + 1;
  BOOST_TEST((LeaseEnd(executor, kLimits, Instant(100s), Instant(100s)) == 0ms));
}

// Guards against two runs of a task (TWICE): a start was carried out by a process that had started
// since the last answer, and lasted for the maximum from its arrival on.
BOOST_AUTO_TEST_CASE(a_run_in_an_unknown_process_may_last_for_the_maximum_from_its_arrival_on)
{
  auto executor = MakeExecutor();
  RequestLease(executor, Instant(100s));
  auto arrival = LatestArrival(Instant(100s), 0ms);
  auto expiry = LeaseExpiryOf(executor, MakeRunIn(0));
  BOOST_TEST((expiry - arrival > Duration(6s) * 100 / 98));
}

// The opposite error: tasks of an executor that has crashed wait longer than they have to.
BOOST_AUTO_TEST_CASE(a_run_in_the_known_process_lasts_no_longer_than_was_asked_for)
{
  auto executor = MakeExecutor();
  RequestLease(executor, Instant(100s));
  auto expiry = LeaseExpiryOf(executor, MakeRunIn(kFirst));
  BOOST_TEST((expiry - Instant(100s) < 6s));
}

// Guards against two runs of a task (TWICE): the clock of another process may show anything, also
// more than that of the process before.
BOOST_AUTO_TEST_CASE(the_clock_in_the_answer_to_a_start_bounds_the_lease_of_that_run_alone)
{
  auto executor = MakeExecutor();
  RequestLease(executor, Instant(100s));
  auto run = MakeRunIn(0);
  run.mIncarnation = kFirst;
  auto whole = LeaseExpiryOf(executor, run);
  run.mClockAtStart = ClockReading{ 10s, Instant(100s) };
  BOOST_TEST((LeaseExpiryOf(executor, run) - Instant(100s) < 6s));
  run.mClockAtStart = ClockReading{ 1s, Instant(100s) };
  BOOST_TEST((LeaseExpiryOf(executor, run) == whole));
  // A later renewal may reach it too, and counts by the same clock.
  run.mClockAtStart = ClockReading{ 10s, Instant(100s) };
  RequestLease(executor, Instant(102s));
  BOOST_TEST((LeaseExpiryOf(executor, run) - Instant(102s) > Duration(5700ms)));
}

// Guards against two runs of a task (TWICE): the owner was suspended while a start was on its way.
BOOST_AUTO_TEST_CASE(a_call_that_is_given_up_late_may_have_arrived_until_then)
{
  auto executor = MakeExecutor();
  auto end = RequestLease(executor, Instant(100s));
  NoteLeaseOutcome(executor, kLimits, end, Instant(109s));
  BOOST_TEST((LeaseExpiryOf(executor, MakeRunIn(0)) - Instant(109s) > Duration(6s) * 100 / 98));
}

// Guards against a next owner that finds tasks at work which it has taken for ended (TWICE), or
// that waits longer than it has to (LOST): an owner that the log confirms no longer may renew
// leases for seconds.
BOOST_AUTO_TEST_CASE(no_lease_goes_beyond_the_longest_one_from_the_last_confirmation_on)
{
  auto holds = rc::check([] {
    LeaseLimits limits{ *rc::gen::element(4000ms, 6000ms, 10000ms) };
    FakeExecutor fake;
    fake.mEntry.mIncarnation = kFirst;
    fake.mClockSpeed = *rc::gen::element(0.98, 1.0, 1.02);
    fake.mStartedAt = Instant(90s);
    auto executor = MakeExecutor();
    auto readAt = Instant(100s) + std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    UpdateClock(executor, ClockOf(fake, readAt), readAt);
    auto confirmedAt = Instant(100s) + std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    auto now =
      std::max(readAt, confirmedAt) + std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
    StartCall call;
    call.mRun = { { JobId("0000000000000001"), 0, 0, 0 }, 1 };
    call.mSpec = "lasts";
    call.mLeaseEnd = LeaseEnd(executor, limits, confirmedAt, now);
    if (Start(fake, call, now).mResult != CallResult::Done) {
      return;
    }
    Advance(fake, LeaseExpiryOfOwner(limits, confirmedAt));
    RC_ASSERT(fake.mRuns.empty());
  });
  BOOST_TEST(holds);
  // A lease that is confirmed is not shortened by much.
  auto executor = MakeExecutor();
  BOOST_TEST((LeaseEnd(executor, kLimits, Instant(99s), Instant(100s)) >= 10s + 5s));
  BOOST_TEST((LeaseExpiryOfOwner({ 10000ms }, Instant(0s)) <= Instant(7s)));
}

// What the owner reckons, against what an executor does: each lease has really expired by the time
// that the owner takes for its end, whatever crashes, delays and clocks are drawn.
BOOST_AUTO_TEST_CASE(no_run_outlives_the_expiry_of_its_lease_whichever_process_carries_it_out)
{
  auto holds = rc::check([] {
    FakeExecutor fake;
    fake.mEntry.mIncarnation = kFirst;
    fake.mClockSpeed = *rc::gen::element(0.98, 1.0, 1.02);
    auto age = std::chrono::milliseconds(*rc::gen::inRange(0, 20000));
    Instant now = Instant(100s) + age;
    fake.mStartedAt = Instant(100s);
    auto executor = MakeExecutor();
    UpdateClock(executor, ClockOf(fake, now), now);
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
    if (*rc::gen::arbitrary<bool>()) {
      Restart(fake, now);
      // The clock of a process may start anywhere.
      fake.mStartedAt -= *rc::gen::element(Duration(0), Duration(5s), Duration(3600s));
    }
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
    StartCall call;
    call.mRun = { { JobId("0000000000000001"), 0, 0, 0 }, 1 };
    call.mSpec = "lasts";
    call.mLeaseEnd = RequestLease(executor, now);
    auto delay = std::chrono::milliseconds(*rc::gen::inRange(0, 1400));
    auto arrival = now + delay;
    auto answer = Start(fake, call, arrival);
    if (answer.mResult != CallResult::Done) {
      return;
    }
    auto answeredAt = arrival + std::chrono::milliseconds(*rc::gen::inRange(0, 300));
    auto run = MakeRunIn(0);
    run.mIncarnation = kFirst;
    if (*rc::gen::arbitrary<bool>()) {
      run.mClockAtStart = ClockReading{ answer.mClock, answeredAt };
    }
    // A renewal by the clock that the owner knows, of which it hears nothing.
    now = answeredAt + std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
    HeartbeatCall renewal;
    renewal.mLeaseEnd = RequestLease(executor, now);
    Heartbeat(fake, renewal, now + std::chrono::milliseconds(*rc::gen::inRange(0, 1400)));
    auto expiry = LeaseExpiryOf(executor, run);
    Advance(fake, expiry);
    RC_ASSERT(fake.mRuns.empty());
  });
  BOOST_TEST(holds);
}

// Guards against two runs of a task (TWICE): an idle executor had crashed and was back under its
// id, the lease of the next start was reckoned by the clock of its former process, and the executor
// was cut off.
BOOST_AUTO_TEST_CASE(a_task_started_after_an_unnoticed_restart_never_has_two_runs)
{
  OneFreeExecutor pool;
  auto& simulation = pool.mSimulation;
  simulation.Submit(0, { MakeStep(1, 1) }, "500");
  simulation.RunFor(3s);
  simulation.CrashExecutor(1);
  simulation.RunFor(1s);
  auto job = simulation.Submit(0, { MakeStep(1, 1) }, "9000");
  simulation.RunFor(200ms);
  BOOST_REQUIRE(simulation.mExecutors[1].mRuns.size() == 1u);
  simulation.RunFor(1s);
  simulation.CutExecutor(1, true);
  pool.FreeTheFirst();
  simulation.RunFor(9s);
  BOOST_TEST(simulation.CountRuns(job) == 2);
  CheckInvariants(simulation);
}

// Guards against two runs of a task (TWICE): its start was sent before the owner knew of a restart,
// was carried out by the new process more than half a second later, and the executor was cut off
// after its new clock had become known.
BOOST_AUTO_TEST_CASE(a_start_that_a_later_process_carries_out_never_leads_to_two_runs)
{
  // The clock of a process may start anywhere.
  for (auto clock : { 0s, 5s }) {
    OneFreeExecutor pool;
    auto& simulation = pool.mSimulation;
    simulation.Submit(0, { MakeStep(1, 1) }, "100");
    simulation.RunFor(1s);
    simulation.DelayStarts({ .mRequest = 700ms });
    auto job = simulation.Submit(0, { MakeStep(1, 1) }, "12000");
    simulation.RunFor(300ms);
    BOOST_REQUIRE(simulation.mExecutors[1].mRuns.empty());
    // No entry tells of it yet.
    Restart(simulation.mExecutors[1], simulation.Time().mAt - clock);
    simulation.RunFor(600ms);
    BOOST_REQUIRE(simulation.mExecutors[1].mRuns.size() == 1u);
    simulation.CutExecutor(1, true);
    simulation.DelayStarts({});
    pool.FreeTheFirst();
    simulation.RunFor(10s);
    BOOST_TEST(simulation.CountRuns(job) == 2);
    CheckInvariants(simulation);
  }
}

BOOST_AUTO_TEST_SUITE_END()
