#pragma once

#include <cstdint>

// Counts the basic blocks that the code under test enters: a measure of its work that needs no
// clock and misses no walk, whatever it goes over. The code is compiled to call the counter
// (-fsanitize-coverage=trace-pc); this program's own sources are not.
namespace sesameseam {

std::int64_t
StepCount();

}
