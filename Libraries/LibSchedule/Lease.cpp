#include "LibSchedule/Lease.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// The slowest rate at which the steady clock of an executor may run.
constexpr double kMinClockRate = 0.98;
// Renewals ask for slightly less than the maximum, because the executor shortens longer leases.
constexpr std::chrono::milliseconds kLeaseMargin = 300ms;
constexpr std::chrono::milliseconds kExpiryMargin = 150ms;
// A task that lasts has to run again within seconds after its executor has gone, however long the
// leases are that executors grant.
constexpr std::chrono::milliseconds kLongestLease = 6s;
// For this long, an owner without confirmation renews leases to their full length. A longer time
// lets more runs outlive an outage of the log, and the follower of a lost owner waits for so much
// longer.
constexpr Duration kMaxUnconfirmedToRenewInFull = 500ms;

// The time that passes while the slowest clock counts aTime.
Duration
LongestElapsed(std::chrono::milliseconds aTime)
{
  auto length = static_cast<double>(aTime.count()) / kMinClockRate;
  return std::chrono::milliseconds(static_cast<std::int64_t>(length));
}

// The time by which the slowest clock has come from the reading to the end.
Instant
ExpiryByClock(const ClockReading& aReading, std::chrono::milliseconds aEnd)
{
  return aReading.mAt + LongestElapsed(aEnd - aReading.mClock) + kExpiryMargin;
}

// The latest end that every clock, also the slowest, has reached by then.
std::chrono::milliseconds
LatestEndByClock(const ClockReading& aReading, Instant aExpiry)
{
  auto elapsed = ToMilliseconds(aExpiry - kExpiryMargin - aReading.mAt);
  auto counted = static_cast<double>(elapsed.count()) * kMinClockRate;
  return aReading.mClock + std::chrono::milliseconds(static_cast<std::int64_t>(counted));
}

std::chrono::milliseconds
LeaseLength(const LeaseLimits& aLimits)
{
  return std::min(aLimits.mMaximum, kLongestLease);
}

bool
IsInKnownProcess(const Executor& aExecutor, const PlacedRun& aRun)
{
  return aRun.mKnownIn != 0 && aRun.mKnownIn == aExecutor.mProcess.mIncarnation;
}

}

std::chrono::milliseconds
LeaseEnd(const Executor& aExecutor, const LeaseLimits& aLimits, Instant aConfirmedAt, Instant aNow)
{
  const auto& reading = aExecutor.mProcess.mClockReading;
  if (!reading || MayHaveRestarted(aExecutor)) {
    return std::chrono::milliseconds(0);
  }
  auto fromNow =
    reading->mClock + ToMilliseconds(aNow - reading->mAt) + LeaseLength(aLimits) - kLeaseMargin;
  auto latest = LatestEndByClock(*reading, LeaseExpiryOfOwner(aLimits, aConfirmedAt));
  return std::max(std::chrono::milliseconds(0), std::min(fromNow, latest));
}

Instant
LeaseExpiryOfOwner(const LeaseLimits& aLimits, Instant aConfirmedAt)
{
  return aConfirmedAt + kMaxUnconfirmedToRenewInFull + LongestElapsed(LeaseLength(aLimits)) +
         kExpiryMargin;
}

void
NoteLeaseRequest(Executor& aExecutor, const LeaseLimits& aLimits, const LeaseRequest& aRequest)
{
  auto& process = aExecutor.mProcess;
  if (!process.mClockReading || aRequest.mEnd.count() == 0) {
    return;
  }
  auto byItsClock = ExpiryByClock(*process.mClockReading, aRequest.mEnd);
  process.mLatestLeaseEnd = std::max(process.mLatestLeaseEnd, aRequest.mEnd);
  process.mLeasesExpiredAt = std::max(process.mLeasesExpiredAt, byItsClock);
  aExecutor.mAllLeasesExpiredAt =
    std::max(aExecutor.mAllLeasesExpiredAt, LatestLeaseExpiry(aLimits, aRequest.mArrivesBy));
}

Instant
LatestLeaseExpiry(const LeaseLimits& aLimits, Instant aNow)
{
  return aNow + LongestElapsed(aLimits.mMaximum) + kExpiryMargin;
}

Instant
LeaseExpiryOf(const Executor& aExecutor, const PlacedRun& aRun)
{
  const auto& process = aExecutor.mProcess;
  if (IsInKnownProcess(aExecutor, aRun)) {
    return process.mLeasesExpiredAt;
  }
  if (aRun.mFormerLeaseExpiredAt && !aExecutor.mHasAnsweredHeartbeat) {
    return std::min(aExecutor.mAllLeasesExpiredAt, *aRun.mFormerLeaseExpiredAt);
  }
  // What was asked for by the clock of another process than at its start may have reached it too.
  auto isOfThisTime = aRun.mIncarnation != 0 && aRun.mIncarnation == process.mIncarnation;
  if (!aRun.mClockAtStart || !isOfThisTime) {
    return aExecutor.mAllLeasesExpiredAt;
  }
  auto byItsClock = std::max(process.mFormerLeasesExpiredAt,
                             ExpiryByClock(*aRun.mClockAtStart, process.mLatestLeaseEnd));
  return std::min(aExecutor.mAllLeasesExpiredAt, byItsClock);
}

Instant
LeaseExpiryOfAll(const Executor& aExecutor)
{
  Instant latest;
  for (const auto& [name, run] : aExecutor.mRuns) {
    latest = std::max(latest, LeaseExpiryOf(aExecutor, run));
  }
  return latest;
}

void
UpdateClock(Executor& aExecutor, std::chrono::milliseconds aClock, Instant aNow)
{
  aExecutor.mProcess.mClockReading = ClockReading{ aClock, aNow };
}

void
NoteLeaseOutcome(Executor& aExecutor,
                 const LeaseLimits& aLimits,
                 std::chrono::milliseconds aEnd,
                 Instant aNow)
{
  if (aEnd.count() != 0) {
    aExecutor.mAllLeasesExpiredAt =
      std::max(aExecutor.mAllLeasesExpiredAt, LatestLeaseExpiry(aLimits, aNow));
  }
}

std::string
DescribeLease(const Executor& aExecutor, const PlacedRun& aRun, Instant aNow)
{
  const auto& process = aExecutor.mProcess;
  auto text = "its lease has expired; it was " +
              std::string(aRun.mKnownIn == 0 ? "not known to be in any process"
                                             : "in process " + std::to_string(aRun.mKnownIn)) +
              "; process " + std::to_string(process.mIncarnation) + " answered last";
  if (process.mClockReading) {
    auto age = ToMilliseconds(aNow - process.mClockReading->mAt);
    text += ", " + std::to_string(age.count()) + " ms ago";
  }
  return text;
}

}
