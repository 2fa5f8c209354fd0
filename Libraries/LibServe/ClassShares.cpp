#include "LibServe/ClassShares.h"

#include <cmath>
#include <numeric>

namespace sesameseam {

namespace {

// Work counts half after this time.
constexpr Duration kHalfLife = 2s;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

void
RecordStarted(ClassShares& aShares, RequestClass aClass, Duration aWork, TimePoint aNow)
{
  auto fade = std::exp2(-Seconds(aNow - aShares.mAt) / Seconds(kHalfLife));
  for (auto& work : aShares.mWork) {
    work *= fade;
  }
  aShares.mAt = aNow;
  aShares.mWork[static_cast<std::size_t>(aClass)] += Seconds(aWork);
}

double
ShareOf(const ClassShares& aShares, RequestClass aClass)
{
  auto all = std::accumulate(aShares.mWork.begin(), aShares.mWork.end(), 0.0);
  return all > 0.0 ? aShares.mWork[static_cast<std::size_t>(aClass)] / all : 1.0;
}

}
