#pragma once

#include "LibFleet/JobFold.h"

#include <set>
#include <string>
#include <vector>

// Decides where jobs run, from the state and from what the platform reports about tasks.
namespace sesameseam {

enum class TaskPhase
{
  Running,
  Finished,
  Failed,
  // The task was stopped, with the checkpoint that is reported.
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

// What the platform says about a task. It lags.
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
  // On top of the lease, until a task that is out of reach counts as ended.
  Duration mLeaseMargin = 5s;
  // Failures in a row, of different jobs, after which a worker is quarantined.
  std::int64_t mQuarantineThreshold = 3;
  // Share of a worker's slots that jobs may hold.
  double mMaxJobShare = 0.5;
  std::size_t mMaxAssignmentsPerPlan = 50;
};

// What one leader remembers between plans. A new leader starts with nothing.
struct JobPlannerMemory
{
  TimePoint mLeadingSince;
  // When the task of each job was last seen, or its lease last renewed, at the epoch.
  std::map<std::pair<JobId, std::int64_t>, TimePoint> mLastSeen;
  std::map<std::pair<JobId, std::int64_t>, TimePoint> mLastRenewed;
  std::map<JobId, std::string> mCheckpoints;
};

// Start the task, or renew its lease if it runs already at this epoch.
struct StartTask
{
  HostName mWorker;
  JobId mJob;
  std::int64_t mEpoch = 0;
  std::string mCheckpoint;
  std::string mBody;
  Duration mLease = Duration::zero();
};

// Stop the task, after a checkpoint where it can make one.
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

// The workers whose slots, as they stand at this version, no entry host may still use.
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
