#pragma once

#include "LibSchedule/FleetLog.h"
#include "LibSchedule/MachineList.h"
#include "LibSchedule/Partition.h"
#include "LibSchedule/Shard.h"

#include <map>

namespace sesameseam::schedule {

struct HostIndex;

// The state of this entry host on which decisions about hosts are based.
struct FleetContext
{
  const std::map<std::int64_t, Wave>* mWaves = nullptr;
  // How many records of waves were applied.
  std::int64_t mWaveChanges = 0;
  std::map<int, Shard>* mShards = nullptr;
  FleetLog* mLog = nullptr;
  MachineList* mMachines = nullptr;
  HostIndex* mHosts = nullptr;
  int mPartitions = 1;
  // The shard whose owner reports the state of waves to the operator.
  int mReportingShard = 0;
  // Minimum time between the orders of two shard owners for one host.
  std::chrono::milliseconds mHolderLease{ 3000 };
  // How long a host is unavailable during a move.
  std::chrono::milliseconds mMoveTime{ 1500 };
};

// Whether the log and the list of machines have been read, so that decisions can be made.
bool
IsFleetKnown(const FleetContext& aContext);

// Returns the pool's shard if this entry host owns it and it is active, else null.
Shard*
FindShard(const FleetContext& aContext, const ServiceName& aPool);

}
