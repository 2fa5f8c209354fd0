#pragma once

#include "LibFleet/Records.h"

// Checks of what a change says by itself, whatever the state of the fleet is. An entry host
// refuses a bad change before it reaches the log, and the fold refuses it again, since a
// record may have been appended by other means.
namespace sesameseam {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxJobIdBytes = 200;
constexpr std::size_t kMaxAddressBytes = 256;
constexpr std::size_t kMaxTextBytes = 1000;
constexpr int kMaxHostsPerPool = 10000;
constexpr std::size_t kMaxPresets = 64;
constexpr std::size_t kMaxHostsPerMaintenance = 10000;
constexpr int kMaxSlotsPerHost = 1024;
constexpr double kMaxTeamWeight = 1e6;
constexpr Duration kMaxAttemptTimeout = std::chrono::hours(1);

// Gives an error that names every mistake in the change.
absl::Status
ValidateChange(const Change& aChange);

}
