#include "LibSchedule/RelayedCalls.h"

#include "LibSchedule/RelayAssignment.h"
#include "LibSchedule/RelayExchanges.h"

#include <algorithm>
#include <utility>

namespace sesameseam::schedule {

namespace {

using namespace detail;

// The last delay counts as one of this many in the mean.
constexpr int kDelaysInMean = 4;
// A single delay, as by a suspension, counts up to this.
constexpr Duration kMaxDelay = 2s;
// How long an owner goes on sharing: its timers are in time once it shares, which tells nothing of
// its load without that.
constexpr Duration kShareTime = 5s;
constexpr Duration kAvoidTime = 2s;
// It doubles each time that a relay is found to be slow, since only trying tells that it no longer
// is.
constexpr int kMaxAvoidDoublings = 4;
// Exchanges that take longer than this in the mean, beyond what the owner's own lateness explains,
// cost more than the owner's time that they save.
constexpr Duration kMaxExchangeTime = 80ms;
// The last exchange counts as one of this many in the mean.
constexpr int kExchangesInMean = 4;
constexpr Duration kCleanUpInterval = 1s;
// An executor with runs is called at least every few seconds.
constexpr Duration kAssignmentLifetime = 5s;

// The time by which an exchange may seem to take longer than it does, since its answer waits for
// the owner's processor as its timers do.
Duration
OwnDelay(const RelayedCalls& aCalls)
{
  return 2 * std::max(aCalls.mMeanDelay, aCalls.mLastDelay);
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
