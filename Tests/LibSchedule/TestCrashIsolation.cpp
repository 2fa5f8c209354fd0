#include "LibSchedule/CrashIsolation.h"

#include "LibSchedule/CrashEvidence.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Instant kNow(100s);
const ServiceName kPool("studio");

Executor&
AddExecutor(std::map<ExecutorId, Executor>& aExecutors, const std::string& aId, int aCores)
{
  auto& executor = aExecutors[ExecutorId(aId)];
  executor.mEntry.mId = ExecutorId(aId);
  executor.mEntry.mService = kPool;
  executor.mHasAnsweredHeartbeat = true;
  PlacedRun run;
  run.mReserved = { aCores * 1000, 0, 0 };
  executor.mRuns[{ { JobId(aId), 0, 0, 0 }, 1 }] = run;
  return executor;
}

int
CountReserved(const std::map<ExecutorId, Executor>& aExecutors)
{
  int count = 0;
  for (const auto& [id, executor] : aExecutors) {
    count += executor.mIsReservedForSuspects ? 1 : 0;
  }
  return count;
}

}

BOOST_AUTO_TEST_SUITE(TheIsolationOfSuspects)

BOOST_AUTO_TEST_CASE(a_crash_is_told_from_a_lapse_and_from_an_executor_that_leaves)
{
  Executor executor;
  executor.mProcess.mIncarnation = 7;
  PlacedRun run;
  run.mState = RunState::Running;
  run.mIncarnation = 7;
  // The executor is still listed: it was cut off, and the lease ended.
  BOOST_TEST(!HasCrashedUnder(executor, run));
  executor.mEntry.mState = ExecutorState::Gone;
  BOOST_TEST(HasCrashedUnder(executor, run));
  executor.mHasAnnouncedLeave = true;
  BOOST_TEST(!HasCrashedUnder(executor, run));
  executor.mHasAnnouncedLeave = false;
  executor.mDrainReason = DrainReason::ForMove;
  BOOST_TEST(!HasCrashedUnder(executor, run));
  executor.mDrainReason = DrainReason::None;
  executor.mEntry.mState = ExecutorState::Ready;
  executor.mProcess.mIncarnation = 8;
  BOOST_TEST(HasCrashedUnder(executor, run));
  run.mState = RunState::Recording;
  BOOST_TEST(!HasCrashedUnder(executor, run));
}

BOOST_AUTO_TEST_CASE(suspects_run_among_themselves_and_then_alone)
{
  Task task;
  auto step = MakeStep(1, 1);
  auto lasting = MakeLongRunningStep(1, 1, 0);
  BOOST_TEST((IsolationOf(step, task) == Isolation::None));
  task.mCrashes = 1;
  BOOST_TEST((IsolationOf(step, task) == Isolation::AmongSuspects));
  BOOST_TEST((IsolationOf(lasting, task) == Isolation::None));
  task.mCrashes = 2;
  BOOST_TEST((IsolationOf(step, task) == Isolation::Alone));
  BOOST_TEST((IsolationOf(lasting, task) == Isolation::Alone));
}

BOOST_AUTO_TEST_CASE(nothing_joins_a_run_that_is_alone_and_suspects_join_no_other_work)
{
  Occupants occupants;
  BOOST_TEST(MayJoin(occupants, Isolation::Alone, false));
  AddOccupant(occupants, Isolation::Alone, false);
  BOOST_TEST(!MayJoin(occupants, Isolation::None, false));
  BOOST_TEST(!MayJoin(occupants, Isolation::None, true));
  BOOST_TEST(!MayJoin(occupants, Isolation::AmongSuspects, false));
  BOOST_TEST(!MayJoin(occupants, Isolation::Alone, false));
  RemoveOccupant(occupants, Isolation::Alone, false);
  AddOccupant(occupants, Isolation::None, false);
  BOOST_TEST(MayJoin(occupants, Isolation::None, false));
  BOOST_TEST(!MayJoin(occupants, Isolation::AmongSuspects, false));
  BOOST_TEST(!MayJoin(occupants, Isolation::Alone, false));
  RemoveOccupant(occupants, Isolation::None, false);
  AddOccupant(occupants, Isolation::AmongSuspects, false);
  BOOST_TEST(!MayJoin(occupants, Isolation::None, false));
  BOOST_TEST(MayJoin(occupants, Isolation::AmongSuspects, false));
  BOOST_TEST(!MayJoin(occupants, Isolation::Alone, false));
}

// Guards against a task that is started again and again because no end under it proves anything
// (BUDGET), and against sound jobs that are given up for three ends of that kind (LOST).
BOOST_AUTO_TEST_CASE(a_task_is_given_up_after_three_ends_that_prove_it_or_after_five)
{
  auto step = MakeStep(1, 1);
  auto lasting = MakeLongRunningStep(1, 1, 0);
  for (int crashes = 0; crashes < 8; ++crashes) {
    Task task;
    task.mCrashes = crashes;
    BOOST_TEST(IsToBeGivenUp(step, task, { true, 1 }) == (crashes >= 5));
    task.mCoincidence = 0.0001;
    BOOST_TEST(IsToBeGivenUp(step, task, { true, 0.01 }) == (crashes >= 3));
    BOOST_TEST(!IsToBeGivenUp(lasting, task, { true, 0.01 }));
  }
}

// Guards against suspects that wait for ever in a full pool, and against a pool that works for
// suspects only.
BOOST_AUTO_TEST_CASE(a_part_of_the_pool_is_reserved_while_suspects_wait)
{
  std::map<ExecutorId, Executor> executors;
  for (int i = 0; i < 8; ++i) {
    AddExecutor(executors, "x" + std::to_string(i), 9 - i);
  }
  executors.at(ExecutorId("x7")).mRuns.begin()->second.mIsLongRunning = true;
  ReserveForSuspects(executors, kPool, { 4, 0 }, kNow);
  BOOST_TEST(CountReserved(executors) == 1);
  // The least work, without a run that lasts.
  BOOST_TEST(executors.at(ExecutorId("x6")).mIsReservedForSuspects);
  ReserveForSuspects(executors, kPool, { 100, 100 }, kNow);
  BOOST_TEST(CountReserved(executors) == 2);
  BOOST_TEST(executors.at(ExecutorId("x6")).mIsReservedForSuspects);
  ReserveForSuspects(executors, kPool, {}, kNow);
  BOOST_TEST(CountReserved(executors) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
