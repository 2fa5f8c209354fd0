#include "Actions.h"
#include "LibSchedule/Shard.h"
#include "LibSchedule/Throttle.h"
#include "LibStandIn/Simulation.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Duration kTimeToStart = 2s;
constexpr Duration kMaxTimeToSlowDown = 8s;
constexpr Duration kStepTime = 20ms;
constexpr Duration kTimeToRestart = 1s;
// The work of the task that fills, the time until its speed changes, and the steps to full speed.
constexpr Duration kTimeToEnd = 30s;
constexpr std::chrono::milliseconds kTarget = 100ms;
constexpr std::chrono::milliseconds kDisturbance = 6000ms;

Step
ServingStep()
{
  auto step = MakeLongRunningStep(1, 1, 1);
  step.mTargetTailLatency = kTarget;
  return step;
}

Step
FillingStep()
{
  auto step = MakeStep(1, 1, 8000ms);
  step.mBestEffort = true;
  return step;
}

// The speed of the task that fills; -1 if there is none.
int
SpeedOfFilling(const Simulation& aSimulation)
{
  for (const auto& [name, run] : aSimulation.mExecutors[0].mRuns) {
    if (run.mFills) {
      return run.mPercent;
    }
  }
  return -1;
}

int
OwnerOfRuns(const Simulation& aSimulation)
{
  for (std::size_t host = 0; host < aSimulation.mHosts.size(); ++host) {
    for (const auto& [partition, shard] : aSimulation.mHosts[host].mNode.mShards) {
      if (shard.mPhase == ShardPhase::Active && !shard.mExecutors.empty()) {
        return static_cast<int>(host);
      }
    }
  }
  return -1;
}

// An executor with a task that serves and one that fills, as an owner knows them.
struct TwoRuns
{
  Shard mShard = MakeShard(3, {}, Instant());
  Actions mActions;
  TaskRun mFilling{ { JobId("00000000000000f2"), 0, 0, 0 }, 1 };

  TwoRuns()
  {
    PlacedRun serving;
    serving.mState = RunState::Running;
    serving.mTargetTailLatency = kTarget;
    PlacedRun filling;
    filling.mState = RunState::Running;
    filling.mBestEffort = true;
    filling.mCounted = { 1000, 100, 0 };
    TheExecutor().mRuns.emplace(TaskRun{ { JobId("00000000000000f1"), 0, 0, 0 }, 1 }, serving);
    TheExecutor().mRuns.emplace(mFilling, filling);
  }

  Executor& TheExecutor() { return mShard.mExecutors[ExecutorId("x1")]; }
  PlacedRun& Filling() { return TheExecutor().mRuns.at(mFilling); }

  // The order that follows from a list of the executor, or -1; it is answered.
  int Order(Instant aNow,
            std::chrono::milliseconds aTail,
            std::int64_t aCpu,
            CallResult aResult = CallResult::Done)
  {
    TheExecutor().mRuns.begin()->second.mLoad = aTail.count();
    Filling().mLoad = aCpu;
    mActions.clear();
    schedule::detail::AdjustThrottle(mShard, TheExecutor(), aNow, mActions);
    auto calls = Select<ThrottleCall>(mActions);
    if (calls.empty()) {
      return -1;
    }
    ThrottleAnswer answer{ calls[0], aResult };
    answer.mCall.mTo.mExecutor = ExecutorId("x1");
    OnThrottleAnswer(mShard, answer);
    return calls[0].mPercent;
  }
};

// A task that fills has been slowed down to zero beside one that serves.
struct SlowedDown
{
  Simulation mSimulation;
  JobId mJob;

  SlowedDown()
    : mSimulation({ .mExecutors = 1 })
  {
    mSimulation.RunFor(kTimeToStart);
    mSimulation.Submit(0, { ServingStep() }, "serves");
    mSimulation.RunFor(kTimeToStart);
    mSimulation.mExecutors[0].mDisturbance = kDisturbance;
    mJob = mSimulation.Submit(0, { FillingStep() }, "fills 8000");
    auto until = mSimulation.Time().mAt + kMaxTimeToSlowDown;
    while (SpeedOfFilling(mSimulation) != 0 && mSimulation.Time().mAt < until) {
      mSimulation.RunFor(kStepTime);
    }
    BOOST_REQUIRE(SpeedOfFilling(mSimulation) == 0);
  }
};

}

BOOST_AUTO_TEST_SUITE(TheThrottle)

