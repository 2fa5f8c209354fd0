#pragma once

#include "LibBase/Error.h"
#include "LibServe/PoolEvents.h"

#include <functional>
#include <string>

namespace sesameseam {

// Sends one attempt to a target and waits for its end, within the attempt's time.
using TargetClient = std::function<AttemptResult(const Dispatch& aDispatch)>;

// Makes a target client known by its name. Gives true, for use by a static initializer.
bool
RegisterTargetClient(const std::string& aName, TargetClient aClient);

absl::StatusOr<TargetClient>
FindTargetClient(const std::string& aName);

}
