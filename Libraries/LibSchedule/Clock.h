#pragma once

#include "LibBase/Time.h"

#include <chrono>
#include <cstdint>

namespace sesameseam::schedule {

// Counts while the process or the machine is suspended, so that a lease is never held for longer
// than it seems. It has no `now()`: the present time is an argument.
struct BootClock
{
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<BootClock, duration>;
};

using Instant = BootClock::time_point;

// The present time in both forms: `mAt` for waits and leases, `mWall` for what is agreed with
// others by the time of day.
struct Now
{
  Instant mAt;
  TimePoint mWall;
};

}
