#include "Actions.h"
#include "LibSchedule/Shard.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Now kNow{ Instant(100s), TimePoint(1000s) };

// An owner whose only executor has room for four of six tasks.
Shard
MakeBusyShard(std::chrono::milliseconds aResponseGoal)
{
  auto shard = MakeShard(3, {}, kNow.mAt);
  shard.mPhase = ShardPhase::Active;
  auto& executor = shard.mExecutors[ExecutorId("x1")];
  executor.mEntry.mCapacity = { 4000, 8000, 0 };
  executor.mHasAnsweredHeartbeat = true;
  JobDefinition definition;
  definition.mSteps = { MakeStep(6, 1) };
  definition.mAcceptedAt = kNow.mWall - 2s;
  definition.mResponseGoal = aResponseGoal;
  JobId id("0000000000000001");
  auto& job = shard.mJobs.emplace(id, MakeJob(id, definition, nullptr)).first->second;
  job.mArrivedAt = kNow.mAt - 2s;
  return shard;
}

}

BOOST_AUTO_TEST_SUITE(TheLoadOfAShard)

// Guards against a peak in which nobody can tell from the log whether tasks wait for room, for
// their owner, or behind work that is late already.
BOOST_AUTO_TEST_CASE(waiting_work_is_told_from_free_room_and_from_late_work)
{
  auto shard = MakeBusyShard(10s);
  auto load = MeasureLoad(shard, kNow);
  BOOST_TEST(load.mWaitingTasks == 6);
  BOOST_TEST(load.mInTimeTasks == 6);
  BOOST_TEST(load.mWaitingMillicores == 6000);
  BOOST_TEST(load.mFreeMillicores == 4000);
  BOOST_TEST(load.mExecutors == 1);
  BOOST_TEST(load.mOldestWait->count() == 2000);
  auto late = MakeBusyShard(1s);
  BOOST_TEST(MeasureLoad(late, kNow).mInTimeTasks == 0);
}

BOOST_AUTO_TEST_CASE(the_load_is_logged_once_an_interval_and_only_while_tasks_wait)
{
  auto shard = MakeBusyShard(10s);
  Actions actions;
  ReportLoad(shard, kNow, actions);
  ReportLoad(shard, { kNow.mAt + 900ms, kNow.mWall }, actions);
  auto entries = Select<LogEntry>(actions);
  BOOST_REQUIRE(entries.size() == 1u);
  BOOST_TEST(entries[0].mOutcome == "6 tasks wait for 6 cores, 6 of them in time; 4 cores are free "
                                    "on 1 executors");
  shard.mJobs.clear();
  ReportLoad(shard, { kNow.mAt + 2s, kNow.mWall }, actions);
  BOOST_TEST(Select<LogEntry>(actions).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
