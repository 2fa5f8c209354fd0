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

std::string_view
NameOf(PlacementObstacle aObstacle)
{
  switch (aObstacle) {
    case PlacementObstacle::None:
      return "none";
    case PlacementObstacle::OtherPool:
      return "other-pool";
    case PlacementObstacle::NotReady:
      return "not-ready";
    case PlacementObstacle::Draining:
      return "draining";
    case PlacementObstacle::Unresponsive:
      return "unresponsive";
    case PlacementObstacle::BackingOff:
      return "backing-off";
    case PlacementObstacle::ForeignRuns:
      return "foreign-runs";
    case PlacementObstacle::MissingLabel:
      return "missing-label";
    case PlacementObstacle::ReservedForSuspects:
      return "reserved-for-suspects";
    case PlacementObstacle::Isolation:
      return "isolation";
    case PlacementObstacle::StepLimit:
      return "step-limit";
    case PlacementObstacle::NoRoom:
      return "no-room";
  }
  return "unknown";
}

PlacementObstacle
AvailabilityObstacle(const Executor& aExecutor, Instant aNow)
{
  if (aExecutor.mEntry.mState == ExecutorState::Draining ||
      aExecutor.mDrainReason != DrainReason::None) {
    return PlacementObstacle::Draining;
  }
  if (aExecutor.mEntry.mState != ExecutorState::Ready || !aExecutor.mHasAnsweredHeartbeat) {
    return PlacementObstacle::NotReady;
  }
  if (aExecutor.mUnansweredCalls > 0 || aExecutor.mIsUnresponsive) {
    return PlacementObstacle::Unresponsive;
  }
  return aExecutor.mBackOffUntil > aNow ? PlacementObstacle::BackingOff : PlacementObstacle::None;
}

PlacementObstacle
SchedulingObstacle(const Executor& aExecutor, Instant aNow)
{
  auto obstacle = AvailabilityObstacle(aExecutor, aNow);
  if (obstacle != PlacementObstacle::None) {
    return obstacle;
  }
  // The resources that foreign runs use are unknown.
  auto hasForeign = std::any_of(aExecutor.mRuns.begin(),
                                aExecutor.mRuns.end(),
                                [](const auto& aEntry) { return aEntry.second.mIsForeign; });
  return hasForeign ? PlacementObstacle::ForeignRuns : PlacementObstacle::None;
}

bool
IsSchedulable(const Executor& aExecutor, Instant aNow)
{
  return SchedulingObstacle(aExecutor, aNow) == PlacementObstacle::None;
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
