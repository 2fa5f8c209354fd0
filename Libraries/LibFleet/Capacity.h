#pragma once

#include "LibFleet/PlannerView.h"

// How many hosts a pool needs now.
namespace sesameseam {

struct PoolRequirement
{
  // What the sustained load needs, without a buffer.
  int mHostsForLoad = 0;
  int mBuffer = 0;
  // What the pool should have: never less than its preset says.
  int mHosts = 0;
  // What the pool should have before it gives a host back. It lies above mHosts where the load
  // is near a whole host, so that a host does not go to and fro.
  int mReturnThreshold = 0;
  // The need comes from the preset alone.
  bool mSetByPreset = true;
};

// Takes the reported loads into the averages.
void
UpdateLoadAverages(const PlannerSettings& aSettings,
                   const FleetLoad& aLoad,
                   TimePoint aNow,
                   PlannerMemory& aMemory);

PoolRequirement
ComputeRequirement(const PlannerSettings& aSettings,
                   const PoolHosts& aPool,
                   const LoadAverage* aLoad);

// The load average of the pool, once it covers the whole window.
const LoadAverage*
SustainedLoad(const PlannerSettings& aSettings,
              const PlannerMemory& aMemory,
              const PoolName& aPool);

}
