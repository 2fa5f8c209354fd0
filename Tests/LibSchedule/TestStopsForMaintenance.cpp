#include "FleetOwner.h"
#include "LibSchedule/ExecutorDrain.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

// A step of two long-running tasks at work, one of which may be unavailable. The host of the first
// is about to go down.
struct OwnerOfTwoTasks : FleetOwner
{
  OwnerOfTwoTasks()
  {
    auto pool = AddPool("previews");
    JobDefinition definition;
    definition.mService = pool;
    definition.mSteps = { MakeLongRunningStep(2, 1, 1) };
    auto& shard = mShards.begin()->second;
    auto& job =
      shard.mJobs.emplace(JobId("j"), MakeJob(JobId("j"), definition, nullptr)).first->second;
    for (int index = 0; index < 2; ++index) {
      TaskId name{ job.mId, 0, 0, index };
      auto& executor = AddHost("m" + std::to_string(index), pool);
      auto run = schedule::detail::MakeRun({}, definition.mSteps[0], RunState::Running, kNow.mAt);
      run.mPercent = 100;
      executor.mRuns[{ name, 1 }] = run;
      executor.mHeartbeatAnsweredAt = kNow.mAt;
      FindTask(job, name)->mAttempts.push_back({ executor.mEntry.mId, 1 });
      SetTaskState(job, name, TaskState::Placed);
    }
    Leaving().mDrainReason = DrainReason::ForMaintenance;
  }

  Executor& Leaving() { return mShards.begin()->second.mExecutors.at(ExecutorId("x-m0")); }
  Executor& Other() { return mShards.begin()->second.mExecutors.at(ExecutorId("x-m1")); }

  // Whether the task of the leaving host is to be stopped.
  bool IsStopped(Instant aNow)
  {
    schedule::detail::StopLongRunningTasks(mShards.begin()->second, Leaving(), aNow);
    return Leaving().mRuns.begin()->second.mStopRequested;
  }
};

}

BOOST_AUTO_TEST_SUITE(TheFleet)

// A task that the former owner had stopped was still listed as running, and the new owner stopped
// another task of the same step.
BOOST_AUTO_TEST_CASE(a_new_owner_waits_for_the_stops_of_the_former_one)
{
  OwnerOfTwoTasks owner;
  owner.mShards.begin()->second.mTakenOverAt = kNow.mAt - 500ms;
  BOOST_TEST(!owner.IsStopped(kNow.mAt));
  BOOST_TEST(owner.IsStopped(kNow.mAt + 2s));
}

// Guards against a stop while another task of the step is unavailable, which the owner has
// not heard of because answers are late.
BOOST_AUTO_TEST_CASE(no_task_is_stopped_on_old_knowledge_of_the_others)
{
  OwnerOfTwoTasks owner;
  owner.mShards.begin()->second.mTakenOverAt = kNow.mAt - 10s;
  owner.Other().mHeartbeatAnsweredAt = kNow.mAt - 3100ms;
  BOOST_TEST(!owner.IsStopped(kNow.mAt));
  owner.Other().mHeartbeatAnsweredAt = kNow.mAt - 100ms;
  BOOST_TEST(owner.IsStopped(kNow.mAt));
}

// Guards against a stop that was not answered and is repeated once another task of the step is
// unavailable.
BOOST_AUTO_TEST_CASE(a_stop_is_not_repeated_while_another_task_is_unavailable)
{
  OwnerOfTwoTasks owner;
  auto& shard = owner.mShards.begin()->second;
  shard.mTakenOverAt = kNow.mAt - 10s;
  BOOST_TEST(owner.IsStopped(kNow.mAt));
  const auto& [name, run] = *owner.Leaving().mRuns.begin();
  BOOST_TEST(schedule::detail::MaySendStop(shard, owner.Leaving(), name, run, kNow.mAt));
  owner.Other().mRuns.begin()->second.mPercent = 0;
  BOOST_TEST(!schedule::detail::MaySendStop(shard, owner.Leaving(), name, run, kNow.mAt));
  owner.Other().mRuns.begin()->second.mPercent = 100;
  owner.Other().mUnansweredCalls = 1;
  BOOST_TEST(!schedule::detail::MaySendStop(shard, owner.Leaving(), name, run, kNow.mAt));
}

BOOST_AUTO_TEST_SUITE_END()
