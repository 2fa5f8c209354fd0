#pragma once

#include "LibServe/PoolServer.h"

namespace sesameseam {

// How long the request would wait for a slot, here or at the peer to which it can move, by the
// run times that were learnt.
Duration
PredictWait(const PoolServer& aServer, TimePoint aNow, const Request& aRequest);

// Started later than this, the request would likely miss its deadline.
TimePoint
LatestStart(const PoolServer& aServer, TimePoint aNow, const Request& aRequest);

// How long a new request of each class would wait for a slot of this entry host; empty without
// slots.
std::optional<ClassWaits>
LocalWaits(const PoolServer& aServer);

// Empty if the request is worth queueing; otherwise the outcome that its caller gets at once.
std::optional<Outcome>
AdmissionRefusal(const PoolServer& aServer, TimePoint aNow, const Request& aRequest);

// Spreads the returns of refused callers, so that they don't come back together.
Duration
JitteredRetryAfter(const Request& aRequest, Duration aWait);

}
