#include "LibSchedule/ExecutorBackOff.h"
#include "LibStandIn/Simulation.h"
#include "Steps.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Instant kNow = Instant(100s);
constexpr int kExecutors = 9;

StepName
MakeStepName(int aNumber)
{
  return { JobId("000000000000000" + std::to_string(aNumber)), 0, 0 };
}

bool
IsPutOff(const Executor& aExecutor)
{
  return aExecutor.mProcess.mBackOffUntil > kNow;
}

bool
IsRunning(const Simulation& aSimulation, const JobId& aJob)
{
  return std::any_of(
    aSimulation.mExecutors.begin(), aSimulation.mExecutors.end(), [&](const FakeExecutor& aEntry) {
      auto first = aEntry.mRuns.lower_bound({ { aJob, 0, 0, 0 }, 0 });
      return first != aEntry.mRuns.end() && first->first.mTask.mJob == aJob;
    });
}

// Whether a task that lasts starts at once beside jobs of which every run fails.
bool
StartsBeside(int aJobs, int aTasks)
{
  Simulation simulation({ .mExecutors = kExecutors });
  simulation.RunFor(1s);
  for (int i = 0; i < aJobs; ++i) {
    simulation.Submit(i % 3, { MakeStep(aTasks, 1) }, "fails");
  }
  simulation.RunFor(1s);
  auto lasting = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  simulation.RunFor(2s);
  return IsRunning(simulation, lasting);
}

}

BOOST_AUTO_TEST_SUITE(TheBackOff)

// Guards against a task that lasts and is away for long (LOST): one job that can't
// be done had put all executors of the pool off.
BOOST_AUTO_TEST_CASE(a_job_that_fails_everywhere_keeps_no_executor_from_other_work)
{
  BOOST_TEST(StartsBeside(1, 24));
}

BOOST_AUTO_TEST_CASE(several_jobs_that_fail_everywhere_keep_no_executor_from_other_work)
{
  BOOST_TEST(StartsBeside(4, 8));
}

// Each fails on one executor before it is known to fail on others too.
BOOST_AUTO_TEST_CASE(many_small_jobs_that_fail_everywhere_do_not_put_all_executors_off)
{
  BOOST_TEST(StartsBeside(60, 1));
}

// The opposite error: executors that fail whatever they get eat tasks.
BOOST_AUTO_TEST_CASE(executors_that_fail_the_tasks_of_sound_jobs_are_put_off)
{
  constexpr int kJobs = 80;
  for (auto sick : { 1, 2, 3 }) {
    Simulation simulation({ .mExecutors = kExecutors });
    for (int i = 0; i < sick; ++i) {
      simulation.mExecutors[static_cast<std::size_t>(i)].mIsSick = true;
    }
    simulation.RunFor(1s);
    std::vector<JobId> jobs;
    for (int i = 0; i < kJobs; ++i) {
      jobs.push_back(simulation.Submit(i % 3, { MakeStep(4, 1) }, "200"));
      simulation.RunFor(100ms);
    }
    simulation.RunFor(3s);
    int runs = 0;
    for (const auto& job : jobs) {
      runs += simulation.CountRuns(job);
    }
    auto eaten = runs - 4 * kJobs;
    BOOST_TEST_MESSAGE(sick << " sick executors have failed " << eaten << " runs");
    // The first three on each, and one or two each time that it is tried again in 8 s.
    BOOST_TEST(eaten <= 20 * sick);
    BOOST_TEST(simulation.AllEnded());
  }
}

BOOST_AUTO_TEST_CASE(failures_count_until_the_step_fails_elsewhere_and_again_once_it_succeeds)
{
  Executor executor;
  auto step = MakeStepName(1);
  for (int i = 0; i < 3; ++i) {
    RecordFailure(executor, step, false, kNow);
  }
  BOOST_TEST(IsPutOff(executor));
  SetStepAtFault(executor, step, true);
  BOOST_TEST(!IsPutOff(executor));
  RecordFailure(executor, MakeStepName(2), false, kNow);
  BOOST_TEST(!IsPutOff(executor));
  SetStepAtFault(executor, step, false);
  BOOST_TEST(IsPutOff(executor));
  BOOST_TEST(CountFailures(executor) == 4);
  RecordSuccess(executor);
  BOOST_TEST(!IsPutOff(executor));
}

BOOST_AUTO_TEST_CASE(
  a_step_is_at_fault_once_it_has_failed_on_several_executors_and_succeeded_on_none)
{
  Executors executors;
  for (const auto* id : { "x1", "x2", "x3", "x4", "x5" }) {
    executors[ExecutorId(id)].mEntry.mState = ExecutorState::Ready;
  }
  StepOutcomes outcomes;
  outcomes.mFailedOn = { ExecutorId("x1") };
  BOOST_TEST(!IsAtFault(outcomes, executors));
  outcomes.mFailedOn.emplace_back("x2");
  BOOST_TEST(IsAtFault(outcomes, executors));
  // These two fail everything.
  for (const auto& id : outcomes.mFailedOn) {
    for (int number = 1; number <= 3; ++number) {
      RecordFailure(executors.at(id), MakeStepName(number), false, kNow);
    }
  }
  BOOST_TEST(!IsAtFault(outcomes, executors));
  // So that one also fails where other steps succeed.
  outcomes.mFailedOn.emplace_back("x3");
  BOOST_TEST(IsAtFault(outcomes, executors));
  outcomes.mHasSucceeded = true;
  BOOST_TEST(!IsAtFault(outcomes, executors));
}

BOOST_AUTO_TEST_CASE(no_more_than_half_of_a_pool_is_put_off)
{
  Executors executors;
  for (const auto* id : { "x1", "x2", "x3", "x4" }) {
    executors[ExecutorId(id)].mEntry.mState = ExecutorState::Ready;
  }
  int putOff = 0;
  for (auto& [id, executor] : executors) {
    for (int i = 0; i < 3; ++i) {
      RecordFailure(executor, MakeStepName(1), false, kNow);
    }
    LimitBackOff(executors, executor, kNow);
  }
  for (const auto& [id, executor] : executors) {
    putOff += IsPutOff(executor) ? 1 : 0;
  }
  BOOST_TEST(putOff == 2);
}

BOOST_AUTO_TEST_CASE(refused_starts_always_speak_against_the_executor)
{
  Executor executor;
  RecordRefusal(executor, kNow);
  BOOST_TEST(IsPutOff(executor));
  BOOST_TEST(CountFailures(executor) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
