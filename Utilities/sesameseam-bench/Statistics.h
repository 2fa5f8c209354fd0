#pragma once

#include "LibBase/JsonValue.h"

#include <algorithm>
#include <vector>

namespace sesameseam {

inline JsonValue
JsonNumber(double aNumber)
{
  JsonValue value;
  value.mType = JsonValue::Type::Number;
  value.mNumber = aNumber;
  return value;
}

// Returns the sample at the given quantile (0 to 1), rounded down to a whole rank; zero without
// samples.
inline double
Percentile(std::vector<double> aSamples, double aShare)
{
  if (aSamples.empty()) {
    return 0.0;
  }
  auto rank = static_cast<std::size_t>(aShare * static_cast<double>(aSamples.size() - 1));
  auto position = aSamples.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(aSamples.begin(), position, aSamples.end());
  return *position;
}

// Returns aPart / aWhole, or one if aWhole is not positive.
inline double
Ratio(double aPart, double aWhole)
{
  return aWhole > 0.0 ? aPart / aWhole : 1.0;
}

}
