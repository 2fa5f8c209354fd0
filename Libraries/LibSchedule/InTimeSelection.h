#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstddef>
#include <vector>

// Decides which waiting jobs of a pool are to be in time while it has not room for all of them.
// Started in the order of their deadlines, the jobs of a pool that is too small would each begin a
// little too late, one after the other. Here some of them yield, so that the others are in time.
namespace sesameseam::schedule {

// Amounts of each resource, as a part of what the pool has of it.
using PoolShares = std::array<double, 3>;

// The waiting tasks of a step.
struct WaitingStep
{
  // Index in PoolBacklog::mJobs.
  std::size_t mJob = 0;
  TimePoint mLatestStart;
  // What its tasks take while they run.
  PoolShares mNeeds{};
  Duration mEstimate{};
};

struct WaitingJob
{
  // Index in PoolBacklog::mTenants.
  std::size_t mTenant = 0;
  // Jobs with a higher value yield first.
  int mPriority = 0;
  // Its tenant sends more than it is owed.
  bool mIsBeyondWeight = false;
  // None of its waiting steps may start yet, so that nothing is gained if it yields.
  bool mMustStay = false;
  // The job is much larger than most.
  bool mIsLarge = false;
  // What is still to be started of it: the largest of its resources, in seconds of the whole pool.
  double mWork = 0;
};

struct WaitingTenant
{
  double mWeight = 1.0;
  // The work that was served to it lately, divided by its weight.
  double mServedShare = 0;
};

// What waits for a pool, and what the pool has.
struct PoolBacklog
{
  // What is free at present.
  PoolShares mFree{};
  std::vector<WaitingStep> mSteps;
  std::vector<WaitingJob> mJobs;
  std::vector<WaitingTenant> mTenants;
};

// Returns for each job whether it yields. The steps are taken in the order of their latest starts;
// where one can't be in time with those before it, jobs yield until it can: first what a
// tenant sends beyond its weight; among that what has the lowest priority; then what the tenant
// with the largest share sends; then what has the most work left, since more callers are served
// without it. Of the large jobs at least half as many stay as of the others, in proportion.
std::vector<bool>
SelectYieldingJobs(PoolBacklog aContest, TimePoint aNow);

}
