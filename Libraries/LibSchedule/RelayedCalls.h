#pragma once

#include "LibSchedule/Calls.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// Shares the calls of an owner to its executors among the entry hosts that own shards. An owner
// that has many executors, or whose timers are late because its processor has no time left, hands
// calls over to relays: several calls go in one exchange, and the answers come back with later
// ones. All decisions, their records and the fencing tokens stay with the owner. To the shard a
// relayed call looks like one of its own: it is answered, or it is unanswered and may still be
// carried out. An exchange that is not answered is repeated. A relay that stays silent, or to which
// exchanges take long, is avoided for a while. All calls that a silent relay has are unanswered;
// those of a slow one are still answered. If half of the relays in use are slow, the owner's own
// link is taken for the cause, and it makes all calls itself. What a relay fails to do tells
// nothing of the executors: the owner makes their next calls itself, or another relay does.
//
// An owner that is late takes no calls back, since its lateness would grow with the calls that it
// makes: it uses a slow relay rather than none, and asks for results less often.
namespace sesameseam::schedule {

struct RelayedCallsSettings
{
  std::string mHost;
  int mCapacityMillicores = 1000;
  // An owner whose timers are this late in the mean shares its calls. A relay delays a call and its
  // answer by about as much as the default.
  Duration mShareCallsDelay = 15ms;
};

// A call that a relay has, or that waits for the next exchange with it.
struct PendingRelayedCall
{
  ExecutorCall mCall;
  Instant mSentAt;
};

struct Relay
{
  std::string mAddress;
  int mCapacityMillicores = 0;
  // It is no longer listed, or about to stop: it gets no new calls.
  bool mIsLeaving = false;
  // How many executors it makes the calls to.
  int mExecutors = 0;
  // 0 while there is none.
  std::int64_t mSession = 0;
  // A lower bound of how far the relay's clock is ahead of this host's, and when it was found.
  Duration mClockLead{ 0 };
  std::optional<Instant> mClockReadAt;
  std::map<std::int64_t, PendingRelayedCall> mPending;
  // The numbers of pending calls that the relay is not known to have, in rising order.
  std::deque<std::int64_t> mQueue;
  // How many of them the exchange in flight carries.
  std::size_t mInExchange = 0;
  // How many results of the session have been received.
  std::int64_t mReceived = 0;
  // When the relay first heard of the session, by its clock.
  std::optional<Instant> mBegunAt;
  Instant mHeardAt;
  std::int64_t mNextNumber = 1;
  bool mInFlight = false;
  // How many exchanges in a row were not answered.
  int mTimesUnanswered = 0;
  bool mNeedsClock = false;
  Instant mNextExchangeAt;
  // When results are asked for if there is nothing else to exchange.
  Instant mNextPollAt;
  Duration mPollInterval{ 0 };
  Instant mAvoidUntil;
  // The mean time of the last exchanges, and how often in a row they were found to be slow.
  Duration mMeanExchangeTime{ 0 };
  int mTimesSlow = 0;
};

// Which host makes the calls to an executor.
struct CallerAssignment
{
  // The name of the relay; empty if this host makes them.
  std::string mRelay;
  Instant mLastCallAt;
  // Until then this host makes them if it bears it, since a relay has failed to.
  Instant mOwnUntil;
};

struct RelayedCalls
{
  RelayedCallsSettings mSettings;
  std::map<std::string, Relay> mRelays;
  std::unordered_map<ExecutorId, CallerAssignment> mAssignments;
  // How many of the executors this host calls itself.
  int mOwnExecutors = 0;
  // No exchange is due before; empty if none is needed.
  std::optional<Instant> mNextExchangeAt;
  Instant mNextCleanUpAt;
  // The mean delay of this host's timers over the last ones.
  Duration mMeanDelay{ 0 };
  Duration mLastDelay{ 0 };
  // The owner shares its calls until then, since it was short of processor time.
  Instant mSharesUntil;
  // Until then the owner makes all calls itself if it bears it, since its link bears no exchanges.
  Instant mAloneUntil;
  int mTimesAlone = 0;
  // Counters for the metrics.
  std::int64_t mHandedOver = 0;
  std::int64_t mUnanswered = 0;
};

// Takes note of how late a timer of this host was. Timers are late when events wait for the
// processor.
void
RecordDelay(RelayedCalls& aCalls, Instant aNow, Duration aDelay);

// Takes over which entry hosts make calls for others.
void
UpdateRelays(RelayedCalls& aCalls, const std::vector<GroupOwner>& aOwners);

// Returns the answers to calls that the exchange brought, or that it leaves unanswered.
std::vector<ExecutorAnswer>
OnRelayAnswer(RelayedCalls& aCalls, const Now& aNow, RelayAnswer aAnswer, Actions& aActions);

// Hands calls among the actions over to relays, and adds the exchanges that are due.
void
RelayCalls(RelayedCalls& aCalls, const Now& aNow, Actions& aActions);

// When the next exchange is due; empty if none is needed.
std::optional<Instant>
NextExchangeAt(const RelayedCalls& aCalls);

// The number of executors whose calls other hosts make.
int
CountRelayedExecutors(const RelayedCalls& aCalls);

}
