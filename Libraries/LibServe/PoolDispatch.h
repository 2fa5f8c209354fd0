#pragma once

#include "LibServe/PoolServer.h"

// The queue of a pool: requests enter it, and start on slots of this entry host or at peers as soon
// as there is capacity.
namespace sesameseam::detail {

// Whether the configuration was not confirmed for so long that no request may start.
bool
IsViewStale(const PoolServer& aServer, TimePoint aNow);

void
Enqueue(PoolServer& aServer, TimePoint aNow, const RequestPointer& aRequest);

// Starts queued requests until no capacity is left.
void
StartQueuedRequests(PoolServer& aServer, TimePoint aNow, PoolActions& aActions);

}
