#include "LibExperiment/FakeWorkers.h"

#include <absl/strings/numbers.h>

namespace sesameseam {

namespace {

constexpr std::size_t kEndedKept = 2000;
constexpr Duration kFailureTime = 50ms;

Duration
DoneBy(const FakeTask& aTask, TimePoint aNow)
{
  return aTask.mDoneBefore + (aNow - aTask.mStartedAt);
}

std::string
CheckpointOf(Duration aDone)
{
  return std::to_string(aDone.count());
}

// The last checkpoint that the task made on its own.
std::string
LastCheckpoint(const FakeTask& aTask, TimePoint aNow)
{
  auto every = std::max(aTask.mWork.mCheckpointEvery, Duration(1));
  auto done = std::min(DoneBy(aTask, aNow), aTask.mWork.mWork);
  auto whole = done / every * every;
  return CheckpointOf(std::max(whole, aTask.mDoneBefore));
}

TaskReport
ReportOf(const FakeTask& aTask, TaskPhase aPhase, std::string aCheckpoint, std::string aReason)
{
  TaskReport report;
  report.mWorker = aTask.mStart.mWorker;
  report.mJob = aTask.mStart.mJob;
  report.mEpoch = aTask.mStart.mEpoch;
  report.mPhase = aPhase;
  report.mCheckpoint = std::move(aCheckpoint);
  report.mReason = std::move(aReason);
  report.mUsedSlots = aTask.mWork.mUsedSlots;
  return report;
}

void
KeepEnded(FakeWorkers& aWorkers, TaskReport aReport)
{
  aWorkers.mEnded.push_back(std::move(aReport));
  if (aWorkers.mEnded.size() > kEndedKept) {
    aWorkers.mEnded.pop_front();
  }
}

// Gives true if the task has ended.
bool
EndIfDue(FakeWorkers& aWorkers, const FakeTask& aTask, TimePoint aNow)
{
  bool fails = aTask.mWork.mNeverRuns || aWorkers.mFailing.contains(aTask.mStart.mWorker);
  auto end = aTask.mStartedAt + (fails ? kFailureTime : aTask.mWork.mWork - aTask.mDoneBefore);
  if (aTask.mLeaseUntil <= std::min(end, aNow)) {
    aWorkers.mLeasesLapsed += 1;
    return true;
  }
  if (aNow < end) {
    return false;
  }
  if (fails) {
    KeepEnded(aWorkers, ReportOf(aTask, TaskPhase::Failed, "", "the task failed"));
    return true;
  }
  aWorkers.mTimesFinished[aTask.mStart.mJob] += 1;
  KeepEnded(aWorkers, ReportOf(aTask, TaskPhase::Finished, CheckpointOf(aTask.mWork.mWork), ""));
  return true;
}

bool
HasEnded(const FakeWorkers& aWorkers, const StartTask& aStart)
{
  return std::any_of(aWorkers.mEnded.begin(), aWorkers.mEnded.end(), [&](const auto& aReport) {
    return aReport.mJob == aStart.mJob && aReport.mEpoch == aStart.mEpoch;
  });
}

bool
RunsAtAnyEpoch(const FakeWorkers& aWorkers, const JobId& aJob)
{
  auto first = aWorkers.mRunning.lower_bound({ aJob, 0 });
  return first != aWorkers.mRunning.end() && first->first.first == aJob;
}

}

absl::Status
StartOrRenew(FakeWorkers& aWorkers, const StartTask& aStart, TimePoint aNow)
{
  Advance(aWorkers, aNow);
  auto& highest = aWorkers.mHighestEpoch[aStart.mJob];
  if (aStart.mEpoch < highest || HasEnded(aWorkers, aStart)) {
    aWorkers.mRefused += 1;
    return MakeError(ErrorKind::StaleVersion, "a later epoch has started, or this one has ended");
  }
  if (aWorkers.mUnreachable.contains(aStart.mWorker)) {
    return MakeError(ErrorKind::ConnectionRefused, "the worker is out of reach");
  }
  highest = aStart.mEpoch;
  auto running = aWorkers.mRunning.find({ aStart.mJob, aStart.mEpoch });
  if (running != aWorkers.mRunning.end()) {
    running->second.mLeaseUntil = aNow + aStart.mLease;
    return absl::OkStatus();
  }
  FakeTask task;
  task.mStart = aStart;
  task.mWork = TRY(FromJson<JobWork>(aStart.mBody));
  std::int64_t done = 0;
  task.mDoneBefore = absl::SimpleAtoi(aStart.mCheckpoint, &done) ? Duration(done) : 0s;
  task.mStartedAt = aNow;
  task.mLeaseUntil = aNow + aStart.mLease;
  aWorkers.mOverlaps += RunsAtAnyEpoch(aWorkers, aStart.mJob) ? 1 : 0;
  aWorkers.mRunning[{ aStart.mJob, aStart.mEpoch }] = std::move(task);
  aWorkers.mStarts += 1;
  return absl::OkStatus();
}

absl::Status
Stop(FakeWorkers& aWorkers, const StopTask& aStop, TimePoint aNow)
{
  Advance(aWorkers, aNow);
  auto running = aWorkers.mRunning.find({ aStop.mJob, aStop.mEpoch });
  if (running == aWorkers.mRunning.end() || aWorkers.mUnreachable.contains(aStop.mWorker)) {
    return MakeError(ErrorKind::UnknownJob, "no such task runs");
  }
  auto checkpoint = CheckpointOf(DoneBy(running->second, aNow));
  KeepEnded(aWorkers, ReportOf(running->second, TaskPhase::Stopped, checkpoint, ""));
  aWorkers.mRunning.erase(running);
  return absl::OkStatus();
}

void
Advance(FakeWorkers& aWorkers, TimePoint aNow)
{
  for (auto it = aWorkers.mRunning.begin(); it != aWorkers.mRunning.end();) {
    it = EndIfDue(aWorkers, it->second, aNow) ? aWorkers.mRunning.erase(it) : std::next(it);
  }
}

void
LoseWorker(FakeWorkers& aWorkers, const HostName& aWorker)
{
  std::erase_if(aWorkers.mRunning,
                [&](const auto& aEntry) { return aEntry.second.mStart.mWorker == aWorker; });
}

std::vector<TaskReport>
ReportsOf(const FakeWorkers& aWorkers, TimePoint aNow)
{
  std::vector<TaskReport> reports;
  for (const auto& report : aWorkers.mEnded) {
    if (!aWorkers.mUnreachable.contains(report.mWorker)) {
      reports.push_back(report);
    }
  }
  for (const auto& [job, task] : aWorkers.mRunning) {
    if (!aWorkers.mUnreachable.contains(task.mStart.mWorker)) {
      reports.push_back(ReportOf(task, TaskPhase::Running, LastCheckpoint(task, aNow), ""));
    }
  }
  return reports;
}

}
