#include "LibEntry/EntryHost.h"

#include <deque>

namespace sesameseam {

namespace {

// Events that the components send to each other while one external event is handled, and the
// resulting external actions.
struct StepContext
{
  std::deque<EntryEvent> mEvents;
  EntryActions mActions;
};

void
Route(EntryHost& aHost, const ControlAction& aAction, StepContext& aWork)
{
  if (const auto* view = std::get_if<PublishView>(&aAction)) {
    const auto& pool = view->mView.mPool;
    if (!aHost.mPools.contains(pool)) {
      aHost.mPools.emplace(pool, MakePoolServer(aHost.mServeSettings, pool));
    }
    aWork.mEvents.push_back(PoolEventFor{ pool, ViewChanged{ view->mView } });
  } else if (const auto* confirmation = std::get_if<PublishConfirmation>(&aAction)) {
    for (const auto& [name, pool] : aHost.mPools) {
      aWork.mEvents.push_back(PoolEventFor{ name, ViewConfirmed{ confirmation->mAt } });
    }
  } else if (const auto* load = std::get_if<PublishLoad>(&aAction)) {
    aWork.mEvents.push_back(PoolEventFor{ load->mPool, load->mLoad });
  } else if (const auto* claim = std::get_if<PublishClaimDecision>(&aAction)) {
    aWork.mEvents.push_back(PoolEventFor{ claim->mPool, claim->mDecided });
  } else if (const auto* append = std::get_if<AppendRecords>(&aAction)) {
    aWork.mActions.push_back(*append);
  } else if (const auto* change = std::get_if<ChangeDecided>(&aAction)) {
    aWork.mActions.push_back(*change);
  } else if (const auto* reboot = std::get_if<RebootHost>(&aAction)) {
    aWork.mActions.push_back(*reboot);
  } else if (const auto* start = std::get_if<StartTask>(&aAction)) {
    aWork.mActions.push_back(*start);
  } else if (const auto* stop = std::get_if<StopTask>(&aAction)) {
    aWork.mActions.push_back(*stop);
  } else if (const auto* fetch = std::get_if<FetchFromPeer>(&aAction)) {
    aWork.mActions.push_back(*fetch);
  }
}

void
Route(const PoolAction& aAction, StepContext& aWork)
{
  if (const auto* claim = std::get_if<AppendClaim>(&aAction)) {
    aWork.mEvents.push_back(ControlEvent(ClaimRequested{ ClaimOf(*claim->mRequest) }));
  } else if (const auto* end = std::get_if<EndClaim>(&aAction)) {
    aWork.mEvents.push_back(ControlEvent(ClaimEnded{ ClaimResultOf(*end) }));
  } else if (const auto* dispatch = std::get_if<Dispatch>(&aAction)) {
    aWork.mActions.push_back(*dispatch);
  } else if (const auto* forward = std::get_if<Forward>(&aAction)) {
    aWork.mActions.push_back(*forward);
  } else if (const auto* answer = std::get_if<Answer>(&aAction)) {
    aWork.mActions.push_back(*answer);
  } else if (const auto* wake = std::get_if<WakeAt>(&aAction)) {
    aWork.mActions.push_back(*wake);
  }
}

void
Handle(EntryHost& aHost, TimePoint aNow, const EntryEvent& aEvent, StepContext& aWork)
{
  if (const auto* control = std::get_if<ControlEvent>(&aEvent)) {
    for (const auto& action : Step(aHost.mControl, aNow, *control)) {
      Route(aHost, action, aWork);
    }
    return;
  }
  const auto& event = std::get<PoolEventFor>(aEvent);
  auto pool = aHost.mPools.find(event.mPool);
  if (pool == aHost.mPools.end()) {
    return;
  }
  for (const auto& action : Step(pool->second, aNow, event.mEvent)) {
    Route(action, aWork);
  }
}

ClaimEnd
ClaimEndOf(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::Answered:
      return ClaimEnd::Answered;
    case OutcomeKind::NotRun:
      return ClaimEnd::NotRun;
    case OutcomeKind::Unknown:
      break;
  }
  return ClaimEnd::Unknown;
}

}

EntryHost
MakeEntryHost(const ControlSettings& aControl, const ServeSettings& aServe, TimePoint aNow)
{
  EntryHost host;
  host.mControl = MakeControl(aControl, aNow);
  host.mServeSettings = aServe;
  return host;
}

EntryActions
Step(EntryHost& aHost, TimePoint aNow, const EntryEvent& aEvent)
{
  StepContext work;
  work.mEvents.push_back(aEvent);
  while (!work.mEvents.empty()) {
    auto event = std::move(work.mEvents.front());
    work.mEvents.pop_front();
    Handle(aHost, aNow, event, work);
  }
  return std::move(work.mActions);
}

EntryActions
SubmitRequest(EntryHost& aHost, TimePoint aNow, const RequestPointer& aRequest)
{
  if (!aHost.mPools.contains(aRequest->mPool)) {
    Outcome refusal;
    refusal.mKind = OutcomeKindWithoutDecision(*aRequest);
    refusal.mReason = OutcomeReason::UnknownPool;
    refusal.mRetryAfter = 1s;
    return { Answer{ aRequest->mId, refusal } };
  }
  return Step(aHost, aNow, PoolEventFor{ aRequest->mPool, RequestArrived{ aRequest } });
}

EntryActions
TickAll(EntryHost& aHost, TimePoint aNow)
{
  EntryActions all;
  auto add = [&](EntryActions aActions) {
    all.insert(all.end(),
               std::make_move_iterator(aActions.begin()),
               std::make_move_iterator(aActions.end()));
  };
  OwnLoads loads;
  for (auto& [name, pool] : aHost.mPools) {
    add(Step(aHost, aNow, PoolEventFor{ name, Tick{} }));
    loads.mLoads.emplace(name, LoadReport(pool, aNow));
  }
  add(Step(aHost, aNow, ControlEvent(std::move(loads))));
  add(Step(aHost, aNow, ControlEvent(ControlTick{})));
  return all;
}

Claim
ClaimOf(const Request& aRequest)
{
  Claim claim;
  claim.mPool = aRequest.mPool;
  claim.mKey = RequestKey(aRequest.mTeam.mValue + " " + aRequest.mKey.mValue);
  claim.mRequest = aRequest.mId;
  claim.mTry = aRequest.mTry;
  return claim;
}

ClaimResult
ClaimResultOf(const EndClaim& aEnd)
{
  ClaimResult result;
  auto claim = ClaimOf(*aEnd.mRequest);
  result.mPool = claim.mPool;
  result.mKey = claim.mKey;
  result.mRequest = claim.mRequest;
  result.mEnd = ClaimEndOf(aEnd.mOutcome.mKind);
  result.mStatus = aEnd.mOutcome.mStatus;
  result.mBody = aEnd.mOutcome.mBody;
  return result;
}

}
