#pragma once

#include "LibBase/Time.h"

#include <chrono>

// How long calls may take that refresh something before a deadline: what a reader knows of a
// stream, or a membership.
//
// A connection can go silent without being closed, so that its death is found only by a timeout. A
// call that runs into one, and the call that repeats it on a new connection, together have to stay
// within the deadline.
namespace sesameseam::schedule {

struct CallTimes
{
  // How long the store may wait for news before it answers.
  std::chrono::milliseconds mWait{ 0 };
  // How long the answer may take beyond that.
  std::chrono::milliseconds mAnswerTimeout{ 0 };
};

// Plans the next call that refreshes something every aDeadline, after aFailures calls in a row
// without an answer. A call that repeats one asks for an answer at once, and leaves more time for
// it each time, so that a slow store is reached too.
CallTimes
PlanCall(std::chrono::milliseconds aDeadline, int aFailures);

}
