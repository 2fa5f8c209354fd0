#include "LibSchedule/Demand.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Now kNow{ Instant(100s), TimePoint(1000s) };

// A pool of ten hosts with ten cores each.
struct Pool
{
  ServiceName mName{ "previews" };
  Shard mShard = MakeShard(0, {}, Instant(0s));
  int mJobs = 0;

  Pool()
  {
    for (int i = 0; i < 10; ++i) {
      ExecutorId id("x" + std::to_string(i));
      auto& executor = mShard.mExecutors[id];
      executor.mEntry.mId = id;
      executor.mEntry.mService = mName;
      executor.mEntry.mCapacity = { 10'000, 64'000, 0 };
    }
  }

  // Adds a job with one task that takes ten cores for one second.
  Job& AddJob(Duration aAge)
  {
    JobDefinition definition;
    definition.mService = mName;
    definition.mSteps = { MakeStep(1, 10, 1000ms) };
    definition.mAcceptedAt = kNow.mWall - aAge;
    definition.mStretchPercent = 160;
    definition.mResponseGoal = 600ms;
    JobId id("j" + std::to_string(mJobs++));
    auto& job = mShard.mJobs.emplace(id, MakeJob(id, definition, nullptr)).first->second;
    job.mArrivedAt = kNow.mAt - aAge;
    return job;
  }

  int Wanted() { return EstimateDemand(mShard, mName, kNow).mWanted; }
};

}

BOOST_AUTO_TEST_SUITE(TheDemand)

BOOST_AUTO_TEST_CASE(a_pool_without_work_wants_one_host)
{
  BOOST_TEST(Pool().Wanted() == 1);
}

// At the start of a peak, arrivals grow while the pool still has free capacity. Moving a host takes
// seconds, so the demand has to rise before any task waits.
BOOST_AUTO_TEST_CASE(growing_arrivals_count_before_anything_waits)
{
  Pool steady;
  Pool growing;
  for (int i = 0; i < 4; ++i) {
    steady.AddJob(i < 2 ? 200ms : 700ms);
    growing.AddJob(i < 3 ? 200ms : 700ms);
  }
  for (auto* pool : { &steady, &growing }) {
    for (auto& [id, job] : pool->mShard.mJobs) {
      SetTaskState(job, { id, 0, 0, 0 }, TaskState::Placed);
    }
  }
  // Two jobs of ten core-seconds arrive in each half second, which makes four per second.
  BOOST_TEST(steady.Wanted() == 5);
  BOOST_TEST(growing.Wanted() > 2 * steady.Wanted());
}

// At the end of a peak, work that is late already must not hold hosts that the next pool needs.
BOOST_AUTO_TEST_CASE(late_work_wants_fewer_hosts_than_work_that_can_be_in_time)
{
  Pool late;
  Pool inTime;
  for (int i = 0; i < 6; ++i) {
    late.AddJob(5s);
    inTime.AddJob(1100ms);
  }
  BOOST_TEST(inTime.Wanted() == 8);
  BOOST_TEST(late.Wanted() == 3);
}

BOOST_AUTO_TEST_CASE(steps_that_cannot_start_yet_want_no_hosts)
{
  Pool pool;
  auto& job = pool.AddJob(1100ms);
  auto definition = job.mDefinition;
  definition.mSteps.push_back(After(MakeStep(8, 10, 1000ms), { 0 }));
  job = MakeJob(job.mId, definition, nullptr);
  BOOST_TEST(pool.Wanted() == 2);
}

// One long-running task fitted on none of the pool's hosts, which had enough cores, and waited for
// 16 s.
BOOST_AUTO_TEST_CASE(a_long_running_task_that_fits_nowhere_wants_one_more_host)
{
  Pool pool;
  JobDefinition definition;
  definition.mService = pool.mName;
  definition.mSteps = { MakeLongRunningStep(10, 1, 0) };
  pool.mShard.mJobs.emplace(JobId("l"), MakeJob(JobId("l"), definition, nullptr));
  BOOST_TEST(pool.Wanted() == 10);
  // The last placement pass found no place for some of the shard's tasks.
  pool.mShard.mHasUnplacedTasks = true;
  BOOST_TEST(pool.Wanted() == 11);
}

// A task that fits on no host at all must not draw all hosts into its pool.
BOOST_AUTO_TEST_CASE(long_running_tasks_want_no_more_than_a_host_each)
{
  Pool pool;
  JobDefinition definition;
  definition.mService = pool.mName;
  definition.mSteps = { MakeLongRunningStep(1, 1, 0) };
  pool.mShard.mJobs.emplace(JobId("l"), MakeJob(JobId("l"), definition, nullptr));
  pool.mShard.mHasUnplacedTasks = true;
  BOOST_TEST(pool.Wanted() == 2);
}

// Guards against suspects that still wait at the end of the day (LOST): tasks that had to run alone
// asked for a few cores, so that their pool kept a few hosts.
BOOST_AUTO_TEST_CASE(tasks_that_run_alone_ask_for_hosts_of_their_own)
{
  Pool pool;
  for (int i = 0; i < 6; ++i) {
    auto& job = pool.AddJob(0ms);
    job.mDefinition.mSteps[0].mNeeds.mCpuMillicores = 1000;
  }
  auto wanted = pool.Wanted();
  for (auto& [id, job] : pool.mShard.mJobs) {
    AddCrash(job, { id, 0, 0, 0 });
    AddCrash(job, { id, 0, 0, 0 });
  }
  BOOST_TEST(pool.Wanted() > wanted);
}

BOOST_AUTO_TEST_SUITE_END()