// Guards against a task that stands for good (LOST): its owner had slowed it down to zero, and the
// next owner took it to work at full speed.
BOOST_AUTO_TEST_CASE(a_task_that_stands_works_again_after_its_shard_changes_its_owner)
{
  for (auto isPlanned : { true, false }) {
    SlowedDown test;
    auto& simulation = test.mSimulation;
    auto owner = OwnerOfRuns(simulation);
    BOOST_REQUIRE(owner >= 0);
    isPlanned ? simulation.StopGracefully(owner) : simulation.Kill(owner);
    simulation.mExecutors[0].mDisturbance = 0ms;
    simulation.RunFor(kTimeToRestart);
    simulation.Revive(owner);
    simulation.RunFor(kTimeToEnd);
    BOOST_TEST(simulation.HasEnded(test.mJob));
    BOOST_TEST(simulation.Violations().size() == 0u);
  }
}

// Guards against a task that stays slow for good: orders to slow down were carried out seconds
// late, after the order that let the task work at full speed again.
BOOST_AUTO_TEST_CASE(a_task_gets_its_speed_back_although_older_orders_are_carried_out_late)
{
  Simulation simulation({ .mExecutors = 1 });
  simulation.RunFor(kTimeToStart);
  simulation.Submit(0, { ServingStep() }, "serves");
  simulation.RunFor(kTimeToStart);
  auto job = simulation.Submit(0, { FillingStep() }, "fills 30000");
  simulation.RunFor(kTimeToStart);
  simulation.DelayThrottles({ 6s, 0s });
  simulation.mExecutors[0].mDisturbance = kDisturbance;
  simulation.RunFor(4s);
  simulation.DelayThrottles({});
  simulation.mExecutors[0].mDisturbance = 0ms;
  BOOST_TEST(SpeedOfFilling(simulation) == kFullSpeed);
  simulation.RunFor(6s);
  // What was ordered in time has been overtaken by now.
  BOOST_TEST(SpeedOfFilling(simulation) < kFullSpeed);
  simulation.RunFor(10s);
  BOOST_TEST(SpeedOfFilling(simulation) == kFullSpeed);
  simulation.RunFor(kTimeToEnd);
  BOOST_TEST(simulation.HasEnded(job));
  BOOST_TEST(simulation.Violations().size() == 0u);
}

// Guards against a check that passes without a change of the owner only by luck.
BOOST_AUTO_TEST_CASE(a_task_that_stands_works_again_once_it_disturbs_no_more)
{
  SlowedDown test;
  test.mSimulation.mExecutors[0].mDisturbance = 0ms;
  test.mSimulation.RunFor(kTimeToEnd);
  BOOST_TEST(test.mSimulation.HasEnded(test.mJob));
  BOOST_TEST(test.mSimulation.Violations().size() == 0u);
}

// Guards against an owner that takes a speed for known that another one has set.
BOOST_AUTO_TEST_CASE(an_unknown_speed_is_taken_from_the_processor_time_that_the_task_uses)
{
  struct Row
  {
    std::chrono::milliseconds mTail;
    std::int64_t mCpu;
    int mOrder;
  };
  constexpr int kNone = -1;
  for (const auto& row : { Row{ 40ms, 0, 15 },
                           Row{ 40ms, 500, 65 },
                           Row{ 40ms, 1000, 100 },
                           Row{ 70ms, 0, kNone },
                           Row{ 70ms, 1000, kNone },
                           Row{ 200ms, 0, 0 },
                           Row{ 200ms, 1000, 33 } }) {
    TwoRuns runs;
    BOOST_TEST(runs.Order(Instant(1s), row.mTail, row.mCpu) == row.mOrder);
  }
}

// Guards against a speed that was ordered, carried out and not answered, and is taken for the
// former one.
BOOST_AUTO_TEST_CASE(a_change_without_an_answer_makes_the_speed_unknown)
{
  TwoRuns runs;
  runs.Filling().mThrottlePercent = kFullSpeed;
  BOOST_TEST(runs.Order(Instant(1s), 200ms, 1000, CallResult::Unanswered) == 33);
  BOOST_TEST(runs.Order(Instant(2s), 40ms, 330) == 48);
  BOOST_TEST(runs.Filling().mThrottlePercent.value_or(-1) == 48);
  // A refusal changes nothing.
  BOOST_TEST(runs.Order(Instant(3s), 200ms, 480, CallResult::Refused) == 16);
  BOOST_TEST(runs.Filling().mThrottlePercent.value_or(-1) == 48);
}

// Guards against an order that is carried out late, after newer ones, and holds from then on.
BOOST_AUTO_TEST_CASE(a_speed_is_ordered_once_more_when_no_older_order_can_follow_any_longer)
{
  TwoRuns runs;
  BOOST_TEST(runs.Order(Instant(1s), 40ms, 1000) == kFullSpeed);
  BOOST_TEST(runs.Order(Instant(2s), 40ms, 1000) == -1);
  BOOST_TEST(runs.Order(Instant(10900ms), 40ms, 0) == -1);
  BOOST_TEST(runs.Order(Instant(11s), 40ms, 0) == kFullSpeed);
  BOOST_TEST(runs.Order(Instant(30s), 40ms, 0) == -1);
}

BOOST_AUTO_TEST_SUITE_END()
