#include "LibStandIn/PoolModel.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace sesameseam::schedule {

namespace {

constexpr Duration kTick = 10ms;
constexpr Instant kStart{ 1000s };
constexpr TimePoint kWallStart{ 1'000'000s };
constexpr int kMillicoresPerCore = 1000;
constexpr int kMemoryPerHostMb = 64'000;
const ServiceName kPool("pool");

struct RunningTask
{
  ExecutorId mExecutor;
  TaskRun mRun;
};

struct Play
{
  Shard mShard;
  Now mNow{ kStart, kWallStart };
  std::multimap<Instant, RunningTask> mEnds;
  std::map<JobId, std::size_t> mIndexes;
  std::vector<ModelOutcome> mOutcomes;
};

Play
MakePlay(const PoolModelSettings& aSettings, std::size_t aJobs)
{
  Play play;
  play.mShard = MakeShard(0, {}, kStart);
  play.mShard.mPhase = ShardPhase::Active;
  UpdateTenants(play.mShard.mTenantShares, aSettings.mTenants);
  for (int i = 0; i < aSettings.mHosts; ++i) {
    ExecutorId id("x" + std::to_string(i));
    auto& executor = play.mShard.mExecutors[id];
    executor.mEntry.mId = id;
    executor.mEntry.mService = kPool;
    executor.mEntry.mCapacity = { aSettings.mCoresPerHost * kMillicoresPerCore,
                                  kMemoryPerHostMb,
                                  0 };
    executor.mHasAnsweredHeartbeat = true;
  }
  play.mOutcomes.resize(aJobs);
  return play;
}

void
AddJob(Play& aPlay, const ModelJob& aJob, std::size_t aIndex)
{
  JobId id("j" + std::to_string(aIndex));
  auto definition = aJob.mDefinition;
  definition.mService = kPool;
  definition.mAcceptedAt = aPlay.mNow.mWall;
  auto& job = schedule::detail::AddJob(aPlay.mShard, MakeJob(id, definition, nullptr));
  job.mArrivedAt = aPlay.mNow.mAt;
  job.mIsBeyondWeight =
    !CountArrival(aPlay.mShard.mTenantShares, definition.mTenant, definition.mAcceptedAt);
  aPlay.mIndexes[id] = aIndex;
  aPlay.mShard.mNeedsPlacementPass = true;
}

void
RemoveJob(Play& aPlay, const JobId& aJob)
{
  for (auto& [id, executor] : aPlay.mShard.mExecutors) {
    std::erase_if(executor.mRuns, [&](const auto& aRun) { return aRun.first.mTask.mJob == aJob; });
    NoteChange(aPlay.mShard.mPlacement, executor);
  }
  auto job = aPlay.mShard.mJobs.find(aJob);
  if (job != aPlay.mShard.mJobs.end()) {
    schedule::detail::RemoveJob(aPlay.mShard, job->second);
  }
  aPlay.mShard.mDirty.erase(aJob);
  aPlay.mShard.mNeedsPlacementPass = true;
}

void
EndTask(Play& aPlay, const RunningTask& aTask)
{
  auto executor = aPlay.mShard.mExecutors.find(aTask.mExecutor);
  if (executor == aPlay.mShard.mExecutors.end() || executor->second.mRuns.erase(aTask.mRun) == 0) {
    return;
  }
  aPlay.mShard.mNeedsPlacementPass = true;
  NoteChange(aPlay.mShard.mPlacement, executor->second);
  auto& job = aPlay.mShard.mJobs.at(aTask.mRun.mTask.mJob);
  SetTaskState(job, aTask.mRun.mTask, TaskState::Done);
  NoteChange(aPlay.mShard.mPlacement, job);
  if (!AllDone(job)) {
    return;
  }
  auto& outcome = aPlay.mOutcomes[aPlay.mIndexes.at(job.mId)];
  outcome.mCompletedAt = aPlay.mNow.mAt - kStart;
  outcome.mInTime = aPlay.mNow.mWall <= CompletionObjective(job, 0);
  RemoveJob(aPlay, JobId(job.mId));
}

void
LoseHosts(Play& aPlay, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    auto executor = aPlay.mShard.mExecutors.find(ExecutorId("x" + std::to_string(i)));
    for (const auto& [name, run] : executor->second.mRuns) {
      SetTaskState(aPlay.mShard.mJobs.at(name.mTask.mJob), name.mTask, TaskState::Waiting);
    }
    aPlay.mShard.mExecutors.erase(executor);
  }
  // Owners never forget an executor, so that their placement has no way to.
  aPlay.mShard.mPlacement = {};
  aPlay.mShard.mExecutorsToCheck.clear();
}

