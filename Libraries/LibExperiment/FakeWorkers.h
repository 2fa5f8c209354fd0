#pragma once

#include "LibFleet/JobPlanner.h"

#include <deque>
#include <map>
#include <set>

// A fake of the platform's workers: tasks under leases, checkpoints, and faults. The time is an
// argument, so that both experiments and the platform stand-in drive it.
namespace sesameseam {

// What the body of a job asks a fake worker to do.
struct JobWork
{
  Duration mWork = 1s;
  Duration mCheckpointEvery = 500ms;
  double mUsedSlots = 1.0;
  // Fails on every worker.
  bool mNeverRuns = false;
};

template<typename V>
void
VisitFields(V& aVisit, JobWork& aWork)
{
  aVisit("work", aWork.mWork);
  aVisit("checkpoint_every", aWork.mCheckpointEvery);
  aVisit("used_slots", aWork.mUsedSlots);
  aVisit("never_runs", aWork.mNeverRuns);
}

struct FakeTask
{
  StartTask mStart;
  JobWork mWork;
  // The work that was done before the start, as the checkpoint says.
  Duration mDoneBefore = Duration::zero();
  TimePoint mStartedAt;
  TimePoint mLeaseUntil;
};

struct FakeWorkers
{
  // By job and epoch.
  std::map<std::pair<JobId, std::int64_t>, FakeTask> mRunning;
  std::map<JobId, std::int64_t> mHighestEpoch;
  // Reports of ended tasks, kept for some time.
  std::deque<TaskReport> mEnded;
  // Workers that fail every task that they start.
  std::set<HostName> mFailing;
  // Workers that are out of reach: their tasks go on until the lease ends.
  std::set<HostName> mUnreachable;
  std::map<JobId, int> mTimesFinished;
  std::int64_t mStarts = 0;
  std::int64_t mLeasesLapsed = 0;
  std::int64_t mRefused = 0;
  // Starts of a job while a task of an earlier epoch still ran.
  std::int64_t mOverlaps = 0;
};

absl::Status
StartOrRenew(FakeWorkers& aWorkers, const StartTask& aStart, TimePoint aNow);
absl::Status
Stop(FakeWorkers& aWorkers, const StopTask& aStop, TimePoint aNow);

// Ends what is done, has failed, or has lost its lease.
void
Advance(FakeWorkers& aWorkers, TimePoint aNow);

// All tasks of a worker that rebooted are gone.
void
LoseWorker(FakeWorkers& aWorkers, const HostName& aWorker);

std::vector<TaskReport>
ReportsOf(const FakeWorkers& aWorkers, TimePoint aNow);

}
