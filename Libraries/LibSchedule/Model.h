#pragma once

#include "LibBase/Id.h"
#include "LibBase/Time.h"
#include "LibSchedule/Clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sesameseam::schedule {

using ExecutorId = Id<struct ExecutorTag>;
using MachineId = Id<struct MachineTag>;
using ServiceName = Id<struct ServiceTag>;
using QueueName = Id<struct QueueTag>;
using TenantName = Id<struct TenantTag>;

// Amounts of the resources that an executor offers and a task needs.
struct Resources
{
  std::int64_t mCpuMillicores = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mGpus = 0;

  bool operator==(const Resources&) const = default;
};

// Whether aAvailable is at least aNeeds for every kind of resource.
inline bool
Covers(const Resources& aAvailable, const Resources& aNeeds)
{
  return aAvailable.mCpuMillicores >= aNeeds.mCpuMillicores &&
         aAvailable.mMemoryMb >= aNeeds.mMemoryMb && aAvailable.mGpus >= aNeeds.mGpus;
}

inline Resources
operator+(const Resources& aLeft, const Resources& aRight)
{
  return { aLeft.mCpuMillicores + aRight.mCpuMillicores,
           aLeft.mMemoryMb + aRight.mMemoryMb,
           aLeft.mGpus + aRight.mGpus };
}

inline Resources
operator-(const Resources& aLeft, const Resources& aRight)
{
  return { aLeft.mCpuMillicores - aRight.mCpuMillicores,
           aLeft.mMemoryMb - aRight.mMemoryMb,
           aLeft.mGpus - aRight.mGpus };
}

inline Resources
Times(const Resources& aEach, int aCount)
{
  return { aEach.mCpuMillicores * aCount, aEach.mMemoryMb * aCount, aEach.mGpus * aCount };
}

// A set of identical tasks of a job.
struct Step
{
  int mCount = 1;
  Resources mNeeds;
  std::chrono::milliseconds mEstimate{ 0 };
  // Indexes of the steps whose tasks must all be done before this step starts.
  std::vector<int> mDependsOn;
  // The tasks make progress only while all of them are running.
  bool mGang = false;
  // The tasks are much slower if they are spread over more than one rack.
  bool mSameRack = false;
  std::string mRequiredLabel;
  std::string mPreferredRack;
  // The maximum number of tasks on one executor; 0 means no limit.
  int mMaxPerExecutor = 0;
  bool mSpeculative = false;
  bool mCheckpoints = false;
  // The tasks run until the job is cancelled.
  bool mLongRunning = false;
  // The tasks reserve no processor time and use what other tasks leave idle.
  bool mBestEffort = false;
  // How many tasks of a long-running step the scheduler's own orders may make unavailable at once.
  int mMaxUnavailable = 0;
  std::string mImage;
  // The target tail latency of tasks that serve requests; 0 for tasks that serve none.
  std::chrono::milliseconds mTargetTailLatency{ 0 };
};

// The resources that a task of the step reserves on an executor.
inline Resources
NeedsOf(const Step& aStep)
{
  auto needs = aStep.mNeeds;
  if (aStep.mBestEffort) {
    needs.mCpuMillicores = 0;
  }
  return needs;
}

// A job as submitted, with the settings of its queue at the time of acceptance.
struct JobDefinition
{
  QueueName mQueue;
  ServiceName mService;
  // The service in whose partition the job is stored; empty if it is mService.
  ServiceName mHome;
  // The organisation that the job counts against. Empty where calls need no key.
  TenantName mTenant;
  std::string mSpec;
  std::vector<Step> mSteps;
  TimePoint mAcceptedAt;
  // The number of failed runs of one task after which the job fails.
  int mAttempts = 1;
  // Jobs with a lower value are scheduled first.
  int mPriority = 0;
  int mStretchPercent = 100;
  std::chrono::milliseconds mResponseGoal{ 0 };
  // The number of times the steps are run; 0 for a job that runs once, immediately.
  int mRunCount = 0;
  TimePoint mStartTime;
  std::chrono::milliseconds mInterval{ 0 };
};

enum class JobPhase
{
  Pending,
  Running,
  Completed,
  Failed,
  Cancelled,
};

inline bool
IsFinal(JobPhase aPhase)
{
  return aPhase != JobPhase::Pending && aPhase != JobPhase::Running;
}

struct TaskId
{
  JobId mJob;
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;

  auto operator<=>(const TaskId&) const = default;
};

// A step of one occurrence of a job.
struct StepName
{
  JobId mJob;
  int mOccurrence = 0;
  int mStep = 0;

  auto operator<=>(const StepName&) const = default;
};

inline StepName
StepNameOf(const TaskId& aTask)
{
  return { aTask.mJob, aTask.mOccurrence, aTask.mStep };
}

// One attempt to execute a task. The run numbers of a task increase.
struct TaskRun
{
  TaskId mTask;
  int mRun = 0;

  auto operator<=>(const TaskRun&) const = default;
};

// Maps requests for a host and path prefix to a queue, and holds the settings of that queue.
struct Route
{
  QueueName mQueue;
  std::string mHost;
  std::string mPrefix;
  ServiceName mService;
  std::chrono::milliseconds mResponseGoal{ 0 };
  int mAttempts = 1;
  int mPriority = 0;
  int mStretchPercent = 100;
  // Calls need no key.
  bool mIsPublic = false;
};

// An organisation whose callers share keys, a share of a full fleet and a quota.
struct Tenant
{
  TenantName mName;
  // Secrets; never to be logged.
  std::vector<std::string> mKeys;
  // The share when there is not room for all: jobs per second that are owed to the tenant.
  double mWeight = 0;
  // What the tenant may have running on all executors together; 0 means no limit.
  Resources mQuota;
};

struct Service
{
  ServiceName mName;
  // The machines of the service are powered off and kept as a reserve.
  bool mStandby = false;
};

// The configuration that the operator has applied.
struct Manifest
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<Service> mServices;
  std::vector<Tenant> mTenants;
  // Some of the tenants could not be read. Calls need keys then, also if no tenant is left.
  bool mHasUnreadableTenants = false;
};

// A set of hosts that the operator wants maintained.
struct Wave
{
  std::int64_t mNumber = 0;
  std::vector<MachineId> mMachines;
  std::chrono::seconds mTimeLimit{ 0 };
  int mMaxConcurrent = 1;
  // When this entry host first read the wave.
  Instant mSeenAt;
};

enum class MachineState
{
  Up,
  Moving,
  Maintenance,
  Down,
};

struct Machine
{
  MachineId mId;
  ServiceName mPool;
  MachineState mState = MachineState::Down;
  ExecutorId mExecutor;

  bool operator==(const Machine&) const = default;
};

enum class ExecutorState
{
  Ready,
  Draining,
  Gone,
};

// An executor's own entry in the host list.
struct ExecutorEntry
{
  ExecutorId mId;
  ServiceName mService;
  std::string mAddress;
  std::string mZone;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  ExecutorState mState = ExecutorState::Ready;
  // The Unix time at which the executor's process started. A different value means that the
  // executor has restarted.
  std::int64_t mIncarnation = 0;
};

}
