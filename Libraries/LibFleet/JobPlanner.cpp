#include "LibFleet/JobPlanner.h"

#include <algorithm>
#include <cmath>

namespace sesameseam {

namespace {

using TaskKey = std::pair<JobId, std::int64_t>;

// What a plan is made from, in one place.
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

// A task that was not seen for the length of its lease has ended, whatever became of its worker.
bool
HasLeaseExpired(const PlanContext& aInputs, const TaskKey& aKey)
{
  auto seen = aInputs.mMemory.mLastSeen.find(aKey);
  auto renewed = aInputs.mMemory.mLastRenewed.find(aKey);
  auto last = aInputs.mMemory.mLeadingSince;
  if (seen != aInputs.mMemory.mLastSeen.end()) {
    last = std::max(last, seen->second);
  }
  if (renewed != aInputs.mMemory.mLastRenewed.end()) {
    last = std::max(last, renewed->second);
  }
  return aInputs.mNow - last > aInputs.mSettings.mLease + aInputs.mSettings.mLeaseMargin;
}

bool
IsWorkerLeaving(const PlanContext& aInputs, const JobState& aJob)
{
  auto host = aInputs.mState.mHosts.find(aJob.mWorker);
  return host == aInputs.mState.mHosts.end() || host->second.mPhase != HostPhase::InService;
}

void
StartOrRenew(PlanContext& aInputs, const JobState& aJob, JobPlan& aPlan)
{
  TaskKey key{ aJob.mAccepted.mJob, aJob.mEpoch };
  auto renewed = aInputs.mMemory.mLastRenewed.find(key);
  bool due = renewed == aInputs.mMemory.mLastRenewed.end() ||
             aInputs.mNow - renewed->second >= aInputs.mSettings.mRenewInterval;
  if (!due || !aInputs.mHandedOver(aJob.mWorker, aJob.mVersion)) {
    return;
  }
  aInputs.mMemory.mLastRenewed[key] = aInputs.mNow;
  aPlan.mStarts.push_back({ aJob.mWorker,
                            aJob.mAccepted.mJob,
                            aJob.mEpoch,
                            aJob.mCheckpoint,
                            aJob.mAccepted.mBody,
                            aInputs.mSettings.mLease });
}

// A worker that is out of reach gets no renewals, so that the lease bounds its task.
void
ReleaseIfLeaseExpired(PlanContext& aInputs, const JobState& aJob, JobPlan& aPlan)
{
  if (HasLeaseExpired(aInputs, { aJob.mAccepted.mJob, aJob.mEpoch })) {
    ProposeEnd(aPlan, aJob, JobEnd::Released, aJob.mCheckpoint, "the lease lapsed");
  }
}

void
HandleReport(PlanContext& aInputs, const JobState& aJob, const TaskReport& aReport, JobPlan& aPlan)
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
  aInputs.mMemory.mLastSeen[{ aJob.mAccepted.mJob, aJob.mEpoch }] = aInputs.mNow;
  if (checkpoint != aJob.mCheckpoint) {
    aInputs.mMemory.mCheckpoints[aJob.mAccepted.mJob] = checkpoint;
  }
  if (IsWorkerLeaving(aInputs, aJob)) {
    aPlan.mStops.push_back({ aJob.mWorker, aJob.mAccepted.mJob, aJob.mEpoch });
    return;
  }
  StartOrRenew(aInputs, aJob, aPlan);
}

void
HandleAssigned(PlanContext& aInputs, const JobState& aJob, JobPlan& aPlan)
{
  auto report = aInputs.mReports.find({ aJob.mAccepted.mJob, aJob.mEpoch });
  if (report != aInputs.mReports.end()) {
    HandleReport(aInputs, aJob, report->second, aPlan);
    return;
  }
  bool unreachable = !aInputs.mLive.contains(aJob.mWorker);
  // A start that was asked for may be under way though no report shows it yet.
  if (unreachable || IsWorkerLeaving(aInputs, aJob)) {
    ReleaseIfLeaseExpired(aInputs, aJob, aPlan);
    return;
  }
  StartOrRenew(aInputs, aJob, aPlan);
}

// Tasks of jobs that were cancelled, or of an earlier epoch, are stopped.
void
StopStaleTasks(PlanContext& aInputs, JobPlan& aPlan)
{
  for (const auto& [key, report] : aInputs.mReports) {
    if (report.mPhase != TaskPhase::Running) {
      continue;
    }
    auto job = aInputs.mState.mJobs.mJobs.find(report.mJob);
    bool current = job != aInputs.mState.mJobs.mJobs.end() &&
                   job->second.mPhase == JobPhase::Assigned && job->second.mEpoch == report.mEpoch;
    if (!current) {
      aPlan.mStops.push_back({ report.mWorker, report.mJob, report.mEpoch });
    }
  }
}

void
QuarantineFailingWorkers(const PlanContext& aInputs, JobPlan& aPlan)
{
  for (const auto& [name, worker] : aInputs.mState.mJobs.mWorkers) {
    bool failing = worker.mConsecutiveFailures >= aInputs.mSettings.mQuarantineThreshold;
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
ComputeWorkerCapacity(const PlanContext& aInputs)
{
  std::map<HostName, WorkerCapacity> room;
  for (const auto& [name, host] : aInputs.mState.mHosts) {
    auto record = aInputs.mState.mJobs.mWorkers.find(name);
    bool quarantined = record != aInputs.mState.mJobs.mWorkers.end() && record->second.mQuarantined;
    if (host.mPhase != HostPhase::InService || quarantined || !aInputs.mLive.contains(name)) {
      continue;
    }
    auto limit = std::floor(aInputs.mSettings.mMaxJobShare * host.mSlots);
    room[name].mLimit = std::max(1, static_cast<int>(limit));
  }
  for (const auto& id : aInputs.mState.mJobs.mOpen) {
    const auto& job = aInputs.mState.mJobs.mJobs.at(id);
    auto found = room.find(job.mWorker);
    if (job.mPhase == JobPhase::Assigned && found != room.end()) {
      found->second.mUsed += RequiredSlots(aInputs.mState.mJobs, job.mAccepted);
    }
  }
  return room;
}

// The least used worker of the pool with room for the job, on which it has not failed.
std::optional<HostName>
ChooseWorker(const PlanContext& aInputs,
             const JobState& aJob,
             std::map<HostName, WorkerCapacity>& aRoom)
{
  auto slots = RequiredSlots(aInputs.mState.mJobs, aJob.mAccepted);
  std::optional<HostName> best;
  for (const auto& [name, room] : aRoom) {
    const auto& host = aInputs.mState.mHosts.at(name);
    // A job that is larger than any worker's share may still have a worker to itself.
    bool fits = room.mUsed + slots <= room.mLimit || (room.mUsed == 0 && slots <= host.mSlots);
    if (host.mPool != aJob.mAccepted.mPool || !fits || aJob.mFailedOn.contains(name)) {
      continue;
    }
    if (!best || room.mUsed < aRoom.at(*best).mUsed) {
      best = name;
    }
  }
  if (best) {
    aRoom.at(*best).mUsed += slots;
  }
  return best;
}

std::vector<const JobState*>
QueuedByDeadline(const PlanContext& aInputs)
{
  std::vector<const JobState*> queued;
  for (const auto& id : aInputs.mState.mJobs.mOpen) {
    const auto& job = aInputs.mState.mJobs.mJobs.at(id);
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
AssignQueued(const PlanContext& aInputs, JobPlan& aPlan)
{
  auto room = ComputeWorkerCapacity(aInputs);
  std::size_t assigned = 0;
  for (const auto* job : QueuedByDeadline(aInputs)) {
    if (assigned >= aInputs.mSettings.mMaxAssignmentsPerPlan) {
      return;
    }
    auto worker = ChooseWorker(aInputs, *job, room);
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

// Checkpoints go into the log together, so that many jobs cost one record.
void
RecordCheckpoints(PlanContext& aInputs, JobPlan& aPlan)
{
  JobsCheckpointed record;
  for (const auto& [id, checkpoint] : aInputs.mMemory.mCheckpoints) {
    auto job = aInputs.mState.mJobs.mJobs.find(id);
    bool open = job != aInputs.mState.mJobs.mJobs.end() &&
                job->second.mPhase == JobPhase::Assigned && job->second.mCheckpoint != checkpoint;
    if (open) {
      record.mJobs.push_back({ id, job->second.mEpoch, checkpoint });
    }
  }
  aInputs.mMemory.mCheckpoints.clear();
  if (!record.mJobs.empty()) {
    aPlan.mChanges.push_back({ "jobs-checkpointed", record });
  }
}

void
PruneEndedTasks(PlanContext& aInputs)
{
  auto isOver = [&](const auto& aEntry) {
    return !aInputs.mState.mJobs.mOpen.contains(aEntry.first.first);
  };
  std::erase_if(aInputs.mMemory.mLastSeen, isOver);
  std::erase_if(aInputs.mMemory.mLastRenewed, isOver);
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
  PlanContext inputs{ aState, aMemory, aSettings, aLive, aHandedOver, aNow, {} };
  for (const auto& report : aReports) {
    inputs.mReports.emplace(TaskKey{ report.mJob, report.mEpoch }, report);
  }
  JobPlan plan;
  for (const auto& id : aState.mJobs.mOpen) {
    const auto& job = aState.mJobs.mJobs.at(id);
    if (job.mPhase == JobPhase::Assigned) {
      HandleAssigned(inputs, job, plan);
    }
  }
  StopStaleTasks(inputs, plan);
  QuarantineFailingWorkers(inputs, plan);
  AssignQueued(inputs, plan);
  RecordCheckpoints(inputs, plan);
  PruneEndedTasks(inputs);
  return plan;
}

}
