#include "LibSchedule/ExecutorBackOff.h"
#include "LibSchedule/Placement.h"
#include "LibSchedule/QueueOrder.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Instant kNow = Instant(100s);

Executor
MakeExecutor(const std::string& aName, int aCores, const std::string& aRack = "r1")
{
  Executor executor;
  executor.mEntry.mId = ExecutorId(aName);
  executor.mEntry.mService = ServiceName("s");
  executor.mEntry.mCapacity = { std::int64_t(aCores) * 1000, 10000, 0 };
  executor.mEntry.mLabels = { "a", aRack };
  executor.mHasAnsweredHeartbeat = true;
  return executor;
}

struct Fleet
{
  std::map<ExecutorId, Executor> mExecutors;

  Executor& Add(const std::string& aName, int aCores, const std::string& aRack = "r1")
  {
    auto executor = MakeExecutor(aName, aCores, aRack);
    return mExecutors.emplace(executor.mEntry.mId, executor).first->second;
  }

  // An executor in any state, with any runs.
  void AddAny(const std::string& aName)
  {
    auto& executor =
      Add(aName, *rc::gen::inRange(1, 9), "r" + std::to_string(*rc::gen::inRange(1, 3)));
    executor.mUnansweredCalls = *rc::gen::weightedElement<int>({ { 9, 0 }, { 1, 1 } });
    executor.mIsReservedForSuspects =
      *rc::gen::weightedElement<bool>({ { 9, false }, { 1, true } });
    executor.mIsDueForMaintenance = *rc::gen::arbitrary<bool>();
    auto runs = *rc::gen::inRange(0, 3);
    for (int i = 0; i < runs; ++i) {
      PlacedRun run;
      run.mReserved = { *rc::gen::inRange(0, 3) * 1000, *rc::gen::inRange(0, 9000), 0 };
      run.mIsLongRunning = *rc::gen::arbitrary<bool>();
      run.mIsLatencySensitive = *rc::gen::arbitrary<bool>();
      run.mBestEffort = *rc::gen::arbitrary<bool>();
      run.mIsolation = *rc::gen::weightedElement<Isolation>(
        { { 9, Isolation::None }, { 1, Isolation::AmongSuspects } });
      executor.mRuns[{ { JobId("k"), 0, 0, i }, 1 }] = run;
    }
  }

  std::string Choose(const Step& aStep, const Task& aTask = {})
  {
    auto candidates = MakeCandidates(mExecutors);
    PlacementRequest request{ &aStep, &aTask, { JobId("j"), 0, 0, 0 } };
    auto* chosen = ChooseCandidate(candidates, ServiceName("s"), request, kNow);
    return chosen == nullptr ? "" : chosen->mExecutor->mEntry.mId.mValue;
  }
};

// The candidate that a walk over all executors finds, in the order of their ids.
std::string
ChooseByWalk(const CandidateIndex& aCandidates,
             const std::map<ExecutorId, Executor>& aExecutors,
             const PlacementRequest& aRequest)
{
  std::string best;
  std::int64_t bestCost = 0;
  for (const auto& [id, executor] : aExecutors) {
    const auto& candidate = aCandidates.mCandidates.at(&executor);
    if (ObstacleTo(candidate, aRequest, kNow) != PlacementObstacle::None) {
      continue;
    }
    auto cost = schedule::detail::CostOf(candidate, aRequest);
    if (best.empty() || cost < bestCost) {
      best = id.mValue;
      bestCost = cost;
    }
  }
  return best;
}

Step
AnyStep()
{
  auto step = MakeStep(1, *rc::gen::inRange(0, 6));
  step.mNeeds.mMemoryMb = *rc::gen::inRange(0, 6000);
  step.mLongRunning = *rc::gen::arbitrary<bool>();
  step.mBestEffort = *rc::gen::weightedElement<bool>({ { 9, false }, { 1, true } });
  step.mPreferredRack = *rc::gen::element(std::string(), std::string("r1"));
  step.mTargetTailLatency = *rc::gen::element(0ms, 50ms);
  return step;
}

}

