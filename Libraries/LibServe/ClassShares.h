#pragma once

#include "LibServe/Request.h"

#include <array>

namespace sesameseam {

// The recently started work of each class, as an exponentially decaying sum.
struct ClassShares
{
  std::array<double, kRequestClassCount> mWork = {};
  TimePoint mAt;
};

void
RecordStarted(ClassShares& aShares, RequestClass aClass, Duration aWork, TimePoint aNow);

// The share of the class in all recently started work; 1 if no work was started.
double
ShareOf(const ClassShares& aShares, RequestClass aClass);

}
