#include "LibSchedule/InTimeSelection.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr TimePoint kNow(1000s);

// A job of one step that needs aNeeds of the pool for a second.
std::size_t
AddJob(PoolBacklog& aContest, double aNeeds, Duration aLeft, std::size_t aTenant = 0)
{
  WaitingJob job;
  job.mTenant = aTenant;
  job.mWork = aNeeds;
  aContest.mJobs.push_back(job);
  auto index = aContest.mJobs.size() - 1;
  aContest.mSteps.push_back({ index, kNow + aLeft, { aNeeds, 0, 0 }, 1s });
  return index;
}

PoolBacklog
MakeContest(std::size_t aTenants = 1)
{
  PoolBacklog contest;
  contest.mTenants.resize(aTenants);
  return contest;
}

PoolBacklog
DrawContest(std::size_t aTenants)
{
  auto contest = MakeContest(aTenants);
  contest.mFree[0] = *rc::gen::inRange(0, 100) / 100.0;
  auto count = *rc::gen::inRange(1, 60);
  for (int i = 0; i < count; ++i) {
    auto job = AddJob(contest,
                      *rc::gen::inRange(1, 50) / 100.0,
                      std::chrono::milliseconds(*rc::gen::inRange(0, 3000)),
                      *rc::gen::inRange<std::size_t>(0, aTenants));
    contest.mJobs[job].mIsBeyondWeight = *rc::gen::arbitrary<bool>();
    contest.mJobs[job].mIsLarge = contest.mJobs[job].mWork > 0.4;
  }
  return contest;
}

// The contest among those that stay.
PoolBacklog
Staying(const PoolBacklog& aContest, const std::vector<bool>& aYields)
{
  auto left = aContest;
  std::erase_if(left.mSteps, [&](const auto& aStep) { return aYields[aStep.mJob]; });
  return left;
}

}

BOOST_AUTO_TEST_SUITE(TheInTimeSelection)

BOOST_AUTO_TEST_CASE(nobody_yields_where_all_can_start_in_time)
{
  auto contest = MakeContest();
  contest.mFree[0] = 0.5;
  AddJob(contest, 0.5, 0ms);
  AddJob(contest, 0.4, 600ms);
  BOOST_TEST(SelectYieldingJobs(contest, kNow) == std::vector<bool>({ false, false }),
             boost::test_tools::per_element());
}

// One after the other, all but the first would start a little late.
BOOST_AUTO_TEST_CASE(the_largest_yields_so_that_the_others_are_in_time)
{
  auto contest = MakeContest();
  AddJob(contest, 0.2, 250ms);
  AddJob(contest, 0.6, 300ms);
  AddJob(contest, 0.1, 360ms);
  BOOST_TEST(SelectYieldingJobs(contest, kNow) == std::vector<bool>({ false, true, false }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(what_is_beyond_a_weight_yields_before_larger_jobs_and_lower_priorities)
{
  auto contest = MakeContest();
  AddJob(contest, 0.4, 500ms);
  contest.mJobs.back().mPriority = 1;
  AddJob(contest, 0.2, 500ms);
  contest.mJobs.back().mIsBeyondWeight = true;
  BOOST_TEST(SelectYieldingJobs(contest, kNow) == std::vector<bool>({ false, true }),
             boost::test_tools::per_element());
  AddJob(contest, 0.3, 500ms);
  BOOST_TEST(SelectYieldingJobs(contest, kNow) == std::vector<bool>({ true, true, false }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_tenant_with_the_largest_share_yields)
{
  auto contest = MakeContest(2);
  contest.mTenants[1].mServedShare = 2.0;
  AddJob(contest, 0.3, 500ms, 0);
  AddJob(contest, 0.2, 500ms, 1);
  BOOST_TEST(SelectYieldingJobs(contest, kNow) == std::vector<bool>({ false, true }),
             boost::test_tools::per_element());
  contest.mTenants[1].mServedShare = 0;
  contest.mTenants[0].mWeight = 0.5;
  BOOST_TEST(SelectYieldingJobs(contest, kNow) == std::vector<bool>({ true, false }),
             boost::test_tools::per_element());
}

// Among jobs that are due at the same time, large ones stay half as often as others at least.
BOOST_AUTO_TEST_CASE(large_jobs_are_not_shut_out)
{
  auto contest = MakeContest();
  for (int i = 0; i < 10; ++i) {
    AddJob(contest, 0.1, 1000ms);
    contest.mJobs[AddJob(contest, 0.2, 1000ms)].mIsLarge = true;
  }
  auto yields = SelectYieldingJobs(contest, kNow);
  int small = 0;
  int large = 0;
  for (std::size_t i = 0; i < yields.size(); ++i) {
    (contest.mJobs[i].mIsLarge ? large : small) += yields[i] ? 0 : 1;
  }
  BOOST_TEST(small > 0);
  BOOST_TEST(large * 2 >= small);
}

BOOST_AUTO_TEST_CASE(those_that_stay_need_nobody_else_to_yield)
{
  BOOST_TEST(rc::check([] {
    auto contest = DrawContest(3);
    auto yields = SelectYieldingJobs(contest, kNow);
    auto again = SelectYieldingJobs(Staying(contest, yields), kNow);
    RC_ASSERT(std::count(again.begin(), again.end(), true) == 0);
  }));
}

// What a tenant sends beyond its weight harms nobody.
BOOST_AUTO_TEST_CASE(jobs_beyond_a_weight_change_nothing_for_those_that_are_owed)
{
  BOOST_TEST(rc::check([] {
    // Of one tenant: shares that are equal may differ by a rounding.
    auto contest = DrawContest(1);
    std::vector<bool> isBeyond;
    for (auto& job : contest.mJobs) {
      job.mIsLarge = false;
      isBeyond.push_back(job.mIsBeyondWeight);
    }
    auto owed = SelectYieldingJobs(Staying(contest, isBeyond), kNow);
    auto all = SelectYieldingJobs(contest, kNow);
    for (std::size_t i = 0; i < all.size(); ++i) {
      RC_ASSERT(isBeyond[i] || owed[i] == all[i]);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
