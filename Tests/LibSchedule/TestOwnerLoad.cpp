#include "LibStandIn/Simulation.h"
#include "Steps.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr int kExecutors = 450;
constexpr int kHosts = 6;
// A queue's objective: 1.6 times the work of the longest chain, and its response goal.
constexpr Duration kObjective = 1624ms;
constexpr Duration kBetweenJobs = 1800us;
constexpr Duration kPeak = 2s;

// The share of the jobs of a peak that end in time. Their work is four fifths of the pool's room.
double
ShareInTime(Duration aEventCost)
{
  Simulation simulation({ .mHosts = kHosts,
                          .mExecutors = kExecutors,
                          .mExecutorCores = 32,
                          .mEventCost = aEventCost,
                          .mHostMillicores = 500 });
  simulation.RunFor(3s);
  std::vector<JobId> jobs;
  for (Duration elapsed{ 0 }; elapsed < kPeak; elapsed += kBetweenJobs) {
    auto host = static_cast<int>(jobs.size()) % kHosts;
    jobs.push_back(simulation.Submit(host, { MakeStep(8, 4, 640ms) }, "640"));
    simulation.RunFor(kBetweenJobs);
  }
  simulation.RunFor(kObjective);
  auto ended = std::count_if(
    jobs.begin(), jobs.end(), [&](const JobId& aJob) { return simulation.HasEnded(aJob); });
  return static_cast<double>(ended) / static_cast<double>(jobs.size());
}

}

BOOST_AUTO_TEST_SUITE(ThePeakOfALargePool)

// Guards against too little served in the peak of a pool of hundreds of executors (SHORT) because
// its owner makes so many calls for each task that its processor has no time left.
BOOST_AUTO_TEST_CASE(its_jobs_end_in_time_with_an_owner_of_finite_speed)
{
  BOOST_TEST(ShareInTime(170us) >= 0.99);
}

// Guards against too little served (SHORT) because the calls for a pool in its peak are the load of
// one processor, while those of all other hosts are idle.
BOOST_AUTO_TEST_CASE(its_jobs_end_in_time_on_slow_processors)
{
  BOOST_TEST(ShareInTime(600us) >= 0.99);
}

BOOST_AUTO_TEST_SUITE_END()
