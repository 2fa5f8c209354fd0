#pragma once

#include "LibSchedule/Shard.h"

#include <optional>
#include <vector>

// Plays jobs on one pool with the placement of a shard and nothing else: no calls, no store, and
// executors that run what is placed on them.
namespace sesameseam::schedule {

struct ModelJob
{
  // Since the start of the play.
  Duration mAt{};
  JobDefinition mDefinition;
  // How much longer its tasks run than estimated.
  double mSlowdown = 1.0;
  std::optional<Duration> mCancelledAt;
};

struct PoolModelSettings
{
  int mHosts = 20;
  int mCoresPerHost = 16;
  // Without tenants, jobs are placed in the order of their latest starts.
  std::vector<Tenant> mTenants;
  // At this time this many hosts are lost, with what runs on them.
  std::optional<Duration> mLossAt;
  int mLostHosts = 0;
};

struct ModelOutcome
{
  bool mInTime = false;
  // When the job was completed; unset if it was cancelled.
  std::optional<Duration> mCompletedAt;
};

// Plays until all jobs have ended. Returns the outcome of each job, in the order of aJobs, which
// must be that of their times.
std::vector<ModelOutcome>
PlayPool(const PoolModelSettings& aSettings, const std::vector<ModelJob>& aJobs);

// What a rule that knows all arrivals and run times has in time, if work can be divided at will:
// the smallest jobs first, as long as the work of no span of time exceeds what the pool can do in
// it.
std::vector<ModelOutcome>
PlayWithForesight(const PoolModelSettings& aSettings, const std::vector<ModelJob>& aJobs);

}
