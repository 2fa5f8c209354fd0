#pragma once

#include "LibServe/PoolServer.h"

namespace sesameseam {

// Predicts how long the request would wait for a slot, on this entry host or on the peer it could
// be moved to, from the observed run times.
Duration
PredictWait(const PoolServer& aServer, TimePoint aNow, const Request& aRequest);

// The latest start at which the request is still likely to meet its deadline.
TimePoint
LatestStart(const PoolServer& aServer, TimePoint aNow, const Request& aRequest);

// The predicted wait of a new request of each class for a slot of this entry host; nullopt if it
// owns no slots.
std::optional<ClassWaits>
LocalWaits(const PoolServer& aServer);

// Admission control: nullopt if the request is admitted, otherwise the outcome to return to the
// caller immediately.
std::optional<Outcome>
AdmissionRefusal(const PoolServer& aServer, TimePoint aNow, const Request& aRequest);

// Adds jitter to the retry delay, so that refused callers do not all retry at the same time.
Duration
JitteredRetryAfter(const Request& aRequest, Duration aWait);

}
