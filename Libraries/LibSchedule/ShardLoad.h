#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/Model.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

// How much work of a shard waits and how much room its executors have, at one moment. It tells
// work that waits for resources from work that waits for its owner.
namespace sesameseam::schedule {

struct Shard;

// The event of the log lines that ReportLoad() writes.
inline constexpr std::string_view kLoadEvent = "shard-load";

// What yielded to other work in the last placement pass.
struct YieldCounts
{
  int mTasks = 0;
  // Those of them that are beyond their tenants' weights.
  int mBeyondWeight = 0;
  // The tenant with the most of them.
  TenantName mMostOf;
};

struct ShardLoad
{
  // Tasks that could start now, and those of them whose job can still be in time.
  int mWaitingTasks = 0;
  int mInTimeTasks = 0;
  YieldCounts mYielding;
  // In thousandths of a core.
  std::int64_t mWaitingMillicores = 0;
  std::int64_t mFreeMillicores = 0;
  // Executors that take new work.
  int mExecutors = 0;
  // How long the oldest job with a task that could start has been known. Unset if no such job has
  // arrived at this owner.
  std::optional<std::chrono::milliseconds> mOldestWait;
};

ShardLoad
MeasureLoad(Shard& aShard, const Now& aNow);

// Measures the load at intervals, and logs it while tasks wait.
void
ReportLoad(Shard& aShard, const Now& aNow, Actions& aActions);

}
