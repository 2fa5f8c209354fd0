#include "LibServe/PoolOutcomes.h"

#include "LibServe/Admission.h"

#include <algorithm>

namespace sesameseam::detail {

namespace {

void
CountOutcome(ServeCounters& aCounters, OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::Answered:
      aCounters.mAnswered += 1;
      break;
    case OutcomeKind::NotRun:
      aCounters.mNotRun += 1;
      break;
    case OutcomeKind::Unknown:
      aCounters.mUnknown += 1;
      break;
  }
}

}

Outcome
NotRun(const PoolServer& aServer, const Request& aRequest, OutcomeReason aReason, Duration aWait)
{
  Outcome outcome;
  outcome.mKind = OutcomeKind::NotRun;
  outcome.mReason = aReason;
  outcome.mRetryAfter =
    JitteredRetryAfter(aRequest, std::max(aWait, aServer.mSettings.mMinRetryAfter));
  return outcome;
}

Outcome
Unknown(const PoolServer& aServer, const Request& aRequest, OutcomeReason aReason)
{
  auto outcome = NotRun(aServer, aRequest, aReason, aServer.mSettings.mMinRetryAfter);
  outcome.mKind = OutcomeKind::Unknown;
  return outcome;
}

// A request that may have run in an earlier attempt must not be reported as not run.
Outcome
OutcomeAfterAttempts(const PendingRequest& aPending, Outcome aOutcome)
{
  if (aPending.mMayHaveRun) {
    aOutcome.mKind = OutcomeKind::Unknown;
  }
  return aOutcome;
}

// True until the log has decided whether this try may run.
bool
IsUndecided(const PendingRequest& aPending)
{
  return aPending.mPhase == RequestPhase::Claiming || aPending.mPhase == RequestPhase::Waiting;
}

// The outcome of a request that ends before the log has decided on its claim.
Outcome
OutcomeWithoutDecision(const PoolServer& aServer,
                       const PendingRequest& aPending,
                       OutcomeReason aReason)
{
  const auto& request = *aPending.mRequest;
  auto outcome = NotRun(aServer, request, aReason, 1s);
  outcome.mKind = aPending.mPhase == RequestPhase::Waiting && request.mTry != 1
                    ? OutcomeKind::Unknown
                    : OutcomeKindWithoutDecision(request);
  return outcome;
}

// The final outcome of a request whose last attempt failed.
Outcome
FailureOutcome(const PoolServer& aServer,
               const PendingRequest& aPending,
               const AttemptResult& aResult)
{
  const auto& request = *aPending.mRequest;
  if (aResult.mEnd == AttemptEnd::NotSent) {
    auto reason =
      aResult.mReason == OutcomeReason::None ? OutcomeReason::NoTarget : aResult.mReason;
    return OutcomeAfterAttempts(aPending, NotRun(aServer, request, reason, 1s));
  }
  auto reason =
    aResult.mEnd == AttemptEnd::Failed ? OutcomeReason::TargetFailed : OutcomeReason::AttemptLost;
  return Unknown(aServer, request, reason);
}

// Finishes the request with its only outcome, and ends its claim.
void
Finish(PoolServer& aServer, const RequestId& aRequest, Outcome aOutcome, PoolActions& aActions)
{
  auto found = aServer.mPending.find(aRequest);
  if (found == aServer.mPending.end()) {
    return;
  }
  auto pending = std::move(found->second);
  aServer.mPending.erase(found);
  CountOutcome(aServer.mCounters, aOutcome.mKind);
  if (pending.mClaimed) {
    aActions.push_back(EndClaim{ pending.mRequest, aOutcome });
  } else if (IsUndecided(pending)) {
    // A claim that was sent may still reach the log, so it must be ended too. This try did not run,
    // no matter what its caller must be told about earlier tries.
    auto end = aOutcome;
    end.mKind = OutcomeKind::NotRun;
    aActions.push_back(EndClaim{ pending.mRequest, std::move(end) });
  }
  aActions.push_back(Answer{ aRequest, std::move(aOutcome) });
}

}
