#include "LibServe/PoolServer.h"

#include "LibBase/Hash.h"
#include "LibServe/Admission.h"
#include "LibServe/Placement.h"
#include "LibServe/PoolDispatch.h"
#include "LibServe/PoolOutcomes.h"

#include <algorithm>

namespace sesameseam {

namespace {

using detail::Enqueue;
using detail::FailureOutcome;
using detail::Finish;
using detail::IsUndecided;
using detail::IsViewStale;
using detail::NotRun;
using detail::OutcomeAfterAttempts;
using detail::OutcomeWithoutDecision;
using detail::StartQueuedRequests;
using detail::Unknown;

// The slot of a failed attempt is not used for this long, so that the retry goes to another slot.
constexpr Duration kSlotHoldAfterFailure = 100ms;

// An entry host that owns no slots does not requeue a request after more declines by peers than
// this.
constexpr int kMaxDeclines = 3;

std::optional<Outcome>
RefusalOf(const PoolServer& aServer, TimePoint aNow, const Request& aRequest)
{
  if (aServer.mStopping) {
    return NotRun(aServer, aRequest, OutcomeReason::Stopping, Duration::zero());
  }
  if (aNow >= aRequest.mDeadline) {
    return NotRun(aServer, aRequest, OutcomeReason::DeadlinePassed, Duration::zero());
  }
  if (IsViewStale(aServer, aNow)) {
    return NotRun(aServer, aRequest, OutcomeReason::ViewStale, aServer.mSettings.mViewStaleAfter);
  }
  if (aServer.mView.mTargets.empty()) {
    return NotRun(aServer, aRequest, OutcomeReason::NoTarget, 1s);
  }
  return AdmissionRefusal(aServer, aNow, aRequest);
}

bool
NeedsClaim(const Request& aRequest)
{
  return !aRequest.mIdempotent && !aRequest.mForwarded;
}

void
On(PoolServer& aServer, TimePoint aNow, const RequestArrived& aEvent, PoolActions& aActions)
{
  const auto& request = aEvent.mRequest;
  if (aServer.mPending.contains(request->mId)) {
    return;
  }
  PendingRequest pending;
  pending.mRequest = request;
  aServer.mPending.emplace(request->mId, std::move(pending));
  // A later try must look up the claim before it can be refused: an earlier try may have run, and
  // its answer may be recorded.
  bool isLaterTry =
    NeedsClaim(*request) && OutcomeKindWithoutDecision(*request) == OutcomeKind::Unknown;
  auto refusal = isLaterTry ? std::nullopt : RefusalOf(aServer, aNow, *request);
  if (refusal) {
    aServer.mCounters.mRefused += 1;
    Finish(aServer, request->mId, std::move(*refusal), aActions);
    return;
  }
  aServer.mCounters.mAccepted += 1;
  DepositRetry(aServer.mRetryBudget);
  if (NeedsClaim(*request)) {
    aServer.mPending.at(request->mId).mPhase = RequestPhase::Claiming;
    aActions.push_back(AppendClaim{ request });
    return;
  }
  Enqueue(aServer, aNow, request);
  StartQueuedRequests(aServer, aNow, aActions);
}

void
On(PoolServer& aServer, TimePoint, const RequestAbandoned& aEvent, PoolActions& aActions)
{
  auto found = aServer.mPending.find(aEvent.mRequest);
  if (found == aServer.mPending.end()) {
    return;
  }
  if (found->second.mPhase == RequestPhase::Running) {
    found->second.mAbandoned = true;
    return;
  }
  auto request = found->second.mRequest;
  Remove(aServer.mQueue, aEvent.mRequest);
  auto outcome = IsUndecided(found->second)
                   ? OutcomeWithoutDecision(aServer, found->second, OutcomeReason::DeadlinePassed)
                   : NotRun(aServer, *request, OutcomeReason::DeadlinePassed, Duration::zero());
  Finish(aServer, aEvent.mRequest, OutcomeAfterAttempts(found->second, outcome), aActions);
}

// Admission of a later try is deferred until its claim is granted. Only then is it known that no
// earlier try ran, so that it can be refused as not run.
void
StartClaimed(PoolServer& aServer,
             TimePoint aNow,
             const RequestPointer& aRequest,
             PoolActions& aActions)
{
  auto refusal = aRequest->mTry > 1 ? RefusalOf(aServer, aNow, *aRequest) : std::nullopt;
  if (refusal) {
    Finish(aServer, aRequest->mId, std::move(*refusal), aActions);
    return;
  }
  Enqueue(aServer, aNow, aRequest);
  StartQueuedRequests(aServer, aNow, aActions);
}

void
On(PoolServer& aServer, TimePoint aNow, const ClaimDecided& aEvent, PoolActions& aActions)
{
  auto found = aServer.mPending.find(aEvent.mRequest);
  if (found == aServer.mPending.end()) {
    return;
  }
  auto& pending = found->second;
  if (!IsUndecided(pending)) {
    return;
  }
  auto request = pending.mRequest;
  switch (aEvent.mDecision) {
    case ClaimDecision::Granted:
      pending.mClaimed = true;
      StartClaimed(aServer, aNow, request, aActions);
      break;
    case ClaimDecision::Held:
      pending.mPhase = RequestPhase::Waiting;
      break;
    case ClaimDecision::Ended:
      // The claim belongs to another try, so this one must not end it.
      pending.mPhase = RequestPhase::Queued;
      Finish(aServer, aEvent.mRequest, aEvent.mOutcome, aActions);
      break;
    case ClaimDecision::Failed:
      Finish(aServer,
             aEvent.mRequest,
             OutcomeWithoutDecision(aServer, pending, OutcomeReason::LogUnavailable),
             aActions);
      break;
  }
}

bool
MayRetry(PoolServer& aServer,
         TimePoint aNow,
         PendingRequest& aPending,
         const AttemptResult& aResult)
{
  bool ran = aResult.mEnd != AttemptEnd::NotSent;
  if (aPending.mAbandoned || aNow >= aPending.mRequest->mDeadline) {
    return false;
  }
  if (ran && !aPending.mRequest->mIdempotent) {
    return false;
  }
  return WithdrawRetry(aServer.mRetryBudget);
}

void
UpdateTargetHealth(PoolServer& aServer,
                   TimePoint aNow,
                   const RunningAttempt& aAttempt,
                   const AttemptResult& aResult)
{
  bool answered = aResult.mEnd == AttemptEnd::Answered;
  bool slow = aNow >= aAttempt.mSlowAt;
  if (answered && !slow) {
    RecordSuccess(aServer.mHealth, aAttempt.mSlot->mHost);
  } else if (!slow) {
    // A slow attempt was already counted as a failure when it became slow.
    RecordFailure(aServer.mHealth, aAttempt.mSlot->mHost, aNow);
  }
}

// The time from which the slot of an ended attempt can be used again.
TimePoint
HeldUntil(const PoolServer& aServer,
          TimePoint aNow,
          const RunningAttempt& aAttempt,
          AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      break;
    case AttemptEnd::NotSent:
    case AttemptEnd::Failed:
      return aNow + kSlotHoldAfterFailure;
    case AttemptEnd::Lost:
      // The target may still be busy with the attempt: until the attempt timeout, and at least for
      // as long again as the attempt has already taken.
      return std::max(aAttempt.mStarted + aServer.mView.mAttemptTimeout,
                      aNow + (aNow - aAttempt.mStarted));
  }
  return TimePoint();
}

void
EndSlotUse(PoolServer& aServer,
           TimePoint aNow,
           const RunningAttempt& aAttempt,
           const AttemptResult& aResult)
{
  UpdateTargetHealth(aServer, aNow, aAttempt, aResult);
  aServer.mRunningLong -= aAttempt.mClass == RequestClass::Long ? 1 : 0;
  ReleaseSlot(
    aServer.mSlots, *aAttempt.mSlot, HeldUntil(aServer, aNow, aAttempt, aResult.mEnd), aNow);
}

// Attempts that run much longer than expected count as failures of their target before they end.
void
RecordSlowAttempts(PoolServer& aServer, TimePoint aNow)
{
  while (!aServer.mSlowAt.empty() && aServer.mSlowAt.begin()->first <= aNow) {
    auto attempt = aServer.mAttempts.at(aServer.mSlowAt.begin()->second);
    aServer.mSlowAt.erase(aServer.mSlowAt.begin());
    RecordFailure(aServer.mHealth, attempt.mSlot->mHost, aNow);
  }
}

void
EndAnswered(PoolServer& aServer,
            TimePoint aNow,
            const RunningAttempt& aAttempt,
            const AttemptResult& aResult,
            PoolActions& aActions)
{
  if (aAttempt.mSlot) {
    const auto& request = *aServer.mPending.at(aAttempt.mRequest).mRequest;
    RecordRunTime(aServer.mRunTimes, request, aNow - aAttempt.mStarted);
  }
  Outcome outcome;
  outcome.mKind = OutcomeKind::Answered;
  outcome.mStatus = aResult.mStatus;
  outcome.mBody = aResult.mBody;
  Finish(aServer, aAttempt.mRequest, std::move(outcome), aActions);
}

// Handles a decline by a peer, which has not run the request. Returns true if the request goes back
// to the queue; that does not count against the retry budget.
bool
HandlePeerDecline(PoolServer& aServer,
                  TimePoint aNow,
                  const RunningAttempt& aAttempt,
                  const AttemptResult& aResult,
                  PendingRequest& aPending)
{
  if (!aAttempt.mPeer || aResult.mEnd != AttemptEnd::NotSent) {
    return false;
  }
  auto& peer = aServer.mPeers[*aAttempt.mPeer];
  peer.mDeclined[static_cast<std::size_t>(aAttempt.mClass)] = true;
  peer.mSentSince = std::max(0, peer.mSentSince - 1);
  aPending.mDeclines += 1;
  aPending.mAttempts -= 1;
  bool requeue = aPending.mDeclines <= kMaxDeclines || !aServer.mSlots.mOwned.empty();
  return requeue && !aPending.mAbandoned && aNow < aPending.mRequest->mDeadline;
}

void
EndUnanswered(PoolServer& aServer,
              TimePoint aNow,
              const RunningAttempt& aAttempt,
              const AttemptResult& aResult,
              PoolActions& aActions)
{
  auto& pending = aServer.mPending.at(aAttempt.mRequest);
  pending.mMayHaveRun = pending.mMayHaveRun || aResult.mEnd != AttemptEnd::NotSent;
  if (HandlePeerDecline(aServer, aNow, aAttempt, aResult, pending)) {
    Enqueue(aServer, aNow, pending.mRequest);
  } else if (MayRetry(aServer, aNow, pending, aResult)) {
    aServer.mCounters.mRetried += 1;
    Enqueue(aServer, aNow, pending.mRequest);
  } else {
    Finish(aServer, aAttempt.mRequest, FailureOutcome(aServer, pending, aResult), aActions);
  }
}

void
On(PoolServer& aServer, TimePoint aNow, const AttemptEnded& aEvent, PoolActions& aActions)
{
  auto found = aServer.mAttempts.find(aEvent.mAttempt);
  if (found == aServer.mAttempts.end()) {
    return;
  }
  auto attempt = std::move(found->second);
  aServer.mAttempts.erase(found);
  if (attempt.mSlot) {
    aServer.mSlowAt.erase({ attempt.mSlowAt, aEvent.mAttempt });
    EndSlotUse(aServer, aNow, attempt, aEvent.mResult);
  }
  if (aServer.mPending.contains(attempt.mRequest)) {
    if (aEvent.mResult.mEnd == AttemptEnd::Answered) {
      EndAnswered(aServer, aNow, attempt, aEvent.mResult, aActions);
    } else {
      EndUnanswered(aServer, aNow, attempt, aEvent.mResult, aActions);
    }
  }
  StartQueuedRequests(aServer, aNow, aActions);
}

// Ends the fences of slots that all members have reported as unused.
void
EndFencesOnReports(PoolServer& aServer, TimePoint aNow)
{
  if (!aServer.mSlots.mAwaitsReports) {
    return;
  }
  std::map<MemberName, PeerLoadReported> reports;
  for (const auto& [member, load] : aServer.mPeers) {
    reports.emplace(member, load.mReport);
  }
  EndReportedFences(aServer.mSlots, aServer.mView, aServer.mSettings.mSelf, reports, aNow);
}

void
ForgetRemovedTargets(PoolServer& aServer, const PoolView& aView)
{
  std::set<HostName> present;
  for (const auto& target : aView.mTargets) {
    present.insert(target.mHost);
  }
  for (const auto& target : aServer.mView.mTargets) {
    if (!present.contains(target.mHost)) {
      ForgetTarget(aServer.mHealth, target.mHost);
    }
  }
}

void
On(PoolServer& aServer, TimePoint aNow, const ViewChanged& aEvent, PoolActions& aActions)
{
  const auto& view = aEvent.mView;
  if (view.mVersion < aServer.mView.mVersion) {
    return;
  }
  bool sameSlots = aServer.mView.mTargets == view.mTargets &&
                   aServer.mView.mMembers == view.mMembers &&
                   aServer.mView.mMemberEpoch == view.mMemberEpoch;
  if (sameSlots) {
    aServer.mSlots.mVersion = view.mVersion;
  } else {
    auto fence = aServer.mSettings.mViewStaleAfter +
                 std::max(aServer.mView.mAttemptTimeout, view.mAttemptTimeout);
    ReassignSlots(aServer.mSlots, aServer.mView, view, aServer.mSettings.mSelf, fence, aNow);
  }
  ForgetRemovedTargets(aServer, view);
  aServer.mView = view;
  EndFencesOnReports(aServer, aNow);
  StartQueuedRequests(aServer, aNow, aActions);
}

void
On(PoolServer& aServer, TimePoint aNow, const ViewConfirmed& aEvent, PoolActions& aActions)
{
  aServer.mViewConfirmed = std::max(aServer.mViewConfirmed, aEvent.mAt);
  StartQueuedRequests(aServer, aNow, aActions);
}

void
On(PoolServer& aServer, TimePoint aNow, const PeerLoadReported& aEvent, PoolActions& aActions)
{
  auto& peer = aServer.mPeers[aEvent.mMember];
  peer.mReport = aEvent;
  peer.mSentSince = 0;
  peer.mDeclined = {};
  EndFencesOnReports(aServer, aNow);
  StartQueuedRequests(aServer, aNow, aActions);
}

void
On(PoolServer& aServer, TimePoint, const StopRequested&, PoolActions&)
{
  aServer.mStopping = true;
}

// Nothing else is guaranteed to end a claim or a wait for another try, so they end at the deadline.
void
EndOverdueClaims(PoolServer& aServer, TimePoint aNow, PoolActions& aActions)
{
  std::vector<std::pair<RequestId, Outcome>> overdue;
  for (const auto& [id, pending] : aServer.mPending) {
    if (aNow < pending.mRequest->mDeadline) {
      continue;
    }
    if (pending.mPhase == RequestPhase::Claiming) {
      overdue.emplace_back(id,
                           OutcomeWithoutDecision(aServer, pending, OutcomeReason::LogUnavailable));
    } else if (pending.mPhase == RequestPhase::Waiting) {
      overdue.emplace_back(id, Unknown(aServer, *pending.mRequest, OutcomeReason::KeyTaken));
    }
  }
  for (auto& [id, outcome] : overdue) {
    Finish(aServer, id, std::move(outcome), aActions);
  }
}

void
On(PoolServer& aServer, TimePoint aNow, const Tick&, PoolActions& aActions)
{
  EndOverdueClaims(aServer, aNow, aActions);
  std::erase_if(aServer.mSlots.mFormer,
                [&](const auto& aSlot) { return IsFree(aSlot.second, aNow); });
  StartQueuedRequests(aServer, aNow, aActions);
}

}

