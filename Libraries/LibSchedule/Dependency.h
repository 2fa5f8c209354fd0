#pragma once

#include "LibSchedule/Calls.h"

#include <optional>

// Something outside that an entry host needs, such as a stream of the log. Its loss and its return
// are told, each in one line, so that later failures can be put down to them.
namespace sesameseam::schedule {

struct Dependency
{
  // Since when every call has failed.
  std::optional<Instant> mFailingSince;
  bool mIsLost = false;
};

// Notes how a call ended.
void
UpdateDependency(Dependency& aDependency,
                 std::string aName,
                 CallResult aResult,
                 Instant aNow,
                 Actions& aActions);

}