BOOST_AUTO_TEST_SUITE(ThePlacement)

// Guards against tasks that are placed elsewhere than by the rule (lowest cost, then lowest id)
// since the order by free capacity ends the search too early or is not kept up to date.
BOOST_AUTO_TEST_CASE(a_task_goes_where_a_walk_over_all_executors_would_put_it)
{
  auto holds = rc::check([] {
    Fleet fleet;
    auto count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      fleet.AddAny("x" + std::to_string(i));
    }
    auto candidates = MakeCandidates(fleet.mExecutors);
    for (int i = 0; i < 6; ++i) {
      auto step = AnyStep();
      Task task;
      task.mCrashes = *rc::gen::weightedElement<int>({ { 8, 0 }, { 1, 1 }, { 1, 2 } });
      PlacementRequest request{ &step, &task, { JobId("j"), 0, 0, i } };
      auto expected = ChooseByWalk(candidates, fleet.mExecutors, request);
      auto* chosen = ChooseCandidate(candidates, ServiceName("s"), request, kNow);
      RC_ASSERT((chosen == nullptr ? "" : chosen->mExecutor->mEntry.mId.mValue) == expected);
      if (chosen != nullptr) {
        Reserve(*chosen, request);
      }
      if (chosen != nullptr && *rc::gen::arbitrary<bool>()) {
        Release(*chosen, request);
      }
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(the_tightest_fit_keeps_capacity_for_large_tasks)
{
  Fleet fleet;
  fleet.Add("large", 32);
  fleet.Add("small", 4);
  BOOST_TEST(fleet.Choose(MakeStep(1, 3)) == "small");
  BOOST_TEST(fleet.Choose(MakeStep(1, 8)) == "large");
  BOOST_TEST(fleet.Choose(MakeStep(1, 33)) == "");
}

BOOST_AUTO_TEST_CASE(stopping_runs_still_reserve_resources)
{
  Fleet fleet;
  auto& executor = fleet.Add("x", 4);
  PlacedRun run;
  run.mReserved = { 3000, 0, 0 };
  run.mState = RunState::Stopping;
  executor.mRuns[{ { JobId("k"), 0, 0, 0 }, 1 }] = run;
  BOOST_TEST(fleet.Choose(MakeStep(1, 2)) == "");
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "x");
}

// Guards against passes that cost more the more executors have come and gone.
BOOST_AUTO_TEST_CASE(an_executor_that_has_left_is_not_searched)
{
  Fleet fleet;
  auto& executor = fleet.Add("x", 4);
  auto candidates = MakeCandidates(fleet.mExecutors);
  BOOST_TEST(HasFree(candidates, ServiceName("s"), 1000));
  executor.mEntry.mState = ExecutorState::Gone;
  UpdateCandidate(candidates, executor);
  BOOST_TEST(!HasFree(candidates, ServiceName("s"), 1000));
  executor.mEntry.mState = ExecutorState::Ready;
  UpdateCandidate(candidates, executor);
  BOOST_TEST(HasFree(candidates, ServiceName("s"), 1000));
}

BOOST_AUTO_TEST_CASE(an_executor_with_a_run_of_unknown_size_gets_no_tasks)
{
  Fleet fleet;
  auto& executor = fleet.Add("x", 4);
  PlacedRun run;
  run.mIsForeign = true;
  executor.mRuns[{ { JobId("k"), 0, 0, 0 }, 1 }] = run;
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "");
}

BOOST_AUTO_TEST_CASE(draining_failing_or_unresponsive_executors_get_no_tasks)
{
  Fleet fleet;
  auto& executor = fleet.Add("x", 4);
  executor.mEntry.mState = ExecutorState::Draining;
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "");
  executor.mEntry.mState = ExecutorState::Ready;
  executor.mDrainReason = DrainReason::ForMove;
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "");
  executor.mDrainReason = DrainReason::None;
  executor.mUnansweredCalls = 1;
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "");
  executor.mUnansweredCalls = 0;
  StepName step{ JobId("0000000000000001"), 0, 0 };
  RecordFailure(executor, step, false, kNow);
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "x");
  RecordFailure(executor, step, false, kNow);
  RecordFailure(executor, step, false, kNow);
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "");
  RecordSuccess(executor);
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "x");
}

