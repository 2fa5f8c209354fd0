#pragma once

#include "LibSchedule/Calls.h"

#include <optional>

// An external resource that an entry host depends on, such as a stream of the log. Its loss and its
// recovery are logged in one line each, so that later failures can be traced to them.
namespace sesameseam::schedule {

struct Dependency
{
  // Since when every call has failed.
  std::optional<Instant> mFailingSince;
  bool mIsLost = false;
};

// Updates the state by the result of a call, and logs a loss or a recovery.
void
UpdateDependency(Dependency& aDependency,
                 std::string aName,
                 CallResult aResult,
                 Instant aNow,
                 Actions& aActions);

}
