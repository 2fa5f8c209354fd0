#pragma once

#include "LibSchedule/Calls.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

// Makes calls to executors for the owners of shards on other entry hosts, and keeps the answers
// until they ask for them. It decides nothing: what to call, with which fencing token and until
// when is up to the owner.
namespace sesameseam::schedule {

// A result that the owner may not have received yet.
struct KeptResult
{
  RelayedResult mResult;
  Instant mArrivedAt;
};

struct RelaySession
{
  std::int64_t mId = 0;
  Instant mBegunAt;
  Instant mLastHeardAt;
  // The number of the last call that arrived.
  std::int64_t mLastCall = 0;
  std::deque<KeptResult> mResults;
  // How many results have been received by the owner and are no longer kept.
  std::int64_t mReceived = 0;
};

// Where the answer to a call belongs.
struct RelayedCallOrigin
{
  std::string mOwner;
  std::int64_t mSession = 0;
  std::int64_t mNumber = 0;
};

struct RelayService
{
  // By the name of the owner's entry host.
  std::map<std::string, RelaySession> mSessions;
  // The calls that are not answered yet, by ExecutorAddress::mRelayTicket.
  std::map<std::int64_t, RelayedCallOrigin> mOrigins;
  std::int64_t mNextTicket = 1;
  // When this host last handled an event, and when it last resumed after it had been suspended.
  Instant mLastEventAt;
  Instant mResumedAt;
  std::int64_t mCalls = 0;
  // Calls that arrived too late and were not made.
  std::int64_t mExpiredCalls = 0;
};

// Takes note of an event, before it is handled, so that a suspension of this host is noticed.
void
NoticeSuspension(RelayService& aService, Instant aNow);

// Makes the calls of a request unless they come too late, and answers it with the results so far.
void
OnRelayIncoming(RelayService& aService,
                const Now& aNow,
                RelayIncoming aIncoming,
                bool aIsStopping,
                Actions& aActions);

// Keeps the answer to a call that was made for another host.
void
OnRelayedAnswer(RelayService& aService,
                const Now& aNow,
                std::int64_t aTicket,
                const ExecutorAnswer& aAnswer);

// Forgets sessions whose owner no longer asks for results.
void
AdvanceRelayService(RelayService& aService, const Now& aNow);

}
