#include "Plays.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Duration kStart = 1s;
constexpr int kOthers = 6;

JobPhase
QueryPhase(Simulation& aSimulation, const JobId& aJob)
{
  aSimulation.AskState(0, aJob);
  aSimulation.RunFor(200ms);
  return aSimulation.PhaseAt(aJob);
}

}

BOOST_AUTO_TEST_SUITE(TasksThatCrashTheirExecutors)

// Guards against one task that crashes executor after executor till the end of the day (BUDGET).
BOOST_AUTO_TEST_CASE(a_task_is_given_up_after_three_executors_have_crashed_under_it)
{
  Simulation simulation({ .mExecutors = 6 });
  simulation.RunFor(kStart);
  auto deadly = simulation.Submit(0, { MakeStep(3, 1) }, "crashes");
  std::vector<JobId> others;
  others.reserve(kOthers);
  for (int i = 0; i < kOthers; ++i) {
    others.push_back(simulation.Submit(0, { MakeStep(4, 1) }, "800"));
  }
  simulation.RunFor(60s);
  BOOST_TEST(simulation.CountCrashes(deadly) == 3);
  BOOST_TEST((QueryPhase(simulation, deadly) == JobPhase::Failed));
  for (const auto& job : others) {
    BOOST_TEST((QueryPhase(simulation, job) == JobPhase::Completed));
  }
  CheckInvariants(simulation);
}

// Guards against sound jobs that are given up along with the one that crashes the executors
// (BUDGET).
BOOST_AUTO_TEST_CASE(tasks_that_ran_beside_one_that_crashes_its_executors_are_cleared)
{
  Simulation simulation({ .mExecutors = 2 });
  simulation.RunFor(kStart);
  auto deadly = simulation.Submit(0, { MakeStep(1, 1) }, "crashes");
  std::vector<JobId> others;
  others.reserve(kOthers);
  for (int i = 0; i < kOthers; ++i) {
    others.push_back(simulation.Submit(0, { MakeStep(2, 1) }, "1500"));
  }
  simulation.RunFor(80s);
  BOOST_TEST((QueryPhase(simulation, deadly) == JobPhase::Failed));
  for (const auto& job : others) {
    BOOST_TEST((QueryPhase(simulation, job) == JobPhase::Completed));
  }
  CheckInvariants(simulation);
}

// Guards against a count of crashes that is lost with the owner (BUDGET): the host that gave the
// last order dies each time.
BOOST_AUTO_TEST_CASE(crashes_are_counted_although_the_owner_dies_with_the_executor)
{
  Simulation simulation({ .mExecutors = 6 });
  simulation.RunFor(kStart);
  auto deadly = simulation.Submit(0, { MakeStep(1, 1) }, "crashes");
  auto crashes = 0;
  for (int step = 0; step < 4000; ++step) {
    simulation.RunFor(20ms);
    if (simulation.CountCrashes(deadly) == crashes) {
      continue;
    }
    crashes = simulation.CountCrashes(deadly);
    for (int host = 0; host < 3; ++host) {
      if (!simulation.mHosts[static_cast<std::size_t>(host)].mNode.mShards.empty()) {
        simulation.Kill(host);
      }
    }
    simulation.RunFor(500ms);
    for (int host = 0; host < 3; ++host) {
      simulation.Revive(host);
    }
  }
  BOOST_TEST(crashes == 3);
  BOOST_TEST((QueryPhase(simulation, deadly) == JobPhase::Failed));
  CheckInvariants(simulation);
}

// Guards against a pool that starts nothing any more: tasks that last had been beside a task that
// crashes its executors, and each kept an executor for itself till the end.
BOOST_AUTO_TEST_CASE(
  tasks_that_last_share_their_executors_again_once_they_have_shown_that_they_are_harmless)
{
  Simulation simulation({ .mExecutors = 3 });
  simulation.RunFor(kStart);
  auto lasting = simulation.Submit(0, { MakeLongRunningStep(3, 1, 1) }, "lasts");
  simulation.RunFor(1s);
  for (int round = 0; round < 2; ++round) {
    for (int executor = 0; executor < 3; ++executor) {
      simulation.CrashExecutorFor(executor, 3s, false);
    }
    simulation.RunFor(9s);
  }
  simulation.RunFor(6s);
  BOOST_TEST(simulation.CountRuns(lasting) == 9);
  auto job = simulation.Submit(0, { MakeStep(6, 2) }, "300");
  simulation.RunFor(2s);
  BOOST_TEST((QueryPhase(simulation, job) == JobPhase::Completed));
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_SUITE_END()
