#include "LibStandIn/PoolModel.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <random>

// Load patterns in which a pool has not room for all, played on the placement of a shard. A share
// in time is that of the jobs that the test looks at.

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr int kTenants = 10;
constexpr Duration kDay = 20s;
// At this rate the jobs below take the whole of a pool of 20 hosts with 16 cores.
constexpr double kFullRate = 20.0;
// A tenant is owed a little more than it usually sends.
constexpr double kWeight = 1.5 * kFullRate / kTenants;

std::vector<Tenant>
MakeTenants()
{
  std::vector<Tenant> tenants;
  for (int i = 0; i < kTenants; ++i) {
    Tenant tenant;
    tenant.mName = TenantName("t" + std::to_string(i));
    tenant.mWeight = kWeight;
    tenants.push_back(tenant);
  }
  return tenants;
}

PoolModelSettings
WithTenants()
{
  PoolModelSettings settings;
  settings.mTenants = MakeTenants();
  return settings;
}

std::vector<ModelOutcome>
PlayInOrderOfLatestStarts(const std::vector<ModelJob>& aJobs)
{
  return PlayPool({}, aJobs);
}

// Jobs of one or two steps, 16 core-seconds in the mean.
struct Load
{
  std::mt19937_64 mRandom{ 7 };
  std::vector<ModelJob> mJobs;

  double Draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom); }

  ModelJob MakeJob(int aTenant, double aSize = 1.0)
  {
    ModelJob job;
    auto size = aSize * std::lognormal_distribution<double>(-0.3, 0.8)(mRandom);
    auto count = std::clamp(static_cast<int>(6.0 * size), 1, 64);
    job.mDefinition.mSteps = { MakeStep(count, 2, 900ms) };
    if (Draw() < 0.5) {
      job.mDefinition.mSteps.push_back(After(MakeStep(count, 2, 900ms), { 0 }));
    }
    job.mDefinition.mTenant = TenantName("t" + std::to_string(aTenant));
    job.mDefinition.mStretchPercent = 160;
    job.mDefinition.mResponseGoal = 600ms;
    job.mSlowdown = 0.7 + 0.6 * Draw();
    return job;
  }

  // Adds jobs at aRate per second, of one tenant or of all by turns.
  void Add(Duration aFrom, Duration aTo, double aRate, int aTenant = -1, double aSize = 1.0)
  {
    std::exponential_distribution<double> interval(aRate);
    auto at = aFrom;
    for (int i = 0;; ++i) {
      at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval(mRandom)));
      if (at >= aTo) {
        break;
      }
      auto job = MakeJob(aTenant < 0 ? i % kTenants : aTenant, aSize);
      job.mAt = at;
      mJobs.push_back(job);
    }
  }

  const std::vector<ModelJob>& Sorted()
  {
    std::stable_sort(mJobs.begin(), mJobs.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
    return mJobs;
  }
};

using Predicate = std::function<bool(const ModelJob&)>;

double
ShareInTime(const std::vector<ModelJob>& aJobs,
            const std::vector<ModelOutcome>& aOutcomes,
            const Predicate& aOf)
{
  int count = 0;
  int inTime = 0;
  for (std::size_t i = 0; i < aJobs.size(); ++i) {
    if (aOf(aJobs[i]) && !aJobs[i].mCancelledAt) {
      ++count;
      inTime += aOutcomes[i].mInTime ? 1 : 0;
    }
  }
  return count == 0 ? 1.0 : static_cast<double>(inTime) / count;
}

// Of what all jobs are worth. Callers lose half by the job and half by the work in it.
double
WorthInTime(const std::vector<ModelJob>& aJobs, const std::vector<ModelOutcome>& aOutcomes)
{
  double jobs = 0;
  double work = 0;
  double allWork = 0;
  for (std::size_t i = 0; i < aJobs.size(); ++i) {
    auto ofJob = static_cast<double>(WorkOf(aJobs[i].mDefinition));
    jobs += aOutcomes[i].mInTime ? 1 : 0;
    work += aOutcomes[i].mInTime ? ofJob : 0;
    allWork += ofJob;
  }
  return 0.5 * jobs / static_cast<double>(aJobs.size()) + 0.5 * work / allWork;
}

bool
IsAny(const ModelJob& /*aJob*/)
{
  return true;
}

bool
IsOfOthers(const ModelJob& aJob)
{
  return aJob.mDefinition.mTenant != TenantName("t0");
}

bool
IsLarge(const ModelJob& aJob)
{
  constexpr std::int64_t kTwiceTheMeanWork = 32'000;
  return WorkOf(aJob.mDefinition) > kTwiceTheMeanWork;
}

}

BOOST_AUTO_TEST_SUITE(TooLittleRoom)

