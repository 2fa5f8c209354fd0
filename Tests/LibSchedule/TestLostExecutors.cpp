#include "Plays.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Duration kStart = 1s;
constexpr Duration kTimeAway = 3s;
// A task that lasts may be without a run for this long, by the users' rules.
constexpr Duration kLongestTimeAway = 9s;

// The executor that runs a task of the job; -1 if none does.
int
ExecutorOf(const Simulation& aSimulation, const JobId& aJob)
{
  for (std::size_t i = 0; i < aSimulation.mExecutors.size(); ++i) {
    const auto& executor = aSimulation.mExecutors[i];
    auto first = executor.mRuns.lower_bound({ { aJob, 0, 0, 0 }, 0 });
    if (executor.mIsUp && first != executor.mRuns.end() && first->first.mTask.mJob == aJob) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

// Waits until the job runs, for half a minute at most.
int
AwaitRun(Simulation& aSimulation, const JobId& aJob)
{
  for (int i = 0; i < 300 && ExecutorOf(aSimulation, aJob) < 0; ++i) {
    aSimulation.RunFor(100ms);
  }
  return ExecutorOf(aSimulation, aJob);
}

JobPhase
QueryPhase(Simulation& aSimulation, const JobId& aJob)
{
  aSimulation.AskState(0, aJob);
  aSimulation.RunFor(200ms);
  return aSimulation.PhaseAt(aJob);
}

// At different times after the last join of the owner to its group.
constexpr Duration kMoments[] = { 0ms, 100ms, 200ms, 300ms, 400ms };

// A task that lasts loses its executor and the owner of its shard at once, and has to be back in
// time.
void
LoseExecutorAndOwner(const SimulationSettings& aSettings, Duration aMoment)
{
  Simulation simulation(aSettings);
  simulation.RunFor(kStart);
  auto lasting = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  auto executor = AwaitRun(simulation, lasting);
  BOOST_REQUIRE(executor >= 0);
  simulation.RunFor(4s + aMoment);
  BOOST_REQUIRE(OwnerOf(simulation) >= 0);
  simulation.CrashExecutorFor(executor, 1000s, false);
  simulation.Kill(OwnerOf(simulation));
  simulation.RunFor(kLongestTimeAway);
  BOOST_TEST(ExecutorOf(simulation, lasting) >= 0, "after " << ToMilliseconds(aMoment).count());
  CheckInvariants(simulation);
}

}

BOOST_AUTO_TEST_SUITE(ExecutorsThatAreLost)

// Guards against a task that lasts and is away for longer than 9 s (LOST): its executor and the
// owner of its shard ended at the same moment, and connections to the executor are refused.
BOOST_AUTO_TEST_CASE(a_task_that_lasts_is_back_in_time_after_its_executor_and_its_owner_have_ended)
{
  for (auto moment : kMoments) {
    LoseExecutorAndOwner({ .mExecutors = 4, .mRefusesWhenDown = true }, moment);
  }
}

// The same if the executor went dark: the next owner waited for leases that the former one could
// have renewed without the log.
BOOST_AUTO_TEST_CASE(a_task_that_lasts_is_back_in_time_after_its_executor_went_dark_with_its_owner)
{
  for (auto longestLease : { 6000ms, 10000ms }) {
    for (auto moment : kMoments) {
      LoseExecutorAndOwner({ .mExecutors = 4, .mMaxLease = longestLease }, moment);
    }
  }
}

// Guards against two runs of a task (TWICE): an executor that runs on refuses connections, because
// something cuts it off, and its owner took it for ended (issues 63, 66).
BOOST_AUTO_TEST_CASE(a_task_on_an_executor_that_runs_on_and_refuses_connections_waits_for_its_lease)
{
  Simulation simulation({ .mExecutors = 4, .mRefusesWhenCut = true });
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(1, 1, 20s) }, "20000");
  auto executor = AwaitRun(simulation, job);
  BOOST_REQUIRE(executor >= 0);
  simulation.RunFor(4s);
  simulation.CutExecutor(executor, true);
  simulation.RunFor(9s);
  BOOST_TEST(simulation.CountRuns(job) == 2);
  CheckInvariants(simulation);
}

