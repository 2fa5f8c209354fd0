#include "LibSchedule/FleetPace.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// Decisions about hosts are not made on every event, and the less often the more hosts there are.
constexpr Duration kMinInterval = 40ms;
constexpr Duration kIntervalPerHost = 60us;
// With each time that timers are late by this, one more interval passes between decisions.
constexpr Duration kLatenessPerInterval = 10ms;
// A host passes several checks on its way through a wave, whose time is limited.
constexpr Duration kMaxSpacing = 400ms;

}

Duration
OrdersInterval(std::size_t aHosts)
{
  return std::max<Duration>(kMinInterval, kIntervalPerHost * static_cast<std::int64_t>(aHosts));
}

Duration
DecisionsInterval(std::size_t aHosts, Duration aLateness)
{
  auto interval = OrdersInterval(aHosts);
  auto spaced = interval * (1 + aLateness / kLatenessPerInterval);
  return std::max(interval, std::min<Duration>(spaced, kMaxSpacing));
}

FleetCheck
NextFleetCheck(FleetPace& aPace, std::size_t aHosts, Duration aLateness, Instant aNow)
{
  if (aNow < aPace.mNextOrdersAt) {
    return FleetCheck::None;
  }
  aPace.mNextOrdersAt = aNow + OrdersInterval(aHosts);
  ++aPace.mOrders;
  if (aNow < aPace.mNextDecisionsAt) {
    return FleetCheck::Orders;
  }
  aPace.mNextDecisionsAt = aNow + DecisionsInterval(aHosts, aLateness);
  ++aPace.mDecisions;
  return FleetCheck::Decisions;
}

}
