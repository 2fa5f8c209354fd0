#include "LibSchedule/Executor.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// The steady clock of an executor may be this much slow.
constexpr double kMinClockRate = 0.98;
// A lease ends a little before the longest one, which the executor would shorten.
constexpr std::chrono::milliseconds kLeaseMargin = 300ms;
constexpr std::chrono::milliseconds kExpiryMargin = 150ms;
// One failure may be the task's own fault; several in a row are the executor's.
constexpr int kFailuresBeforeBackOff = 3;
constexpr Duration kInitialBackOff = 2s;
constexpr int kMaxBackOffDoublings = 3;

// How long the slowest clock takes to count this.
Duration
LongestElapsed(std::chrono::milliseconds aTime)
{
  auto length = static_cast<double>(aTime.count()) / kMinClockRate;
  return std::chrono::milliseconds(static_cast<std::int64_t>(length));
}

}

std::chrono::milliseconds
LeaseEnd(const Executor& aExecutor, const LeaseLimits& aLimits, Instant aNow)
{
  if (!aExecutor.mClockReading) {
    return std::chrono::milliseconds(0);
  }
  auto clock =
    aExecutor.mClockReading->mClock + ToMilliseconds(aNow - aExecutor.mClockReading->mAt);
  return clock + aLimits.mMaximum - kLeaseMargin;
}

Instant
LatestLeaseExpiry(const LeaseLimits& aLimits, Instant aNow)
{
  return aNow + LongestElapsed(aLimits.mMaximum) + kExpiryMargin;
}

void
UpdateLeaseExpiry(Executor& aExecutor, std::chrono::milliseconds aEnd)
{
  if (!aExecutor.mClockReading || aEnd.count() == 0) {
    return;
  }
  auto lapsed = aExecutor.mClockReading->mAt +
                LongestElapsed(aEnd - aExecutor.mClockReading->mClock) + kExpiryMargin;
  aExecutor.mLeasesExpiredAt = std::max(aExecutor.mLeasesExpiredAt, lapsed);
}

void
UpdateClock(Executor& aExecutor, std::chrono::milliseconds aClock, Instant aNow)
{
  aExecutor.mClockReading = ClockReading{ aClock, aNow };
}

Resources
ReservedRoom(const Executor& aExecutor)
{
  Resources sum;
  for (const auto& [name, run] : aExecutor.mRuns) {
    sum = sum + run.mReserved;
  }
  return sum;
}

bool
IsSchedulable(const Executor& aExecutor, Instant aNow)
{
  auto isReady = aExecutor.mEntry.mState == ExecutorState::Ready && aExecutor.mHasAnsweredHold;
  auto isApart = aExecutor.mDrainReason != DrainReason::None || aExecutor.mUnansweredCalls > 0 ||
                 aExecutor.mIsSilent || aExecutor.mBackOffUntil > aNow;
  // The room that foreign runs take is not known.
  auto hasForeign = std::any_of(aExecutor.mRuns.begin(),
                                aExecutor.mRuns.end(),
                                [](const auto& aEntry) { return aEntry.second.mIsForeign; });
  return isReady && !isApart && !hasForeign;
}

void
RecordFailure(Executor& aExecutor, Instant aNow)
{
  ++aExecutor.mConsecutiveFailures;
  auto excess = aExecutor.mConsecutiveFailures - kFailuresBeforeBackOff;
  if (excess >= 0) {
    aExecutor.mBackOffUntil =
      aNow + kInitialBackOff * (1 << std::min(excess, kMaxBackOffDoublings));
  }
}

void
RecordSuccess(Executor& aExecutor)
{
  aExecutor.mConsecutiveFailures = 0;
  aExecutor.mBackOffUntil = Instant();
}

}
