#pragma once

#include "LibBase/Time.h"

#include <chrono>
#include <cstdint>

namespace sesameseam::schedule {

// A clock that also advances while the process or the machine is suspended, so that no lease is
// taken to be valid after it has expired. It has no `now()`: the current time is passed in.
struct BootClock
{
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<BootClock, duration>;
};

using Instant = BootClock::time_point;

// The current time on both clocks: `mAt` for timeouts and leases, `mWall` for points in time that
// are shared with other processes.
struct Now
{
  Instant mAt;
  TimePoint mWall;
};

}
