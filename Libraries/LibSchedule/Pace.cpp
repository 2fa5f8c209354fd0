#include "LibSchedule/Pace.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr int kFullPace = 100;
// Measured tail latencies are noisy, so tasks are slowed down before the target is reached.
constexpr double kSlowDownThreshold = 0.85;
constexpr double kSpeedUpThreshold = 0.6;
constexpr int kSlowDownDivisor = 3;
constexpr int kMinPace = 10;
constexpr int kSpeedUpStep = 15;
// A change of pace shows only in the figures of the next half second.
constexpr Duration kSettleTime = 700ms;

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

int
NextPace(int aPace, double aWorstTail)
{
  if (aWorstTail < 0) {
    return kFullPace;
  }
  if (aWorstTail > kSlowDownThreshold) {
    auto slower = aPace / kSlowDownDivisor;
    return slower < kMinPace ? 0 : slower;
  }
  return aWorstTail < kSpeedUpThreshold ? std::min(kFullPace, aPace + kSpeedUpStep) : aPace;
}

}

void
OnPaceAnswer(Shard& aShard, const ThrottleAnswer& aAnswer)
{
  auto found = aShard.mExecutors.find(aAnswer.mCall.mTo.mExecutor);
  if (found == aShard.mExecutors.end()) {
    return;
  }
  auto run = found->second.mRuns.find(aAnswer.mCall.mRun);
  if (run == found->second.mRuns.end()) {
    return;
  }
  run->second.mPacePending = false;
  if (aAnswer.mResult == CallResult::Done) {
    run->second.mPace = aAnswer.mCall.mPercent;
  }
}

namespace detail {

void
AdjustPace(Shard& aShard, Executor& aExecutor, Instant aNow, Actions& aActions)
{
  auto worst = WorstTailRatio(aExecutor);
  for (auto& [name, run] : aExecutor.mRuns) {
    auto isAdjustable = run.mState == RunState::Running && !run.mPacePending;
    if (!run.mBestEffort || !isAdjustable || aNow - run.mPaceSentAt < kSettleTime) {
      continue;
    }
    auto pace = NextPace(run.mPace, worst);
    if (pace == run.mPace) {
      continue;
    }
    ThrottleCall call;
    call.mTo = AddressOf(aShard, aExecutor);
    call.mRun = name;
    call.mPercent = pace;
    run.mPacePending = true;
    run.mPaceSentAt = aNow;
    aActions.emplace_back(std::move(call));
  }
}

}

}
