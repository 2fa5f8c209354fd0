#pragma once

#include "LibFleet/Records.h"

// Validates the fields of a change, independently of the state of the fleet. An entry host refuses
// an invalid change before it is appended to the log. The fold validates it again, since a record
// may have been appended by other means.
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

// Returns an error that lists every invalid field of the change.
absl::Status
ValidateChange(const Change& aChange);

}
