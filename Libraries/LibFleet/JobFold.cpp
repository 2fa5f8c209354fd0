#include "LibFleet/JobFold.h"

#include <algorithm>
#include <cmath>

namespace sesameseam {

namespace {

absl::StatusOr<JobState*>
FindJob(FleetState& aState, const JobId& aJob)
{
  auto found = aState.mJobs.mJobs.find(aJob);
  if (found == aState.mJobs.mJobs.end()) {
    return MakeError(ErrorKind::UnknownJob, "no job '" + aJob.mValue + "'");
  }
  return &found->second;
}

// The job, if the epoch is the one in force.
absl::StatusOr<JobState*>
FindAssigned(FleetState& aState, const JobId& aJob, std::int64_t aEpoch)
{
  auto* job = TRY(FindJob(aState, aJob));
  if (job->mPhase != JobPhase::Assigned || job->mEpoch != aEpoch) {
    return MakeError(ErrorKind::StaleVersion,
                     "job '" + aJob.mValue + "' is " + std::string(EnumName(job->mPhase)) +
                       " at epoch " + std::to_string(job->mEpoch));
  }
  return job;
}

void
SetPhase(JobState& aJob, JobPhase aPhase, const Record& aRecord, Offset aOffset)
{
  aJob.mPhase = aPhase;
  aJob.mVersion = aOffset;
  aJob.mSince = aRecord.mTime;
}

void
MarkEnded(JobsState& aJobs, const JobId& aJob)
{
  aJobs.mOpen.erase(aJob);
  aJobs.mEnded.push_back(aJob);
  if (aJobs.mEnded.size() <= kMaxEndedJobs) {
    return;
  }
  // Forgets a tenth at once, since erasing at the front moves all the others.
  auto surplus = static_cast<std::ptrdiff_t>(kMaxEndedJobs / 10);
  for (auto it = aJobs.mEnded.begin(); it != aJobs.mEnded.begin() + surplus; ++it) {
    aJobs.mJobs.erase(*it);
  }
  aJobs.mEnded.erase(aJobs.mEnded.begin(), aJobs.mEnded.begin() + surplus);
}

void
UpdateKindStatistics(JobsState& aJobs, const JobState& aJob, double aUsedSlots)
{
  if (aUsedSlots <= 0.0) {
    return;
  }
  auto& kind = aJobs.mKinds[aJob.mAccepted.mKind];
  kind.mSamples += 1;
  auto weight = static_cast<double>(std::min<std::int64_t>(kind.mSamples, 10));
  kind.mUsedSlots += (aUsedSlots - kind.mUsedSlots) / weight;
}

void
CountFailure(JobsState& aJobs, JobState& aJob)
{
  auto& worker = aJobs.mWorkers[aJob.mWorker];
  worker.mConsecutiveFailures += 1;
  if (!worker.mQuarantined) {
    aJob.mFailedOn.insert(aJob.mWorker);
  }
}

// A worker in quarantine says nothing about the jobs that failed on it.
void
ClearFailuresOn(JobsState& aJobs, const HostName& aWorker)
{
  for (const auto& id : aJobs.mOpen) {
    aJobs.mJobs.at(id).mFailedOn.erase(aWorker);
  }
}

}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const JobAccepted& aChange)
{
  if (!aState.mPools.contains(aChange.mPool)) {
    return MakeError(ErrorKind::UnknownPool, "no pool '" + aChange.mPool.mValue + "'");
  }
  if (aState.mJobs.mJobs.contains(aChange.mJob)) {
    return MakeError(ErrorKind::BadState, "job '" + aChange.mJob.mValue + "' is accepted already");
  }
  JobState job;
  job.mAccepted = aChange;
  SetPhase(job, JobPhase::Queued, aRecord, aOffset);
  aState.mJobs.mJobs.emplace(aChange.mJob, std::move(job));
  aState.mJobs.mOpen.insert(aChange.mJob);
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const JobAssigned& aChange)
{
  auto* job = TRY(FindJob(aState, aChange.mJob));
  auto worker = aState.mHosts.find(aChange.mWorker);
  if (job->mPhase != JobPhase::Queued || aChange.mEpoch != job->mEpoch + 1) {
    return MakeError(ErrorKind::StaleVersion,
                     "job '" + aChange.mJob.mValue + "' is " + std::string(EnumName(job->mPhase)) +
                       " at epoch " + std::to_string(job->mEpoch));
  }
  if (worker == aState.mHosts.end() || worker->second.mPhase != HostPhase::InService ||
      worker->second.mPool != job->mAccepted.mPool) {
    return MakeError(ErrorKind::BadState,
                     "worker '" + aChange.mWorker.mValue + "' is not in service in the job's pool");
  }
  SetPhase(*job, JobPhase::Assigned, aRecord, aOffset);
  job->mEpoch = aChange.mEpoch;
  job->mWorker = aChange.mWorker;
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const JobEnded& aChange)
{
  auto* job = TRY(FindAssigned(aState, aChange.mJob, aChange.mEpoch));
  if (!aChange.mCheckpoint.empty()) {
    job->mCheckpoint = aChange.mCheckpoint;
  }
  job->mReason = aChange.mReason;
  SetPhase(*job, JobPhase::Queued, aRecord, aOffset);
  if (aChange.mEnd == JobEnd::Finished) {
    SetPhase(*job, JobPhase::Finished, aRecord, aOffset);
    aState.mJobs.mWorkers[job->mWorker].mConsecutiveFailures = 0;
    UpdateKindStatistics(aState.mJobs, *job, aChange.mUsedSlots);
    MarkEnded(aState.mJobs, aChange.mJob);
  } else if (aChange.mEnd == JobEnd::Failed) {
    CountFailure(aState.mJobs, *job);
    if (job->mFailedOn.size() >= kMaxFailedWorkers) {
      SetPhase(*job, JobPhase::Unrunnable, aRecord, aOffset);
      MarkEnded(aState.mJobs, aChange.mJob);
    }
  }
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record&, Offset, const JobsCheckpointed& aChange)
{
  for (const auto& entry : aChange.mJobs) {
    auto job = FindAssigned(aState, entry.mJob, entry.mEpoch);
    if (job.ok()) {
      (*job)->mCheckpoint = entry.mCheckpoint;
    }
  }
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const JobsCancelled& aChange)
{
  for (const auto& id : aChange.mJobs) {
    auto job = FindJob(aState, id);
    if (job.ok() && aState.mJobs.mOpen.contains(id)) {
      SetPhase(**job, JobPhase::Cancelled, aRecord, aOffset);
      MarkEnded(aState.mJobs, id);
    }
  }
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record&, Offset, const WorkerQuarantined& aChange)
{
  if (!aState.mHosts.contains(aChange.mWorker)) {
    return MakeError(ErrorKind::UnknownHost, "no host '" + aChange.mWorker.mValue + "'");
  }
  auto& worker = aState.mJobs.mWorkers[aChange.mWorker];
  worker.mQuarantined = aChange.mQuarantined;
  worker.mReason = aChange.mReason;
  worker.mConsecutiveFailures = 0;
  if (aChange.mQuarantined) {
    ClearFailuresOn(aState.mJobs, aChange.mWorker);
  }
  return absl::OkStatus();
}

