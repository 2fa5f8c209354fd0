#pragma once

#include "LibBase/Time.h"

#include <chrono>

// How long the reads of a stream may take whose news must be known by a deadline.
//
// A connection can go silent without being closed, so that its death is found only by a timeout. A
// read that runs into one, and the read that repeats it on a new connection, together have to stay
// within the deadline.
namespace sesameseam::schedule {

struct ReadTimes
{
  // How long the store may wait for news before it answers.
  std::chrono::milliseconds mWait{ 0 };
  // How long the answer may take beyond that.
  std::chrono::milliseconds mAnswerTimeout{ 0 };
};

// Plans the next read of a stream whose news must be known aDeadline after they were stored, after
// aFailures reads in a row without an answer. A read that repeats one asks for an answer at once,
// and leaves more time for it each time, so that a slow store is read too.
ReadTimes
PlanRead(std::chrono::milliseconds aDeadline, int aFailures);

}
