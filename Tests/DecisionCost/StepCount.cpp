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

extern "C" void
__sanitizer_cov_trace_pc()
{
  ++steps;
}