BOOST_AUTO_TEST_CASE(labels_racks_and_spreading_are_respected)
{
  Fleet fleet;
  fleet.Add("near", 8, "r1");
  fleet.Add("far", 4, "r2");
  auto step = MakeStep(1, 1);
  step.mPreferredRack = "r1";
  BOOST_TEST(fleet.Choose(step) == "near");
  step.mPreferredRack.clear();
  step.mRequiredLabel = "gpu";
  BOOST_TEST(fleet.Choose(step) == "");
  step.mRequiredLabel.clear();
  step.mMaxPerExecutor = 1;
  fleet.mExecutors.at(ExecutorId("far")).mRuns[{ { JobId("j"), 0, 0, 5 }, 1 }] = {};
  BOOST_TEST(fleet.Choose(step) == "near");
}

// Guards against a fault in a wave through a pool with long-running tasks: the tasks that had to
// move were placed on hosts that were still due for maintenance, and had to move again.
BOOST_AUTO_TEST_CASE(a_long_running_task_prefers_a_host_that_is_not_due_for_maintenance)
{
  Fleet fleet;
  fleet.Add("due", 4).mIsDueForMaintenance = true;
  fleet.Add("stays", 32);
  BOOST_TEST(fleet.Choose(MakeLongRunningStep(1, 1, 1)) == "stays");
  BOOST_TEST(fleet.Choose(MakeStep(1, 1)) == "due");
}

BOOST_AUTO_TEST_CASE(a_failed_task_is_retried_on_another_executor_first)
{
  Fleet fleet;
  fleet.Add("x", 4);
  fleet.Add("y", 32);
  Task task;
  task.mFailedOn = { ExecutorId("x") };
  BOOST_TEST(fleet.Choose(MakeStep(1, 1), task) == "y");
  task.mFailedOn = { ExecutorId("x"), ExecutorId("y") };
  BOOST_TEST(fleet.Choose(MakeStep(1, 1), task) == "x");
}

// Guards against late large jobs in a burst of small ones in the same pool: ordering by least work
// placed the large jobs last until they were late.
BOOST_AUTO_TEST_CASE(in_a_burst_the_job_with_the_least_slack_goes_first)
{
  auto make = [](const char* aName, int aTasks, Duration aAge) {
    JobDefinition definition;
    definition.mSteps = { MakeStep(aTasks, 2, 1000ms) };
    definition.mAcceptedAt = TimePoint(100s) - aAge;
    definition.mStretchPercent = 160;
    definition.mResponseGoal = 600ms;
    return MakeJob(JobId(aName), definition, nullptr);
  };
  auto large = make("large", 24, 800ms);
  auto small = make("small", 2, 100ms);
  auto late = make("late", 1, 5s);
  std::vector<ReadyStep> steps;
  for (auto* job : { &late, &small, &large }) {
    CollectReadySteps(*job, TimePoint(100s), steps);
  }
  SortReadySteps(steps);
  BOOST_REQUIRE(steps.size() == 3u);
  BOOST_TEST(steps[0].mJob->mId.mValue == "large");
  BOOST_TEST(steps[1].mJob->mId.mValue == "small");
  // Jobs that can no longer meet their objective go last.
  BOOST_TEST(steps[2].mJob->mId.mValue == "late");
}

BOOST_AUTO_TEST_SUITE_END()
