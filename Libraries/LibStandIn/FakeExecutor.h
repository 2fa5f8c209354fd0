#pragma once

#include "LibSchedule/Calls.h"

#include <map>
#include <vector>

// Takes the place of an executor in tests: it runs tasks under a lease, for as long as their
// specification says.
namespace sesameseam::standin {

struct FakeRun
{
  schedule::Instant mEndsAt;
  // It runs until it is stopped.
  bool mRunsUntilStopped = false;
  bool mFails = false;
  // When a stop that was asked for is over.
  std::optional<schedule::Instant> mStoppedAt;
};

struct FakeExecutor
{
  schedule::ExecutorEntry mEntry;
  schedule::Instant mStartedAt;
  // Its clock runs at this share of the true speed.
  double mClockSpeed = 1.0;
  std::int64_t mFence = 0;
  std::chrono::milliseconds mLeaseEnd{ 0 };
  std::chrono::milliseconds mMaxLease{ 6000 };
  std::map<schedule::TaskRun, FakeRun> mRuns;
  std::map<schedule::TaskId, int> mHighestEnded;
  std::vector<schedule::TaskEnd> mEnds;
  std::int64_t mNextEnd = 1;
  bool mIsUp = true;
};

// How a task of the job runs, told by its specification: "MILLISECONDS", "lasts" or "fails".
struct FakeWork
{
  std::chrono::milliseconds mTime{ 100 };
  bool mRunsUntilStopped = false;
  bool mFails = false;
};

FakeWork
ParseWork(const std::string& aSpec);

// Ends what is over by now: its work, its lease or its stop.
void
Advance(FakeExecutor& aExecutor, schedule::Instant aNow);

schedule::HeartbeatAnswer
Heartbeat(FakeExecutor& aExecutor, const schedule::HeartbeatCall& aCall, schedule::Instant aNow);
schedule::StartAnswer
Start(FakeExecutor& aExecutor, const schedule::StartCall& aCall, schedule::Instant aNow);
schedule::StopAnswer
Stop(FakeExecutor& aExecutor, const schedule::StopCall& aCall, schedule::Instant aNow);

// The process ends, and another one starts with nothing of before.
void
Restart(FakeExecutor& aExecutor, schedule::Instant aNow);

std::chrono::milliseconds
ClockOf(const FakeExecutor& aExecutor, schedule::Instant aNow);

}
