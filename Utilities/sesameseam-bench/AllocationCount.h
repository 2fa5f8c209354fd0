#pragma once

#include <cstdint>

// Counts allocations. A program that links the source of this header allocates by its operator new.
namespace sesameseam {

// How often this thread has allocated memory.
std::int64_t
AllocationCount();

}
