#pragma once

#include "LibEntry/Control.h"

// Claims of the right to run a request that is not idempotent. The first claim of a key in the log
// wins.
namespace sesameseam {

void
RequestClaim(Control& aControl, TimePoint aNow, const Claim& aClaim, ControlActions& aActions);

void
RecordClaimResult(Control& aControl, const ClaimResult& aResult);

// Decides pending claims of this entry host that are affected by a batch that was just folded.
void
DecideClaims(Control& aControl, TimePoint aNow, const ClaimBatch& aBatch, ControlActions& aActions);

// Gives up claims that were not confirmed by the log within the claim timeout.
void
ExpireClaims(Control& aControl, TimePoint aNow, ControlActions& aActions);

// Removes and returns the claims and results for the next append, bounded in size.
std::optional<ClaimBatch>
TakeClaimBatch(Control& aControl);

}
