#include "LibSchedule/Executor.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// The slowest rate at which the steady clock of an executor may run.
constexpr double kMinClockRate = 0.98;
// Renewals ask for slightly less than the maximum, because the executor shortens longer leases.
constexpr std::chrono::milliseconds kLeaseMargin = 300ms;
constexpr std::chrono::milliseconds kExpiryMargin = 150ms;
// A single failure may be the task's fault; this many in a row are attributed to the executor.
constexpr int kFailuresBeforeBackOff = 3;
constexpr Duration kInitialBackOff = 2s;
constexpr int kMaxBackOffDoublings = 3;

// The time that passes while the slowest clock counts aTime.
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
ReservedResources(const Executor& aExecutor)
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
  auto isReady = aExecutor.mEntry.mState == ExecutorState::Ready && aExecutor.mHasAnsweredHeartbeat;
  auto isExcluded = aExecutor.mDrainReason != DrainReason::None || aExecutor.mUnansweredCalls > 0 ||
                    aExecutor.mIsUnresponsive || aExecutor.mBackOffUntil > aNow;
  // The resources that foreign runs use are unknown.
  auto hasForeign = std::any_of(aExecutor.mRuns.begin(),
                                aExecutor.mRuns.end(),
                                [](const auto& aEntry) { return aEntry.second.mIsForeign; });
  return isReady && !isExcluded && !hasForeign;
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
