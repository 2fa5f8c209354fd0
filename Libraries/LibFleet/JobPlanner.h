#pragma once

#include "LibFleet/JobFold.h"

#include <set>
#include <string>
#include <vector>

// Assigns jobs to workers, from the state of the fleet and the platform's reports on tasks.
namespace sesameseam {

enum class TaskPhase
{
  Running,
  Finished,
  Failed,
  // The task was stopped at the reported checkpoint.
  Stopped,
};

template<>
struct EnumNames<TaskPhase>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, TaskPhase>{ "running", TaskPhase::Running },
    std::pair<std::string_view, TaskPhase>{ "finished", TaskPhase::Finished },
    std::pair<std::string_view, TaskPhase>{ "failed", TaskPhase::Failed },
    std::pair<std::string_view, TaskPhase>{ "stopped", TaskPhase::Stopped },
  };
};

// The platform's report on a task, which lags behind the task itself.
struct TaskReport
{
  HostName mWorker;
  JobId mJob;
  std::int64_t mEpoch = 0;
  TaskPhase mPhase = TaskPhase::Running;
  std::string mCheckpoint;
  std::string mReason;
  double mUsedSlots = 0.0;
};

template<typename V>
void
VisitFields(V& aVisit, TaskReport& aReport)
{
  aVisit("worker", aReport.mWorker, Presence::Required);
  aVisit("job", aReport.mJob, Presence::Required);
  aVisit("epoch", aReport.mEpoch, Presence::Required);
  aVisit("phase", aReport.mPhase, Presence::Required);
  aVisit("checkpoint", aReport.mCheckpoint);
  aVisit("reason", aReport.mReason);
  aVisit("used_slots", aReport.mUsedSlots);
}

struct JobPlannerSettings
{
  // The platform ends a task whose lease was not renewed for this long.
  Duration mLease = 10s;
  Duration mRenewInterval = 3s;
  // Added to the lease before an unreachable task counts as ended.
  Duration mLeaseMargin = 5s;
  // Consecutive failures, of different jobs, after which a worker is quarantined.
  std::int64_t mQuarantineThreshold = 3;
  // The share of a worker's slots that jobs may hold.
  double mMaxJobShare = 0.5;
  std::size_t mMaxAssignmentsPerPlan = 50;
};

// State that a leader keeps between plans. It is not persisted: a new leader starts without it.
struct JobPlannerMemory
{
  TimePoint mLeadingSince;
  // When the task of the job was last reported as running, and its lease last renewed, by job and
  // epoch.
  std::map<std::pair<JobId, std::int64_t>, TimePoint> mLastSeen;
  std::map<std::pair<JobId, std::int64_t>, TimePoint> mLastRenewed;
  // Reported checkpoints that the log does not hold yet.
  std::map<JobId, std::string> mCheckpoints;
};

// Starts the task, or renews its lease if it is already running at this epoch.
struct StartTask
{
  HostName mWorker;
  JobId mJob;
  std::int64_t mEpoch = 0;
  std::string mCheckpoint;
  std::string mBody;
  Duration mLease = Duration::zero();
};

// Stops the task, after it has written a checkpoint if it can.
struct StopTask
{
  HostName mWorker;
  JobId mJob;
  std::int64_t mEpoch = 0;
};

struct ProposedChange
{
  std::string mTopic;
  Change mChange;
};

struct JobPlan
{
  std::vector<ProposedChange> mChanges;
  std::vector<StartTask> mStarts;
  std::vector<StopTask> mStops;
};

// Returns whether no entry host may still use those slots of the worker that jobs hold as of this
// version.
using IsHandedOver = std::function<bool(const HostName& aWorker, Offset aVersion)>;

JobPlan
PlanJobs(const FleetState& aState,
         JobPlannerMemory& aMemory,
         const JobPlannerSettings& aSettings,
         const std::vector<TaskReport>& aReports,
         const std::set<HostName>& aLive,
         const IsHandedOver& aHandedOver,
         TimePoint aNow);

}
