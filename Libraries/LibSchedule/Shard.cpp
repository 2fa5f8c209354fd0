#include "LibSchedule/Shard.h"

#include "LibSchedule/CrashIsolation.h"
#include "LibSchedule/ExecutorAddresses.h"
#include "LibSchedule/ExecutorEnds.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// After this long without confirmation, another host may own the shard and place work.
constexpr Duration kMaxUnconfirmedToAct = 3s;
// After this long without news of the jobs stream, work may be placed for jobs that are cancelled.
constexpr Duration kMaxJobsAge = 2500ms;
// Executors are called for longer than that: what they list is still of use, and leases are renewed
// as far as Lease.h allows without confirmation.
constexpr Duration kMaxUnconfirmedToRenew = 4s;

Executor&
FindOrAddExecutor(Shard& aShard, const ExecutorId& aId, const Now& aNow)
{
  auto [found, isNew] = aShard.mExecutors.try_emplace(aId);
  if (isNew) {
    found->second.mEntry.mId = aId;
    found->second.mEntry.mState = ExecutorState::Gone;
    found->second.mAllLeasesExpiredAt = detail::FormerOwnerLeaseExpiry(aShard, aId, aNow);
    found->second.mIsUnresponsive = aShard.mLoadedUnresponsive.contains(aId);
    NoteChange(aShard.mPlacement, found->second);
    detail::ApplyLoadedAddress(aShard, found->second);
  }
  return found->second;
}

// Publishes a job of which no task is known to have begun. Any other job is published from its
// progress.
void
PublishPendingJob(Shard& aShard, const Job& aJob, std::int64_t aOffset)
{
  auto state = StateOf(aJob);
  if (aShard.mPhase == ShardPhase::Active) {
    AddState(aShard.mStates, aJob.mId, std::move(state));
  } else {
    AddLoadedState(aShard.mStates, { aJob.mId, std::move(state), StateSource::Jobs, aOffset });
  }
}

// Adds the runs of the former owner as uncertain: only their executors know whether they still run.
void
AdoptAttempts(Shard& aShard, Job& aJob, const JobProgress& aProgress, const Now& aNow)
{
  for (const auto& row : aProgress.mTasks) {
    TaskRun name{ { aJob.mId, row.mOccurrence, row.mStep, row.mIndex }, row.mHighestRun };
    if (row.mDone || FindTask(aJob, name.mTask) == nullptr) {
      continue;
    }
    const auto& step = aJob.mDefinition.mSteps[static_cast<std::size_t>(row.mStep)];
    auto run = detail::MakeRun(aJob.mDefinition, step, RunState::Uncertain, aNow.mAt);
    run.mIsolation = IsolationOf(step, *FindTask(aJob, name.mTask));
    for (const auto& placed : row.mExecutors) {
      run.mIncarnation = placed.mIncarnation;
      run.mBeganAt.reset();
      if (placed.mHasBegun) {
        // As long ago as a lease lasts.
        run.mBeganAt = aShard.mTakenOverAt - aShard.mSettings.mLease.mMaximum;
      }
      run.mFormerLeaseExpiredAt.reset();
      if (placed.mHasBegun && step.mLongRunning) {
        run.mFormerLeaseExpiredAt = LeaseExpiryOfOwner(aShard.mSettings.mLease, aShard.mFencedAt);
      }
      detail::AddRun(aShard, FindOrAddExecutor(aShard, placed.mExecutor, aNow), name, run);
    }
  }
}

