#pragma once

#include "LibFleet/FleetState.h"

namespace sesameseam {

struct LogEntry
{
  Offset mOffset = kNoOffset;
  std::string mText;
};

// Ids of records are remembered for this many records, to fold a repeated append once.
constexpr std::size_t kMaxSeenIds = 20000;

// Decisions that stay in the state for operators.
constexpr std::size_t kMaxAuditEntries = 5000;

// Reports of versions in force that stay in the state.
constexpr std::size_t kMaxInForceReports = 200;

// A key is kept for this long after its claim, by the time of the records.
constexpr Duration kClaimRetention = std::chrono::hours(24);

// True if the try may claim a key in this state.
bool
MayClaim(const ClaimState& aState, int aTry);

// Folds one record into the state. The same records give the same state on every entry host.
// A record that cannot be read is counted and changes nothing else.
Decision
Apply(FleetState& aState, const LogEntry& aEntry);

// The same for a record that was decoded before.
Decision
Apply(FleetState& aState, Offset aOffset, const absl::StatusOr<Record>& aRecord);

}
