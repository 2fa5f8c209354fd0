#pragma once

#include "LibFleet/PlannerView.h"

// Computes how many hosts a pool needs, from its preset and its load.
namespace sesameseam {

struct PoolRequirement
{
  // Hosts that the sustained load needs, without the buffer.
  int mHostsForLoad = 0;
  int mBuffer = 0;
  // Hosts that the pool should have, at least as many as its preset asks for.
  int mHosts = 0;
  // The pool returns a host only if this many remain. Exceeds mHosts where the load is near a
  // whole number of hosts, as hysteresis against moving a host back and forth.
  int mReturnThreshold = 0;
  // The preset alone determines mHosts.
  bool mSetByPreset = true;
};

// Updates the load averages with the reported loads.
void
UpdateLoadAverages(const PlannerSettings& aSettings,
                   const FleetLoad& aLoad,
                   TimePoint aNow,
                   PlannerMemory& aMemory);

// Without a load average, the preset alone determines the result.
PoolRequirement
ComputeRequirement(const PlannerSettings& aSettings,
                   const PoolHosts& aPool,
                   const LoadAverage* aLoad);

// Returns the load average of the pool, or nullptr until it covers the whole load window.
const LoadAverage*
SustainedLoad(const PlannerSettings& aSettings,
              const PlannerMemory& aMemory,
              const PoolName& aPool);

}