// Adds the runs of an ended job that the former owner had not seen stopped yet: they count against
// the quota of their tenant until they are.
void
AdoptRunsToStop(Shard& aShard,
                const JobId& aId,
                const JobDefinition& aDefinition,
                const JobProgress& aProgress,
                const Now& aNow)
{
  if (aDefinition.mTenant.mValue.empty()) {
    return;
  }
  for (const auto& row : aProgress.mTasks) {
    if (row.mStep < 0 || row.mStep >= static_cast<int>(aDefinition.mSteps.size())) {
      continue;
    }
    TaskRun name{ { aId, row.mOccurrence, row.mStep, row.mIndex }, row.mHighestRun };
    const auto& step = aDefinition.mSteps[static_cast<std::size_t>(row.mStep)];
    auto run = detail::MakeRun(aDefinition, step, RunState::Uncertain, aNow.mAt);
    run.mStopRequested = true;
    for (const auto& placed : row.mExecutors) {
      run.mIncarnation = placed.mIncarnation;
      detail::AddRun(aShard, FindOrAddExecutor(aShard, placed.mExecutor, aNow), name, run);
    }
  }
}

}

Shard
MakeShard(int aPartition, const ShardSettings& aSettings, Instant aNow)
{
  Shard shard;
  shard.mPartition = aPartition;
  shard.mSettings = aSettings;
  shard.mTakenOverAt = aNow;
  shard.mFencedAt = aNow;
  shard.mConfirmedAt = aNow;
  shard.mStates.mPartition = aPartition;
  return shard;
}

void
UpdateExecutor(Shard& aShard, const Now& aNow, const ExecutorEntry& aEntry)
{
  auto& executor = FindOrAddExecutor(aShard, aEntry.mId, aNow);
  ++aShard.mCapacityChanges;
  if (aEntry.mState == ExecutorState::Gone) {
    executor.mHasAnnouncedLeave |= executor.mEntry.mState == ExecutorState::Draining;
    executor.mEntry.mState = ExecutorState::Gone;
    NoteUnlisted(executor, aNow.mAt);
    NoteChange(aShard.mPlacement, executor);
    detail::ScheduleCheck(aShard, executor);
    if (executor.mEntry.mAddress.empty()) {
      // Whether its runs go on, or its process has ended, is asked there.
      executor.mEntry.mAddress = aEntry.mAddress;
    }
    detail::RemoveAddressOnceEmpty(aShard, executor);
    return;
  }
  executor.mHasAnnouncedLeave = false;
  auto becameReady = executor.mEntry.mState != aEntry.mState;
  auto isMoved = executor.mEntry.mAddress != aEntry.mAddress;
  executor.mEntry = aEntry;
  if (isMoved || MayHaveRestarted(executor)) {
    executor.mRetryAt = aNow.mAt;
  }
  NoteChange(aShard.mPlacement, executor);
  detail::ScheduleCheck(aShard, executor);
  aShard.mNeedsPlacementPass |= becameReady;
}

void
ConfirmOwnership(Shard& aShard, Instant aAskedAt)
{
  aShard.mConfirmedAt = std::max(aShard.mConfirmedAt, aAskedAt);
}

void
Advance(Shard& aShard, const Now& aNow, Actions& aActions)
{
  if (aShard.mPhase == ShardPhase::Lost) {
    return;
  }
  detail::AdvanceLog(aShard, aNow, aActions);
  if (aShard.mPhase != ShardPhase::Active) {
    return;
  }
  detail::AdvanceExecutors(aShard, aNow, aActions);
  detail::PlaceTasks(aShard, aNow, aActions);
  detail::WriteProgress(aShard, aNow, aActions);
  StateCoverage coverage{ aShard.mNextJobsOffset, aShard.mProgressEnd };
  AdvancePublisher(aShard.mStates, aNow, coverage, aActions);
  detail::ForwardJobs(aShard, aNow.mAt, aActions);
  AdvanceRemoval(aShard.mEnded, aNow.mAt, aShard.mPartition, aShard.mEpoch, aActions);
  ReportLoad(aShard, aNow, aActions);
}

