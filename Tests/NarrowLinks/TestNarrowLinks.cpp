#include "LibSchedule/Steps.h"
#include "LibStandIn/Simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

BOOST_AUTO_TEST_SUITE(TheSimulationOfNarrowLinks)

// Guards against long-running tasks that are away for long, or more of them at once than
// their step allows, where hosts have narrow links and make calls for one another.
BOOST_AUTO_TEST_CASE(long_running_tasks_stay_while_hosts_with_narrow_links_call_for_one_another)
{
  auto holds = rc::check([] {
    constexpr int kHosts = 6;
    constexpr int kExecutors = 130;
    SimulationSettings settings;
    settings.mHosts = kHosts;
    settings.mExecutors = kExecutors;
    settings.mExecutorCores = 32;
    settings.mSeed = *rc::gen::arbitrary<std::uint64_t>();
    settings.mEventCost = *rc::gen::element(Duration(50us), Duration(300us));
    settings.mHostMillicores = 120;
    // With the least, the hosts hand calls over whether or not they are late.
    settings.mShareCallsDelay = *rc::gen::element(Duration(0ms), Duration(15ms));
    settings.mLinkBytesPerSecond = *rc::gen::element(250'000, 1'250'000);
    Simulation simulation(settings);
    std::mt19937_64 random(settings.mSeed);
    simulation.RunFor(3s);
    constexpr int kLongRunningJobs = 4;
    std::vector<JobId> lasting;
    lasting.reserve(kLongRunningJobs);
    for (int i = 0; i < kLongRunningJobs; ++i) {
      lasting.push_back(simulation.Submit(i, { MakeLongRunningStep(12, 2, 2) }, "lasts"));
    }
    simulation.RunFor(4s);
    Wave wave;
    wave.mNumber = 1;
    wave.mMaxConcurrent = 8;
    wave.mTimeLimit = 30s;
    for (const auto& [id, machine] : simulation.mMachines) {
      wave.mMachines.push_back(id);
    }
    simulation.AddWave(wave);
    auto betweenJobs = *rc::gen::element(Duration(6ms), Duration(12ms), Duration(50ms));
    // Of the usual size.
    auto work = "640" + std::string(500, ' ');
    for (Duration elapsed{ 0 }; elapsed < 10s; elapsed += betweenJobs) {
      simulation.Submit(static_cast<int>(random() % kHosts), { MakeStep(8, 4, 640ms) }, work);
      simulation.RunFor(betweenJobs);
    }
    simulation.RunFor(12s);
    for (const auto& broken : simulation.Violations()) {
      RC_LOG() << broken << "\n";
    }
    RC_ASSERT(simulation.Violations().empty());
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
