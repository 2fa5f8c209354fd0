#pragma once

#include "LibBase/Error.h"
#include "LibSchedule/Model.h"

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// The encoding of job records in the platform's log, and their keys.
namespace sesameseam::schedule {

std::string
EncodeJob(const JobDefinition& aJob);
absl::StatusOr<JobDefinition>
DecodeJob(std::string_view aBytes);

std::string
EncodeCancellation(TimePoint aAcceptedAt);

// Jobs and their cancellations share a stream and are distinguished by their keys.
std::string
CancellationKey(const JobId& aJob);
bool
IsCancellationKey(std::string_view aKey);
JobId
JobOfKey(std::string_view aKey);

// The shard that a job was handed over to stores under this key, in the partition of the job's
// home, that the job has ended. Its keys sort after all others.
std::string
EndNoticeKey(const JobId& aJob);
bool
IsEndNoticeKey(std::string_view aKey);
// The notice has no content, but an empty value would remove the key.
inline constexpr std::string_view kEndNotice = "1";

// An executor that may have a run, and its incarnation when the run was placed; 0 if unknown.
struct PlacedOn
{
  ExecutorId mExecutor;
  std::int64_t mIncarnation = 0;
  // The run is known to have begun. Kept for suspects and, once it was listed in the process that
  // it was placed on, for tasks that last.
  bool mHasBegun = false;
};

// The state of a task that has been started or is done, in a step that is not finished.
struct TaskProgress
{
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;
  int mHighestRun = 0;
  std::vector<int> mFailedRuns;
  // All tasks of a gang have the same one.
  std::string mCheckpoint;
  // The run that produced the checkpoint.
  int mCheckpointRun = 0;
  bool mDone = false;
  // The executors that may still have a run of the task. The last one has the highest run number.
  std::vector<PlacedOn> mExecutors;
  // How many executors have crashed while a run of the task may have been there.
  int mCrashes = 0;
  // How likely it is that as many would have ended without the task, between 0 and 1.
  double mCoincidence = 1;
};

struct StepId
{
  int mOccurrence = 0;
  int mStep = 0;

  auto operator<=>(const StepId&) const = default;
};

// A hash of a tenant's name, which is all that is published of it with each job. 0 means that the
// job has no tenant, or that its record was written by a version without tenants.
using TenantHash = std::int32_t;

TenantHash
TenantHashOf(const TenantName& aTenant);

struct JobProgress
{
  JobPhase mPhase = JobPhase::Pending;
  TenantHash mTenantHash = 0;
  std::vector<StepId> mFinishedSteps;
  std::vector<TaskProgress> mTasks;
  // The service that runs the job; empty if it is the one that its queue had first.
  ServiceName mService;
  // The job was handed over to the shard of that service.
  bool mIsForwarded = false;
};

// The owner of a shard records unresponsive executors in the progress stream, so that a later owner
// knows when their leases expire. The recorded time is never before the expiry.
std::string
LeaseExpiryKey(const ExecutorId& aExecutor);
bool
IsLeaseExpiryKey(std::string_view aKey);
// The executor that a lease expiry or an address is recorded of.
ExecutorId
ExecutorOfKey(std::string_view aKey);
std::string
EncodeLeaseExpiry(TimePoint aLapsedAt);
absl::StatusOr<TimePoint>
DecodeLeaseExpiry(std::string_view aBytes);

// The owner also records the address of each executor that it places tasks on. When the executor is
// no longer listed, a later owner learns there whether its runs go on or its process has ended.
std::string
ExecutorAddressKey(const ExecutorId& aExecutor);
bool
IsExecutorAddressKey(std::string_view aKey);

std::string
EncodeProgress(const JobProgress& aProgress);
absl::StatusOr<JobProgress>
DecodeProgress(std::string_view aBytes);

// What callers are told about a job.
struct JobState
{
  JobPhase mPhase = JobPhase::Pending;
  // The queue of a job that counts as pending there. Empty once the job has begun, and for a
  // recurring job.
  QueueName mPendingIn;
  TenantHash mTenantHash = 0;
  // The job was handed over to the shard of this service, which knows its phase; empty otherwise.
  ServiceName mRunBy;
};

std::string
EncodeJobState(const JobState& aState);
absl::StatusOr<JobState>
DecodeJobState(std::string_view aBytes);

// How much of a shard's other streams is reflected in its job states: all job records before the
// offset mJobsEnd, and all progress records before mProgressEnd.
struct StateCoverage
{
  std::int64_t mJobsEnd = 0;
  std::int64_t mProgressEnd = 0;

  bool operator==(const StateCoverage&) const = default;
};

// The key of the coverage record. It sorts before all job ids, so that it is on the first page.
inline constexpr std::string_view kStateCoverageKey = "!covered";

std::string
EncodeStateCoverage(const StateCoverage& aCoverage);
absl::StatusOr<StateCoverage>
DecodeStateCoverage(std::string_view aBytes);

}
