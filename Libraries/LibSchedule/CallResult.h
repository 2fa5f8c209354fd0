#pragma once

#include <string>

// The outcome of a call to the outside.
namespace sesameseam::schedule {

enum class CallResult
{
  Done,
  // The callee answered that it did nothing.
  Refused,
  // No answer arrived: the call may have been executed, or may still be executed later.
  Unanswered,
};

inline std::string
NameOf(CallResult aResult)
{
  if (aResult == CallResult::Done) {
    return "done";
  }
  return aResult == CallResult::Refused ? "refused" : "unanswered";
}

}
