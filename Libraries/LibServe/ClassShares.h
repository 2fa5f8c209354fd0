#pragma once

#include "LibServe/Request.h"

#include <array>

namespace sesameseam {

// The work that was started of each class lately, with weights that fade with its age.
struct ClassShares
{
  std::array<double, kRequestClassCount> mWork = {};
  TimePoint mAt;
};

void
RecordStarted(ClassShares& aShares, RequestClass aClass, Duration aWork, TimePoint aNow);

// The part of the class; its whole where nothing was started.
double
ShareOf(const ClassShares& aShares, RequestClass aClass);

}
