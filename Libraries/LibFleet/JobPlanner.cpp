#include "LibFleet/JobPlanner.h"

#include <algorithm>
#include <cmath>

namespace sesameseam {

namespace {

using TaskKey = std::pair<JobId, std::int64_t>;

// The inputs of one plan.
struct PlanContext
{
  const FleetState& mState;
  JobPlannerMemory& mMemory;
  const JobPlannerSettings& mSettings;
  const std::set<HostName>& mLive;
  const IsHandedOver& mHandedOver;
  TimePoint mNow;
  std::map<TaskKey, TaskReport> mReports;
};

std::string
MakeTopic(const std::string& aWhat, const JobId& aJob, std::int64_t aEpoch)
{
  return aWhat + " " + aJob.mValue + " " + std::to_string(aEpoch);
}

void
ProposeEnd(JobPlan& aPlan,
           const JobState& aJob,
           JobEnd aEnd,
           const std::string& aCheckpoint,
           const std::string& aReason,
           double aUsedSlots = 0.0)
{
  const auto& id = aJob.mAccepted.mJob;
  JobEnded ended{ id, aJob.mEpoch, aEnd, aCheckpoint, aReason, aUsedSlots };
  aPlan.mChanges.push_back({ MakeTopic("job-ended", id, aJob.mEpoch), ended });
}

// Returns whether the task has ended for certain: it was not seen running, and its lease was not
// renewed, for the length of the lease and its margin. This holds whatever became of its worker.
bool
HasLeaseExpired(const PlanContext& aContext, const TaskKey& aKey)
{
  auto seen = aContext.mMemory.mLastSeen.find(aKey);
  auto renewed = aContext.mMemory.mLastRenewed.find(aKey);
  auto last = aContext.mMemory.mLeadingSince;
  if (seen != aContext.mMemory.mLastSeen.end()) {
    last = std::max(last, seen->second);
  }
  if (renewed != aContext.mMemory.mLastRenewed.end()) {
    last = std::max(last, renewed->second);
  }
  return aContext.mNow - last > aContext.mSettings.mLease + aContext.mSettings.mLeaseMargin;
}

bool
IsWorkerLeaving(const PlanContext& aContext, const JobState& aJob)
{
  auto host = aContext.mState.mHosts.find(aJob.mWorker);
  return host == aContext.mState.mHosts.end() || host->second.mPhase != HostPhase::InService;
}

void
StartOrRenew(PlanContext& aContext, const JobState& aJob, JobPlan& aPlan)
{
  TaskKey key{ aJob.mAccepted.mJob, aJob.mEpoch };
  auto renewed = aContext.mMemory.mLastRenewed.find(key);
  bool due = renewed == aContext.mMemory.mLastRenewed.end() ||
             aContext.mNow - renewed->second >= aContext.mSettings.mRenewInterval;
  if (!due || !aContext.mHandedOver(aJob.mWorker, aJob.mVersion)) {
    return;
  }
  aContext.mMemory.mLastRenewed[key] = aContext.mNow;
  aPlan.mStarts.push_back({ aJob.mWorker,
                            aJob.mAccepted.mJob,
                            aJob.mEpoch,
                            aJob.mCheckpoint,
                            aJob.mAccepted.mBody,
                            aContext.mSettings.mLease });
}

// Releases a job once its lease has expired. An unreachable worker gets no renewals, so the lease
// bounds how long its task can still run.
void
ReleaseIfLeaseExpired(PlanContext& aContext, const JobState& aJob, JobPlan& aPlan)
{
  if (HasLeaseExpired(aContext, { aJob.mAccepted.mJob, aJob.mEpoch })) {
    ProposeEnd(aPlan, aJob, JobEnd::Released, aJob.mCheckpoint, "the lease lapsed");
  }
}

void
HandleReport(PlanContext& aContext, const JobState& aJob, const TaskReport& aReport, JobPlan& aPlan)
{
  const auto& checkpoint = aReport.mCheckpoint.empty() ? aJob.mCheckpoint : aReport.mCheckpoint;
  switch (aReport.mPhase) {
    case TaskPhase::Finished:
      ProposeEnd(aPlan, aJob, JobEnd::Finished, checkpoint, "", aReport.mUsedSlots);
      return;
    case TaskPhase::Failed:
      ProposeEnd(aPlan, aJob, JobEnd::Failed, checkpoint, aReport.mReason);
      return;
    case TaskPhase::Stopped:
      ProposeEnd(aPlan, aJob, JobEnd::Released, checkpoint, "the task was stopped");
      return;
    case TaskPhase::Running:
      break;
  }
  aContext.mMemory.mLastSeen[{ aJob.mAccepted.mJob, aJob.mEpoch }] = aContext.mNow;
  if (checkpoint != aJob.mCheckpoint) {
    aContext.mMemory.mCheckpoints[aJob.mAccepted.mJob] = checkpoint;
  }
  if (IsWorkerLeaving(aContext, aJob)) {
    aPlan.mStops.push_back({ aJob.mWorker, aJob.mAccepted.mJob, aJob.mEpoch });
    return;
  }
  StartOrRenew(aContext, aJob, aPlan);
}

void
HandleAssigned(PlanContext& aContext, const JobState& aJob, JobPlan& aPlan)
{
  auto report = aContext.mReports.find({ aJob.mAccepted.mJob, aJob.mEpoch });
  if (report != aContext.mReports.end()) {
    HandleReport(aContext, aJob, report->second, aPlan);
    return;
  }
  bool unreachable = !aContext.mLive.contains(aJob.mWorker);
  // A requested start may be in progress although no report shows it yet.
  if (unreachable || IsWorkerLeaving(aContext, aJob)) {
    ReleaseIfLeaseExpired(aContext, aJob, aPlan);
    return;
  }
  StartOrRenew(aContext, aJob, aPlan);
}

// Stops tasks of jobs that were cancelled, and tasks from an earlier epoch.
void
StopStaleTasks(PlanContext& aContext, JobPlan& aPlan)
{
  for (const auto& [key, report] : aContext.mReports) {
    if (report.mPhase != TaskPhase::Running) {
      continue;
    }
    auto job = aContext.mState.mJobs.mJobs.find(report.mJob);
    bool current = job != aContext.mState.mJobs.mJobs.end() &&
                   job->second.mPhase == JobPhase::Assigned && job->second.mEpoch == report.mEpoch;
    if (!current) {
      aPlan.mStops.push_back({ report.mWorker, report.mJob, report.mEpoch });
    }
  }
}

void
QuarantineFailingWorkers(const PlanContext& aContext, JobPlan& aPlan)
{
  for (const auto& [name, worker] : aContext.mState.mJobs.mWorkers) {
    bool failing = worker.mConsecutiveFailures >= aContext.mSettings.mQuarantineThreshold;
    if (failing && !worker.mQuarantined) {
      WorkerQuarantined change{
        name, true, std::to_string(worker.mConsecutiveFailures) + " jobs in a row failed"
      };
      aPlan.mChanges.push_back({ "quarantine " + name.mValue, change });
    }
  }
}

struct WorkerCapacity
{
  int mUsed = 0;
  int mLimit = 0;
};

std::map<HostName, WorkerCapacity>
ComputeWorkerCapacity(const PlanContext& aContext)
{
  std::map<HostName, WorkerCapacity> capacity;
  for (const auto& [name, host] : aContext.mState.mHosts) {
    auto record = aContext.mState.mJobs.mWorkers.find(name);
    bool quarantined =
      record != aContext.mState.mJobs.mWorkers.end() && record->second.mQuarantined;
    if (host.mPhase != HostPhase::InService || quarantined || !aContext.mLive.contains(name)) {
      continue;
    }
    auto limit = std::floor(aContext.mSettings.mMaxJobShare * host.mSlots);
    capacity[name].mLimit = std::max(1, static_cast<int>(limit));
  }
  for (const auto& id : aContext.mState.mJobs.mOpen) {
    const auto& job = aContext.mState.mJobs.mJobs.at(id);
    auto found = capacity.find(job.mWorker);
    if (job.mPhase == JobPhase::Assigned && found != capacity.end()) {
      found->second.mUsed += RequiredSlots(aContext.mState.mJobs, job.mAccepted);
    }
  }
  return capacity;
}

// Returns the least used worker of the pool that has capacity for the job and on which the job has
// not failed.
std::optional<HostName>
ChooseWorker(const PlanContext& aContext,
             const JobState& aJob,
             std::map<HostName, WorkerCapacity>& aCapacity)
{
  auto slots = RequiredSlots(aContext.mState.mJobs, aJob.mAccepted);
  std::optional<HostName> best;
  for (const auto& [name, capacity] : aCapacity) {
    const auto& host = aContext.mState.mHosts.at(name);
    // A job that exceeds the share of every worker may still have a worker to itself.
    bool fits =
      capacity.mUsed + slots <= capacity.mLimit || (capacity.mUsed == 0 && slots <= host.mSlots);
    if (host.mPool != aJob.mAccepted.mPool || !fits || aJob.mFailedOn.contains(name)) {
      continue;
    }
    if (!best || capacity.mUsed < aCapacity.at(*best).mUsed) {
      best = name;
    }
  }
  if (best) {
    aCapacity.at(*best).mUsed += slots;
  }
  return best;
}

std::vector<const JobState*>
QueuedByDeadline(const PlanContext& aContext)
{
  std::vector<const JobState*> queued;
  for (const auto& id : aContext.mState.mJobs.mOpen) {
    const auto& job = aContext.mState.mJobs.mJobs.at(id);
    if (job.mPhase == JobPhase::Queued) {
      queued.push_back(&job);
    }
  }
  std::stable_sort(queued.begin(), queued.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mAccepted.mDeadline < aRight->mAccepted.mDeadline;
  });
  return queued;
}

void
AssignQueued(const PlanContext& aContext, JobPlan& aPlan)
{
  auto capacity = ComputeWorkerCapacity(aContext);
  std::size_t assigned = 0;
  for (const auto* job : QueuedByDeadline(aContext)) {
    if (assigned >= aContext.mSettings.mMaxAssignmentsPerPlan) {
      return;
    }
    auto worker = ChooseWorker(aContext, *job, capacity);
    if (!worker) {
      continue;
    }
    const auto& id = job->mAccepted.mJob;
    auto epoch = job->mEpoch + 1;
    aPlan.mChanges.push_back(
      { MakeTopic("job-assigned", id, epoch), JobAssigned{ id, *worker, epoch } });
    assigned += 1;
  }
}

// Batches the checkpoints of all jobs into one record.
void
RecordCheckpoints(PlanContext& aContext, JobPlan& aPlan)
{
  JobsCheckpointed record;
  for (const auto& [id, checkpoint] : aContext.mMemory.mCheckpoints) {
    auto job = aContext.mState.mJobs.mJobs.find(id);
    bool open = job != aContext.mState.mJobs.mJobs.end() &&
                job->second.mPhase == JobPhase::Assigned && job->second.mCheckpoint != checkpoint;
    if (open) {
      record.mJobs.push_back({ id, job->second.mEpoch, checkpoint });
    }
  }
  aContext.mMemory.mCheckpoints.clear();
  if (!record.mJobs.empty()) {
    aPlan.mChanges.push_back({ "jobs-checkpointed", record });
  }
}

void
PruneEndedTasks(PlanContext& aContext)
{
  auto isOver = [&](const auto& aEntry) {
    return !aContext.mState.mJobs.mOpen.contains(aEntry.first.first);
  };
  std::erase_if(aContext.mMemory.mLastSeen, isOver);
  std::erase_if(aContext.mMemory.mLastRenewed, isOver);
}

}

JobPlan
PlanJobs(const FleetState& aState,
         JobPlannerMemory& aMemory,
         const JobPlannerSettings& aSettings,
         const std::vector<TaskReport>& aReports,
         const std::set<HostName>& aLive,
         const IsHandedOver& aHandedOver,
         TimePoint aNow)
{
  PlanContext context{ aState, aMemory, aSettings, aLive, aHandedOver, aNow, {} };
  for (const auto& report : aReports) {
    context.mReports.emplace(TaskKey{ report.mJob, report.mEpoch }, report);
  }
  JobPlan plan;
  for (const auto& id : aState.mJobs.mOpen) {
    const auto& job = aState.mJobs.mJobs.at(id);
    if (job.mPhase == JobPhase::Assigned) {
      HandleAssigned(context, job, plan);
    }
  }
  StopStaleTasks(context, plan);
  QuarantineFailingWorkers(context, plan);
  AssignQueued(context, plan);
  RecordCheckpoints(context, plan);
  PruneEndedTasks(context);
  return plan;
}

}
