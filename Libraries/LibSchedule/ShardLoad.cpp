#include "LibSchedule/ShardLoad.h"

#include "LibSchedule/QueueOrder.h"
#include "LibSchedule/Shard.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kReportInterval = 1s;
constexpr int kMillicoresPerCore = 1000;

void
AddReadyStep(const ReadyStep& aReady, const Now& aNow, ShardLoad& aLoad)
{
  const auto& job = *aReady.mJob;
  const auto& step = job.mDefinition.mSteps[static_cast<std::size_t>(aReady.mStep)];
  auto waiting = job.mOccurrences[static_cast<std::size_t>(aReady.mOccurrence)]
                   .mSteps[static_cast<std::size_t>(aReady.mStep)]
                   .mWaiting;
  aLoad.mWaitingTasks += waiting;
  aLoad.mInTimeTasks += aReady.mIsLate ? 0 : waiting;
  aLoad.mWaitingMillicores += waiting * NeedsOf(step).mCpuMillicores;
  if (job.mArrivedAt != Instant()) {
    auto wait = ToMilliseconds(aNow.mAt - job.mArrivedAt);
    aLoad.mOldestWait = std::max(aLoad.mOldestWait.value_or(wait), wait);
  }
}

std::string
DescribeYielding(const YieldCounts& aYielding)
{
  if (aYielding.mTasks == 0) {
    return {};
  }
  return "; " + std::to_string(aYielding.mTasks) + " yield, " +
         std::to_string(aYielding.mBeyondWeight) +
         " of them beyond their tenants' weights, most of " + aYielding.mMostOf.mValue;
}

std::string
Describe(const ShardLoad& aLoad)
{
  return std::to_string(aLoad.mWaitingTasks) + " tasks wait for " +
         std::to_string(aLoad.mWaitingMillicores / kMillicoresPerCore) + " cores, " +
         std::to_string(aLoad.mInTimeTasks) + " of them in time; " +
         std::to_string(aLoad.mFreeMillicores / kMillicoresPerCore) + " cores are free on " +
         std::to_string(aLoad.mExecutors) + " executors" + DescribeYielding(aLoad.mYielding);
}

}

ShardLoad
MeasureLoad(Shard& aShard, const Now& aNow)
{
  std::vector<ReadyStep> ready;
  for (auto& [id, job] : aShard.mJobs) {
    if (!IsFinal(job.mPhase)) {
      CollectReadySteps(job, aNow.mWall, ready);
    }
  }
  ShardLoad load;
  load.mYielding = aShard.mYielding;
  for (const auto& step : ready) {
    AddReadyStep(step, aNow, load);
  }
  for (const auto& [id, executor] : aShard.mExecutors) {
    if (IsSchedulable(executor, aNow.mAt)) {
      auto free = executor.mEntry.mCapacity - ReservedResources(executor);
      load.mFreeMillicores += std::max<std::int64_t>(0, free.mCpuMillicores);
      ++load.mExecutors;
    }
  }
  return load;
}

void
ReportLoad(Shard& aShard, const Now& aNow, Actions& aActions)
{
  if (aNow.mAt < aShard.mNextLoadReportAt) {
    return;
  }
  aShard.mNextLoadReportAt = aNow.mAt + kReportInterval;
  aShard.mLoad = MeasureLoad(aShard, aNow);
  const auto& load = aShard.mLoad;
  if (load.mWaitingTasks == 0) {
    return;
  }
  LogEntry entry{ LogLevel::Info, kLoadEvent };
  entry.mSubject = std::to_string(aShard.mPartition);
  entry.mOutcome = Describe(load);
  entry.mReason = std::to_string(aShard.mCounters.mStarts) + " starts so far";
  entry.mVersion = aShard.mEpoch;
  entry.mAge = load.mOldestWait;
  aActions.emplace_back(std::move(entry));
}

}