// A large tenant sends five times its usual for six seconds, in a pool that was well used before.
BOOST_AUTO_TEST_CASE(a_hot_tenant_takes_less_than_two_hundredths_from_the_others)
{
  Load load;
  load.Add(0s, kDay, 0.7 * kFullRate);
  load.Add(0s, kDay, 0.1 * kFullRate, 0);
  auto usual = load.Sorted();
  load.Add(6s, 12s, 4 * 0.17 * kFullRate, 0);
  auto hot = load.Sorted();
  auto before = ShareInTime(usual, PlayPool(WithTenants(), usual), IsOfOthers);
  auto after = ShareInTime(hot, PlayPool(WithTenants(), hot), IsOfOthers);
  auto unshared = ShareInTime(hot, PlayInOrderOfLatestStarts(hot), IsOfOthers);
  BOOST_TEST_MESSAGE("others in time: " << before << " usually, " << after
                                        << " beside the hot one, " << unshared
                                        << " without shares");
  BOOST_TEST(before - after < 0.02);
}

// All tenants send several times what the pool can do, for five seconds.
BOOST_AUTO_TEST_CASE(a_burst_beyond_the_room_leaves_nearly_as_many_in_time_as_can_be)
{
  for (auto rate : { 2.0, 5.0, 10.0 }) {
    Load load;
    load.Add(0s, 5s, rate * kFullRate);
    const auto& jobs = load.Sorted();
    auto atMost = WorthInTime(jobs, PlayWithForesight(WithTenants(), jobs));
    auto chosen = WorthInTime(jobs, PlayPool(WithTenants(), jobs));
    auto before = WorthInTime(jobs, PlayInOrderOfLatestStarts(jobs));
    BOOST_TEST_MESSAGE("at " << rate << " times the rate " << chosen << " of the worth in time, "
                             << before << " by latest start, " << atMost << " at most");
    BOOST_TEST(chosen >= 0.9 * atMost);
  }
}

// Urgent jobs come at once into a pool that is full of ordinary ones.
BOOST_AUTO_TEST_CASE(an_urgent_burst_is_in_time)
{
  Load load;
  load.Add(0s, kDay, 1.5 * kFullRate);
  for (auto& job : load.mJobs) {
    job.mDefinition.mPriority = 1;
  }
  load.Add(8s, 9s, 0.6 * kFullRate);
  const auto& jobs = load.Sorted();
  auto urgent = [](const ModelJob& aJob) { return aJob.mDefinition.mPriority == 0; };
  auto inTime = ShareInTime(jobs, PlayPool(WithTenants(), jobs), urgent);
  BOOST_TEST_MESSAGE("urgent in time: " << inTime);
  BOOST_TEST(inTime > 0.9);
}

// Jobs of four times the usual size come at once.
BOOST_AUTO_TEST_CASE(in_a_burst_of_large_jobs_both_kinds_are_served)
{
  Load load;
  load.Add(0s, kDay, 0.7 * kFullRate);
  load.Add(8s, 12s, 0.5 * kFullRate, -1, 4.0);
  const auto& jobs = load.Sorted();
  auto outcomes = PlayPool(WithTenants(), jobs);
  auto large = ShareInTime(jobs, outcomes, IsLarge);
  auto others = ShareInTime(jobs, outcomes, [](const ModelJob& aJob) { return !IsLarge(aJob); });
  auto before = ShareInTime(jobs, PlayInOrderOfLatestStarts(jobs), IsAny);
  BOOST_TEST_MESSAGE("in time: " << large << " of the large, " << others << " of the others, "
                                 << before << " by latest start");
  BOOST_TEST(large >= 0.5 * others);
  BOOST_TEST(ShareInTime(jobs, outcomes, IsAny) >= before);
}

// Callers cancel half of what they sent while the pool is too small: what stays must gain by it.
BOOST_AUTO_TEST_CASE(many_cancellations_make_room_for_what_stays)
{
  Load load;
  load.Add(0s, kDay, 1.6 * kFullRate);
  auto jobs = load.Sorted();
  auto kept = [](const ModelJob& aJob) { return !aJob.mCancelledAt; };
  for (std::size_t i = 0; i < jobs.size(); i += 2) {
    jobs[i].mCancelledAt = jobs[i].mAt + 100ms;
  }
  auto cancelled = ShareInTime(jobs, PlayPool(WithTenants(), jobs), kept);
  BOOST_TEST_MESSAGE("in time: " << cancelled);
  BOOST_TEST(cancelled > 0.9);
}

// A third of the hosts is lost at once, with what ran there.
BOOST_AUTO_TEST_CASE(after_the_loss_of_a_rack_the_room_left_serves_as_many_as_it_can)
{
  Load load;
  load.Add(0s, kDay, 0.9 * kFullRate);
  const auto& jobs = load.Sorted();
  auto lost = WithTenants();
  lost.mLossAt = 8s;
  lost.mLostHosts = 7;
  auto lostBefore = lost;
  lostBefore.mTenants.clear();
  auto chosen = ShareInTime(jobs, PlayPool(lost, jobs), IsAny);
  auto before = ShareInTime(jobs, PlayPool(lostBefore, jobs), IsAny);
  BOOST_TEST_MESSAGE("in time: " << chosen << ", by latest start " << before);
  BOOST_TEST(chosen >= before);
}

// What is accepted is done, also what yielded to others.
BOOST_AUTO_TEST_CASE(what_yields_is_completed)
{
  Load load;
  load.Add(0s, 5s, 3 * kFullRate);
  const auto& jobs = load.Sorted();
  for (const auto& outcome : PlayPool(WithTenants(), jobs)) {
    BOOST_TEST(outcome.mCompletedAt.has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
