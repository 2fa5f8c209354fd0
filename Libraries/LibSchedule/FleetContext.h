#pragma once

#include "LibSchedule/FleetLog.h"
#include "LibSchedule/MachineList.h"
#include "LibSchedule/Shard.h"

#include <map>

namespace sesameseam::schedule {

// What decisions on hosts need to know of this entry host.
struct FleetContext
{
  const std::map<std::int64_t, Wave>* mWaves = nullptr;
  std::map<int, Shard>* mShards = nullptr;
  FleetLog* mLog = nullptr;
  MachineList* mMachines = nullptr;
  int mPartitions = 1;
  // The shard whose owner reports the state of waves.
  int mReportingShard = 0;
  // Two holders may not order one host within this time.
  std::chrono::milliseconds mHolderLease{ 3000 };
  // How long a host is away when it moves.
  std::chrono::milliseconds mMoveTime{ 1500 };
};

// The shard of the pool, if this host is its owner by now.
Shard*
FindShard(const FleetContext& aContext, const ServiceName& aPool);

// The partition that holds the jobs of a service.
int
PartitionOf(const ServiceName& aService, int aPartitions);

}
