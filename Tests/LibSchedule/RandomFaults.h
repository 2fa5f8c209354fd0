#pragma once

#include "LibStandIn/Simulation.h"

#include <string>
#include <vector>

namespace sesameseam::standin {

// What a play has beside the usual faults and requests.
struct PlayOptions
{
  // Callers ask for the number of pending jobs.
  bool mHasCountQueries = false;
  // Executors' machines go down and come back, most with another executor.
  bool mReplacesExecutors = false;
  // The jobs' queue gets another service, or no route for a while, and jobs are handed in again.
  bool mMovesQueue = false;
  // What the tasks of jobs do that don't crash their executors.
  std::string mWork = "250";
};

// Hosts are killed, frozen and cut off, executors crash and are cut off, calls are lost or executed
// late, and partitions are reassigned. Returns what is wrong: invariants that were broken, and what
// has not recovered after the faults are over.
std::vector<std::string>
PlayRandomFaults(const SimulationSettings& aSettings, const PlayOptions& aOptions = {});

}
