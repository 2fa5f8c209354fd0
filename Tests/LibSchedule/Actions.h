#pragma once

#include "LibSchedule/Calls.h"

#include <vector>

namespace sesameseam::schedule {

// Returns the actions that are calls of one kind.
template<typename Call>
std::vector<Call>
Select(const Actions& aActions)
{
  std::vector<Call> calls;
  for (const auto& action : aActions) {
    if (const auto* call = std::get_if<Call>(&action)) {
      calls.push_back(*call);
    }
  }
  return calls;
}

}
