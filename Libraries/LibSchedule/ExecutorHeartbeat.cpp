#include "LibSchedule/ExecutorHeartbeat.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// An executor answers a heartbeat when the first run ends, or after this time.
constexpr std::chrono::milliseconds kHeartbeatPollTime = 2s;
// Used while a long-running task is not at full speed yet, a run is stopping or uncertain, or
// best-effort tasks run beside latency-sensitive ones.
constexpr std::chrono::milliseconds kShortHeartbeatPollTime = 400ms;
// A renewal is not delayed for longer than this by ends that have yet to be written.
constexpr Duration kRenewInterval = 2s;
// An executor may have restarted since it last answered, and have ended other runs under the same
// numbers. It does not restart and end a run within this time.
constexpr Duration kMaxAnswerAgeToAcknowledge = 100ms;

bool
IsOutstanding(const PlacedRun& aRun)
{
  return aRun.mState != RunState::Recording;
}

// Ends are acknowledged once, and only to the incarnation that listed them: a new one numbers its
// ends from 1 again, and an old number would acknowledge ends that nobody has processed.
bool
MayAcknowledgeEnds(const Executor& aExecutor, Instant aNow)
{
  return aExecutor.mUnansweredCalls == 0 && !MayHaveRestarted(aExecutor) &&
         aNow - aExecutor.mHeartbeatAnsweredAt < kMaxAnswerAgeToAcknowledge;
}

bool
HasEndsToAcknowledge(const Executor& aExecutor)
{
  return aExecutor.mProcess.mRecordedEnds > aExecutor.mProcess.mAcknowledgedEnds;
}

// The last process that is known to have been there: a new owner knows it by the runs that a former
// one has placed. 0 if none is known.
std::int64_t
LastKnownProcess(const Executor& aExecutor)
{
  if (aExecutor.mProcess.mIncarnation != 0) {
    return aExecutor.mProcess.mIncarnation;
  }
  std::int64_t last = 0;
  for (const auto& [name, run] : aExecutor.mRuns) {
    last = std::max(last, run.mIncarnation);
  }
  return last;
}

}

bool
NeedsHeartbeat(const Executor& aExecutor, Instant aNow)
{
  if (aExecutor.mHeartbeatPending || aNow < aExecutor.mRetryAt ||
      aExecutor.mEntry.mAddress.empty()) {
    return false;
  }
  auto hasRuns = std::any_of(aExecutor.mRuns.begin(),
                             aExecutor.mRuns.end(),
                             [](const auto& aEntry) { return IsOutstanding(aEntry.second); });
  if (aExecutor.mEntry.mState == ExecutorState::Gone && !hasRuns) {
    return false;
  }
  if (!aExecutor.mHasAnsweredHeartbeat || aExecutor.mUnansweredCalls > 0 ||
      MayHaveRestarted(aExecutor)) {
    return true;
  }
  if (aExecutor.mProcess.mProcessedEnds > aExecutor.mProcess.mRecordedEnds) {
    // A heartbeat now would only list the same ends again.
    return hasRuns && aNow - aExecutor.mRenewedAt > kRenewInterval;
  }
  return hasRuns || HasEndsToAcknowledge(aExecutor);
}

std::chrono::milliseconds
HeartbeatPollTime(const Executor& aExecutor, Instant aNow)
{
  if (!aExecutor.mHasAnsweredHeartbeat || aExecutor.mUnansweredCalls > 0 ||
      MayHaveRestarted(aExecutor) ||
      aExecutor.mProcess.mProcessedEnds > aExecutor.mProcess.mRecordedEnds) {
    return 0ms;
  }
  if (HasEndsToAcknowledge(aExecutor) && !MayAcknowledgeEnds(aExecutor, aNow)) {
    // The answer tells whether it is still the same incarnation.
    return 0ms;
  }
  auto hasRuns = false;
  auto needsShortPoll = false;
  auto hasLatencySensitive = false;
  auto hasBestEffort = false;
  for (const auto& [name, run] : aExecutor.mRuns) {
    hasRuns |= IsOutstanding(run);
    auto isThrottled = run.mThrottlePercent.value_or(kFullSpeed) != kFullSpeed;
    needsShortPoll |= run.mIsLongRunning && run.mPercent != kFullSpeed && !isThrottled;
    needsShortPoll |= run.mState == RunState::Stopping || run.mState == RunState::Uncertain;
    hasLatencySensitive |= run.mIsLatencySensitive;
    hasBestEffort |= run.mBestEffort;
  }
  if (!hasRuns) {
    return 0ms;
  }
  return needsShortPoll || (hasLatencySensitive && hasBestEffort) ? kShortHeartbeatPollTime
                                                                  : kHeartbeatPollTime;
}

std::int64_t
EndsToAcknowledge(const Executor& aExecutor, Instant aNow)
{
  auto mayAcknowledge = HasEndsToAcknowledge(aExecutor) && MayAcknowledgeEnds(aExecutor, aNow);
  return mayAcknowledge ? aExecutor.mProcess.mRecordedEnds : 0;
}

HeartbeatFailure
FailureOf(const Executor& aExecutor, const HeartbeatAnswer& aAnswer, Instant aNow)
{
  if (aAnswer.mResult == CallResult::Done) {
    auto isFormer = aAnswer.mIncarnation < LastKnownProcess(aExecutor);
    return isFormer && aNow <= aExecutor.mAllLeasesExpiredAt ? HeartbeatFailure::FormerProcess
                                                             : HeartbeatFailure::None;
  }
  if (aAnswer.mIsFromAnother) {
    return HeartbeatFailure::OtherExecutor;
  }
  if (aAnswer.mHasNoListener) {
    return HeartbeatFailure::NoListener;
  }
  return aAnswer.mResult == CallResult::Refused ? HeartbeatFailure::Refused
                                                : HeartbeatFailure::NoAnswer;
}

std::string_view
NameOf(HeartbeatFailure aFailure)
{
  switch (aFailure) {
    case HeartbeatFailure::None:
      return "it has answered";
    case HeartbeatFailure::NoAnswer:
      return "no answer";
    case HeartbeatFailure::Refused:
      return "it has refused the call";
    case HeartbeatFailure::NoListener:
      return "its address refuses connections";
    case HeartbeatFailure::OtherExecutor:
      return "another executor has answered at its address";
    case HeartbeatFailure::FormerProcess:
      return "a process that is not its last one has answered";
  }
  return "unknown";
}

}
