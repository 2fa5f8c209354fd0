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

// A quantity of what an executor has and a task needs.
struct Resources
{
  std::int64_t mCpuMillicores = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mGpus = 0;

  bool operator==(const Resources&) const = default;
};

// Whether aRoom is at least aNeeds in every kind.
inline bool
Covers(const Resources& aRoom, const Resources& aNeeds)
{
  return aRoom.mCpuMillicores >= aNeeds.mCpuMillicores && aRoom.mMemoryMb >= aNeeds.mMemoryMb &&
         aRoom.mGpus >= aNeeds.mGpus;
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

// Some tasks of a job that are alike.
struct Step
{
  int mCount = 1;
  Resources mNeeds;
  std::chrono::milliseconds mEstimate{ 0 };
  // Steps whose tasks must all be done first.
  std::vector<int> mDependsOn;
  // The tasks work only while all of them run.
  bool mGang = false;
  // The tasks are much slower when they run on more than one rack.
  bool mSameRack = false;
  std::string mRequiredLabel;
  std::string mPreferredRack;
  // How many tasks may run on one executor; 0 for any number.
  int mMaxPerExecutor = 0;
  bool mSpeculative = false;
  bool mCheckpoints = false;
  // The tasks run until the job is cancelled.
  bool mLongRunning = false;
  // The tasks use the processor time that others leave, and reserve none.
  bool mBestEffort = false;
  // How many tasks of a lasting step may be away at once through orders of ours.
  int mMaxUnavailable = 0;
  std::string mImage;
  // The tail of the response times of a task that serves its own users; 0 if it serves none.
  std::chrono::milliseconds mTargetTailLatency{ 0 };
};

// What a task of the step takes of an executor's room.
inline Resources
NeedsOf(const Step& aStep)
{
  auto needs = aStep.mNeeds;
  if (aStep.mBestEffort) {
    needs.mCpuMillicores = 0;
  }
  return needs;
}

// What a caller handed in, with what its queue promised at that time.
struct JobDefinition
{
  QueueName mQueue;
  ServiceName mService;
  std::string mSpec;
  std::vector<Step> mSteps;
  TimePoint mAcceptedAt;
  // Runs of one task that may fail before its job fails.
  int mAttempts = 1;
  // Lower goes first.
  int mPriority = 0;
  int mStretchPercent = 100;
  std::chrono::milliseconds mResponseGoal{ 0 };
  // How often the steps run; 0 for a job that runs once and at once.
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

// One start of a task. Runs of a task are numbered, and the numbers rise.
struct TaskRun
{
  TaskId mTask;
  int mRun = 0;

  auto operator<=>(const TaskRun&) const = default;
};

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
};

struct Service
{
  ServiceName mName;
  // Its machines are switched off and serve as a reserve.
  bool mStandby = false;
};

// The configuration that the operator put in force.
struct Manifest
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<Service> mServices;
};

// Hosts that the operator wants maintained.
struct Wave
{
  std::int64_t mNumber = 0;
  std::vector<MachineId> mMachines;
  std::chrono::seconds mTimeLimit{ 0 };
  int mMaxConcurrent = 1;
  // When this host learned of it.
  Instant mSeenAt;
};

enum class MachineState
{
  Up,
  Moving,
  Upkeep,
  Down,
};

struct Machine
{
  MachineId mId;
  ServiceName mPool;
  MachineState mState = MachineState::Down;
  ExecutorId mExecutor;
};

enum class ExecutorState
{
  Ready,
  Draining,
  Gone,
};

// What an executor says of itself in the host list.
struct ExecutorEntry
{
  ExecutorId mId;
  ServiceName mService;
  std::string mAddress;
  std::string mZone;
  std::vector<std::string> mLabels;
  Resources mCapacity;
  ExecutorState mState = ExecutorState::Ready;
  // The Unix time of the start of its process; another value is another incarnation.
  std::int64_t mIncarnation = 0;
};

}