void
PlaceAndStart(Play& aPlay, const std::vector<ModelJob>& aJobs)
{
  aPlay.mShard.mConfirmedAt = aPlay.mNow.mAt;
  aPlay.mShard.mJobsCurrentAsOf = aPlay.mNow.mAt;
  Actions actions;
  detail::PlaceTasks(aPlay.mShard, aPlay.mNow, actions);
  for (const auto& name : aPlay.mShard.mRunsToRecord) {
    const auto* task = FindTask(aPlay.mShard.mJobs.at(name.mTask.mJob), name.mTask);
    const auto& job = aJobs[aPlay.mIndexes.at(name.mTask.mJob)];
    const auto& step = job.mDefinition.mSteps[static_cast<std::size_t>(name.mTask.mStep)];
    auto runs = std::chrono::duration_cast<Duration>(step.mEstimate * job.mSlowdown);
    aPlay.mEnds.emplace(aPlay.mNow.mAt + runs,
                        RunningTask{ task->mAttempts.back().mExecutor, name });
  }
  aPlay.mShard.mRunsToRecord.clear();
}

Duration
DeadlineOf(const ModelJob& aJob)
{
  auto job = MakeJob(JobId("j"), aJob.mDefinition, nullptr);
  return aJob.mAt + (CompletionObjective(job, 0) - job.mOccurrences[0].mDueAt);
}

// In core-seconds.
double
WorkOf(const ModelJob& aJob)
{
  constexpr double kMilliseconds = 1000.0;
  return static_cast<double>(schedule::WorkOf(aJob.mDefinition)) * aJob.mSlowdown / kMilliseconds;
}

constexpr Duration kSlot = 100ms;

// The work that is released in one slot or later and due in another or earlier.
struct WorkBySpan
{
  std::size_t mSlots = 0;
  double mPerSlot = 0;
  std::vector<double> mWork;

  double& At(std::size_t aFrom, std::size_t aTo) { return mWork[aFrom * mSlots + aTo]; }
};

// Adds the work if it fits into all spans that hold it.
bool
AddIfItFits(WorkBySpan& aSpans, std::size_t aReleased, std::size_t aDue, double aWork)
{
  for (std::size_t from = 0; from <= aReleased; ++from) {
    for (std::size_t to = aDue; to < aSpans.mSlots; ++to) {
      if (aSpans.At(from, to) + aWork > aSpans.mPerSlot * static_cast<double>(to - from + 1)) {
        return false;
      }
    }
  }
  for (std::size_t from = 0; from <= aReleased; ++from) {
    for (std::size_t to = aDue; to < aSpans.mSlots; ++to) {
      aSpans.At(from, to) += aWork;
    }
  }
  return true;
}

}

std::vector<ModelOutcome>
PlayPool(const PoolModelSettings& aSettings, const std::vector<ModelJob>& aJobs)
{
  auto play = MakePlay(aSettings, aJobs.size());
  std::multimap<Duration, JobId> cancellations;
  std::size_t next = 0;
  auto isLossDue = aSettings.mLossAt.has_value();
  while (next < aJobs.size() || !play.mShard.mJobs.empty()) {
    auto elapsed = Duration(play.mNow.mAt - kStart);
    for (; next < aJobs.size() && aJobs[next].mAt <= elapsed; ++next) {
      AddJob(play, aJobs[next], next);
      if (aJobs[next].mCancelledAt) {
        cancellations.emplace(*aJobs[next].mCancelledAt, JobId("j" + std::to_string(next)));
      }
    }
    while (!cancellations.empty() && cancellations.begin()->first <= elapsed) {
      RemoveJob(play, cancellations.begin()->second);
      cancellations.erase(cancellations.begin());
    }
    while (!play.mEnds.empty() && play.mEnds.begin()->first <= play.mNow.mAt) {
      auto task = play.mEnds.begin()->second;
      play.mEnds.erase(play.mEnds.begin());
      EndTask(play, task);
    }
    if (isLossDue && aSettings.mLossAt.value_or(Duration::max()) <= elapsed) {
      LoseHosts(play, aSettings.mLostHosts);
      isLossDue = false;
    }
    PlaceAndStart(play, aJobs);
    play.mNow.mAt += kTick;
    play.mNow.mWall += kTick;
  }
  return play.mOutcomes;
}

std::vector<ModelOutcome>
PlayWithForesight(const PoolModelSettings& aSettings, const std::vector<ModelJob>& aJobs)
{
  std::vector<std::size_t> order(aJobs.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return WorkOf(aJobs[aLeft]) < WorkOf(aJobs[aRight]);
  });
  Duration end{};
  for (const auto& job : aJobs) {
    end = std::max(end, DeadlineOf(job));
  }
  WorkBySpan spans;
  spans.mSlots = static_cast<std::size_t>(end / kSlot) + 1;
  spans.mPerSlot =
    aSettings.mHosts * aSettings.mCoresPerHost * std::chrono::duration<double>(kSlot).count();
  spans.mWork.resize(spans.mSlots * spans.mSlots);
  std::vector<ModelOutcome> outcomes(aJobs.size());
  for (auto job : order) {
    auto released = static_cast<std::size_t>(aJobs[job].mAt / kSlot);
    auto due = static_cast<std::size_t>(DeadlineOf(aJobs[job]) / kSlot);
    outcomes[job].mInTime = AddIfItFits(spans, released, due, WorkOf(aJobs[job]));
  }
  return outcomes;
}

}
