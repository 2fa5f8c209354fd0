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
constexpr int kIdlePasses = 20;
constexpr std::array kLoads = { PoolLoad::Calm, PoolLoad::Full, PoolLoad::Burst };

// The load of a pool and the tenants that share it.
struct PoolUse
{
  PoolLoad mLoad = PoolLoad::Calm;
  int mTenants = 0;
};

constexpr std::array kUntenanted = { PoolUse{ PoolLoad::Calm, 0 },
                                     PoolUse{ PoolLoad::Full, 0 },
                                     PoolUse{ PoolLoad::Burst, 0 } };
constexpr PoolUse kTenanted{ PoolLoad::Full, 680 };

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
MeasureEvents(OwnerModel& aModel, OwnerEvent aEvent, int aTimes)
{
  EventCost sum;
  auto meter = [&](const std::function<void()>& aWork) {
    auto allocations = AllocationCount();
    auto steps = StepCount();
    aWork();
    sum.mSteps += static_cast<double>(StepCount() - steps);
    sum.mAllocations += static_cast<double>(AllocationCount() - allocations);
  };
  for (int i = 0; i < aTimes; ++i) {
    PlayEvent(aModel, aEvent, meter);
  }
  return { sum.mSteps / aTimes, sum.mAllocations / aTimes };
}

std::string
Describe(const PoolUse& aUse, int aExecutors)
{
  return "a pool of " + std::to_string(aExecutors) + ", " + std::string(NameOf(aUse.mLoad)) + ", " +
         std::to_string(aUse.mTenants) + " tenants";
}

EventCost
CostIn(const PoolUse& aUse, int aExecutors, OwnerEvent aEvent, int aTimes = kEvents)
{
  OwnerModelSettings settings;
  settings.mExecutors = aExecutors;
  settings.mLoad = aUse.mLoad;
  settings.mTenants = aUse.mTenants;
  auto model = MakeOwnerModel(settings);
  auto cost = MeasureEvents(model, aEvent, aTimes);
  BOOST_TEST_MESSAGE(NameOf(aEvent) << " in " << Describe(aUse, aExecutors) << ": " << cost.mSteps
                                    << " steps, " << cost.mAllocations << " allocations");
  return cost;
}

void
CheckGrowth(const PoolUse& aUse, OwnerEvent aEvent)
{
  auto small = CostIn(aUse, kSmallPool, aEvent);
  BOOST_TEST(small.mSteps > 0);
  for (auto executors : { kMiddlePool, kLargePool }) {
    auto large = CostIn(aUse, executors, aEvent);
    BOOST_TEST_CONTEXT(NameOf(aEvent) << " in " << Describe(aUse, executors))
    {
      BOOST_TEST(large.mSteps <= kMaxGrowth * small.mSteps);
      BOOST_TEST(large.mAllocations <= kMaxGrowth * small.mAllocations);
    }
  }
}

void
CheckGrowth(OwnerEvent aEvent)
{
  for (const auto& use : kUntenanted) {
    CheckGrowth(use, aEvent);
  }
}

void
CheckIdlePassAllocations(const PoolUse& aUse)
{
  for (auto executors : { kSmallPool, kMiddlePool, kLargePool }) {
    BOOST_TEST_CONTEXT(Describe(aUse, executors))
    {
      BOOST_TEST(CostIn(aUse, executors, OwnerEvent::IdlePass, kIdlePasses).mAllocations == 0);
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

// Guards against shares and quotas that are worked out for a whole pool at each event.
BOOST_AUTO_TEST_CASE(no_event_costs_more_in_a_larger_pool_that_tenants_share)
{
  for (auto event : { OwnerEvent::Heartbeat,
                      OwnerEvent::End,
                      OwnerEvent::Arrival,
                      OwnerEvent::Cancellation,
                      OwnerEvent::Tick,
                      OwnerEvent::IdlePass,
                      OwnerEvent::PassAfterEnd }) {
    CheckGrowth(kTenanted, event);
  }
}

// Guards against passes over a full pool whose time goes into memory that is thrown away again.
BOOST_AUTO_TEST_CASE(a_pass_that_places_nothing_allocates_nothing)
{
  for (const auto& use : kUntenanted) {
    CheckIdlePassAllocations(use);
  }
}

// As above, where the order of the waiting tasks depends on their tenants.
BOOST_AUTO_TEST_CASE(a_pass_that_places_nothing_for_tenants_allocates_nothing)
{
  CheckIdlePassAllocations(kTenanted);
}

BOOST_AUTO_TEST_SUITE_END()
