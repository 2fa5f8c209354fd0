#pragma once

#include "LibFleet/FleetState.h"

// Serializes the fleet state, whole or in parts, so that it can be restored without the log
// records that produced it.
namespace sesameseam {

constexpr std::size_t kCheckpointPartBytes = 128 * 1024;

std::string
EncodeState(const FleetState& aState);

// Fails if the text does not have the given hash.
absl::StatusOr<FleetState>
DecodeState(const std::string& aText, const std::string& aHash);

std::string
HashText(const std::string& aText);

// Splits the serialized state into parts of at most aPartBytes bytes, or 4 if that is more, so
// that any UTF-8 sequence fits into a part.
std::vector<CheckpointPart>
MakeCheckpoint(const FleetState& aState,
               const std::string& aId,
               std::size_t aPartBytes = kCheckpointPartBytes);

// Fails if the text of the part does not have the hash of the part.
absl::Status
VerifyPart(const CheckpointPart& aPart);

// Restores the state from all parts of a checkpoint, in their order. Fails if a part is missing or
// corrupt.
absl::StatusOr<FleetState>
AssembleCheckpoint(const std::vector<CheckpointPart>& aParts);

}
