#pragma once

#include "LibEntry/Control.h"

// Claims of the right to run a request that is not idempotent: the first in the log wins.
namespace sesameseam {

void
RequestClaim(Control& aControl, TimePoint aNow, const Claim& aClaim, ControlActions& aActions);

void
RecordClaimResult(Control& aControl, const ClaimResult& aResult);

// Decides what the records of a batch, just folded, mean for the claims made here.
void
DecideClaims(Control& aControl, TimePoint aNow, const ClaimBatch& aBatch, ControlActions& aActions);

// Gives up claims that the log has not confirmed in time.
void
ExpireClaims(Control& aControl, TimePoint aNow, ControlActions& aActions);

// Takes the claims and results that go into the next append.
std::optional<ClaimBatch>
TakeClaimBatch(Control& aControl);

}
