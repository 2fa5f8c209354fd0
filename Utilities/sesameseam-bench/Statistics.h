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

// The value below which this share of the samples lies; zero without samples.
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

// Part of the whole, or one where there is no whole.
inline double
Ratio(double aPart, double aWhole)
{
  return aWhole > 0.0 ? aPart / aWhole : 1.0;
}

}
