#include "Plays.h"
#include "Steps.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Duration kStart = 1s;

}

BOOST_AUTO_TEST_SUITE(TheSimulation)

BOOST_AUTO_TEST_CASE(a_wave_takes_every_host_down_within_its_limit_and_is_reported)
{
  Simulation simulation({ .mHosts = 3, .mExecutors = 6 });
  simulation.RunFor(kStart);
  simulation.Submit(0, { MakeLongRunningStep(3, 2, 1) }, "lasts");
  simulation.RunFor(1s);
  Wave wave;
  wave.mNumber = 1;
  wave.mMaxConcurrent = 2;
  for (const auto& [id, machine] : simulation.mMachines) {
    wave.mMachines.push_back(id);
  }
  simulation.AddWave(wave);
  auto most = 0;
  for (int i = 0; i < 600; ++i) {
    simulation.RunFor(100ms);
    auto down = 0;
    for (const auto& [id, machine] : simulation.mMachines) {
      down += machine.mState == MachineState::Maintenance ? 1 : 0;
    }
    most = std::max(most, down);
  }
  BOOST_TEST(most <= 2);
  std::set<MachineId> ordered;
  for (const auto& order : simulation.mUpkeeps) {
    ordered.insert(order.mMachine);
  }
  BOOST_TEST(ordered.size() == 6u);
  BOOST_REQUIRE(!simulation.mWaveReports.empty());
  BOOST_TEST(simulation.mWaveReports.back().mCompleted);
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(a_wave_of_a_reserve_that_is_switched_off_ends)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  for (auto& [id, machine] : simulation.mMachines) {
    machine.mExecutor = ExecutorId();
  }
  Wave wave;
  wave.mNumber = 1;
  wave.mMachines = { MachineId("m0"), MachineId("m1") };
  simulation.AddWave(wave);
  simulation.RunFor(25s);
  BOOST_REQUIRE(!simulation.mWaveReports.empty());
  BOOST_TEST(simulation.mWaveReports.back().mCompleted);
}

// A burst in one queue needs twice the hosts of its pool, while the other pool is idle.
BOOST_AUTO_TEST_CASE(idle_hosts_move_to_the_pool_with_a_burst)
{
  Simulation simulation({ .mHosts = 3, .mExecutors = 2, .mOtherExecutors = 4 });
  simulation.RunFor(6s);
  std::vector<JobId> jobs;
  for (int i = 0; i < 40; ++i) {
    jobs.push_back(simulation.Submit(i % 3, { MakeStep(4, 2, 1000ms) }, "1000"));
    simulation.RunFor(100ms);
  }
  simulation.RunFor(8s);
  auto moved = std::count_if(
    simulation.mExecutors.begin() + 2,
    simulation.mExecutors.end(),
    [](const FakeExecutor& aExecutor) { return aExecutor.mEntry.mService.mValue == "previews"; });
  BOOST_TEST(moved >= 2);
  // The last host of a pool is never moved.
  BOOST_TEST(moved <= 3);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

// In a mixed scenario, a host that returned from maintenance was drained again and stayed empty.
BOOST_AUTO_TEST_CASE(a_host_is_drained_once_for_a_wave)
{
  Simulation simulation({ .mHosts = 3, .mExecutors = 4 });
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(3, 2, 1) }, "lasts");
  simulation.RunFor(4s);
  Wave wave;
  wave.mNumber = 1;
  wave.mMaxConcurrent = 1;
  for (const auto& [id, machine] : simulation.mMachines) {
    wave.mMachines.push_back(id);
  }
  simulation.AddWave(wave);
  simulation.RunFor(60s);
  auto running = 0;
  for (const auto& executor : simulation.mExecutors) {
    running += static_cast<int>(executor.mRuns.size());
  }
  BOOST_TEST(running == 3);
  BOOST_TEST(simulation.CountRuns(job) <= 3 + 4);
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_SUITE_END()
