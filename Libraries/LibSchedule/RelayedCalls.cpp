#include "LibSchedule/RelayedCalls.h"

#include <algorithm>
#include <utility>

namespace sesameseam::schedule {

namespace {

// An owner with more executors than this, for each core of its processor, shares its calls before
// it is late: what waits for its processor does not always make its timers late.
constexpr int kExecutorsAlonePerCore = 400;
// An owner that shares its calls makes those to this many executors a core itself, since it decides
// on all.
constexpr int kOwnExecutorsPerCore = 50;
// The last delay counts as one of this many in the mean.
constexpr int kDelaysInMean = 4;
// A single delay, as by a suspension, counts up to this.
constexpr Duration kMaxDelay = 2s;
// An owner whose timers are this late in the mean bears no more calls than it makes.
constexpr Duration kLateDelay = 20ms;
// How long an owner goes on sharing: its timers are in time once it shares, which tells nothing of
// its load without that.
constexpr Duration kShareTime = 5s;
// Relays are filled up to this before another one is used.
constexpr int kRelayedExecutorsPerCore = 100;
constexpr int kMillicoresPerCore = 1000;
// Clocks of hosts run at the same rate, but not exactly.
constexpr Duration kMaxClockAge = 10s;
constexpr Duration kMinExchangeInterval = 10ms;
// Bounds the exchanges of an owner, however many relays it uses.
constexpr Duration kExchangeIntervalPerRelay = 3ms;
// A relay that had nothing to tell is asked again after twice the time, up to this, and one of a
// late owner after the time by which the owner is late.
constexpr Duration kMaxPollInterval = 40ms;
constexpr Duration kAvoidTime = 2s;
// It doubles each time that a relay is found to be slow, since only trying tells that it no longer
// is.
constexpr int kMaxAvoidDoublings = 4;
// Exchanges that take longer than this in the mean, beyond what the owner's own lateness explains,
// cost more than the owner's time that they save.
constexpr Duration kMaxExchangeTime = 80ms;
// The last exchange counts as one of this many in the mean.
constexpr int kExchangesInMean = 4;
// After a relay has failed, the owner learns by calls of its own how its executors are.
constexpr Duration kOwnTimeAfterFailure = 1s;
// A session is given up if no exchange has been answered for this long. After such a time without
// calls a new one begins, since a relay forgets sessions that are not used.
constexpr Duration kMaxSilence = 1s;
// The size of an exchange, by that of the specifications in it.
constexpr std::size_t kMaxExchangeBytes = 64 * 1024;
constexpr std::size_t kBytesPerCall = 150;
constexpr Duration kCleanUpInterval = 1s;
// An executor with runs is called at least every few seconds.
constexpr Duration kAssignmentLifetime = 5s;

int
ScaleByCapacity(int aPerCore, int aCapacityMillicores)
{
  return aPerCore * aCapacityMillicores / kMillicoresPerCore;
}

// How many executors the host makes the calls to; its name is empty for this one.
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

// The time by which an exchange may seem to take longer than it does, since its answer waits for
// the owner's processor as its timers do.
Duration
OwnDelay(const RelayedCalls& aCalls)
{
  return 2 * std::max(aCalls.mMeanDelay, aCalls.mLastDelay);
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

bool
HasClock(const Relay& aRelay, Instant aNow)
{
  return aRelay.mClockReadAt && aNow - *aRelay.mClockReadAt < kMaxClockAge;
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

bool
NeedsExchange(const Relay& aRelay)
{
  return !aRelay.mInFlight && (!aRelay.mPending.empty() || aRelay.mNeedsClock);
}

Instant
DueAt(const Relay& aRelay)
{
  auto onlyAsks = aRelay.mQueue.empty() && !aRelay.mNeedsClock;
  return onlyAsks ? aRelay.mNextPollAt : aRelay.mNextExchangeAt;
}

// Has the exchange that the relay needs made in time.
void
ScheduleExchange(RelayedCalls& aCalls, const Relay& aRelay)
{
  if (NeedsExchange(aRelay)) {
    auto due = DueAt(aRelay);
    aCalls.mNextExchangeAt = std::min(aCalls.mNextExchangeAt.value_or(due), due);
  }
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

// Returns the relay that makes the calls to an executor, or null if this host does.
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
BeginSession(Relay& aRelay, const Now& aNow)
{
  // Sessions of a host that has restarted differ from its former ones.
  aRelay.mSession = aNow.mWall.time_since_epoch().count();
  aRelay.mNextNumber = 1;
  aRelay.mReceived = 0;
  aRelay.mBegunAt.reset();
  aRelay.mHeardAt = aNow.mAt;
}

// The relay may have forgotten a session that has not been used for a while.
void
EnsureSession(Relay& aRelay, const Now& aNow)
{
  auto isIdle = aRelay.mPending.empty() && !aRelay.mInFlight;
  if (aRelay.mSession == 0 || (isIdle && aNow.mAt - aRelay.mHeardAt > kMaxSilence)) {
    BeginSession(aRelay, aNow);
  }
}

void
HandOver(RelayedCalls& aCalls, Relay& aRelay, ExecutorCall aCall, const Now& aNow)
{
  EnsureSession(aRelay, aNow);
  auto number = aRelay.mNextNumber++;
  aRelay.mPending[number] = { std::move(aCall), aNow.mAt };
  aRelay.mQueue.push_back(number);
  ScheduleExchange(aCalls, aRelay);
  ++aCalls.mHandedOver;
}

Duration
ExchangeInterval(const RelayedCalls& aCalls)
{
  auto used = std::count_if(aCalls.mRelays.begin(), aCalls.mRelays.end(), [](const auto& aEntry) {
    return !aEntry.second.mPending.empty();
  });
  return std::max(kMinExchangeInterval, kExchangeIntervalPerRelay * used);
}

std::size_t
SizeOf(const ExecutorCall& aCall)
{
  const auto* start = std::get_if<StartCall>(&aCall);
  return kBytesPerCall + (start == nullptr ? 0 : start->mSpec.size());
}

// Adds as many calls of the queue to an exchange as fit.
void
AddCalls(Relay& aRelay, std::vector<NumberedCall>& aCalls)
{
  std::size_t bytes = 0;
  for (auto number : aRelay.mQueue) {
    if (bytes >= kMaxExchangeBytes) {
      break;
    }
    const auto& call = aRelay.mPending.at(number).mCall;
    bytes += SizeOf(call);
    aCalls.push_back({ number, call });
  }
  aRelay.mInExchange = aCalls.size();
}

RelayCall
MakeExchange(const RelayedCalls& aCalls, const std::string& aName, Relay& aRelay, const Now& aNow)
{
  EnsureSession(aRelay, aNow);
  // The exchange before may have failed, and this one carries calls only if the clock is known.
  aRelay.mInExchange = 0;
  std::erase_if(aRelay.mQueue, [&](auto aNumber) { return !aRelay.mPending.contains(aNumber); });
  RelayCall call;
  call.mRelay = aName;
  call.mAddress = aRelay.mAddress;
  call.mRequest.mOwner = aCalls.mSettings.mHost;
  call.mRequest.mSession = aRelay.mSession;
  call.mRequest.mReceived = aRelay.mReceived;
  if (HasClock(aRelay, aNow.mAt)) {
    auto decidedAt =
      aRelay.mQueue.empty() ? aNow.mAt : aRelay.mPending.at(aRelay.mQueue.front()).mSentAt;
    call.mRequest.mDecidedAt = decidedAt + aRelay.mClockLead;
    call.mRequest.mExpiresAt = call.mRequest.mDecidedAt + kRelayedCallLifetime;
    AddCalls(aRelay, call.mRequest.mCalls);
  }
  return call;
}

// Makes the exchanges that are due.
void
MakeExchanges(RelayedCalls& aCalls, const Now& aNow, Actions& aActions)
{
  aCalls.mNextExchangeAt.reset();
  for (auto& [name, relay] : aCalls.mRelays) {
    if (NeedsExchange(relay) && aNow.mAt >= DueAt(relay)) {
      aActions.emplace_back(MakeExchange(aCalls, name, relay, aNow));
      relay.mInFlight = true;
    }
    ScheduleExchange(aCalls, relay);
  }
}

// Has the owner make the next calls to an executor itself, if it bears them.
void
MakeOwn(RelayedCalls& aCalls, const ExecutorCall& aCall, Instant aNow)
{
  const auto& to = std::visit([](const auto& aValue) { return aValue.mTo; }, aCall);
  auto found = aCalls.mAssignments.find(to.mExecutor);
  if (found != aCalls.mAssignments.end()) {
    found->second.mOwnUntil = aNow + kOwnTimeAfterFailure;
  }
}

// Gives up the session with a relay. Its calls may have been made, or may still be made.
std::vector<ExecutorAnswer>
GiveUp(RelayedCalls& aCalls,
       const std::string& aName,
       Relay& aRelay,
       const char* aReason,
       Instant aNow,
       Actions& aActions)
{
  std::vector<ExecutorAnswer> answers;
  RelayedResult unanswered;
  unanswered.mIsRelayFailure = true;
  answers.reserve(aRelay.mPending.size());
  for (auto& [number, pending] : aRelay.mPending) {
    MakeOwn(aCalls, pending.mCall, aNow);
    answers.push_back(ToExecutorAnswer(std::move(pending.mCall), pending.mSentAt, unanswered));
  }
  aCalls.mUnanswered += static_cast<std::int64_t>(answers.size());
  LogEntry entry{ LogLevel::Warning, "relay-lost", {}, aName };
  entry.mOutcome = std::to_string(answers.size()) + " calls are unanswered";
  entry.mReason = aReason;
  aActions.emplace_back(std::move(entry));
  aRelay.mPending.clear();
  aRelay.mQueue.clear();
  aRelay.mInExchange = 0;
  aRelay.mInFlight = false;
  aRelay.mTimesUnanswered = 0;
  aRelay.mSession = 0;
  aRelay.mClockReadAt.reset();
  aRelay.mNeedsClock = false;
  aRelay.mAvoidUntil = aNow + kAvoidTime;
  return answers;
}

// A reading is older than its receipt by an unknown time, so that the greatest one is the closest.
// It is replaced before it is too old to be used.
void
ReadClock(Relay& aRelay, Instant aClock, Instant aNow)
{
  auto lead = aClock - aNow;
  auto isRecent = aRelay.mClockReadAt && aNow - *aRelay.mClockReadAt < kMaxClockAge / 2;
  if (!isRecent || lead >= aRelay.mClockLead) {
    aRelay.mClockLead = lead;
    aRelay.mClockReadAt = aNow;
  }
}

// The longer, the more often in a row it was for nothing.
Duration
AvoidTime(int& aTimes)
{
  auto time = kAvoidTime * (1 << aTimes);
  aTimes = std::min(aTimes + 1, kMaxAvoidDoublings);
  return time;
}

// If half of the relays are slow, it is this host's own link that bears no more.
void
ShareNoCallsIfLinkIsBusy(RelayedCalls& aCalls, Instant aNow)
{
  int slow = 0;
  int inUse = 0;
  for (const auto& [name, relay] : aCalls.mRelays) {
    auto isSlow = relay.mTimesSlow > 0 && aNow < relay.mAvoidUntil;
    slow += isSlow ? 1 : 0;
    inUse += isSlow || !relay.mPending.empty() ? 1 : 0;
  }
  if (2 * slow < inUse || aNow < aCalls.mAloneUntil || IsLate(aCalls)) {
    return;
  }
  auto wasLong = aNow - aCalls.mAloneUntil > kAvoidTime * (1 << kMaxAvoidDoublings);
  aCalls.mTimesAlone = wasLong ? 0 : aCalls.mTimesAlone;
  aCalls.mAloneUntil = aNow + AvoidTime(aCalls.mTimesAlone);
}

// Takes note of how long an exchange took, and avoids a relay to which they take too long. Calls
// that it has are still answered.
void
RecordExchangeTime(RelayedCalls& aCalls,
                   const std::string& aName,
                   Relay& aRelay,
                   Duration aTime,
                   Instant aNow,
                   Actions& aActions)
{
  aRelay.mMeanExchangeTime += (aTime - aRelay.mMeanExchangeTime) / kExchangesInMean;
  auto isAvoided = aNow < aRelay.mAvoidUntil;
  if (isAvoided || aRelay.mMeanExchangeTime <= kMaxExchangeTime + OwnDelay(aCalls)) {
    auto isProven = aNow - aRelay.mAvoidUntil > kAvoidTime * (1 << aRelay.mTimesSlow);
    aRelay.mTimesSlow = isProven ? 0 : aRelay.mTimesSlow;
    return;
  }
  LogEntry entry{ LogLevel::Info, "relay-slow", {}, aName };
  entry.mOutcome = std::to_string(aRelay.mPending.size()) + " calls under way";
  entry.mAge = ToMilliseconds(aRelay.mMeanExchangeTime);
  aActions.emplace_back(std::move(entry));
  aRelay.mAvoidUntil = aNow + AvoidTime(aRelay.mTimesSlow);
  aRelay.mMeanExchangeTime = Duration(0);
  ShareNoCallsIfLinkIsBusy(aCalls, aNow);
}

// Plans the next exchange after an answer. One that carries calls is not put off.
void
PlanNextExchange(const RelayedCalls& aCalls,
                 Relay& aRelay,
                 const RelayResponse& aResponse,
                 Instant aNow)
{
  auto interval = ExchangeInterval(aCalls);
  auto isIdle = aRelay.mInExchange == 0 && aResponse.mResults.empty();
  auto longest = std::max(interval, Duration(kMaxPollInterval));
  auto wanted = std::max(isIdle ? 2 * aRelay.mPollInterval : interval, aCalls.mMeanDelay);
  aRelay.mPollInterval = std::clamp(wanted, interval, longest);
  aRelay.mNextExchangeAt = aNow + interval;
  aRelay.mNextPollAt = aNow + aRelay.mPollInterval;
}

// Whether an exchange without an answer shows that the relay is silent. A single one may have been
// lost, of which a late owner takes notice late.
bool
IsSilent(const Relay& aRelay, Instant aSentAt, Instant aNow)
{
  auto isRepeated = aRelay.mTimesUnanswered > 1 || aNow - aSentAt >= kMaxSilence;
  return isRepeated && aNow - aRelay.mHeardAt >= kMaxSilence;
}

// Returns the answers to the calls whose results are new.
std::vector<ExecutorAnswer>
TakeResults(RelayedCalls& aCalls, Relay& aRelay, const Now& aNow, RelayAnswer aAnswer)
{
  std::vector<ExecutorAnswer> answers;
  answers.reserve(aAnswer.mResponse.mResults.size());
  auto sequence = aAnswer.mResponse.mFirst;
  for (auto& result : aAnswer.mResponse.mResults) {
    if (sequence++ < aRelay.mReceived) {
      continue;
    }
    aRelay.mReceived = sequence;
    auto pending = aRelay.mPending.extract(result.mNumber);
    if (pending.empty()) {
      continue;
    }
    if (result.mRefusal == StartRefusal::NotSent) {
      result.mIsRelayFailure = true;
      MakeOwn(aCalls, pending.mapped().mCall, aNow.mAt);
    }
    // The way back took the time of the exchange at most.
    result.mAge += aNow.mAt - aAnswer.mSentAt;
    auto& [call, sentAt] = pending.mapped();
    answers.push_back(ToExecutorAnswer(std::move(call), sentAt, std::move(result)));
  }
  return answers;
}

// Whether the action is a call of this host's own shards to an executor.
template<typename T>
constexpr bool kIsExecutorCall = std::is_same_v<T, HeartbeatCall> || std::is_same_v<T, StartCall> ||
                                 std::is_same_v<T, StopCall> || std::is_same_v<T, ThrottleCall>;

// Returns whether the action was handed over.
bool
HandOverIfRelayed(RelayedCalls& aCalls, const Now& aNow, Action& aAction)
{
  return std::visit(
    [&](auto& aValue) {
      if constexpr (kIsExecutorCall<std::decay_t<decltype(aValue)>>) {
        if (aValue.mTo.mRelayTicket != 0) {
          return false;
        }
        if (auto* relay = RelayFor(aCalls, aValue.mTo.mExecutor, aNow.mAt)) {
          HandOver(aCalls, *relay, std::move(aValue), aNow);
          return true;
        }
      }
      return false;
    },
    aAction);
}

void
CleanUp(RelayedCalls& aCalls, Instant aNow)
{
  if (aNow < aCalls.mNextCleanUpAt) {
    return;
  }
  aCalls.mNextCleanUpAt = aNow + kCleanUpInterval;
  std::erase_if(aCalls.mAssignments, [&](const auto& aEntry) {
    auto isOver = aNow - aEntry.second.mLastCallAt > kAssignmentLifetime;
    CountAssigned(aCalls, aEntry.second.mRelay) -= isOver ? 1 : 0;
    return isOver;
  });
  std::erase_if(aCalls.mRelays, [](const auto& aEntry) {
    const auto& relay = aEntry.second;
    return relay.mIsLeaving && relay.mExecutors == 0 && relay.mPending.empty() && !relay.mInFlight;
  });
}

}

void
RecordDelay(RelayedCalls& aCalls, Instant aNow, Duration aDelay)
{
  auto delay = std::clamp(aDelay, Duration(0), Duration(kMaxDelay));
  aCalls.mLastDelay = delay;
  aCalls.mMeanDelay += (delay - aCalls.mMeanDelay) / kDelaysInMean;
  if (aCalls.mMeanDelay >= aCalls.mSettings.mShareCallsDelay) {
    aCalls.mSharesUntil = aNow + kShareTime;
  }
  if (IsLate(aCalls)) {
    aCalls.mAloneUntil = std::min(aCalls.mAloneUntil, aNow);
  }
}

void
UpdateRelays(RelayedCalls& aCalls, const std::vector<GroupOwner>& aOwners)
{
  for (auto& [name, relay] : aCalls.mRelays) {
    relay.mIsLeaving = true;
  }
  for (const auto& owner : aOwners) {
    if (owner.mHost == aCalls.mSettings.mHost || owner.mRelayAddress.empty()) {
      continue;
    }
    auto& relay = aCalls.mRelays[owner.mHost];
    relay.mAddress = owner.mRelayAddress;
    relay.mCapacityMillicores = owner.mCapacityMillicores;
    relay.mIsLeaving = false;
  }
}

std::vector<ExecutorAnswer>
OnRelayAnswer(RelayedCalls& aCalls, const Now& aNow, RelayAnswer aAnswer, Actions& aActions)
{
  auto found = aCalls.mRelays.find(aAnswer.mRelay);
  if (found == aCalls.mRelays.end() || found->second.mSession != aAnswer.mSession) {
    return {};
  }
  auto& relay = found->second;
  relay.mInFlight = false;
  relay.mTimesUnanswered = aAnswer.mResult == CallResult::Done ? 0 : relay.mTimesUnanswered + 1;
  if (relay.mTimesUnanswered > 0 && IsSilent(relay, aAnswer.mSentAt, aNow.mAt)) {
    return GiveUp(aCalls, found->first, relay, "no answer", aNow.mAt, aActions);
  }
  RecordExchangeTime(aCalls, found->first, relay, aNow.mAt - aAnswer.mSentAt, aNow.mAt, aActions);
  if (aAnswer.mResult != CallResult::Done) {
    relay.mNextExchangeAt = aNow.mAt;
    relay.mNextPollAt = aNow.mAt;
    ScheduleExchange(aCalls, relay);
    return {};
  }
  if (relay.mBegunAt && relay.mBegunAt != aAnswer.mResponse.mBegunAt) {
    return GiveUp(aCalls, found->first, relay, "it has restarted", aNow.mAt, aActions);
  }
  relay.mBegunAt = aAnswer.mResponse.mBegunAt;
  relay.mHeardAt = aNow.mAt;
  PlanNextExchange(aCalls, relay, aAnswer.mResponse, aNow.mAt);
  relay.mQueue.erase(relay.mQueue.begin(),
                     relay.mQueue.begin() +
                       static_cast<std::ptrdiff_t>(std::exchange(relay.mInExchange, 0)));
  ReadClock(relay, aAnswer.mResponse.mClock, aNow.mAt);
  relay.mNeedsClock = false;
  relay.mIsLeaving |= aAnswer.mResponse.mIsStopping;
  auto answers = TakeResults(aCalls, relay, aNow, std::move(aAnswer));
  ScheduleExchange(aCalls, relay);
  return answers;
}

void
RelayCalls(RelayedCalls& aCalls, const Now& aNow, Actions& aActions)
{
  CleanUp(aCalls, aNow.mAt);
  std::erase_if(aActions,
                [&](Action& aAction) { return HandOverIfRelayed(aCalls, aNow, aAction); });
  if (aCalls.mNextExchangeAt && aNow.mAt >= *aCalls.mNextExchangeAt) {
    MakeExchanges(aCalls, aNow, aActions);
  }
}

std::optional<Instant>
NextExchangeAt(const RelayedCalls& aCalls)
{
  return aCalls.mNextExchangeAt;
}

int
CountRelayedExecutors(const RelayedCalls& aCalls)
{
  return static_cast<int>(aCalls.mAssignments.size()) - aCalls.mOwnExecutors;
}

}
