#include "LibServe/ClassShares.h"

#include "LibBase/Decay.h"

#include <numeric>

namespace sesameseam {

namespace {

// The weight of started work halves in this time.
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
  auto decay = DecayOver(aNow - aShares.mAt, kHalfLife);
  for (auto& work : aShares.mWork) {
    work *= decay;
  }
  aShares.mAt = aNow;
  aShares.mWork[static_cast<std::size_t>(aClass)] += Seconds(aWork);
}

double
ShareOf(const ClassShares& aShares, RequestClass aClass)
{
  auto total = std::accumulate(aShares.mWork.begin(), aShares.mWork.end(), 0.0);
  return total > 0.0 ? aShares.mWork[static_cast<std::size_t>(aClass)] / total : 1.0;
}

}
