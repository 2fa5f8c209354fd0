#pragma once

#include "LibBase/Time.h"

#include <cstddef>

// How long calls take in a simulation, and how large they are.
namespace sesameseam::standin::detail {

inline constexpr Duration kNetworkLatency = 1ms;
inline constexpr Duration kCallTimeout = 900ms;
inline constexpr Duration kLongPollInterval = 5ms;
// The size of a call without its records or specification, with all headers.
inline constexpr std::size_t kCallBytes = 400;

}
