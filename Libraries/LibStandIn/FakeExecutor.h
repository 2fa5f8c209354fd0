#pragma once

#include "LibSchedule/Executor.h"

#include <map>
#include <vector>

// A fake executor for tests. It runs tasks under a lease, each for the time that the job's
// specification gives.
namespace sesameseam::standin {

struct FakeRun
{
  schedule::Instant mEndsAt;
  // The run has no end of its own; only a stop or the end of the lease ends it.
  bool mRunsUntilStopped = false;
  bool mFails = false;
  // It answers requests, and shows their tail latency as its load.
  bool mServes = false;
  // It disturbs the runs that serve, and shows the processor time that it uses as its load.
  bool mFills = false;
  // The share of its speed at which it works, and the work that is left at a speed of zero.
  int mPercent = schedule::kFullSpeed;
  Duration mWorkLeft{ 0 };
  // When a requested stop takes effect.
  std::optional<schedule::Instant> mStoppedAt;
};

struct FakeExecutor
{
  schedule::ExecutorEntry mEntry;
  schedule::Instant mStartedAt;
  // The speed of its clock relative to real time.
  double mClockSpeed = 1.0;
  std::int64_t mFence = 0;
  std::chrono::milliseconds mLeaseEnd{ 0 };
  std::chrono::milliseconds mMaxLease{ 6000 };
  std::map<schedule::TaskRun, FakeRun> mRuns;
  std::map<schedule::TaskId, int> mHighestEnded;
  std::vector<schedule::TaskEnd> mEnds;
  std::int64_t mNextEnd = 1;
  bool mIsUp = true;
  // All that it starts fails soon.
  bool mIsSick = false;
  // By how much a run that fills raises the tail latency of those that serve, at full speed.
  std::chrono::milliseconds mDisturbance{ 0 };
};

// How the tasks of a job behave, according to its specification: "MILLISECONDS", "lasts", "serves",
// "fills MILLISECONDS", "fails", or "crashes", with which the first task of the job ends the
// executor's process soon after its start.
struct FakeWork
{
  std::chrono::milliseconds mTime{ 100 };
  bool mRunsUntilStopped = false;
  bool mFails = false;
  bool mServes = false;
  bool mFills = false;
  bool mCrashesExecutor = false;
};

FakeWork
ParseWork(const std::string& aSpec);

// Ends the runs whose work is done, whose stop has taken effect or whose lease has expired.
void
Advance(FakeExecutor& aExecutor, schedule::Instant aNow);

schedule::HeartbeatAnswer
Heartbeat(FakeExecutor& aExecutor, const schedule::HeartbeatCall& aCall, schedule::Instant aNow);
schedule::StartAnswer
Start(FakeExecutor& aExecutor, const schedule::StartCall& aCall, schedule::Instant aNow);
schedule::StopAnswer
Stop(FakeExecutor& aExecutor, const schedule::StopCall& aCall, schedule::Instant aNow);
schedule::ThrottleAnswer
Throttle(FakeExecutor& aExecutor, const schedule::ThrottleCall& aCall, schedule::Instant aNow);

// Replaces the process by a new incarnation, without any of the former one's state.
void
Restart(FakeExecutor& aExecutor, schedule::Instant aNow);

// The time since the start of the executor, according to its own clock.
std::chrono::milliseconds
ClockOf(const FakeExecutor& aExecutor, schedule::Instant aNow);

}
