#include "Plays.h"
#include "Steps.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Duration kStart = 1s;

// Returns the executor that has a run, or -1.
int
ExecutorOf(const Simulation& aSimulation)
{
  const auto& executors = aSimulation.mExecutors;
  auto found = std::find_if(executors.begin(), executors.end(), [](const FakeExecutor& aExecutor) {
    return !aExecutor.mRuns.empty();
  });
  return found == executors.end() ? -1 : static_cast<int>(found - executors.begin());
}

}

BOOST_AUTO_TEST_SUITE(TheSimulation)

// While a rack was unreachable, each retried call renewed the executor's lease in the owner's
// records.
BOOST_AUTO_TEST_CASE(tasks_on_an_unresponsive_executor_start_elsewhere_once_its_lease_is_over)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  simulation.RunFor(1s);
  int holder = 0;
  for (int i = 0; i < 4; ++i) {
    holder = simulation.mExecutors[static_cast<std::size_t>(i)].mRuns.empty() ? holder : i;
  }
  simulation.CutExecutor(holder, true);
  simulation.RunFor(5s);
  BOOST_TEST(simulation.CountRuns(job) == 1);
  simulation.RunFor(4s);
  BOOST_TEST(simulation.CountRuns(job) == 2);
  CheckInvariants(simulation);
}

// With rolling restarts of entry hosts while a rack was unreachable, each new owner waited for the
// full lease again.
BOOST_AUTO_TEST_CASE(tasks_on_an_unresponsive_executor_wait_no_longer_when_owners_change)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  simulation.RunFor(3s);
  for (int i = 0; i < 4; ++i) {
    if (!simulation.mExecutors[static_cast<std::size_t>(i)].mRuns.empty()) {
      simulation.CutExecutor(i, true);
    }
  }
  for (int round = 0; round < 4; ++round) {
    simulation.RunFor(4s);
    auto owner = OwnerOf(simulation);
    if (owner >= 0) {
      simulation.Kill(owner);
      simulation.Revive(owner);
    }
  }
  BOOST_TEST(simulation.CountRuns(job) == 2);
  CheckInvariants(simulation);
}

// An unreachable executor drops out of the list of executors, so a new owner does not have its
// address. Found in test run hunt-00d8-31.
BOOST_AUTO_TEST_CASE(tasks_on_an_unlisted_executor_wait_no_longer_when_owners_change)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  simulation.RunFor(3s);
  for (int i = 0; i < 4; ++i) {
    if (!simulation.mExecutors[static_cast<std::size_t>(i)].mRuns.empty()) {
      simulation.CutExecutor(i, true);
      simulation.DelistExecutor(i);
    }
  }
  simulation.Kill(OwnerOf(simulation));
  for (int round = 0; round < 4; ++round) {
    simulation.RunFor(4s);
    auto owner = OwnerOf(simulation);
    for (int host = 0; host < 3; ++host) {
      simulation.Revive(host);
    }
    if (owner >= 0) {
      simulation.Kill(owner);
      simulation.Revive(owner);
    }
  }
  BOOST_TEST(simulation.CountRuns(job) == 2);
  CheckInvariants(simulation);
}

// Guards against a long-running task that is away for too long (LOST): its executor had ended, and
// owner after owner waited for the longest lease from its own take-over on, because none before it
// had lived long enough to record that the executor was silent.
BOOST_AUTO_TEST_CASE(a_long_running_task_runs_again_though_owners_follow_each_other_quickly)
{
  for (auto storeLatency : { 4ms, 400ms }) {
    Simulation simulation({ .mStoreLatency = storeLatency });
    simulation.RunFor(6 * kStart);
    auto job = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
    simulation.RunFor(6 * kStart);
    auto former = ExecutorOf(simulation);
    BOOST_REQUIRE(former >= 0);
    simulation.CrashExecutorFor(former, 5s, false);
    // Each owner is replaced at once, by a process that has never seen the former executor listed.
    for (auto until = simulation.Time().mAt + 6s; simulation.Time().mAt < until;) {
      if (auto owner = OwnerOf(simulation); owner >= 0) {
        simulation.Kill(owner);
        simulation.RunFor(300ms);
        simulation.Revive(owner);
      }
      simulation.RunFor(100ms);
    }
    simulation.RunFor(6s);
    BOOST_TEST(simulation.CountRuns(job) == 2, "store latency " << storeLatency.count() << " ms");
    CheckInvariants(simulation);
  }
}

// During rolling restarts of entry hosts, a new owner did not count the resources of a finished
// job's tasks that were still being stopped.
BOOST_AUTO_TEST_CASE(a_new_owner_counts_the_resources_of_tasks_that_it_does_not_know)
{
  Simulation simulation({ .mHosts = 2, .mExecutors = 1, .mExecutorCores = 4 });
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(1, 3, 0) }, "lasts");
  simulation.RunFor(1s);
  simulation.CutExecutor(0, true);
  simulation.Cancel(0, job);
  simulation.RunFor(300ms);
  simulation.Kill(OwnerOf(simulation));
  simulation.RunFor(2500ms);
  simulation.Submit(OwnerOf(simulation), { MakeStep(1, 3) }, "100");
  simulation.CutExecutor(0, false);
  simulation.RunFor(4s);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

// A restarted executor numbers its ended runs from the start again. The owner must not skip them as
// already seen.
BOOST_AUTO_TEST_CASE(ends_of_a_restarted_executor_are_taken_note_of)
{
  Simulation simulation({ .mHosts = 1, .mExecutors = 1 });
  simulation.RunFor(kStart);
  simulation.Submit(0, { MakeStep(6, 1) }, "50");
  simulation.RunFor(1s);
  simulation.CrashExecutor(0);
  simulation.RunFor(1s);
  simulation.Submit(0, { MakeStep(2, 1) }, "50");
  simulation.RunFor(3s);
  BOOST_TEST(simulation.AllEnded());
  BOOST_TEST(simulation.mExecutors[0].mEnds.empty());
}

BOOST_AUTO_TEST_CASE(a_draining_executor_gets_no_work_and_its_long_running_tasks_move)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  simulation.RunFor(1s);
  for (int i = 0; i < 4; ++i) {
    if (!simulation.mExecutors[static_cast<std::size_t>(i)].mRuns.empty()) {
      simulation.DrainExecutor(i);
      break;
    }
  }
  simulation.RunFor(3s);
  BOOST_TEST(simulation.CountRuns(job) == 2);
  for (const auto& executor : simulation.mExecutors) {
    auto drains = executor.mEntry.mState == ExecutorState::Draining;
    BOOST_TEST((!drains || executor.mRuns.empty()));
  }
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_SUITE_END()
