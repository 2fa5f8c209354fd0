#pragma once

#include "LibSchedule/JobDemand.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

// Sums over the jobs and executors of a shard that give the demands of its pools. A job is measured
// again when it has changed, or when the time has changed its demand, and executors when the entry
// or the drain of one has changed.
namespace sesameseam::schedule {

struct SummedJob
{
  JobId mId;
  ServiceName mPool;
  MeasuredJob mMeasured;
};

struct PoolSums
{
  JobDemand mDemand;
  std::multiset<int> mMinHosts;
  // Jobs with tasks that are isolated.
  std::set<JobId> mSuspects;
  // Executors that accept work, and their capacity.
  int mPresent = 0;
  std::int64_t mMillicores = 0;
};

struct DemandSums
{
  std::map<ServiceName, PoolSums> mPools;
  std::map<JobId, SummedJob> mJobs;
  // When jobs have to be measured again because of the time, on either clock.
  std::set<std::pair<TimePoint, const SummedJob*>> mWallChanges;
  std::set<std::pair<Instant, const SummedJob*>> mClockChanges;
  // Jobs that came, changed or went since the last update.
  std::vector<JobId> mChangedJobs;
  Now mUpdatedAt;
  // The changes of capacity and the number of executors at the last update.
  std::int64_t mCapacityChanges = -1;
  std::size_t mExecutors = 0;
  // How many jobs and executors were measured.
  std::int64_t mJobVisits = 0;
  std::int64_t mExecutorVisits = 0;
};

}
