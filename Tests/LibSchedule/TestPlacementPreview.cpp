#include "LibSchedule/PlacementPreview.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Instant kNow = Instant(100s);
constexpr TimePoint kWall = TimePoint(5000s);

Now
AtNow()
{
  return { kNow, kWall };
}

struct Owner
{
  Shard mShard = MakeShard(0, {}, kNow);

  Owner()
  {
    mShard.mPhase = ShardPhase::Active;
    mShard.mConfirmedAt = kNow;
    mShard.mJobsCurrentAsOf = kNow;
  }

  Executor& AddExecutor(const std::string& aName, int aCores)
  {
    Executor executor;
    executor.mEntry.mId = ExecutorId(aName);
    executor.mEntry.mService = ServiceName("s");
    executor.mEntry.mCapacity = { std::int64_t(aCores) * 1000, 10000, 0 };
    executor.mHasAnsweredHeartbeat = true;
    return mShard.mExecutors.emplace(executor.mEntry.mId, executor).first->second;
  }

  JobPreview Preview(std::vector<Step> aSteps) const
  {
    JobDefinition definition;
    definition.mService = ServiceName("s");
    definition.mSteps = std::move(aSteps);
    definition.mResponseGoal = 1s;
    return PreviewJob(mShard, AtNow(), definition);
  }
};

}

BOOST_FIXTURE_TEST_SUITE(ThePlacementPreview, Owner)

BOOST_AUTO_TEST_CASE(tells_where_tasks_would_start_and_changes_nothing)
{
  AddExecutor("a", 4);
  AddExecutor("b", 4);
  auto preview = Preview({ MakeStep(3, 2), After(MakeStep(1, 1), { 0 }) });
  BOOST_TEST(preview.mMayStart);
  BOOST_TEST(preview.mIsInTime);
  BOOST_REQUIRE(preview.mSteps.size() == 2u);
  BOOST_TEST(preview.mSteps[0].mPlaced.at(ExecutorId("a")) == 2);
  BOOST_TEST(preview.mSteps[0].mPlaced.at(ExecutorId("b")) == 1);
  BOOST_TEST(!preview.mSteps[1].mIsReady);
  BOOST_TEST(mShard.mJobs.empty());
  BOOST_TEST(mShard.mRunsToRecord.empty());
  for (const auto& [id, executor] : mShard.mExecutors) {
    BOOST_TEST(executor.mRuns.empty());
  }
}

BOOST_AUTO_TEST_CASE(tells_why_executors_are_left_out)
{
  AddExecutor("small", 1);
  AddExecutor("draining", 8).mDrainReason = DrainReason::ForMove;
  AddExecutor("silent", 8).mUnansweredCalls = 1;
  AddExecutor("failing", 8).mProcess.mBackOffUntil = kNow + 1s;
  AddExecutor("other", 8).mEntry.mService = ServiceName("t");
  auto step = Preview({ MakeStep(1, 2) }).mSteps.at(0);
  BOOST_TEST(step.mPlaced.empty());
  BOOST_TEST(step.mWaiting == 1);
  std::map<PlacementObstacle, int> expected{ { PlacementObstacle::Draining, 1 },
                                             { PlacementObstacle::Unresponsive, 1 },
                                             { PlacementObstacle::BackingOff, 1 },
                                             { PlacementObstacle::NoRoom, 1 } };
  BOOST_TEST((step.mObstacles == expected));
}

BOOST_AUTO_TEST_CASE(an_executor_reserved_for_suspects_that_no_longer_wait_is_used)
{
  AddExecutor("kept", 8).mIsReservedForSuspects = true;
  auto step = Preview({ MakeStep(1, 2) }).mSteps.at(0);
  BOOST_TEST(step.mPlaced.at(ExecutorId("kept")) == 1);
}

BOOST_AUTO_TEST_CASE(jobs_ahead_in_the_order_get_their_place_first)
{
  AddExecutor("a", 2);
  JobDefinition earlier;
  earlier.mService = ServiceName("s");
  earlier.mSteps = { MakeStep(1, 2) };
  earlier.mAcceptedAt = kWall - 500ms;
  earlier.mResponseGoal = 1s;
  mShard.mJobs.emplace(JobId("1"), MakeJob(JobId("1"), earlier, nullptr));
  auto preview = Preview({ MakeStep(1, 2) });
  BOOST_TEST(preview.mWaitingBefore == 1);
  BOOST_TEST(preview.mWaitingAfter == 0);
  BOOST_TEST(preview.mSteps.at(0).mPlaced.empty());
}

BOOST_AUTO_TEST_CASE(a_task_beyond_the_quota_of_its_tenant_is_held_back)
{
  AddExecutor("a", 8);
  auto& use = mShard.mUsage.mTenants[TenantName("t1")];
  use.mQuota = Resources{ 4000, 0, 0 };
  use.mLimit = Resources{ 2000, 0, 0 };
  JobDefinition definition;
  definition.mService = ServiceName("s");
  definition.mTenant = TenantName("t1");
  definition.mSteps = { MakeStep(2, 2) };
  auto step = PreviewJob(mShard, AtNow(), definition).mSteps.at(0);
  BOOST_TEST(step.mPlaced.at(ExecutorId("a")) == 1);
  BOOST_TEST(step.mWaiting == 1);
  BOOST_TEST(step.mIsHeldByQuota);
  BOOST_TEST((mShard.mUsage.mTenants.at(TenantName("t1")).mRunning == Resources()));
}

BOOST_AUTO_TEST_CASE(an_owner_that_may_not_start_places_nothing)
{
  AddExecutor("a", 2);
  mShard.mConfirmedAt = kNow - 60s;
  auto preview = Preview({ MakeStep(1, 2) });
  BOOST_TEST(!preview.mMayStart);
  BOOST_TEST(preview.mSteps.at(0).mWaiting == 1);
}

BOOST_AUTO_TEST_SUITE_END()