// The opposite error: the executor is only cut off, and two runs of the task would be at work.
BOOST_AUTO_TEST_CASE(a_task_on_an_executor_that_is_cut_off_waits_for_its_lease_when_its_owner_ends)
{
  Simulation simulation({ .mExecutors = 4, .mRefusesWhenDown = true });
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(1, 1, 20s) }, "20000");
  auto executor = AwaitRun(simulation, job);
  BOOST_REQUIRE(executor >= 0);
  simulation.RunFor(4s);
  BOOST_REQUIRE(OwnerOf(simulation) >= 0);
  simulation.CutExecutor(executor, true);
  simulation.Kill(OwnerOf(simulation));
  simulation.RunFor(14s);
  BOOST_TEST(simulation.CountRuns(job) == 2);
  CheckInvariants(simulation);
}

// Guards against a job that lasts and is shown as failed, with its other tasks stopped, after three
// executors have crashed under one of its tasks (LOST, AVAIL).
BOOST_AUTO_TEST_CASE(a_job_that_lasts_is_not_given_up_however_often_its_executors_crash)
{
  Simulation simulation({ .mExecutors = 4 });
  simulation.RunFor(kStart);
  auto lasting = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  for (int crash = 0; crash < 5; ++crash) {
    auto executor = AwaitRun(simulation, lasting);
    BOOST_REQUIRE(executor >= 0);
    simulation.RunFor(100ms);
    simulation.CrashExecutorFor(executor, kTimeAway, crash % 2 == 0);
  }
  BOOST_TEST(AwaitRun(simulation, lasting) >= 0);
  BOOST_TEST((QueryPhase(simulation, lasting) == JobPhase::Running));
  CheckInvariants(simulation);
}

// Guards against sound jobs that are shown as failed after racks have failed under them (LOST).
BOOST_AUTO_TEST_CASE(a_job_is_not_given_up_for_executors_that_ended_together)
{
  Simulation simulation({ .mExecutors = 6 });
  simulation.RunFor(kStart);
  auto beside = MakeStep(12, 1, 100s);
  beside.mMaxPerExecutor = 2;
  simulation.Submit(0, { beside }, "100000");
  auto job = simulation.Submit(0, { MakeStep(1, 1) }, "4000");
  for (int rack = 0; rack < 5; ++rack) {
    auto executor = AwaitRun(simulation, job);
    BOOST_REQUIRE(executor >= 0);
    simulation.RunFor(100ms);
    for (int inRack = 0; inRack < 3; ++inRack) {
      simulation.CrashExecutorFor((executor + inRack) % 6, kTimeAway, false);
    }
  }
  BOOST_TEST(AwaitRun(simulation, job) >= 0);
  simulation.RunFor(5s);
  BOOST_TEST((QueryPhase(simulation, job) == JobPhase::Completed));
  CheckInvariants(simulation);
}

// Guards against a task that lasts and has no run for the rest of the day (LOST): two executors
// have crashed under it, and no other becomes free for it alone.
BOOST_AUTO_TEST_CASE(a_task_that_lasts_does_not_wait_without_end_for_an_executor_of_its_own)
{
  Simulation simulation({ .mExecutors = 4 });
  simulation.RunFor(kStart);
  auto step = MakeStep(4, 1, 100s);
  step.mMaxPerExecutor = 1;
  simulation.Submit(0, { step }, "100000");
  auto lasting = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  for (int crash = 0; crash < 2; ++crash) {
    auto executor = AwaitRun(simulation, lasting);
    BOOST_REQUIRE(executor >= 0);
    simulation.RunFor(100ms);
    simulation.CrashExecutorFor(executor, 1000s, false);
  }
  simulation.RunFor(10s);
  BOOST_TEST(ExecutorOf(simulation, lasting) >= 0);
  CheckInvariants(simulation);
}

// Guards against a task whose executor crashed and that waits for an executor of its own while each
// has a long task and room for it (LOST).
BOOST_AUTO_TEST_CASE(a_suspect_starts_beside_others_if_no_executor_becomes_free)
{
  Simulation simulation({ .mExecutors = 3 });
  simulation.RunFor(kStart);
  auto step = MakeStep(3, 1, 100s);
  step.mMaxPerExecutor = 1;
  simulation.Submit(0, { step }, "100000");
  simulation.RunFor(1s);
  auto job = simulation.Submit(0, { MakeStep(1, 1) }, "2000");
  auto executor = AwaitRun(simulation, job);
  BOOST_REQUIRE(executor >= 0);
  simulation.RunFor(100ms);
  simulation.CrashExecutorFor(executor, 1000s, false);
  simulation.RunFor(14s);
  BOOST_TEST((QueryPhase(simulation, job) == JobPhase::Completed));
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_SUITE_END()
