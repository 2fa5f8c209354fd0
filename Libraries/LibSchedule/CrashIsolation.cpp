#include "LibSchedule/CrashIsolation.h"

#include "LibSchedule/ExecutorEnds.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace sesameseam::schedule {

namespace {

// A task under which this many executors have crashed runs alone.
constexpr int kCrashesToRunAlone = 2;
// Fewer need more executors to clear all suspects of one crash, more make a second crash take more
// of them along.
constexpr int kMaxSuspectsTogether = 4;
// A run that lasts and has been at work for this long is no longer suspected.
constexpr Duration kTimeToProve = 3s;
// What waits for longer is late, for certain, for the sake of a harm that may not come.
constexpr Duration kMaxWaitToBeApart = 2s;
// The part of a pool that is reserved for suspects at most.
constexpr int kMaxReservedDivisor = 4;

int
CountWantedReservations(const UnplacedSuspects& aWaiting, int aPresent)
{
  auto groups = (aWaiting.mSuspects + kMaxSuspectsTogether - 1) / kMaxSuspectsTogether;
  auto limit = std::max(1, aPresent / kMaxReservedDivisor);
  return std::min(limit, groups + aWaiting.mAlone);
}

int&
CountOf(Occupants& aOccupants, Isolation aIsolation, bool aIsLongRunning)
{
  if (aIsolation == Isolation::Alone) {
    return aOccupants.mAlone;
  }
  if (aIsolation == Isolation::AmongSuspects) {
    return aOccupants.mSuspects;
  }
  return aIsLongRunning ? aOccupants.mLongRunning : aOccupants.mOrdinary;
}

// An executor that may be reserved. Those that are reserved already stay so as long as they are
// needed; then executors go first on which no run that lasts would have to stop, then those with
// the least work.
struct Reservable
{
  Executor* mExecutor = nullptr;
  bool mIsNew = false;
  std::int64_t mLongRunning = 0;
  std::int64_t mReservedCpu = 0;
};

Reservable
MakeReservable(Executor& aExecutor)
{
  Reservable reservable{ &aExecutor, !aExecutor.mIsReservedForSuspects };
  for (const auto& [name, run] : aExecutor.mRuns) {
    reservable.mLongRunning += run.mIsLongRunning ? 1 : 0;
    reservable.mReservedCpu += run.mReserved.mCpuMillicores;
  }
  return reservable;
}

bool
GoesFirst(const Reservable& aLeft, const Reservable& aRight)
{
  return std::tuple(aLeft.mIsNew, aLeft.mLongRunning, aLeft.mReservedCpu) <
         std::tuple(aRight.mIsNew, aRight.mLongRunning, aRight.mReservedCpu);
}

}

bool
HasCrashedUnder(const Executor& aExecutor, const PlacedRun& aRun)
{
  auto isFromHere = aRun.mState == RunState::Recording || aRun.mEpoch != 0;
  if (isFromHere && !aRun.mBeganAt) {
    return false;
  }
  return SignOfEnd(aExecutor, aRun) != EndSign::None;
}

Isolation
IsolationOf(const Step& aStep, const Task& aTask)
{
  if (aTask.mMayJoinOthers) {
    return Isolation::None;
  }
  if (aTask.mCrashes >= kCrashesToRunAlone) {
    return Isolation::Alone;
  }
  return aTask.mCrashes == 0 || aStep.mLongRunning ? Isolation::None : Isolation::AmongSuspects;
}

bool
MayStopWaiting(const Step& aStep, Task& aTask, Instant aNow)
{
  if (!aStep.mLongRunning || IsolationOf(aStep, aTask) == Isolation::None) {
    return false;
  }
  if (!aTask.mKeptWaitingSince) {
    aTask.mKeptWaitingSince = aNow;
  }
  return aNow - *aTask.mKeptWaitingSince >= kMaxWaitToBeApart;
}

double
OccupiedShare(Isolation aIsolation)
{
  switch (aIsolation) {
    case Isolation::None:
      return 0;
    case Isolation::AmongSuspects:
      return 1.0 / kMaxSuspectsTogether;
    case Isolation::Alone:
      return 1;
  }
  return 0;
}

bool
HasProvenHarmless(const PlacedRun& aRun, Instant aNow)
{
  return aRun.mIsLongRunning && aRun.mState == RunState::Running && aRun.mPercent == kFullSpeed &&
         aNow - aRun.mStateSince >= kTimeToProve;
}

void
AddOccupant(Occupants& aOccupants, Isolation aIsolation, bool aIsLongRunning)
{
  ++CountOf(aOccupants, aIsolation, aIsLongRunning);
}

void
RemoveOccupant(Occupants& aOccupants, Isolation aIsolation, bool aIsLongRunning)
{
  --CountOf(aOccupants, aIsolation, aIsLongRunning);
}

bool
MayJoin(const Occupants& aOccupants, Isolation aIsolation, bool aIsLongRunning)
{
  if (aOccupants.mAlone > 0) {
    return false;
  }
  switch (aIsolation) {
    case Isolation::None:
      return aOccupants.mSuspects == 0 || aIsLongRunning;
    case Isolation::AmongSuspects:
      return aOccupants.mOrdinary == 0 && aOccupants.mSuspects < kMaxSuspectsTogether;
    case Isolation::Alone:
      return aOccupants.mOrdinary == 0 && aOccupants.mSuspects == 0;
  }
  return false;
}

void
ReserveForSuspects(std::map<ExecutorId, Executor>& aExecutors,
                   const ServiceName& aPool,
                   const UnplacedSuspects& aWaiting,
                   Instant aNow)
{
  std::vector<Reservable> present;
  for (auto& [id, executor] : aExecutors) {
    if (executor.mEntry.mService != aPool) {
      continue;
    }
    if (IsSchedulable(executor, aNow)) {
      present.push_back(MakeReservable(executor));
    } else {
      executor.mIsReservedForSuspects = false;
    }
  }
  std::stable_sort(present.begin(), present.end(), GoesFirst);
  auto wanted = CountWantedReservations(aWaiting, static_cast<int>(present.size()));
  for (const auto& reservable : present) {
    reservable.mExecutor->mIsReservedForSuspects = wanted > 0;
    --wanted;
  }
}

}
