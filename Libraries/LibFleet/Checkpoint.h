#pragma once

#include "LibFleet/FleetState.h"

// The state as text, whole and in parts, so that it outlives the records that made it.
namespace sesameseam {

constexpr std::size_t kCheckpointPartBytes = 128 * 1024;

std::string
EncodeState(const FleetState& aState);

// Refuses a text that does not have this hash.
absl::StatusOr<FleetState>
DecodeState(const std::string& aText, const std::string& aHash);

std::string
HashText(const std::string& aText);

// Cuts the state into parts of a bounded size.
std::vector<CheckpointPart>
MakeCheckpoint(const FleetState& aState,
               const std::string& aId,
               std::size_t aPartBytes = kCheckpointPartBytes);

absl::Status
VerifyPart(const CheckpointPart& aPart);

// The text of a state whose parts are all there and whole, in the order of the parts.
absl::StatusOr<FleetState>
AssembleCheckpoint(const std::vector<CheckpointPart>& aParts);

}