PoolServer
MakePoolServer(const ServeSettings& aSettings, const PoolName& aPool)
{
  PoolServer server;
  server.mSettings = aSettings;
  server.mView.mPool = aPool;
  server.mRandom.seed(
    StableHash(aPool.mValue, StableHash(aSettings.mSelf.mValue, aSettings.mSeed)));
  return server;
}

PoolActions
Step(PoolServer& aServer, TimePoint aNow, const PoolEvent& aEvent)
{
  PoolActions actions;
  FreeDueSlots(aServer.mSlots, aNow);
  EndEjections(aServer.mHealth, aNow);
  RecordSlowAttempts(aServer, aNow);
  std::visit([&](const auto& aAlternative) { On(aServer, aNow, aAlternative, actions); }, aEvent);
  if (!aServer.mPending.empty()) {
    actions.push_back(WakeAt{ aNow + aServer.mSettings.mTickPeriod });
  }
  return actions;
}

PeerLoadReported
LoadReport(const PoolServer& aServer, TimePoint aNow)
{
  PeerLoadReported report;
  report.mMember = aServer.mSettings.mSelf;
  report.mAt = aNow;
  report.mVersion = aServer.mView.mVersion;
  report.mQueued = static_cast<int>(Size(aServer.mQueue));
  report.mFreeSlots = IsViewStale(aServer, aNow) || aServer.mStopping ? 0 : FreeSlots(aServer);
  if (!IsViewStale(aServer, aNow) && !aServer.mStopping) {
    report.mWaits = LocalWaits(aServer);
  }
  report.mSlotsInUse = FormerSlotsInUse(aServer.mSlots, aNow);
  return report;
}

}
