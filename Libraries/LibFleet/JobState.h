#pragma once

#include "LibFleet/JobRecords.h"

#include <map>
#include <set>

namespace sesameseam {

enum class JobPhase
{
  Queued,
  Assigned,
  Finished,
  Cancelled,
  // Failed on several healthy workers, so that it can never run.
  Unrunnable,
};

template<>
struct EnumNames<JobPhase>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, JobPhase>{ "queued", JobPhase::Queued },
    std::pair<std::string_view, JobPhase>{ "assigned", JobPhase::Assigned },
    std::pair<std::string_view, JobPhase>{ "finished", JobPhase::Finished },
    std::pair<std::string_view, JobPhase>{ "cancelled", JobPhase::Cancelled },
    std::pair<std::string_view, JobPhase>{ "unrunnable", JobPhase::Unrunnable },
  };
};

struct JobState
{
  JobAccepted mAccepted;
  JobPhase mPhase = JobPhase::Queued;
  // The offset of the record that brought the phase about.
  std::int64_t mVersion = -1;
  TimePoint mSince;
  std::int64_t mEpoch = 0;
  HostName mWorker;
  std::string mCheckpoint;
  std::set<HostName> mFailedOn;
  std::string mReason;

  bool operator==(const JobState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, JobState& aJob)
{
  aVisit("accepted", aJob.mAccepted);
  aVisit("phase", aJob.mPhase);
  aVisit("version", aJob.mVersion);
  aVisit("since", aJob.mSince);
  aVisit("epoch", aJob.mEpoch);
  aVisit("worker", aJob.mWorker);
  aVisit("checkpoint", aJob.mCheckpoint);
  aVisit("failed_on", aJob.mFailedOn);
  aVisit("reason", aJob.mReason);
}

// What was observed of the jobs of one kind.
struct JobKindStatistics
{
  double mUsedSlots = 0.0;
  std::int64_t mSamples = 0;

  bool operator==(const JobKindStatistics&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, JobKindStatistics& aKind)
{
  aVisit("used_slots", aKind.mUsedSlots);
  aVisit("samples", aKind.mSamples);
}

struct WorkerHealth
{
  // Failures since a job last finished on the worker.
  std::int64_t mConsecutiveFailures = 0;
  bool mQuarantined = false;
  std::string mReason;

  bool operator==(const WorkerHealth&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, WorkerHealth& aRecord)
{
  aVisit("failures_in_row", aRecord.mConsecutiveFailures);
  aVisit("quarantined", aRecord.mQuarantined);
  aVisit("reason", aRecord.mReason);
}

struct JobsState
{
  std::map<JobId, JobState> mJobs;
  // The jobs that have not ended, which are the only ones that planning looks at.
  std::set<JobId> mOpen;
  std::map<std::string, JobKindStatistics> mKinds;
  std::map<HostName, WorkerHealth> mWorkers;
  // Ended jobs in the order of their ends; the oldest are forgotten first.
  std::vector<JobId> mEnded;

  bool operator==(const JobsState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, JobsState& aState)
{
  aVisit("jobs", aState.mJobs);
  aVisit("open", aState.mOpen);
  aVisit("kinds", aState.mKinds);
  aVisit("workers", aState.mWorkers);
  aVisit("ended", aState.mEnded);
}

}
