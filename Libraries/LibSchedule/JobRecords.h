#pragma once

#include "LibBase/Error.h"
#include "LibSchedule/Model.h"

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// The records of jobs in the platform's log and their keys.
namespace sesameseam::schedule {

std::string
EncodeJob(const JobDefinition& aJob);
absl::StatusOr<JobDefinition>
DecodeJob(std::string_view aBytes);

std::string
EncodeCancellation(TimePoint aAcceptedAt);

// Jobs and their cancellations share a stream; the key tells which of them a record is.
std::string
CancellationKey(const JobId& aJob);
bool
IsCancellationKey(std::string_view aKey);
JobId
JobOfKey(std::string_view aKey);

// What is known of a task that has not ended well.
struct TaskProgress
{
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;
  int mHighestRun = 0;
  std::vector<int> mFailedRuns;
  std::string mCheckpoint;
  bool mDone = false;
  // Where runs may be that have not ended; the last has the highest number.
  std::vector<ExecutorId> mExecutors;
};

struct StepId
{
  int mOccurrence = 0;
  int mStep = 0;

  auto operator<=>(const StepId&) const = default;
};

struct JobProgress
{
  JobPhase mPhase = JobPhase::Pending;
  std::vector<StepId> mFinishedSteps;
  std::vector<TaskProgress> mTasks;
};

// The owner of a shard notes silent executors beside the progress of jobs, so that a later owner
// knows when their leases end. The time is never earlier than that.
std::string
LeaseExpiryKey(const ExecutorId& aExecutor);
bool
IsLeaseExpiryKey(std::string_view aKey);
ExecutorId
ExecutorOfKey(std::string_view aKey);
std::string
EncodeLeaseExpiry(TimePoint aLapsedAt);
absl::StatusOr<TimePoint>
DecodeLeaseExpiry(std::string_view aBytes);

std::string
EncodeProgress(const JobProgress& aProgress);
absl::StatusOr<JobProgress>
DecodeProgress(std::string_view aBytes);

}
