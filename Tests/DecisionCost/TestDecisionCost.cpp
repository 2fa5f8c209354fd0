#include "AllocationCount.h"
#include "LibStandIn/OwnerModel.h"
#include "StepCount.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace sesameseam;
using namespace sesameseam::standin;

namespace {

constexpr int kSmallPool = 50;
constexpr int kMiddlePool = 500;
constexpr int kLargePool = 5000;
constexpr double kMaxGrowth = 2.0;
constexpr int kEvents = 300;
constexpr std::array kLoads = { PoolLoad::Calm, PoolLoad::Full, PoolLoad::Burst };

// The mean cost of an event.
struct EventCost
{
  double mSteps = 0;
  double mAllocations = 0;
};

void
Play(OwnerModel& aModel, OwnerEvent aEvent, int aTimes)
{
  for (int i = 0; i < aTimes; ++i) {
    PlayEvent(aModel, aEvent, [](const auto& aWork) { aWork(); });
  }
}

EventCost
MeasureEvent(OwnerModel& aModel, OwnerEvent aEvent)
{
  EventCost sum;
  auto meter = [&](const std::function<void()>& aWork) {
    auto allocations = AllocationCount();
    auto steps = StepCount();
    aWork();
    sum.mSteps += static_cast<double>(StepCount() - steps);
    sum.mAllocations += static_cast<double>(AllocationCount() - allocations);
  };
  for (int i = 0; i < kEvents; ++i) {
    PlayEvent(aModel, aEvent, meter);
  }
  return { sum.mSteps / kEvents, sum.mAllocations / kEvents };
}

EventCost
CostIn(PoolLoad aLoad, int aExecutors, OwnerEvent aEvent)
{
  OwnerModelSettings settings;
  settings.mExecutors = aExecutors;
  settings.mLoad = aLoad;
  auto model = MakeOwnerModel(settings);
  auto cost = MeasureEvent(model, aEvent);
  BOOST_TEST_MESSAGE(NameOf(aEvent)
                     << " in a pool of " << aExecutors << ", " << NameOf(aLoad) << ": "
                     << cost.mSteps << " steps, " << cost.mAllocations << " allocations");
  return cost;
}

void
CheckGrowth(OwnerEvent aEvent)
{
  for (auto load : kLoads) {
    auto small = CostIn(load, kSmallPool, aEvent);
    for (auto executors : { kMiddlePool, kLargePool }) {
      auto large = CostIn(load, executors, aEvent);
      BOOST_TEST_CONTEXT("a pool of " << executors << ", " << NameOf(load))
      {
        BOOST_TEST(small.mSteps > 0);
        BOOST_TEST(large.mSteps <= kMaxGrowth * small.mSteps);
        BOOST_TEST(large.mAllocations <= kMaxGrowth * small.mAllocations);
      }
    }
  }
}

}

// Guard against too little served (SHORT) because each event costs the owner of a pool more the
// larger the pool is, until its processor has no time left: the mean cost of each kind of event in
// a pool of 5,000 executors is at most twice that in one of 50.
BOOST_AUTO_TEST_SUITE(TheCostOfADecision)

// Guards against figures of an owner that does not do what its events ask for.
BOOST_AUTO_TEST_CASE(the_owner_under_measurement_does_its_work)
{
  constexpr int kPlayed = 30;
  for (auto load : kLoads) {
    OwnerModelSettings settings;
    settings.mLoad = load;
    auto model = MakeOwnerModel(settings);
    auto before = SumCounters(model.mNode);
    auto running = model.mRunning;
    for (auto event : { OwnerEvent::PassAfterEnd, OwnerEvent::Cancellation }) {
      Play(model, event, kPlayed);
      // What came last is placed.
      Play(model, OwnerEvent::Tick, 1);
      BOOST_TEST(model.mRunning == running);
    }
    auto after = SumCounters(model.mNode);
    BOOST_TEST(after.mJobsCompleted - before.mJobsCompleted == kPlayed);
    BOOST_TEST(after.mJobsCancelled - before.mJobsCancelled == kPlayed);
    BOOST_TEST(after.mStarts - before.mStarts >= kPlayed);
  }
}

// Guards against a renewal of the leases on one executor that walks over all of them.
BOOST_AUTO_TEST_CASE(a_heartbeat_costs_the_same_in_a_pool_of_any_size)
{
  CheckGrowth(OwnerEvent::Heartbeat);
}

// Guards against the end of one task that walks over all executors.
BOOST_AUTO_TEST_CASE(an_end_costs_the_same_in_a_pool_of_any_size)
{
  CheckGrowth(OwnerEvent::End);
}

// Guards against the arrival of one job that walks over all executors.
BOOST_AUTO_TEST_CASE(an_arrival_costs_the_same_in_a_pool_of_any_size)
{
  CheckGrowth(OwnerEvent::Arrival);
}

// Guards against the cancellation of one job that walks over all executors.
BOOST_AUTO_TEST_CASE(a_cancellation_costs_the_same_in_a_pool_of_any_size)
{
  CheckGrowth(OwnerEvent::Cancellation);
}

// Guards against an owner that looks at all executors although nothing has happened.
BOOST_AUTO_TEST_CASE(a_tick_costs_the_same_in_a_pool_of_any_size)
{
  CheckGrowth(OwnerEvent::Tick);
}

// Guards against a placement pass that examines all executors although none has got room.
BOOST_AUTO_TEST_CASE(an_idle_pass_costs_the_same_in_a_pool_of_any_size)
{
  CheckGrowth(OwnerEvent::IdlePass);
}

// Guards against a placement pass that examines all executors because one has got room.
BOOST_AUTO_TEST_CASE(a_pass_after_an_end_costs_the_same_in_a_pool_of_any_size)
{
  CheckGrowth(OwnerEvent::PassAfterEnd);
}

// Guards against passes over a full pool whose time goes into memory that is thrown away again.
BOOST_AUTO_TEST_CASE(a_pass_that_places_nothing_allocates_nothing)
{
  for (auto load : kLoads) {
    for (auto executors : { kSmallPool, kMiddlePool, kLargePool }) {
      BOOST_TEST_CONTEXT("a pool of " << executors << ", " << NameOf(load))
      {
        BOOST_TEST(CostIn(load, executors, OwnerEvent::IdlePass).mAllocations == 0);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
