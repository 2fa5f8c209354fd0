#include "LibSchedule/RelayService.h"

#include <utility>

namespace sesameseam::schedule {

namespace {

// A host has an event at each of its ticks, so that one without events for this long was suspended.
constexpr Duration kMaxTimeWithoutEvents = 250ms;
// An owner asks several times a second while calls are under way.
constexpr Duration kSessionLifetime = 5s;

void
AddResult(RelaySession& aSession, Instant aNow, RelayedResult aResult)
{
  aSession.mResults.push_back({ std::move(aResult), aNow });
}

void
DropReceived(RelaySession& aSession, std::int64_t aReceived)
{
  while (aSession.mReceived < aReceived && !aSession.mResults.empty()) {
    aSession.mResults.pop_front();
    ++aSession.mReceived;
  }
}

void
MakeCall(RelayService& aService,
         const RelayRequest& aRequest,
         NumberedCall& aCall,
         Actions& aActions)
{
  auto ticket = aService.mNextTicket++;
  aService.mOrigins[ticket] = { aRequest.mOwner, aRequest.mSession, aCall.mNumber };
  ++aService.mCalls;
  std::visit(
    [&](auto& aValue) {
      aValue.mTo.mRelayTicket = ticket;
      aActions.emplace_back(std::move(aValue));
    },
    aCall.mCall);
}

// Makes the calls that have not arrived before, or none if they come too late.
void
TakeCalls(RelayService& aService,
          const Now& aNow,
          RelayRequest& aRequest,
          RelaySession& aSession,
          Actions& aActions)
{
  // A call that has waited for the end of a suspension may be one of a former owner, and reach an
  // executor that has restarted and knows no fencing token.
  auto isExpired = aNow.mAt >= aRequest.mExpiresAt || aRequest.mDecidedAt < aService.mResumedAt;
  std::int64_t expired = 0;
  for (auto& call : aRequest.mCalls) {
    if (call.mNumber <= aSession.mLastCall) {
      continue;
    }
    aSession.mLastCall = call.mNumber;
    if (isExpired) {
      ++expired;
      RelayedResult result{ call.mNumber, CallResult::Refused };
      result.mRefusal = StartRefusal::NotSent;
      AddResult(aSession, aNow.mAt, result);
    } else {
      MakeCall(aService, aRequest, call, aActions);
    }
  }
  if (expired > 0) {
    aService.mExpiredCalls += expired;
    LogEntry entry{ LogLevel::Info, "relayed-calls-expired", {}, aRequest.mOwner };
    entry.mOutcome = std::to_string(expired) + " calls not made";
    entry.mAge = ToMilliseconds(aNow.mAt - aRequest.mDecidedAt);
    aActions.emplace_back(std::move(entry));
  }
}

RelayResponse
MakeResponse(const RelaySession& aSession, Instant aNow)
{
  RelayResponse response;
  response.mClock = aNow;
  response.mBegunAt = aSession.mBegunAt;
  response.mFirst = aSession.mReceived;
  response.mResults.reserve(aSession.mResults.size());
  for (const auto& kept : aSession.mResults) {
    response.mResults.push_back(kept.mResult);
    response.mResults.back().mAge = aNow - kept.mArrivedAt;
  }
  return response;
}

}

void
NoticeSuspension(RelayService& aService, Instant aNow)
{
  if (aNow - aService.mLastEventAt > kMaxTimeWithoutEvents) {
    aService.mResumedAt = aNow;
  }
  aService.mLastEventAt = aNow;
}

void
OnRelayIncoming(RelayService& aService,
                const Now& aNow,
                RelayIncoming aIncoming,
                bool aIsStopping,
                Actions& aActions)
{
  auto& request = aIncoming.mRequest;
  auto& session = aService.mSessions[request.mOwner];
  if (session.mId != request.mSession) {
    session = RelaySession{ request.mSession, aNow.mAt };
  }
  session.mLastHeardAt = aNow.mAt;
  DropReceived(session, request.mReceived);
  TakeCalls(aService, aNow, request, session, aActions);
  auto response = MakeResponse(session, aNow.mAt);
  response.mIsStopping = aIsStopping;
  aActions.emplace_back(RelayReply{ aIncoming.mTicket, std::move(response) });
}

void
OnRelayedAnswer(RelayService& aService,
                const Now& aNow,
                std::int64_t aTicket,
                const ExecutorAnswer& aAnswer)
{
  auto origin = aService.mOrigins.extract(aTicket);
  if (origin.empty()) {
    return;
  }
  const auto& [owner, sessionId, number] = origin.mapped();
  auto session = aService.mSessions.find(owner);
  if (session != aService.mSessions.end() && session->second.mId == sessionId) {
    AddResult(session->second, aNow.mAt, ToRelayedResult(number, aAnswer));
  }
}

void
AdvanceRelayService(RelayService& aService, const Now& aNow)
{
  std::erase_if(aService.mSessions, [&](const auto& aEntry) {
    return aNow.mAt - aEntry.second.mLastHeardAt > kSessionLifetime;
  });
}

}
