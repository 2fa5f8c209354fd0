#include "LibStandIn/FakeExecutor.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <algorithm>

namespace sesameseam::standin {

namespace {

using schedule::CallResult;
using schedule::EndKind;
using schedule::Instant;
using schedule::StartRefusal;
using schedule::TaskRun;

constexpr std::chrono::milliseconds kStopTime = 200ms;
// How soon a run on a sick executor fails.
constexpr std::chrono::milliseconds kTimeToFail = 50ms;
constexpr int kReportedPercent = 100;
// The tail latency of a run that serves undisturbed.
constexpr std::chrono::milliseconds kCalmTail = 40ms;
// What a run that fills uses at full speed.
constexpr std::int64_t kFillingMillicores = 1000;

void
End(FakeExecutor& aExecutor, const TaskRun& aRun, EndKind aKind)
{
  schedule::TaskEnd end;
  end.mNumber = aExecutor.mNextEnd++;
  end.mRun = aRun;
  end.mKind = aKind;
  aExecutor.mEnds.push_back(end);
  auto& highest = aExecutor.mHighestEnded[aRun.mTask];
  highest = std::max(highest, aRun.mRun);
  aExecutor.mRuns.erase(aRun);
}

void
ExtendLease(FakeExecutor& aExecutor, std::chrono::milliseconds aEnd, Instant aNow)
{
  auto latest = ClockOf(aExecutor, aNow) + aExecutor.mMaxLease;
  aExecutor.mLeaseEnd = std::max(aExecutor.mLeaseEnd, std::min(aEnd, latest));
}

std::int64_t
TailOfServing(const FakeExecutor& aExecutor)
{
  auto tail = kCalmTail;
  for (const auto& [name, run] : aExecutor.mRuns) {
    if (run.mFills) {
      tail += aExecutor.mDisturbance * run.mPercent / schedule::kFullSpeed;
    }
  }
  return tail.count();
}

std::int64_t
LoadOf(const FakeExecutor& aExecutor, const FakeRun& aRun)
{
  if (aRun.mFills) {
    return kFillingMillicores * aRun.mPercent / schedule::kFullSpeed;
  }
  return aRun.mServes ? TailOfServing(aExecutor) : 0;
}

void
SetSpeed(FakeRun& aRun, int aPercent, Instant aNow)
{
  if (aRun.mPercent > 0) {
    aRun.mWorkLeft = (aRun.mEndsAt - aNow) * aRun.mPercent / schedule::kFullSpeed;
  }
  aRun.mPercent = aPercent;
  aRun.mEndsAt =
    aPercent == 0 ? Instant::max() : aNow + aRun.mWorkLeft * schedule::kFullSpeed / aPercent;
}

bool
HasEnded(const FakeExecutor& aExecutor, const TaskRun& aRun)
{
  auto found = aExecutor.mHighestEnded.find(aRun.mTask);
  return found != aExecutor.mHighestEnded.end() && aRun.mRun <= found->second;
}

}

FakeWork
ParseWork(const std::string& aSpec)
{
  FakeWork work;
  work.mServes = aSpec == "serves";
  work.mRunsUntilStopped = aSpec == "lasts" || work.mServes;
  work.mFails = aSpec == "fails";
  work.mCrashesExecutor = aSpec == "crashes";
  absl::string_view time = aSpec;
  work.mFills = absl::ConsumePrefix(&time, "fills ");
  int milliseconds = 0;
  if (absl::SimpleAtoi(time, &milliseconds)) {
    work.mTime = std::chrono::milliseconds(milliseconds);
  }
  return work;
}

std::chrono::milliseconds
ClockOf(const FakeExecutor& aExecutor, Instant aNow)
{
  auto elapsed = static_cast<double>((aNow - aExecutor.mStartedAt).count());
  return ToMilliseconds(Duration(static_cast<std::int64_t>(elapsed * aExecutor.mClockSpeed)));
}

void
Advance(FakeExecutor& aExecutor, Instant aNow)
{
  std::vector<std::pair<TaskRun, EndKind>> ended;
  auto lapsed = ClockOf(aExecutor, aNow) >= aExecutor.mLeaseEnd;
  for (const auto& [name, run] : aExecutor.mRuns) {
    if (run.mStoppedAt && aNow >= *run.mStoppedAt) {
      ended.emplace_back(name, EndKind::Stopped);
    } else if (!run.mRunsUntilStopped && aNow >= run.mEndsAt) {
      ended.emplace_back(name, run.mFails ? EndKind::Failed : EndKind::Done);
    } else if (lapsed) {
      ended.emplace_back(name, EndKind::LeaseExpired);
    }
  }
  for (const auto& [name, kind] : ended) {
    End(aExecutor, name, kind);
  }
}

schedule::HeartbeatAnswer
Heartbeat(FakeExecutor& aExecutor, const schedule::HeartbeatCall& aCall, Instant aNow)
{
  Advance(aExecutor, aNow);
  schedule::HeartbeatAnswer answer;
  answer.mCall = aCall;
  answer.mClock = ClockOf(aExecutor, aNow);
  answer.mIncarnation = aExecutor.mEntry.mIncarnation;
  if (aCall.mTo.mExecutor != aExecutor.mEntry.mId) {
    answer.mResult = CallResult::Refused;
    answer.mIsFromAnother = true;
    return answer;
  }
  if (aCall.mTo.mEpoch < aExecutor.mFence) {
    answer.mResult = CallResult::Refused;
    answer.mFenced = true;
    return answer;
  }
  aExecutor.mFence = aCall.mTo.mEpoch;
  ExtendLease(aExecutor, aCall.mLeaseEnd, aNow);
  std::erase_if(aExecutor.mEnds,
                [&](const schedule::TaskEnd& aEnd) { return aEnd.mNumber <= aCall.mLastSeen; });
  answer.mResult = CallResult::Done;
  answer.mEnds = aExecutor.mEnds;
  for (const auto& [name, run] : aExecutor.mRuns) {
    schedule::RunningTask running;
    running.mRun = name;
    running.mPercent = kReportedPercent;
    running.mLoad = LoadOf(aExecutor, run);
    answer.mRunning.push_back(running);
  }
  return answer;
}

schedule::StartAnswer
Start(FakeExecutor& aExecutor, const schedule::StartCall& aCall, Instant aNow)
{
  Advance(aExecutor, aNow);
  schedule::StartAnswer answer;
  answer.mCall = aCall;
  answer.mClock = ClockOf(aExecutor, aNow);
  answer.mResult = CallResult::Refused;
  if (aCall.mTo.mExecutor != aExecutor.mEntry.mId) {
    answer.mRefusal = StartRefusal::OtherIncarnation;
    return answer;
  }
  if (aCall.mTo.mEpoch < aExecutor.mFence) {
    answer.mRefusal = StartRefusal::Fenced;
    return answer;
  }
  aExecutor.mFence = aCall.mTo.mEpoch;
  if (aExecutor.mRuns.contains(aCall.mRun)) {
    answer.mResult = CallResult::Done;
    return answer;
  }
  if (HasEnded(aExecutor, aCall.mRun)) {
    answer.mRefusal = StartRefusal::StaleRun;
    return answer;
  }
  if (aCall.mLeaseEnd <= answer.mClock) {
    answer.mRefusal = StartRefusal::LeaseExpired;
    return answer;
  }
  ExtendLease(aExecutor, aCall.mLeaseEnd, aNow);
  auto work = ParseWork(aCall.mSpec);
  FakeRun run;
  run.mEndsAt = aNow + (aExecutor.mIsSick ? std::min(work.mTime, kTimeToFail) : work.mTime);
  run.mRunsUntilStopped = work.mRunsUntilStopped && !aExecutor.mIsSick;
  run.mFails = work.mFails || aExecutor.mIsSick;
  run.mServes = work.mServes;
  run.mFills = work.mFills;
  aExecutor.mRuns.emplace(aCall.mRun, run);
  answer.mResult = CallResult::Done;
  return answer;
}

schedule::StopAnswer
Stop(FakeExecutor& aExecutor, const schedule::StopCall& aCall, Instant aNow)
{
  Advance(aExecutor, aNow);
  auto isForAnother = aCall.mTo.mExecutor != aExecutor.mEntry.mId;
  if (isForAnother || aCall.mTo.mEpoch < aExecutor.mFence) {
    return { aCall, CallResult::Refused };
  }
  aExecutor.mFence = aCall.mTo.mEpoch;
  auto found = aExecutor.mRuns.find(aCall.mRun);
  if (found == aExecutor.mRuns.end()) {
    // A start of this run that arrives after its stop is refused.
    auto& highest = aExecutor.mHighestEnded[aCall.mRun.mTask];
    highest = std::max(highest, aCall.mRun.mRun);
  } else if (!found->second.mStoppedAt) {
    found->second.mStoppedAt = aNow + kStopTime;
  }
  return { aCall, CallResult::Done };
}

schedule::ThrottleAnswer
Throttle(FakeExecutor& aExecutor, const schedule::ThrottleCall& aCall, Instant aNow)
{
  Advance(aExecutor, aNow);
  auto isForAnother = aCall.mTo.mExecutor != aExecutor.mEntry.mId;
  if (isForAnother || aCall.mTo.mEpoch < aExecutor.mFence) {
    return { aCall, CallResult::Refused };
  }
  aExecutor.mFence = aCall.mTo.mEpoch;
  auto found = aExecutor.mRuns.find(aCall.mRun);
  if (found == aExecutor.mRuns.end()) {
    return { aCall, CallResult::Refused };
  }
  SetSpeed(found->second, aCall.mPercent, aNow);
  return { aCall, CallResult::Done };
}

void
Restart(FakeExecutor& aExecutor, Instant aNow)
{
  aExecutor.mRuns.clear();
  aExecutor.mEnds.clear();
  aExecutor.mHighestEnded.clear();
  aExecutor.mNextEnd = 1;
  aExecutor.mFence = 0;
  aExecutor.mLeaseEnd = {};
  aExecutor.mStartedAt = aNow;
  ++aExecutor.mEntry.mIncarnation;
}

}
