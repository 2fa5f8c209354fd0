#include "LibSchedule/Job.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

JobDefinition
Define(std::vector<Step> aSteps)
{
  JobDefinition job;
  job.mSteps = std::move(aSteps);
  job.mAcceptedAt = TimePoint(1s);
  job.mAttempts = 3;
  job.mStretchPercent = 160;
  job.mResponseGoal = 600ms;
  return job;
}

}

BOOST_AUTO_TEST_SUITE(TheJob)

BOOST_AUTO_TEST_CASE(steps_wait_for_the_steps_they_depend_on)
{
  auto job = MakeJob(JobId("a"), Define({ MakeStep(2, 1), After(MakeStep(1, 1), { 0 }) }), nullptr);
  BOOST_TEST(IsReady(job, 0, 0, TimePoint(1s)));
  BOOST_TEST(!IsReady(job, 0, 1, TimePoint(1s)));
  SetTaskState(job, { job.mId, 0, 0, 0 }, TaskState::Done);
  BOOST_TEST(!IsReady(job, 0, 1, TimePoint(1s)));
  SetTaskState(job, { job.mId, 0, 0, 1 }, TaskState::Done);
  BOOST_TEST(IsReady(job, 0, 1, TimePoint(1s)));
  BOOST_TEST(!AllDone(job));
  SetTaskState(job, { job.mId, 0, 1, 0 }, TaskState::Done);
  BOOST_TEST(AllDone(job));
}

BOOST_AUTO_TEST_CASE(occurrences_wait_until_they_are_due)
{
  auto definition = Define({ MakeStep(1, 1) });
  definition.mRunCount = 2;
  definition.mStartTime = TimePoint(10s);
  definition.mInterval = 5s;
  auto job = MakeJob(JobId("a"), definition, nullptr);
  BOOST_TEST(!IsReady(job, 0, 0, TimePoint(9s)));
  BOOST_TEST(IsReady(job, 0, 0, TimePoint(10s)));
  BOOST_TEST(!IsReady(job, 1, 0, TimePoint(14s)));
  BOOST_TEST(IsReady(job, 1, 0, TimePoint(15s)));
}

BOOST_AUTO_TEST_CASE(the_completion_objective_follows_the_critical_path)
{
  auto job = MakeJob(
    JobId("a"),
    Define(
      { MakeStep(1, 1, 1000ms), MakeStep(1, 1, 100ms), After(MakeStep(1, 1, 500ms), { 0, 1 }) }),
    nullptr);
  BOOST_TEST((job.mCriticalPaths[0] == 1500ms));
  BOOST_TEST((job.mCriticalPaths[1] == 600ms));
  BOOST_TEST((CompletionObjective(job, 0) == TimePoint(1s) + 2400ms + 600ms));
}

BOOST_AUTO_TEST_CASE(progress_is_restored_as_it_was_written)
{
  auto definition = Define({ MakeStep(2, 1), After(MakeStep(3, 1), { 0 }) });
  auto job = MakeJob(JobId("a"), definition, nullptr);
  SetTaskState(job, { job.mId, 0, 0, 0 }, TaskState::Done);
  SetTaskState(job, { job.mId, 0, 0, 1 }, TaskState::Done);
  SetTaskState(job, { job.mId, 0, 1, 2 }, TaskState::Done);
  auto* placed = FindTask(job, { job.mId, 0, 1, 0 });
  placed->mHighestRun = 4;
  placed->mFailedRuns = { 1, 3 };
  placed->mCheckpoint = { "c", 1 };
  placed->mAttempts.push_back({ ExecutorId("x"), 4 });
  SetTaskState(job, { job.mId, 0, 1, 0 }, TaskState::Placed);
  job.mPhase = JobPhase::Running;

  auto progress = DecodeProgress(EncodeProgress(ProgressOf(job)));
  BOOST_REQUIRE(progress.ok());
  auto again = MakeJob(job.mId, definition, &*progress);
  BOOST_TEST(again.mOccurrences[0].mSteps[0].mDone == 2);
  BOOST_TEST(again.mOccurrences[0].mSteps[1].mDone == 1);
  BOOST_TEST(again.mOccurrences[0].mSteps[1].mWaiting == 1);
  const auto* task = FindTask(again, { job.mId, 0, 1, 0 });
  BOOST_TEST(task->mHighestRun == 4);
  BOOST_TEST(task->mFailedRuns.size() == 2u);
  BOOST_TEST(task->mCheckpoint.mValue == "c");
  BOOST_REQUIRE(task->mAttempts.size() == 1u);
  BOOST_TEST(task->mAttempts[0].mExecutor.mValue == "x");
}

BOOST_AUTO_TEST_CASE(progress_rows_that_match_no_task_are_ignored)
{
  JobProgress progress;
  progress.mTasks.push_back({ 0, 7, 0, 1, {}, {}, true, {} });
  progress.mFinishedSteps.push_back({ 3, 0 });
  auto job = MakeJob(JobId("a"), Define({ MakeStep(1, 1) }), &progress);
  BOOST_TEST(!AllDone(job));
}

BOOST_AUTO_TEST_CASE(invalid_definitions_are_rejected)
{
  BOOST_TEST(ValidationError(Define({ MakeStep(1, 1) })).empty());
  BOOST_TEST(!ValidationError(Define({})).empty());
  BOOST_TEST(!ValidationError(Define({ MakeStep(0, 1) })).empty());
  BOOST_TEST(!ValidationError(Define({ After(MakeStep(1, 1), { 0 }) })).empty());
  BOOST_TEST(!ValidationError(Define({ MakeStep(1, 1), After(MakeStep(1, 1), { 2 }) })).empty());
  BOOST_TEST(!ValidationError(Define({ MakeStep(5000, 1) })).empty());
  auto large = Define({ MakeStep(1, 1) });
  large.mSpec = std::string(4001, 'x');
  BOOST_TEST(!ValidationError(large).empty());
}

BOOST_AUTO_TEST_SUITE_END()
