#pragma once

#include "LibSchedule/Clock.h"

#include <cstddef>

// When an owner looks at its hosts. An owner whose timers are late, since its processor has no time
// left, decides on waves and moves less often. Orders under way keep their pace.
namespace sesameseam::schedule {

struct FleetPace
{
  Instant mNextDecisionsAt;
  Instant mNextOrdersAt;
  // How often each was due.
  std::int64_t mDecisions = 0;
  std::int64_t mOrders = 0;
};

enum class FleetCheck
{
  None,
  // Orders under way are sent and repeated.
  Orders,
  // Also, hosts are chosen to be maintained or to move.
  Decisions,
};

// The time between two looks at orders under way.
Duration
OrdersInterval(std::size_t aHosts);
// The time between two looks at all hosts; aLateness is the mean delay of the owner's timers.
Duration
DecisionsInterval(std::size_t aHosts, Duration aLateness);

// Returns what is due, and sets when the next check is.
FleetCheck
NextFleetCheck(FleetPace& aPace, std::size_t aHosts, Duration aLateness, Instant aNow);

}
