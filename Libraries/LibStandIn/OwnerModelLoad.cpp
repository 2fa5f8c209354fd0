#include "LibStandIn/OwnerModelLoad.h"

#include "LibStandIn/OwnerModelCalls.h"

#include <stdexcept>
#include <string>

namespace sesameseam::standin::detail {

using namespace schedule;

namespace {

constexpr int kTaskMemoryMb = 100;
constexpr char kFillingSpec[] = "filling";
// Jobs that take the part of the pool that no event touches.
constexpr int kFillingJobs = 10;
constexpr int kShortRuns = 40;
constexpr int kWaitingJobsWhenFull = 20;

JobDefinition
MakeDefinition(OwnerModel& aModel, int aTasks, const char* aSpec)
{
  Step step;
  step.mCount = aTasks;
  step.mNeeds = { kMillicoresPerCore, kTaskMemoryMb, 0 };
  step.mEstimate = 1s;
  JobDefinition definition;
  definition.mQueue = QueueName(kQueue);
  definition.mService = ServiceName(kService);
  definition.mSpec = aSpec;
  definition.mSteps = { step };
  definition.mAcceptedAt = aModel.mNow.mWall;
  definition.mStretchPercent = 160;
  definition.mResponseGoal = std::chrono::hours(1);
  if (aModel.mSettings.mTenants > 0) {
    auto tenant = aModel.mNextJob % aModel.mSettings.mTenants;
    definition.mTenant = TenantName("t" + std::to_string(tenant));
  }
  return definition;
}

// Stores a job; the owner reads it next.
void
StoreJob(OwnerModel& aModel, const JobDefinition& aDefinition)
{
  constexpr std::size_t kDigits = 16;
  auto number = std::to_string(aModel.mNextJob++);
  aModel.mNewestJob = JobId(std::string(kDigits - number.size(), '0') + number);
  AppendCall call;
  call.mStream = Stream::Jobs;
  call.mPartition = kPartition;
  call.mRecords.push_back({ aModel.mNewestJob.mValue, EncodeJob(aDefinition) });
  Append(aModel.mStore, call);
}

void
StoreFillingJobs(OwnerModel& aModel)
{
  auto slots = aModel.mSettings.mExecutors * kCoresPerExecutor;
  auto tasks = (aModel.mSettings.mLoad == PoolLoad::Calm ? slots / 2 : slots) - kShortRuns;
  for (int i = 0; i < kFillingJobs; ++i) {
    auto count = tasks / kFillingJobs + (i < tasks % kFillingJobs ? 1 : 0);
    StoreJob(aModel, MakeDefinition(aModel, count, kFillingSpec));
  }
}

int
CountWaitingJobs(const OwnerModelSettings& aSettings)
{
  switch (aSettings.mLoad) {
    case PoolLoad::Calm:
      return 0;
    case PoolLoad::Full:
      return kWaitingJobsWhenFull;
    case PoolLoad::Burst:
      return aSettings.mJobs / 2;
  }
  return 0;
}

void
StoreLaterJobs(OwnerModel& aModel, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    auto definition = MakeDefinition(aModel, 1, kShortSpec);
    definition.mRunCount = 1;
    definition.mStartTime = aModel.mNow.mWall + std::chrono::hours(24);
    definition.mInterval = 1s;
    StoreJob(aModel, definition);
  }
}

// Goes on until as many tasks run as asked for.
void
PassUntilRunning(OwnerModel& aModel, std::size_t aTasks)
{
  for (int i = 0; i < kMaxSetupTicks && aModel.mRunning < aTasks; ++i) {
    Pass(aModel, kBetweenTicks);
  }
  if (aModel.mRunning != aTasks) {
    throw std::runtime_error(std::to_string(aModel.mRunning) + " tasks run instead of " +
                             std::to_string(aTasks));
  }
}

bool
IsReadyForWork(OwnerModel& aModel)
{
  auto found = aModel.mNode.mShards.find(kPartition);
  return found != aModel.mNode.mShards.end() && found->second.mPhase == ShardPhase::Active &&
         static_cast<int>(aModel.mExecutors.size()) == aModel.mSettings.mExecutors;
}

}

void
StoreShortJob(OwnerModel& aModel)
{
  StoreJob(aModel, MakeDefinition(aModel, 1, kShortSpec));
}

void
StoreCancellation(OwnerModel& aModel)
{
  AppendCall call;
  call.mStream = Stream::Jobs;
  call.mPartition = kPartition;
  call.mRecords.push_back(
    { CancellationKey(aModel.mNewestJob), EncodeCancellation(aModel.mNow.mWall) });
  Append(aModel.mStore, call);
}

void
TakeOver(OwnerModel& aModel)
{
  for (int i = 0; i < kMaxSetupTicks && !IsReadyForWork(aModel); ++i) {
    Pass(aModel, kBetweenTicks);
  }
  if (!IsReadyForWork(aModel)) {
    throw std::runtime_error("the model's owner did not take its shard over");
  }
}

void
LoadPool(OwnerModel& aModel)
{
  const auto& settings = aModel.mSettings;
  auto slots = static_cast<std::size_t>(settings.mExecutors) * kCoresPerExecutor;
  auto running = settings.mLoad == PoolLoad::Calm ? slots / 2 : slots;
  StoreFillingJobs(aModel);
  PassUntilRunning(aModel, running - kShortRuns);
  auto waiting = CountWaitingJobs(settings);
  StoreLaterJobs(aModel, settings.mJobs - kFillingJobs - kShortRuns - waiting);
  for (int i = 0; i < kShortRuns + waiting; ++i) {
    StoreShortJob(aModel);
  }
  PassUntilRunning(aModel, running);
  constexpr int kQuietTicks = 10;
  for (int i = 0; i < kQuietTicks; ++i) {
    Pass(aModel, kBetweenTicks);
  }
}

}
