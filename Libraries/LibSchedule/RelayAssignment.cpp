#include "LibSchedule/RelayAssignment.h"

#include "LibSchedule/RelayExchanges.h"

#include <algorithm>

namespace sesameseam::schedule::detail {

namespace {

// An owner with more executors than this, for each core of its processor, shares its calls before
// it is late: what waits for its processor does not always make its timers late.
constexpr int kExecutorsAlonePerCore = 400;
// An owner that shares its calls makes those to this many executors a core itself, since it decides
// on all.
constexpr int kOwnExecutorsPerCore = 50;
// An owner whose timers are this late in the mean bears no more calls than it makes.
constexpr Duration kLateDelay = 20ms;
// Relays are filled up to this before another one is used.
constexpr int kRelayedExecutorsPerCore = 100;
constexpr int kMillicoresPerCore = 1000;
// After a relay has failed, the owner learns by calls of its own how its executors are.
constexpr Duration kOwnTimeAfterFailure = 1s;

int
ScaleByCapacity(int aPerCore, int aCapacityMillicores)
{
  return aPerCore * aCapacityMillicores / kMillicoresPerCore;
}

bool
IsAlone(const RelayedCalls& aCalls, Instant aNow)
{
  return aNow < aCalls.mAloneUntil && !IsLate(aCalls);
}

// Whether the owner makes the calls to an executor itself because a relay has failed to. It takes
// back no more than it would make alone.
bool
TakesBack(const RelayedCalls& aCalls, const CallerAssignment& aAssignment, Instant aNow)
{
  auto limit = ScaleByCapacity(kExecutorsAlonePerCore, aCalls.mSettings.mCapacityMillicores);
  return aNow < aAssignment.mOwnUntil && !IsLate(aCalls) && aCalls.mOwnExecutors < limit;
}

// Whether the owner has executors that it should hand over to a relay, aOwn being those that it
// keeps.
bool
HasTooMany(const RelayedCalls& aCalls, int aOwn, Instant aNow)
{
  if (IsAlone(aCalls, aNow)) {
    return false;
  }
  auto capacity = aCalls.mSettings.mCapacityMillicores;
  auto hasMany = static_cast<int>(aCalls.mAssignments.size()) >
                 ScaleByCapacity(kExecutorsAlonePerCore, capacity);
  return (hasMany || aNow < aCalls.mSharesUntil) &&
         aOwn > ScaleByCapacity(kOwnExecutorsPerCore, capacity);
}

bool
IsUsable(const Relay& aRelay, Instant aNow)
{
  return !aRelay.mIsLeaving && aNow >= aRelay.mAvoidUntil;
}

// A late owner rather uses a relay that is slow than none.
bool
IsLastResort(const RelayedCalls& aCalls, const Relay& aRelay)
{
  return IsLate(aCalls) && !aRelay.mIsLeaving;
}

struct RelayChoice
{
  std::string mName;
  int mExecutors = 0;
  bool mIsFull = true;
  bool mIsAvoided = false;
};

// Few relays are filled rather than many used, so that each exchange carries many calls.
bool
IsBetter(const RelayChoice& aLeft, const RelayChoice& aRight)
{
  if (aRight.mName.empty() || aLeft.mIsAvoided != aRight.mIsAvoided) {
    return aRight.mName.empty() || aRight.mIsAvoided;
  }
  if (aLeft.mIsFull != aRight.mIsFull) {
    return aRight.mIsFull;
  }
  return aLeft.mIsFull ? aLeft.mExecutors < aRight.mExecutors
                       : aLeft.mExecutors > aRight.mExecutors;
}

int
RoomOf(const Relay& aRelay)
{
  return ScaleByCapacity(kRelayedExecutorsPerCore, aRelay.mCapacityMillicores);
}

// Calls the function with each relay. Each owner begins with another one, so that the first ones do
// not get the calls of all owners.
template<typename Function>
void
ForEachRelay(RelayedCalls& aCalls, Function aFunction)
{
  auto first = aCalls.mRelays.upper_bound(aCalls.mSettings.mHost);
  std::for_each(first, aCalls.mRelays.end(), aFunction);
  std::for_each(aCalls.mRelays.begin(), first, aFunction);
}

// Asks for the clocks of as many relays as have room for all executors.
void
AskForClocks(RelayedCalls& aCalls, Instant aNow)
{
  auto wanted = static_cast<int>(aCalls.mAssignments.size());
  ForEachRelay(aCalls, [&](auto& aEntry) {
    auto& relay = aEntry.second;
    if (wanted <= 0 || !IsUsable(relay, aNow)) {
      return;
    }
    wanted -= RoomOf(relay);
    relay.mNeedsClock |= !HasClock(relay, aNow);
    ScheduleExchange(aCalls, relay);
  });
}

// Returns the name of the best relay; empty if none is usable.
std::string
ChooseRelay(RelayedCalls& aCalls, Instant aNow)
{
  RelayChoice best;
  ForEachRelay(aCalls, [&](const auto& aEntry) {
    const auto& [name, relay] = aEntry;
    auto isAvoided = !IsUsable(relay, aNow);
    if (!HasClock(relay, aNow) || (isAvoided && !IsLastResort(aCalls, relay))) {
      return;
    }
    RelayChoice choice{ name, relay.mExecutors, relay.mExecutors >= RoomOf(relay), isAvoided };
    if (IsBetter(choice, best)) {
      best = choice;
    }
  });
  if (best.mIsFull || best.mIsAvoided) {
    AskForClocks(aCalls, aNow);
  }
  return best.mName;
}

void
Assign(RelayedCalls& aCalls, CallerAssignment& aAssignment, Instant aNow)
{
  aAssignment.mRelay.clear();
  if (!TakesBack(aCalls, aAssignment, aNow) && HasTooMany(aCalls, aCalls.mOwnExecutors + 1, aNow)) {
    aAssignment.mRelay = ChooseRelay(aCalls, aNow);
  }
  ++CountAssigned(aCalls, aAssignment.mRelay);
}

}

int&
CountAssigned(RelayedCalls& aCalls, const std::string& aHost)
{
  return aHost.empty() ? aCalls.mOwnExecutors : aCalls.mRelays.at(aHost).mExecutors;
}

bool
IsLate(const RelayedCalls& aCalls)
{
  return aCalls.mMeanDelay >= kLateDelay;
}

Relay*
RelayFor(RelayedCalls& aCalls, const ExecutorId& aExecutor, Instant aNow)
{
  auto [found, isNew] = aCalls.mAssignments.try_emplace(aExecutor);
  auto& assignment = found->second;
  assignment.mLastCallAt = aNow;
  if (isNew) {
    Assign(aCalls, assignment, aNow);
  }
  auto relay = aCalls.mRelays.find(assignment.mRelay);
  auto isUsable =
    relay != aCalls.mRelays.end() && IsUsable(relay->second, aNow) && HasClock(relay->second, aNow);
  auto takesBack = TakesBack(aCalls, assignment, aNow);
  auto keeps = assignment.mRelay.empty()
                 ? takesBack || !HasTooMany(aCalls, aCalls.mOwnExecutors, aNow)
                 : isUsable && !takesBack && !IsAlone(aCalls, aNow);
  if (!keeps && !isNew) {
    --CountAssigned(aCalls, assignment.mRelay);
    Assign(aCalls, assignment, aNow);
  }
  return assignment.mRelay.empty() ? nullptr : &aCalls.mRelays.at(assignment.mRelay);
}

void
MakeOwn(RelayedCalls& aCalls, const ExecutorCall& aCall, Instant aNow)
{
  const auto& to = std::visit([](const auto& aValue) { return aValue.mTo; }, aCall);
  auto found = aCalls.mAssignments.find(to.mExecutor);
  if (found != aCalls.mAssignments.end()) {
    found->second.mOwnUntil = aNow + kOwnTimeAfterFailure;
  }
}

}
