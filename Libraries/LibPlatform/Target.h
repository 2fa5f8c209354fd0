#pragma once

#include "LibBase/Error.h"
#include "LibServe/PoolEvents.h"

#include <functional>
#include <string>

namespace sesameseam {

// Sends one attempt to a target and waits until it ends or the attempt times out.
using TargetClient = std::function<AttemptResult(const Dispatch& aDispatch)>;

// Registers a target client under a name. Intended for static initializers. Returns false if the
// name is already registered.
bool
RegisterTargetClient(const std::string& aName, TargetClient aClient);

absl::StatusOr<TargetClient>
FindTargetClient(const std::string& aName);

}
