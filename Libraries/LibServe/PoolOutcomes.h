#pragma once

#include "LibServe/Outcome.h"
#include "LibServe/PoolServer.h"

// The outcome with which a request of a pool ends, and the end itself. A request gets exactly one,
// and only one that may not have run in any attempt is reported as not run.
namespace sesameseam::detail {

Outcome
NotRun(const PoolServer& aServer, const Request& aRequest, OutcomeReason aReason, Duration aWait);

Outcome
Unknown(const PoolServer& aServer, const Request& aRequest, OutcomeReason aReason);

// A request that may have run in an earlier attempt must not be reported as not run.
Outcome
OutcomeAfterAttempts(const PendingRequest& aPending, Outcome aOutcome);

// True until the log has decided whether this try may run.
bool
IsUndecided(const PendingRequest& aPending);

// The outcome of a request that ends before the log has decided on its claim.
Outcome
OutcomeWithoutDecision(const PoolServer& aServer,
                       const PendingRequest& aPending,
                       OutcomeReason aReason);

// The final outcome of a request whose last attempt failed.
Outcome
FailureOutcome(const PoolServer& aServer,
               const PendingRequest& aPending,
               const AttemptResult& aResult);

// Finishes the request with its only outcome, and ends its claim.
void
Finish(PoolServer& aServer, const RequestId& aRequest, Outcome aOutcome, PoolActions& aActions);

}