namespace detail {

Instant
FormerOwnerLeaseExpiry(const Shard& aShard, const ExecutorId& aExecutor, const Now& aNow)
{
  constexpr Duration kLatestArrival = 4500ms;
  // A start of the former owner may be carried out late, by a process that nobody has heard of and
  // that grants the longest lease from then on.
  auto latest = LatestLeaseExpiry(aShard.mSettings.mLease, aShard.mFencedAt + kLatestArrival);
  auto unresponsive = aShard.mLoadedUnresponsive.find(aExecutor);
  if (unresponsive == aShard.mLoadedUnresponsive.end()) {
    return latest;
  }
  return std::min(latest, aNow.mAt + (unresponsive->second - aNow.mWall));
}

bool
MayActAsOwner(const Shard& aShard, Instant aNow)
{
  return aShard.mPhase == ShardPhase::Active && aNow - aShard.mConfirmedAt < kMaxUnconfirmedToAct;
}

bool
MayStartTasks(const Shard& aShard, Instant aNow)
{
  return MayActAsOwner(aShard, aNow) && aNow - aShard.mJobsCurrentAsOf < kMaxJobsAge;
}

bool
MayRenewLeases(const Shard& aShard, Instant aNow)
{
  return aShard.mPhase == ShardPhase::Active && aNow - aShard.mConfirmedAt < kMaxUnconfirmedToRenew;
}

ExecutorAddress
AddressOf(const Shard& aShard, const Executor& aExecutor)
{
  ExecutorAddress address{
    aExecutor.mEntry.mId, aExecutor.mEntry.mAddress, aShard.mPartition, aShard.mEpoch
  };
  address.mIncarnation = aExecutor.mProcess.mIncarnation;
  return address;
}

PlacedRun
MakeRun(const JobDefinition& aJob, const Step& aStep, RunState aState, Instant aNow)
{
  PlacedRun run;
  run.mReserved = NeedsOf(aStep);
  run.mTenant = aJob.mTenant;
  // Also a best-effort run, which reserves nothing, counts with all that it asks for.
  run.mCounted = aStep.mNeeds;
  run.mState = aState;
  run.mIsLongRunning = aStep.mLongRunning;
  run.mIsLatencySensitive = aStep.mTargetTailLatency.count() != 0;
  run.mBestEffort = aStep.mBestEffort;
  run.mStateSince = aNow;
  return run;
}

Job*
FindJob(Shard& aShard, const JobId& aId)
{
  auto found = aShard.mJobs.find(aId);
  return found == aShard.mJobs.end() ? nullptr : &found->second;
}

void
MarkDirty(Shard& aShard, Job& aJob)
{
  aJob.mDirty = true;
  aShard.mDirty.insert(aJob.mId);
  NoteChange(aShard.mPlacement, aJob);
  NoteDemandChange(aShard, aJob);
}

void
AddRun(Shard& aShard, Executor& aExecutor, const TaskRun& aName, const PlacedRun& aRun)
{
  schedule::AddRun(aShard.mUsage, aExecutor, aName, aRun);
  NoteChange(aShard.mPlacement, aExecutor);
}

void
RemoveRun(Shard& aShard, Executor& aExecutor, const TaskRun& aName)
{
  schedule::RemoveRun(aShard.mUsage, aExecutor, aName);
  NoteChange(aShard.mPlacement, aExecutor);
}

Job&
AddJob(Shard& aShard, Job aJob)
{
  auto id = aJob.mId;
  auto& job = aShard.mJobs.emplace(id, std::move(aJob)).first->second;
  NoteChange(aShard.mPlacement, job);
  NoteDemandChange(aShard, job);
  return job;
}

void
RemoveJob(Shard& aShard, Job& aJob)
{
  ForgetJob(aShard.mPlacement, aJob);
  NoteDemandChange(aShard, aJob);
  aShard.mJobs.erase(JobId(aJob.mId));
}

void
NoteDemandChange(Shard& aShard, Job& aJob)
{
  if (!aJob.mIsDemandChanged) {
    aJob.mIsDemandChanged = true;
    aShard.mDemand.mChangedJobs.push_back(aJob.mId);
  }
}

void
SetDrainReason(Shard& aShard, Executor& aExecutor, DrainReason aReason)
{
  aShard.mCapacityChanges += aExecutor.mDrainReason == aReason ? 0 : 1;
  aExecutor.mDrainReason = aReason;
}

void
ApplyJobRecord(Shard& aShard, const Now& aNow, const KeyedRecord& aRecord, Actions& aActions)
{
  auto id = JobOfKey(aRecord.mKey);
  if (aRecord.mValue.empty()) {
    return;
  }
  if (IsEndNoticeKey(aRecord.mKey)) {
    EndHandOver(aShard, aRecord);
    return;
  }
  if (IsCancellationKey(aRecord.mKey)) {
    auto* job = FindJob(aShard, id);
    if (job != nullptr && !IsFinal(job->mPhase)) {
      FinishJob(aShard, *job, JobPhase::Cancelled, "cancelled by its caller");
    } else if (CancelHandOver(aShard, aRecord)) {
      return;
    } else if (aShard.mEnded.mIds.contains(id)) {
      AddEndedJobRecord(aShard.mEnded, id, aRecord.mKey);
    }
    return;
  }
  if (aShard.mEnded.mIds.contains(id)) {
    // Its caller has sent it again.
    AddEndedJobRecord(aShard.mEnded, id, aRecord.mKey);
    return;
  }
  if (aShard.mJobs.contains(id) || aShard.mHandOvers.mJobs.contains(id)) {
    return;
  }
  auto definition = DecodeJob(aRecord.mValue);
  // A record that another program has stored may be readable and still hold impossible values.
  auto problem =
    definition.ok() ? ValidationError(*definition) : std::string(definition.status().message());
  if (!problem.empty()) {
    LogEntry entry{ LogLevel::Warning, "job-unreadable", id.mValue };
    entry.mReason = std::move(problem);
    entry.mVersion = aRecord.mOffset;
    aActions.emplace_back(std::move(entry));
    return;
  }
  const JobProgress* progress = nullptr;
  auto loaded = aShard.mLoadedProgress.find(id);
  if (loaded != aShard.mLoadedProgress.end()) {
    progress = &loaded->second;
  }
  ApplyRecordedService(progress, *definition);
  if (TakeHandOver(aShard, id, *definition, progress)) {
    return;
  }
  if (progress != nullptr && IsFinal(progress->mPhase)) {
    // The former owner may not have published how the job ended.
    AddState(aShard.mStates, id, JobState{ progress->mPhase, {}, progress->mTenantHash });
    AdoptRunsToStop(aShard, id, *definition, *progress, aNow);
    AddEndedJob(aShard.mEnded, id, OtherHomePartition(aShard, *definition));
    return;
  }
  auto& job = AddJob(aShard, MakeJob(id, *definition, progress));
  if (aShard.mPhase == ShardPhase::Active) {
    job.mArrivedAt = aNow.mAt;
    // Jobs that were there before are not loaded in the order in which they came.
    // A host whose clock is ahead must not use up what is owed to the jobs that follow.
    auto acceptedAt = std::min(definition->mAcceptedAt, aNow.mWall);
    job.mIsBeyondWeight = !CountArrival(aShard.mTenantShares, definition->mTenant, acceptedAt);
  }
  if (progress != nullptr) {
    AdoptAttempts(aShard, job, *progress, aNow);
  }
  if (job.mPhase == JobPhase::Pending) {
    PublishPendingJob(aShard, job, aRecord.mOffset);
  }
  aShard.mNeedsPlacementPass = true;
}

void
RecordBegin(Shard& aShard, Job* aJob)
{
  if (aJob == nullptr || aJob->mPhase != JobPhase::Pending) {
    return;
  }
  aJob->mPhase = JobPhase::Running;
  AddState(aShard.mStates, aJob->mId, StateOf(*aJob));
}

void
FinishJob(Shard& aShard, Job& aJob, JobPhase aPhase, std::string aReason)
{
  aJob.mPhase = aPhase;
  aJob.mEndReason = std::move(aReason);
  MarkDirty(aShard, aJob);
  for (const auto& attempt : AttemptsOf(aJob)) {
    auto executor = aShard.mExecutors.find(attempt.mExecutor);
    if (executor != aShard.mExecutors.end()) {
      RequestStop(executor->second, attempt.mRun);
      ScheduleCheck(aShard, executor->second);
    }
  }
}

}

}
