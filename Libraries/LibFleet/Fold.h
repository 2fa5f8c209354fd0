#pragma once

#include "LibFleet/FleetState.h"

// Folds the records of the log into the state of the fleet, one at a time.
namespace sesameseam {

struct LogEntry
{
  Offset mOffset = kNoOffset;
  std::string mText;
};

// The number of recent record ids that are kept, so that a repeated append is folded only once.
constexpr std::size_t kMaxSeenIds = 20000;

// The number of recent decisions that the audit trail keeps for operators.
constexpr std::size_t kMaxAuditEntries = 5000;

// The number of recent reports of versions in force that the state keeps.
constexpr std::size_t kMaxInForceReports = 200;

// A claim expires after this time, measured by the timestamps of the records.
constexpr Duration kClaimRetention = std::chrono::hours(24);

// Returns whether a try with this number may claim a key that has this claim already.
bool
MayClaim(const ClaimState& aState, int aTry);

// Folds one record into the state. This is deterministic: the same records give the same state on
// every entry host. An unreadable record is counted and audited, and changes nothing else.
Decision
Apply(FleetState& aState, const LogEntry& aEntry);

// Does the same for a record that is already decoded.
Decision
Apply(FleetState& aState, Offset aOffset, const absl::StatusOr<Record>& aRecord);

}
