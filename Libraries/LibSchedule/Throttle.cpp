#include "LibSchedule/Throttle.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// Measured tail latencies are noisy, so tasks are slowed down before the target is reached.
constexpr double kSlowDownThreshold = 0.85;
constexpr double kSpeedUpThreshold = 0.6;
constexpr int kSlowDownDivisor = 3;
constexpr int kMinSpeed = 10;
constexpr int kSpeedUpStep = 15;
// A change of the throttle shows only in the figures of the next half second.
constexpr Duration kSettleTime = 700ms;
// An executor may carry an order out seconds late, after newer ones.
constexpr Duration kMaxOrderDelay = 10s;

// The highest tail latency of the running latency-sensitive tasks, as a share of its target;
// negative if there is no such task.
double
WorstTailRatio(const Executor& aExecutor)
{
  double worst = -1;
  for (const auto& [name, run] : aExecutor.mRuns) {
    if (run.mState == RunState::Running && run.mTargetTailLatency.count() > 0) {
      auto share =
        static_cast<double>(run.mLoad) / static_cast<double>(run.mTargetTailLatency.count());
      worst = std::max(worst, share);
    }
  }
  return worst;
}

// The speed by the processor time that the run uses. A run that would not use all that it asked for
// is taken to be slower than it is, and is sped up again.
int
MeasuredSpeed(const PlacedRun& aRun)
{
  auto asked = aRun.mCounted.mCpuMillicores;
  if (asked <= 0) {
    return kFullSpeed;
  }
  auto percent = std::clamp<std::int64_t>(aRun.mLoad * kFullSpeed / asked, 0, kFullSpeed);
  return static_cast<int>(percent);
}

// The speed that the tail asks for, if it asks for one.
std::optional<int>
NextThrottle(int aPercent, double aWorstTail)
{
  if (aWorstTail < 0) {
    return kFullSpeed;
  }
  if (aWorstTail > kSlowDownThreshold) {
    auto slower = aPercent / kSlowDownDivisor;
    return slower < kMinSpeed ? 0 : slower;
  }
  if (aWorstTail < kSpeedUpThreshold) {
    return std::min(kFullSpeed, aPercent + kSpeedUpStep);
  }
  return std::nullopt;
}

// The speed to order now, if any. A known one is ordered once more when no old order can overtake
// it any longer.
std::optional<int>
ThrottleDue(const PlacedRun& aRun, double aWorstTail, Instant aNow)
{
  if (!aRun.mThrottlePercent) {
    return NextThrottle(MeasuredSpeed(aRun), aWorstTail);
  }
  auto next = NextThrottle(*aRun.mThrottlePercent, aWorstTail).value_or(*aRun.mThrottlePercent);
  auto isConfirmationDue =
    aRun.mThrottleSentAt < aRun.mThrottleDoubtfulUntil && aNow >= aRun.mThrottleDoubtfulUntil;
  auto isDue = next != *aRun.mThrottlePercent || isConfirmationDue;
  return isDue ? std::optional(next) : std::nullopt;
}

}

void
OnThrottleAnswer(Shard& aShard, const ThrottleAnswer& aAnswer)
{
  auto found = aShard.mExecutors.find(aAnswer.mCall.mTo.mExecutor);
  if (found == aShard.mExecutors.end()) {
    return;
  }
  auto run = found->second.mRuns.find(aAnswer.mCall.mRun);
  if (run == found->second.mRuns.end()) {
    return;
  }
  run->second.mThrottlePending = false;
  if (aAnswer.mResult == CallResult::Done) {
    run->second.mThrottlePercent = aAnswer.mCall.mPercent;
  } else if (aAnswer.mResult == CallResult::Unanswered) {
    run->second.mThrottlePercent.reset();
  }
}

namespace detail {

void
AdjustThrottle(Shard& aShard, Executor& aExecutor, Instant aNow, Actions& aActions)
{
  auto worst = WorstTailRatio(aExecutor);
  for (auto& [name, run] : aExecutor.mRuns) {
    auto isAdjustable = run.mState == RunState::Running && !run.mThrottlePending;
    if (!run.mBestEffort || !isAdjustable || aNow - run.mThrottleSentAt < kSettleTime) {
      continue;
    }
    auto percent = ThrottleDue(run, worst, aNow);
    if (!percent) {
      continue;
    }
    if (!run.mThrottlePercent) {
      run.mThrottleDoubtfulUntil = aNow + kMaxOrderDelay;
    }
    ThrottleCall call;
    call.mTo = AddressOf(aShard, aExecutor);
    call.mRun = name;
    call.mPercent = *percent;
    run.mThrottlePending = true;
    run.mThrottleSentAt = aNow;
    aActions.emplace_back(std::move(call));
  }
}

}

}
