#pragma once

#include "LibSchedule/Job.h"

#include <cstdint>

// What one job adds to the demand of its pool. All amounts are whole numbers, so that sums over
// jobs can be kept up by adding and subtracting.
namespace sesameseam::schedule {

namespace detail {

// Jobs that arrived within this window give the rate of arriving work; the window before it gives
// the growth of that rate.
inline constexpr Duration kArrivalWindow = 500ms;

}

struct JobDemand
{
  // CPU taken by running and placed tasks, and by waiting long-running tasks once they are placed.
  std::int64_t mRunningMillicores = 0;
  // CPU needed by waiting tasks that can still be in time.
  std::int64_t mWaitingMillicores = 0;
  // CPU time of waiting tasks of a late job, in millicores for a millisecond.
  std::int64_t mLateWork = 0;
  // CPU time of a job that arrived in the last window or in the one before.
  std::int64_t mArrivedWork = 0;
  std::int64_t mArrivedBeforeWork = 0;
  // Unfinished long-running tasks, and those of them that wait.
  int mLongRunning = 0;
  int mLongRunningWaiting = 0;

  bool operator==(const JobDemand&) const = default;
};

JobDemand
operator+(const JobDemand& aLeft, const JobDemand& aRight);
JobDemand
operator-(const JobDemand& aLeft, const JobDemand& aRight);

struct MeasuredJob
{
  JobDemand mDemand;
  // The most hosts that a step needs because of its limit of tasks per executor.
  int mMinHosts = 0;
  bool mHasSuspects = false;
  // The time changes the demand by then, on either clock.
  TimePoint mChangesAtWall = TimePoint::max();
  Instant mChangesAt = Instant::max();
};

// Measures a job at the given time. A job that has ended demands nothing.
MeasuredJob
MeasureJob(const Job& aJob, const Now& aNow);

// Cores that suspects keep from others beyond what they need, since they are isolated.
struct IsolatedDemand
{
  double mRunning = 0;
  // CPU time that waiting ones will keep, in core-seconds.
  double mWaiting = 0;
};

// Adds the demand for the isolation of the job's suspects in a pool whose hosts have aHostCores.
void
AddIsolatedDemand(const Job& aJob, const Now& aNow, double aHostCores, IsolatedDemand& aSum);

}
