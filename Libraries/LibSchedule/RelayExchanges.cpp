#include "LibSchedule/RelayExchanges.h"

#include <algorithm>
#include <utility>

namespace sesameseam::schedule::detail {

namespace {

// Clocks of hosts run at the same rate, but not exactly.
constexpr Duration kMaxClockAge = 10s;
constexpr Duration kMinExchangeInterval = 10ms;
// Bounds the exchanges of an owner, however many relays it uses.
constexpr Duration kExchangeIntervalPerRelay = 3ms;
// A relay that had nothing to tell is asked again after twice the time, up to this, and one of a
// late owner after the time by which the owner is late.
constexpr Duration kMaxPollInterval = 40ms;
// The size of an exchange, by that of the specifications in it.
constexpr std::size_t kMaxExchangeBytes = 64 * 1024;
constexpr std::size_t kBytesPerCall = 150;

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

}

bool
HasClock(const Relay& aRelay, Instant aNow)
{
  return aRelay.mClockReadAt && aNow - *aRelay.mClockReadAt < kMaxClockAge;
}

void
ScheduleExchange(RelayedCalls& aCalls, const Relay& aRelay)
{
  if (NeedsExchange(aRelay)) {
    auto due = DueAt(aRelay);
    aCalls.mNextExchangeAt = std::min(aCalls.mNextExchangeAt.value_or(due), due);
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

}
