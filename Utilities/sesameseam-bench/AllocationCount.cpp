#include "AllocationCount.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::int64_t allocations = 0;

}

namespace sesameseam {

std::int64_t
AllocationCount()
{
  return allocations;
}

}

// All other forms of the operator, but for those of over-aligned types, call this one.
void*
operator new(std::size_t aSize)
{
  ++allocations;
  // An object takes at least one byte.
  auto* memory = std::malloc(aSize == 0 ? 1 : aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}
