#include "StepCount.h"

namespace {

std::int64_t steps = 0;

}

namespace sesameseam {

std::int64_t
StepCount()
{
  return steps;
}

}

// The compiler inserts calls of this name.
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" void
__sanitizer_cov_trace_pc()
{
  ++steps;
}
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)
