#pragma once

#include "LibBase/Id.h"
#include "LibBase/Json.h"
#include "LibBase/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Log records of long-running jobs, which run as tasks on workers, under leases of the platform.
namespace sesameseam {

// Creates a job. Its submission is acknowledged only after this record was folded.
struct JobAccepted
{
  JobId mJob;
  PoolName mPool;
  TeamName mTeam;
  // Sizes and run times are estimated by kind.
  std::string mKind;
  // The declared size, in slots of one worker.
  double mSlots = 1.0;
  TimePoint mDeadline;
  std::string mBody;

  bool operator==(const JobAccepted&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, JobAccepted& aChange)
{
  aVisit("job", aChange.mJob, Presence::Required);
  aVisit("pool", aChange.mPool, Presence::Required);
  aVisit("team", aChange.mTeam);
  aVisit("kind", aChange.mKind);
  aVisit("slots", aChange.mSlots);
  aVisit("deadline", aChange.mDeadline);
  aVisit("body", aChange.mBody);
}

// Assigns the job to the worker. Each assignment increments the epoch, and reports from earlier
// epochs are ignored.
struct JobAssigned
{
  JobId mJob;
  HostName mWorker;
  std::int64_t mEpoch = 0;
};

template<typename V>
void
VisitFields(V& aVisit, JobAssigned& aChange)
{
  aVisit("job", aChange.mJob, Presence::Required);
  aVisit("worker", aChange.mWorker, Presence::Required);
  aVisit("epoch", aChange.mEpoch, Presence::Required);
}

enum class JobEnd
{
  Finished,
  // The job failed on this worker.
  Failed,
  // The worker released the job, or its lease expired. This is no failure of the job.
  Released,
};

template<>
struct EnumNames<JobEnd>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, JobEnd>{ "finished", JobEnd::Finished },
    std::pair<std::string_view, JobEnd>{ "failed", JobEnd::Failed },
    std::pair<std::string_view, JobEnd>{ "released", JobEnd::Released },
  };
};

// Ends the assignment of a job.
struct JobEnded
{
  JobId mJob;
  std::int64_t mEpoch = 0;
  JobEnd mEnd = JobEnd::Released;
  // The checkpoint from which the next assignment resumes.
  std::string mCheckpoint;
  std::string mReason;
  // The slots that the worker reported as used, for a finished job.
  double mUsedSlots = 0.0;
};

template<typename V>
void
VisitFields(V& aVisit, JobEnded& aChange)
{
  aVisit("job", aChange.mJob, Presence::Required);
  aVisit("epoch", aChange.mEpoch, Presence::Required);
  aVisit("end", aChange.mEnd, Presence::Required);
  aVisit("checkpoint", aChange.mCheckpoint);
  aVisit("reason", aChange.mReason);
  aVisit("used_slots", aChange.mUsedSlots);
}

struct CheckpointedJob
{
  JobId mJob;
  std::int64_t mEpoch = 0;
  std::string mCheckpoint;
};

template<typename V>
void
VisitFields(V& aVisit, CheckpointedJob& aEntry)
{
  aVisit("job", aEntry.mJob, Presence::Required);
  aVisit("epoch", aEntry.mEpoch, Presence::Required);
  aVisit("checkpoint", aEntry.mCheckpoint, Presence::Required);
}

// The checkpoints that tasks reported since the last record of this kind.
struct JobsCheckpointed
{
  std::vector<CheckpointedJob> mJobs;
};

template<typename V>
void
VisitFields(V& aVisit, JobsCheckpointed& aChange)
{
  aVisit("jobs", aChange.mJobs, Presence::Required);
}

// Cancels any number of jobs with one record.
struct JobsCancelled
{
  std::vector<JobId> mJobs;
};

template<typename V>
void
VisitFields(V& aVisit, JobsCancelled& aChange)
{
  aVisit("jobs", aChange.mJobs, Presence::Required);
}

// Quarantines a worker on which jobs keep failing, so that it gets no more jobs, or releases it
// from quarantine.
struct WorkerQuarantined
{
  HostName mWorker;
  bool mQuarantined = true;
  std::string mReason;
};

template<typename V>
void
VisitFields(V& aVisit, WorkerQuarantined& aChange)
{
  aVisit("worker", aChange.mWorker, Presence::Required);
  aVisit("quarantined", aChange.mQuarantined);
  aVisit("reason", aChange.mReason);
}

}
