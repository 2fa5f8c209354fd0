#pragma once

#include "LibBase/Time.h"

#include <cmath>

namespace sesameseam {

// The factor that remains of an exponentially decaying sum after aElapsed.
inline double
DecayOver(Duration aElapsed, Duration aHalfLife)
{
  return std::exp2(-std::chrono::duration<double>(aElapsed) /
                   std::chrono::duration<double>(aHalfLife));
}

}
