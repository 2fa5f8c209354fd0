#include "LibSchedule/InTimeSelection.h"

#include "LibSchedule/Placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <queue>
#include <utility>

namespace sesameseam::schedule {

namespace {

// Callers of large jobs are served at least in this proportion to the others.
constexpr double kLargeJobShare = 0.5;
// Sums that are equal but for their rounding don't differ by more, in seconds.
constexpr double kRounding = 1e-6;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Jobs of one tenant that may yield, the one with the most work first.
using JobsByWork = std::priority_queue<std::pair<double, std::size_t>>;

// Jobs of one priority that are all within or all beyond their tenants' weights.
struct YieldGroup
{
  std::map<std::size_t, JobsByWork> mSmall;
  std::map<std::size_t, JobsByWork> mLarge;
};

// How many jobs of a size are planned and how many of them stay.
struct SizeCount
{
  int mPlanned = 0;
  int mStaying = 0;

  double StayingShare() const
  {
    return mPlanned == 0 ? 0.0 : static_cast<double>(mStaying) / mPlanned;
  }
};

// The work that is planned to start in time, and who could yield.
struct Plan
{
  const PoolBacklog* mBacklog = nullptr;
  // By resource, in seconds of the whole pool.
  PoolShares mWork{};
  // The part of it that can't yield.
  PoolShares mStayingWork{};
  // The same for each job.
  std::vector<PoolShares> mWorkOfJob;
  std::vector<bool> mIsPlanned;
  std::vector<bool> mYields;
  std::vector<double> mTenantShare;
  // By whether the jobs are beyond their tenants' weights, and priority; the last group yields
  // first.
  std::map<std::pair<bool, int>, YieldGroup> mGroups;
  SizeCount mSmall;
  SizeCount mLarge;
  // The mean time after which a task makes room.
  double mMeanSeconds = 0;
};

double
MeanSeconds(const PoolBacklog& aContest)
{
  double needs = 0;
  double work = 0;
  for (const auto& step : aContest.mSteps) {
    auto most = *std::max_element(step.mNeeds.begin(), step.mNeeds.end());
    needs += most;
    work += most * Seconds(step.mEstimate);
  }
  return needs > 0 ? work / needs : 0.0;
}

// When the last of the given work would start, in seconds from now.
double
StartOfLast(const Plan& aPlan, const PoolShares& aWork)
{
  double start = 0;
  for (std::size_t i = 0; i < aWork.size(); ++i) {
    auto startsAtOnce = aPlan.mBacklog->mFree[i] * aPlan.mMeanSeconds;
    start = std::max(start, (aWork[i] - startsAtOnce) / kTargetUtilization);
  }
  return start;
}

void
AddWork(PoolShares& aSum, const PoolShares& aWork)
{
  for (std::size_t i = 0; i < aSum.size(); ++i) {
    aSum[i] += aWork[i];
  }
}

PoolShares
WorkOf(const WaitingStep& aStep)
{
  auto work = aStep.mNeeds;
  for (auto& amount : work) {
    amount *= Seconds(aStep.mEstimate);
  }
  return work;
}

double
TenantShareOf(const WaitingJob& aJob, const PoolBacklog& aContest)
{
  return aJob.mWork / aContest.mTenants[aJob.mTenant].mWeight;
}

void
AddJob(Plan& aPlan, std::size_t aJob)
{
  const auto& job = aPlan.mBacklog->mJobs[aJob];
  aPlan.mIsPlanned[aJob] = true;
  aPlan.mTenantShare[job.mTenant] += TenantShareOf(job, *aPlan.mBacklog);
  auto& count = job.mIsLarge ? aPlan.mLarge : aPlan.mSmall;
  ++count.mPlanned;
  ++count.mStaying;
  if (job.mMustStay) {
    return;
  }
  auto& group = aPlan.mGroups[{ job.mIsBeyondWeight, job.mPriority }];
  auto& jobs = job.mIsLarge ? group.mLarge : group.mSmall;
  jobs[job.mTenant].emplace(job.mWork, aJob);
}

void
AddStep(Plan& aPlan, const WaitingStep& aStep)
{
  if (!aPlan.mIsPlanned[aStep.mJob]) {
    AddJob(aPlan, aStep.mJob);
  }
  auto work = WorkOf(aStep);
  AddWork(aPlan.mWorkOfJob[aStep.mJob], work);
  AddWork(aPlan.mWork, work);
  if (aPlan.mBacklog->mJobs[aStep.mJob].mMustStay) {
    AddWork(aPlan.mStayingWork, work);
  }
}

// Whether the step could start in time if all others made way that can.
bool
CanStartIfOthersYield(const Plan& aPlan, const WaitingStep& aStep, double aLeft)
{
  auto work = aPlan.mStayingWork;
  if (!aPlan.mBacklog->mJobs[aStep.mJob].mMustStay) {
    AddWork(work, aPlan.mWorkOfJob[aStep.mJob]);
  }
  return StartOfLast(aPlan, work) <= aLeft + kRounding;
}

// Takes the largest job of the tenant with the largest share.
std::optional<std::size_t>
TakeJob(const Plan& aPlan, std::map<std::size_t, JobsByWork>& aTenants)
{
  auto most =
    std::max_element(aTenants.begin(), aTenants.end(), [&](const auto& aLeft, const auto& aRight) {
      return aPlan.mTenantShare[aLeft.first] < aPlan.mTenantShare[aRight.first];
    });
  if (most == aTenants.end()) {
    return std::nullopt;
  }
  auto job = most->second.top().second;
  most->second.pop();
  if (most->second.empty()) {
    aTenants.erase(most);
  }
  return job;
}

// Whether one more large job may yield without its kind being served too little.
bool
MayLargeJobYield(const Plan& aPlan)
{
  auto left = aPlan.mLarge;
  --left.mStaying;
  return left.StayingShare() >= kLargeJobShare * aPlan.mSmall.StayingShare();
}

std::optional<std::size_t>
TakeYieldingJob(Plan& aPlan)
{
  while (!aPlan.mGroups.empty()) {
    auto last = std::prev(aPlan.mGroups.end());
    auto& group = last->second;
    auto isLargeFirst = !group.mLarge.empty() && (group.mSmall.empty() || MayLargeJobYield(aPlan));
    auto job = TakeJob(aPlan, isLargeFirst ? group.mLarge : group.mSmall);
    if (!job) {
      aPlan.mGroups.erase(last);
    } else if (!aPlan.mYields[*job]) {
      return job;
    }
  }
  return std::nullopt;
}

void
RemoveJob(Plan& aPlan, std::size_t aJob)
{
  const auto& job = aPlan.mBacklog->mJobs[aJob];
  aPlan.mYields[aJob] = true;
  aPlan.mTenantShare[job.mTenant] -= TenantShareOf(job, *aPlan.mBacklog);
  --(job.mIsLarge ? aPlan.mLarge : aPlan.mSmall).mStaying;
  for (std::size_t i = 0; i < aPlan.mWork.size(); ++i) {
    aPlan.mWork[i] -= aPlan.mWorkOfJob[aJob][i];
  }
}

// Lets jobs yield until the step that was added last can start in time.
void
YieldUntilInTime(Plan& aPlan, const WaitingStep& aStep, double aLeft)
{
  if (!CanStartIfOthersYield(aPlan, aStep, aLeft)) {
    // Nobody yields if the step would be late all the same.
    if (!aPlan.mBacklog->mJobs[aStep.mJob].mMustStay) {
      RemoveJob(aPlan, aStep.mJob);
    }
    return;
  }
  while (StartOfLast(aPlan, aPlan.mWork) > aLeft + kRounding) {
    auto job = TakeYieldingJob(aPlan);
    if (!job) {
      return;
    }
    RemoveJob(aPlan, *job);
  }
}

Plan
MakePlan(const PoolBacklog& aContest)
{
  Plan plan;
  plan.mBacklog = &aContest;
  plan.mWorkOfJob.resize(aContest.mJobs.size());
  plan.mIsPlanned.resize(aContest.mJobs.size());
  plan.mYields.resize(aContest.mJobs.size());
  for (const auto& tenant : aContest.mTenants) {
    plan.mTenantShare.push_back(tenant.mServedShare);
  }
  plan.mMeanSeconds = MeanSeconds(aContest);
  return plan;
}

}

std::vector<bool>
SelectYieldingJobs(PoolBacklog aContest, TimePoint aNow)
{
  std::stable_sort(aContest.mSteps.begin(),
                   aContest.mSteps.end(),
                   [](const WaitingStep& aLeft, const WaitingStep& aRight) {
                     return aLeft.mLatestStart < aRight.mLatestStart;
                   });
  auto plan = MakePlan(aContest);
  for (const auto& step : aContest.mSteps) {
    if (!plan.mYields[step.mJob]) {
      AddStep(plan, step);
      YieldUntilInTime(plan, step, Seconds(step.mLatestStart - aNow));
    }
  }
  return plan.mYields;
}

}
