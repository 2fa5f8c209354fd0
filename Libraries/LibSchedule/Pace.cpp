#include "LibSchedule/Pace.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr int kFullPace = 100;
// Tails are rough, so that tasks slow down before the target is reached.
constexpr double kSlowDownThreshold = 0.85;
constexpr double kSpeedUpThreshold = 0.6;
constexpr int kSlowDownDivisor = 3;
constexpr int kMinPace = 10;
constexpr int kSpeedUpStep = 15;
// An order shows in the figures of the next half second only.
constexpr Duration kSettleTime = 700ms;

// The worst tail of the tasks that serve, as a share of its target; below 0 if none serves.
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
    auto isIdle = run.mState == RunState::Running && !run.mPacePending;
    if (!run.mBestEffort || !isIdle || aNow - run.mPaceSentAt < kSettleTime) {
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
