#include "LibSchedule/Lease.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// The rates at which the steady clock of an executor may run.
constexpr double kMinClockRate = 0.98;
constexpr double kMaxClockRate = 1.02;
// Renewals ask for slightly less than the maximum, because the executor shortens longer leases.
constexpr std::chrono::milliseconds kLeaseMargin = 300ms;
constexpr std::chrono::milliseconds kExpiryMargin = 150ms;

// The time that passes while the slowest clock counts aTime.
Duration
LongestElapsed(std::chrono::milliseconds aTime)
{
  auto length = static_cast<double>(aTime.count()) / kMinClockRate;
  return std::chrono::milliseconds(static_cast<std::int64_t>(length));
}

bool
IsInKnownProcess(const Executor& aExecutor, const PlacedRun& aRun)
{
  return aRun.mKnownIn != 0 && aRun.mKnownIn == aExecutor.mProcess.mIncarnation;
}

}

std::chrono::milliseconds
LeaseEnd(const Executor& aExecutor, const LeaseLimits& aLimits, Instant aNow)
{
  const auto& reading = aExecutor.mProcess.mClockReading;
  if (!reading || MayHaveRestarted(aExecutor)) {
    return std::chrono::milliseconds(0);
  }
  return reading->mClock + ToMilliseconds(aNow - reading->mAt) + aLimits.mMaximum - kLeaseMargin;
}

void
NoteLeaseRequest(Executor& aExecutor, const LeaseLimits& aLimits, const LeaseRequest& aRequest)
{
  auto& process = aExecutor.mProcess;
  if (!process.mClockReading || aRequest.mEnd.count() == 0) {
    return;
  }
  auto byItsClock = process.mClockReading->mAt +
                    LongestElapsed(aRequest.mEnd - process.mClockReading->mClock) + kExpiryMargin;
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
  return IsInKnownProcess(aExecutor, aRun) ? aExecutor.mProcess.mLeasesExpiredAt
                                           : aExecutor.mAllLeasesExpiredAt;
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
UpdateClock(Executor& aExecutor, std::chrono::milliseconds aClock, Instant aAskedAt, Instant aNow)
{
  aExecutor.mProcess.mClockReading = ClockReading{ aClock, aAskedAt, aNow };
}

bool
IsFromKnownProcess(const Executor& aExecutor, std::chrono::milliseconds aClock, Instant aNow)
{
  const auto& reading = aExecutor.mProcess.mClockReading;
  if (!reading) {
    return false;
  }
  auto mostOfLater = std::chrono::duration<double, std::milli>(aNow - reading->mAskedAt);
  return std::chrono::duration<double, std::milli>(aClock) > mostOfLater * kMaxClockRate;
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
