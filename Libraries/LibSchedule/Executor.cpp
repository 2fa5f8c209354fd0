#include "LibSchedule/Executor.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// The steady clock of an executor may be this much slow.
constexpr double kSlowestClock = 0.98;
// A lease ends a little before the longest one, which the executor would shorten.
constexpr std::chrono::milliseconds kLeaseMargin = 300ms;
constexpr std::chrono::milliseconds kLapseMargin = 150ms;
// One failure may be the task's own fault; several in a row are the executor's.
constexpr int kFailuresToAvoid = 3;
constexpr Duration kFirstAvoidance = 2s;
constexpr int kMaxDoublings = 3;

// How long the slowest clock takes to count this.
Duration
OnSlowestClock(std::chrono::milliseconds aTime)
{
  auto length = static_cast<double>(aTime.count()) / kSlowestClock;
  return std::chrono::milliseconds(static_cast<std::int64_t>(length));
}

}

std::chrono::milliseconds
LeaseEnd(const Executor& aExecutor, const LeaseLimits& aLimits, Instant aNow)
{
  if (!aExecutor.mReading) {
    return std::chrono::milliseconds(0);
  }
  auto clock = aExecutor.mReading->mClock + ToMilliseconds(aNow - aExecutor.mReading->mAt);
  return clock + aLimits.mMaximum - kLeaseMargin;
}

Instant
LongestLapse(const LeaseLimits& aLimits, Instant aNow)
{
  return aNow + OnSlowestClock(aLimits.mMaximum) + kLapseMargin;
}

void
NoteLease(Executor& aExecutor, std::chrono::milliseconds aEnd)
{
  if (!aExecutor.mReading || aEnd.count() == 0) {
    return;
  }
  auto lapsed =
    aExecutor.mReading->mAt + OnSlowestClock(aEnd - aExecutor.mReading->mClock) + kLapseMargin;
  aExecutor.mLapsedAt = std::max(aExecutor.mLapsedAt, lapsed);
}

void
NoteClock(Executor& aExecutor, std::chrono::milliseconds aClock, Instant aNow)
{
  aExecutor.mReading = ClockReading{ aClock, aNow };
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
IsUsable(const Executor& aExecutor, Instant aNow)
{
  auto isReady = aExecutor.mEntry.mState == ExecutorState::Ready && aExecutor.mHeld;
  auto isApart = aExecutor.mVacating != Vacating::No || aExecutor.mUnanswered > 0 ||
                 aExecutor.mIsSilent || aExecutor.mAvoidUntil > aNow;
  // The room that foreign runs take is not known.
  auto hasForeign = std::any_of(aExecutor.mRuns.begin(),
                                aExecutor.mRuns.end(),
                                [](const auto& aEntry) { return aEntry.second.mIsForeign; });
  return isReady && !isApart && !hasForeign;
}

void
NoteTaskFailed(Executor& aExecutor, Instant aNow)
{
  ++aExecutor.mFailuresInARow;
  auto excess = aExecutor.mFailuresInARow - kFailuresToAvoid;
  if (excess >= 0) {
    aExecutor.mAvoidUntil = aNow + kFirstAvoidance * (1 << std::min(excess, kMaxDoublings));
  }
}

void
NoteTaskDone(Executor& aExecutor)
{
  aExecutor.mFailuresInARow = 0;
  aExecutor.mAvoidUntil = Instant();
}

}
