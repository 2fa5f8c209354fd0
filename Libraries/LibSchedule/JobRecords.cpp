#include "LibSchedule/JobRecords.h"

#include "LibBase/Hash.h"

#include "LibSchedule/Generated/schedule_types.h"
#include "LibSchedule/RecordCodec.h"

namespace sesameseam::schedule {

namespace {

void
EncodeBegun(const std::vector<PlacedOn>& aExecutors, record::Task& aTask)
{
  for (const auto& placed : aExecutors) {
    aTask.begun.push_back(placed.mHasBegun);
    aTask.__isset.begun |= placed.mHasBegun;
  }
}

// What is not a probability says nothing.
double
DecodeCoincidence(const record::Task& aTask)
{
  auto isValid = aTask.__isset.coincidence && aTask.coincidence >= 0 && aTask.coincidence <= 1;
  return isValid ? aTask.coincidence : 1;
}

using detail::Decode;
using detail::Encode;

constexpr char kCancellationPrefix = 'x';
constexpr char kEndNoticePrefix = 'y';
constexpr char kLeaseExpiryPrefix = '!';
constexpr char kExecutorAddressPrefix = '@';

record::Step
ToRecord(const Step& aStep)
{
  record::Step out;
  out.count = aStep.mCount;
  out.__set_cpu_millicores(static_cast<std::int32_t>(aStep.mNeeds.mCpuMillicores));
  out.__set_memory_mb(static_cast<std::int32_t>(aStep.mNeeds.mMemoryMb));
  out.__set_estimate_ms(static_cast<std::int32_t>(aStep.mEstimate.count()));
  if (aStep.mNeeds.mGpus != 0) {
    out.__set_gpus(static_cast<std::int32_t>(aStep.mNeeds.mGpus));
  }
  if (!aStep.mDependsOn.empty()) {
    out.__set_after(aStep.mDependsOn);
  }
  if (aStep.mGang) {
    out.__set_gang(true);
  }
  if (aStep.mSameRack) {
    out.__set_same_rack(true);
  }
  if (!aStep.mRequiredLabel.empty()) {
    out.__set_required_label(aStep.mRequiredLabel);
  }
  if (!aStep.mPreferredRack.empty()) {
    out.__set_preferred_rack(aStep.mPreferredRack);
  }
  if (aStep.mMaxPerExecutor != 0) {
    out.__set_max_per_executor(aStep.mMaxPerExecutor);
  }
  if (aStep.mSpeculative) {
    out.__set_speculative(true);
  }
  if (aStep.mCheckpoints) {
    out.__set_checkpoints(true);
  }
  if (aStep.mLongRunning) {
    out.__set_lasting(true);
  }
  if (aStep.mBestEffort) {
    out.__set_fills(true);
  }
  if (aStep.mMaxUnavailable != 0) {
    out.__set_max_away(aStep.mMaxUnavailable);
  }
  if (!aStep.mImage.empty()) {
    out.__set_image(aStep.mImage);
  }
  if (aStep.mTargetTailLatency.count() != 0) {
    out.__set_target_tail_ms(static_cast<std::int32_t>(aStep.mTargetTailLatency.count()));
  }
  return out;
}

Step
FromRecord(const record::Step& aRecord)
{
  Step step;
  step.mCount = aRecord.count;
  step.mNeeds = { aRecord.cpu_millicores, aRecord.memory_mb, aRecord.gpus };
  step.mEstimate = std::chrono::milliseconds(aRecord.estimate_ms);
  step.mDependsOn = aRecord.after;
  step.mGang = aRecord.gang;
  step.mSameRack = aRecord.same_rack;
  step.mRequiredLabel = aRecord.required_label;
  step.mPreferredRack = aRecord.preferred_rack;
  step.mMaxPerExecutor = aRecord.max_per_executor;
  step.mSpeculative = aRecord.speculative;
  step.mCheckpoints = aRecord.checkpoints;
  step.mLongRunning = aRecord.lasting;
  step.mBestEffort = aRecord.fills;
  step.mMaxUnavailable = aRecord.max_away;
  step.mImage = aRecord.image;
  step.mTargetTailLatency = std::chrono::milliseconds(aRecord.target_tail_ms);
  return step;
}

std::int64_t
UnixMilliseconds(TimePoint aTime)
{
  return ToMilliseconds(aTime.time_since_epoch()).count();
}

TimePoint
FromUnixMilliseconds(std::int64_t aTime)
{
  return TimePoint(std::chrono::milliseconds(aTime));
}

absl::StatusOr<JobPhase>
PhaseOf(std::int32_t aPhase)
{
  if (aPhase < 0 || aPhase > static_cast<std::int32_t>(JobPhase::Cancelled)) {
    return MakeError(ErrorKind::RecordUnreadable, "unknown phase " + std::to_string(aPhase));
  }
  return static_cast<JobPhase>(aPhase);
}

}

std::string
EncodeJob(const JobDefinition& aJob)
{
  record::Job out;
  out.queue = aJob.mQueue.mValue;
  out.service_name = aJob.mService.mValue;
  out.spec = aJob.mSpec;
  for (const auto& step : aJob.mSteps) {
    out.steps.push_back(ToRecord(step));
  }
  out.accepted_at_ms = UnixMilliseconds(aJob.mAcceptedAt);
  out.__set_attempts(aJob.mAttempts);
  out.__set_priority(aJob.mPriority);
  out.__set_stretch_percent(aJob.mStretchPercent);
  out.__set_response_goal_ms(static_cast<std::int32_t>(aJob.mResponseGoal.count()));
  if (!aJob.mTenant.IsEmpty()) {
    out.__set_tenant(aJob.mTenant.mValue);
  }
  if (!aJob.mHome.IsEmpty()) {
    out.__set_home_service(aJob.mHome.mValue);
  }
  if (aJob.mRunCount > 0) {
    out.__set_run_count(aJob.mRunCount);
    out.__set_start_time_ms(UnixMilliseconds(aJob.mStartTime));
    out.__set_interval_ms(aJob.mInterval.count());
  }
  return Encode(out);
}

absl::StatusOr<JobDefinition>
DecodeJob(std::string_view aBytes)
{
  auto record = TRY(Decode<record::Job>(aBytes));
  JobDefinition job;
  job.mQueue = QueueName(record.queue);
  job.mService = ServiceName(record.service_name);
  job.mHome = ServiceName(record.home_service);
  job.mTenant = TenantName(record.tenant);
  job.mSpec = std::move(record.spec);
  for (const auto& step : record.steps) {
    job.mSteps.push_back(FromRecord(step));
  }
  job.mAcceptedAt = FromUnixMilliseconds(record.accepted_at_ms);
  job.mAttempts = record.attempts;
  job.mPriority = record.priority;
  job.mStretchPercent = record.stretch_percent;
  job.mResponseGoal = std::chrono::milliseconds(record.response_goal_ms);
  job.mRunCount = record.run_count;
  job.mStartTime = FromUnixMilliseconds(record.start_time_ms);
  job.mInterval = std::chrono::milliseconds(record.interval_ms);
  return job;
}

std::string
EncodeCancellation(TimePoint aAcceptedAt)
{
  record::Cancellation out;
  out.accepted_at_ms = UnixMilliseconds(aAcceptedAt);
  return Encode(out);
}

std::string
CancellationKey(const JobId& aJob)
{
  return kCancellationPrefix + aJob.mValue;
}

bool
IsCancellationKey(std::string_view aKey)
{
  return !aKey.empty() && aKey.front() == kCancellationPrefix;
}

std::string
EndNoticeKey(const JobId& aJob)
{
  return kEndNoticePrefix + aJob.mValue;
}

bool
IsEndNoticeKey(std::string_view aKey)
{
  return !aKey.empty() && aKey.front() == kEndNoticePrefix;
}

JobId
JobOfKey(std::string_view aKey)
{
  auto hasPrefix = IsCancellationKey(aKey) || IsEndNoticeKey(aKey);
  return JobId(std::string(hasPrefix ? aKey.substr(1) : aKey));
}

std::string
LeaseExpiryKey(const ExecutorId& aExecutor)
{
  return kLeaseExpiryPrefix + aExecutor.mValue;
}

bool
IsLeaseExpiryKey(std::string_view aKey)
{
  return !aKey.empty() && aKey.front() == kLeaseExpiryPrefix;
}

ExecutorId
ExecutorOfKey(std::string_view aKey)
{
  return ExecutorId(std::string(aKey.substr(1)));
}

std::string
ExecutorAddressKey(const ExecutorId& aExecutor)
{
  return kExecutorAddressPrefix + aExecutor.mValue;
}

bool
IsExecutorAddressKey(std::string_view aKey)
{
  return !aKey.empty() && aKey.front() == kExecutorAddressPrefix;
}

std::string
EncodeLeaseExpiry(TimePoint aLapsedAt)
{
  record::Silence out;
  out.lapsed_at_ms = UnixMilliseconds(aLapsedAt);
  return Encode(out);
}

absl::StatusOr<TimePoint>
DecodeLeaseExpiry(std::string_view aBytes)
{
  return FromUnixMilliseconds(TRY(Decode<record::Silence>(aBytes)).lapsed_at_ms);
}

TenantHash
TenantHashOf(const TenantName& aTenant)
{
  if (aTenant.IsEmpty()) {
    return 0;
  }
  auto tag = static_cast<TenantHash>(StableHash(aTenant.mValue));
  return tag == 0 ? 1 : tag;
}

std::string
EncodeProgress(const JobProgress& aProgress)
{
  record::Progress out;
  out.phase = static_cast<std::int32_t>(aProgress.mPhase);
  for (const auto& step : aProgress.mFinishedSteps) {
    record::FinishedStep finished;
    finished.occurrence = step.mOccurrence;
    finished.step = step.mStep;
    out.finished_steps.push_back(finished);
  }
  out.__isset.finished_steps = !out.finished_steps.empty();
  for (const auto& task : aProgress.mTasks) {
    record::Task entry;
    entry.occurrence = task.mOccurrence;
    entry.step = task.mStep;
    entry.index = task.mIndex;
    if (task.mHighestRun != 0) {
      entry.__set_highest_run(task.mHighestRun);
    }
    if (!task.mFailedRuns.empty()) {
      entry.__set_failed_runs(task.mFailedRuns);
    }
    if (!task.mCheckpoint.empty()) {
      entry.__set_checkpoint(task.mCheckpoint);
      if (task.mCheckpointRun != task.mHighestRun) {
        entry.__set_checkpoint_run(task.mCheckpointRun);
      }
    }
    if (task.mDone) {
      entry.__set_done(true);
    }
    for (const auto& placed : task.mExecutors) {
      entry.executors.push_back(placed.mExecutor.mValue);
      entry.incarnations.push_back(placed.mIncarnation);
    }
    entry.__isset.executors = !entry.executors.empty();
    entry.__isset.incarnations = !entry.incarnations.empty();
    if (task.mCrashes != 0) {
      entry.__set_crashes(task.mCrashes);
      entry.__set_coincidence(task.mCoincidence);
    }
    EncodeBegun(task.mExecutors, entry);
    out.tasks.push_back(std::move(entry));
  }
  out.__isset.tasks = !out.tasks.empty();
  if (aProgress.mTenantHash != 0) {
    out.__set_tenant_hash(aProgress.mTenantHash);
  }
  if (!aProgress.mService.IsEmpty()) {
    out.__set_run_by(aProgress.mService.mValue);
  }
  if (aProgress.mIsForwarded) {
    out.__set_forwarded(true);
  }
  return Encode(out);
}

absl::StatusOr<JobProgress>
DecodeProgress(std::string_view aBytes)
{
  auto record = TRY(Decode<record::Progress>(aBytes));
  JobProgress progress;
  progress.mPhase = TRY(PhaseOf(record.phase));
  progress.mTenantHash = record.tenant_hash;
  progress.mService = ServiceName(std::move(record.run_by));
  progress.mIsForwarded = record.forwarded;
  for (const auto& step : record.finished_steps) {
    progress.mFinishedSteps.push_back({ step.occurrence, step.step });
  }
  for (auto& task : record.tasks) {
    TaskProgress entry;
    entry.mOccurrence = task.occurrence;
    entry.mStep = task.step;
    entry.mIndex = task.index;
    entry.mHighestRun = task.highest_run;
    entry.mFailedRuns = std::move(task.failed_runs);
    entry.mCheckpoint = std::move(task.checkpoint);
    entry.mCheckpointRun = task.__isset.checkpoint_run ? task.checkpoint_run : task.highest_run;
    entry.mDone = task.done;
    entry.mCrashes = task.crashes;
    entry.mCoincidence = DecodeCoincidence(task);
    // A record of a former version has no incarnations.
    task.incarnations.resize(task.executors.size());
    task.begun.resize(task.executors.size());
    for (std::size_t i = 0; i < task.executors.size(); ++i) {
      entry.mExecutors.push_back(
        { ExecutorId(task.executors[i]), task.incarnations[i], task.begun[i] });
    }
    progress.mTasks.push_back(std::move(entry));
  }
  return progress;
}

std::string
EncodeJobState(const JobState& aState)
{
  record::JobState out;
  out.phase = static_cast<std::int32_t>(aState.mPhase);
  if (!aState.mPendingIn.IsEmpty()) {
    out.__set_pending_in(aState.mPendingIn.mValue);
  }
  if (aState.mTenantHash != 0) {
    out.__set_tenant_hash(aState.mTenantHash);
  }
  if (!aState.mRunBy.IsEmpty()) {
    out.__set_run_by(aState.mRunBy.mValue);
  }
  return Encode(out);
}

absl::StatusOr<JobState>
DecodeJobState(std::string_view aBytes)
{
  auto record = TRY(Decode<record::JobState>(aBytes));
  return JobState{ TRY(PhaseOf(record.phase)),
                   QueueName(std::move(record.pending_in)),
                   record.tenant_hash,
                   ServiceName(std::move(record.run_by)) };
}

std::string
EncodeStateCoverage(const StateCoverage& aCoverage)
{
  record::StateCoverage out;
  out.jobs_end = aCoverage.mJobsEnd;
  out.progress_end = aCoverage.mProgressEnd;
  return Encode(out);
}

absl::StatusOr<StateCoverage>
DecodeStateCoverage(std::string_view aBytes)
{
  auto record = TRY(Decode<record::StateCoverage>(aBytes));
  return StateCoverage{ record.jobs_end, record.progress_end };
}

}