int
RequiredSlots(const JobsState& aJobs, const JobAccepted& aJob)
{
  auto slots = aJob.mSlots;
  auto kind = aJobs.mKinds.find(aJob.mKind);
  if (kind != aJobs.mKinds.end() && kind->second.mSamples >= kMinKindSamples) {
    slots = kind->second.mUsedSlots;
  }
  // A little less than a whole slot above a whole number is noise of the reports.
  constexpr double kNoise = 0.05;
  return std::max(1, static_cast<int>(std::ceil(slots - kNoise)));
}

int
SlotsHeldByJobs(const FleetState& aState, const HostName& aWorker)
{
  int slots = 0;
  for (const auto& id : aState.mJobs.mOpen) {
    const auto& job = aState.mJobs.mJobs.at(id);
    if (job.mPhase == JobPhase::Assigned && job.mWorker == aWorker) {
      slots += RequiredSlots(aState.mJobs, job.mAccepted);
    }
  }
  return slots;
}

bool
HasJobs(const FleetState& aState, const HostName& aWorker)
{
  return std::any_of(aState.mJobs.mOpen.begin(), aState.mJobs.mOpen.end(), [&](const auto& aId) {
    const auto& job = aState.mJobs.mJobs.at(aId);
    return job.mPhase == JobPhase::Assigned && job.mWorker == aWorker;
  });
}

}
