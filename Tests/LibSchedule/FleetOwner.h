#pragma once

#include "LibSchedule/HostIndex.h"
#include "LibSchedule/Rebalance.h"

// What the tests of waves and moves share.
namespace sesameseam::schedule {

inline constexpr int kPartitions = 24;
inline constexpr Now kNow{ Instant(100s), TimePoint(1000s) };

// One entry host that owns the shards of all pools.
struct FleetOwner
{
  std::map<std::int64_t, Wave> mWaves;
  std::map<int, Shard> mShards;
  FleetLog mLog;
  MachineList mMachines;
  HostIndex mHosts;
  Maintenance mMaintenance;
  Rebalance mRebalance;
  std::vector<Service> mServices;

  FleetOwner()
  {
    mLog.mHostCursor.mLoaded = true;
    mMachines.mIsKnown = true;
  }

  ServiceName AddPool(const std::string& aName, bool aStandby = false)
  {
    ServiceName name(aName);
    mServices.push_back({ name, aStandby });
    auto partition = PartitionOf(name, kPartitions);
    auto& shard = mShards.emplace(partition, MakeShard(partition, {}, Instant(0s))).first->second;
    shard.mPhase = ShardPhase::Active;
    shard.mConfirmedAt = kNow.mAt;
    return name;
  }

  Executor& AddHost(const std::string& aName, const ServiceName& aPool)
  {
    Machine machine{ MachineId(aName), aPool, MachineState::Up, ExecutorId("x-" + aName) };
    mMachines.mMachines[machine.mId] = machine;
    mMachines.mInPoolSince[machine.mId] = Instant(0s);
    auto& executor = mShards.at(PartitionOf(aPool, kPartitions)).mExecutors[machine.mExecutor];
    executor.mEntry.mId = machine.mExecutor;
    executor.mEntry.mService = aPool;
    executor.mEntry.mCapacity = { 8000, 64000, 0 };
    executor.mHasAnsweredHeartbeat = true;
    return executor;
  }

  FleetContext Context()
  {
    FleetContext context;
    context.mWaves = &mWaves;
    context.mShards = &mShards;
    context.mLog = &mLog;
    context.mMachines = &mMachines;
    context.mHosts = &mHosts;
    context.mPartitions = kPartitions;
    return context;
  }

  Actions AdvanceWaves()
  {
    Actions actions;
    AdvanceMaintenance(mMaintenance, kNow, Context(), actions);
    AppendBatch(mLog, actions);
    return actions;
  }

  Actions AdvanceMoves()
  {
    Actions actions;
    AdvanceRebalance(mRebalance, {}, kNow, Context(), mServices, actions);
    AppendBatch(mLog, actions);
    return actions;
  }
};

// The number of records in the appended ones whose keys begin with the prefix.
inline int
CountAppended(const Actions& aActions, const std::string& aPrefix)
{
  int count = 0;
  for (const auto& action : aActions) {
    if (const auto* append = std::get_if<AppendCall>(&action)) {
      for (const auto& record : append->mRecords) {
        count += record.mKey.starts_with(aPrefix) ? 1 : 0;
      }
    }
  }
  return count;
}

inline Wave
WaveOf(std::vector<MachineId> aMachines, int aMaxAtOnce = 1)
{
  return { 1, std::move(aMachines), 20s, aMaxAtOnce };
}

}
