#include "LibSchedule/CallTimes.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// A quarter for the wait, a quarter for its answer, and half for the repetition.
constexpr int kDeadlineParts = 4;
constexpr std::chrono::milliseconds kMaxAnswerTimeout = 1500ms;
// Beyond this many doublings the maximum is reached with any deadline in use.
constexpr int kMaxDoublings = 8;

}

CallTimes
PlanCall(std::chrono::milliseconds aDeadline, int aFailures)
{
  auto part = std::min(aDeadline / kDeadlineParts, kMaxAnswerTimeout);
  if (aFailures == 0) {
    return { part, part };
  }
  auto factor = 1 << std::min(aFailures, kMaxDoublings);
  return { 0ms, std::min(part * factor, kMaxAnswerTimeout) };
}

}
