#include "LibEntry/Claims.h"

#include <algorithm>
#include <iterator>

namespace sesameseam {

namespace {

// Bounds that keep an append within the size that the log accepts.
constexpr std::size_t kMaxClaimsInBatch = 500;
constexpr std::size_t kMaxResultsInBatch = 500;
constexpr std::size_t kMaxRecordedBody = 64 * 1024;
constexpr std::size_t kMaxBodiesInBatch = 1024 * 1024;

Outcome
OutcomeOf(const ClaimResult& aResult)
{
  Outcome outcome;
  if (aResult.mEnd != ClaimEnd::Answered) {
    outcome.mKind = OutcomeKind::Unknown;
    outcome.mReason = OutcomeReason::KeyTaken;
    return outcome;
  }
  outcome.mKind = OutcomeKind::Answered;
  outcome.mStatus = aResult.mStatus;
  outcome.mBody = aResult.mBody;
  return outcome;
}

// A later try with the key was answered "not run", which implies that this one must not run either.
Outcome
SupersededOutcome()
{
  Outcome outcome;
  outcome.mKind = OutcomeKind::NotRun;
  outcome.mReason = OutcomeReason::KeyTaken;
  return outcome;
}

void
Decide(ControlActions& aActions, const Claim& aClaim, ClaimDecision aVerdict, Outcome aOutcome = {})
{
  aActions.push_back(PublishClaimDecision{
    aClaim.mPool, ClaimDecided{ aClaim.mRequest, aVerdict, std::move(aOutcome) } });
}

// Decides a claim by the folded state. Returns false if the state does not decide it, that is, if
// the key is unclaimed or may be claimed by this try.
bool
DecideFromFold(Control& aControl, PendingClaim& aOpen, ControlActions& aActions)
{
  const auto& claim = aOpen.mClaim;
  auto found = aControl.mFleet.mClaims.find({ claim.mPool, claim.mKey });
  if (found == aControl.mFleet.mClaims.end()) {
    return false;
  }
  const auto& state = found->second;
  if (MayClaim(state, claim.mTry)) {
    return false;
  }
  if (state.mReleased) {
    Decide(aActions, claim, ClaimDecision::Ended, SupersededOutcome());
    aControl.mClaims.erase(RequestId(claim.mRequest));
  } else if (state.mResult) {
    Decide(aActions, claim, ClaimDecision::Ended, OutcomeOf(*state.mResult));
    aControl.mClaims.erase(RequestId(claim.mRequest));
  } else if (state.mRequest == claim.mRequest && state.mHolder == AuthorOf(aControl)) {
    Decide(aActions, claim, ClaimDecision::Granted);
    aControl.mClaims.erase(RequestId(claim.mRequest));
  } else if (aOpen.mPhase != ClaimPhase::Waiting) {
    aOpen.mPhase = ClaimPhase::Waiting;
    Decide(aActions, claim, ClaimDecision::Held);
  }
  return true;
}

// The holder did not run the request, so the key is free again and the tries waiting for it claim
// it again.
void
RequeueWaitingClaims(Control& aControl, TimePoint aNow, const ClaimResult& aResult)
{
  for (auto& [id, open] : aControl.mClaims) {
    bool sameKey = open.mClaim.mPool == aResult.mPool && open.mClaim.mKey == aResult.mKey;
    if (sameKey && open.mPhase == ClaimPhase::Waiting) {
      open.mPhase = ClaimPhase::Queued;
      open.mSince = aNow;
    }
  }
}

void
DecideClaimsOfKey(Control& aControl, const ClaimKey& aKey, ControlActions& aActions)
{
  std::vector<RequestId> affected;
  for (const auto& [id, open] : aControl.mClaims) {
    if (open.mClaim.mPool == aKey.mPool && open.mClaim.mKey == aKey.mKey &&
        open.mPhase != ClaimPhase::Queued) {
      affected.push_back(id);
    }
  }
  for (const auto& id : affected) {
    DecideFromFold(aControl, aControl.mClaims.at(id), aActions);
  }
}

std::vector<ClaimResult>
TakeResults(Control& aControl)
{
  auto& results = aControl.mResults;
  std::size_t count = 0;
  std::size_t bytes = 0;
  while (count < std::min(results.size(), kMaxResultsInBatch) && bytes < kMaxBodiesInBatch) {
    bytes += results[count].mBody.size();
    count += 1;
  }
  auto end = results.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<ClaimResult> taken(std::make_move_iterator(results.begin()),
                                 std::make_move_iterator(end));
  results.erase(results.begin(), end);
  return taken;
}

}

void
RequestClaim(Control& aControl, TimePoint aNow, const Claim& aClaim, ControlActions& aActions)
{
  bool isLogUnreachable = aNow - aControl.mLogConfirmed > aControl.mSettings.mClaimTimeout;
  auto& open = aControl.mClaims[aClaim.mRequest];
  open = PendingClaim{ aClaim, ClaimPhase::Queued, aNow };
  if (DecideFromFold(aControl, open, aActions)) {
    return;
  }
  if (isLogUnreachable || aControl.mStopping) {
    aControl.mClaims.erase(aClaim.mRequest);
    Decide(aActions, aClaim, ClaimDecision::Failed);
  }
}

void
RecordClaimResult(Control& aControl, const ClaimResult& aResult)
{
  auto found = aControl.mClaims.find(aResult.mRequest);
  bool neverSent = found != aControl.mClaims.end() && found->second.mPhase != ClaimPhase::Sent;
  if (found != aControl.mClaims.end()) {
    aControl.mClaims.erase(found);
  }
  if (neverSent) {
    return;
  }
  auto result = aResult;
  if (result.mBody.size() > kMaxRecordedBody) {
    // A truncated answer must not be returned as the complete one.
    result.mBody.clear();
    result.mEnd = ClaimEnd::Unknown;
  }
  aControl.mResults.push_back(std::move(result));
}

void
DecideClaims(Control& aControl, TimePoint aNow, const ClaimBatch& aBatch, ControlActions& aActions)
{
  for (const auto& result : aBatch.mResults) {
    if (result.mEnd == ClaimEnd::NotRun) {
      RequeueWaitingClaims(aControl, aNow, result);
    }
    DecideClaimsOfKey(aControl, { result.mPool, result.mKey }, aActions);
  }
  for (const auto& claim : aBatch.mClaims) {
    DecideClaimsOfKey(aControl, { claim.mPool, claim.mKey }, aActions);
  }
}

void
ExpireClaims(Control& aControl, TimePoint aNow, ControlActions& aActions)
{
  std::vector<PendingClaim> expired;
  for (const auto& [id, open] : aControl.mClaims) {
    bool undecided = open.mPhase != ClaimPhase::Waiting;
    if (undecided && aNow - open.mSince > aControl.mSettings.mClaimTimeout) {
      expired.push_back(open);
    }
  }
  for (const auto& open : expired) {
    // The pool server responds with a ClaimEnded, whose record follows the claim in the log.
    Decide(aActions, open.mClaim, ClaimDecision::Failed);
    if (open.mPhase == ClaimPhase::Queued) {
      aControl.mClaims.erase(open.mClaim.mRequest);
    }
  }
}

std::optional<ClaimBatch>
TakeClaimBatch(Control& aControl)
{
  ClaimBatch batch;
  batch.mResults = TakeResults(aControl);
  for (auto& [id, open] : aControl.mClaims) {
    if (batch.mClaims.size() >= kMaxClaimsInBatch) {
      break;
    }
    if (open.mPhase == ClaimPhase::Queued) {
      open.mPhase = ClaimPhase::Sent;
      batch.mClaims.push_back(open.mClaim);
    }
  }
  if (batch.mResults.empty() && batch.mClaims.empty()) {
    return std::nullopt;
  }
  return batch;
}

}
