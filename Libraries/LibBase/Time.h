#pragma once

#include <chrono>

namespace sesameseam {

using Duration = std::chrono::microseconds;

// All decisions take the present time as an argument of this type.
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;

inline std::chrono::milliseconds
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration);
}

}
