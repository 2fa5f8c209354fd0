#pragma once

#include "LibStandIn/OwnerModel.h"

// The jobs of a modelled pool.
namespace sesameseam::standin::detail {

inline constexpr Duration kBetweenTicks = 100ms;
inline constexpr int kMaxSetupTicks = 400;

// Stores a job of one short task; the owner reads it next.
void
StoreShortJob(OwnerModel& aModel);

// Stores the cancellation of the newest job.
void
StoreCancellation(OwnerModel& aModel);

// Has the owner take its shard over; throws std::runtime_error if it does not.
void
TakeOver(OwnerModel& aModel);

// Stores jobs until the pool is loaded as asked for; throws std::runtime_error if it does not get
// there.
void
LoadPool(OwnerModel& aModel);

}
