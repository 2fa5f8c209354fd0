#pragma once

#include "LibSchedule/FleetContext.h"

#include <map>
#include <vector>

// The hosts of the pools that this entry host owns, by pool and by wave, with pointers to what
// decisions about them read. It is built anew when hosts, executors, shards or waves come, go or
// change, and not for each decision.
namespace sesameseam::schedule {

struct MaintenanceOrder;

struct IndexedHost
{
  const Machine* mMachine = nullptr;
  Shard* mShard = nullptr;
  // Null if the shard knows no executor of the host.
  Executor* mExecutor = nullptr;
  // When the host was first known to be in its pool; null if that is unknown.
  const Instant* mInPoolSince = nullptr;
  // The waves whose maintenance of the host is not known to be finished.
  std::vector<const Wave*> mDueIn;
};

struct PoolHosts
{
  Shard* mShard = nullptr;
  // In the order of their ids.
  std::vector<const IndexedHost*> mHosts;
};

struct WaveHost
{
  IndexedHost* mHost = nullptr;
  MaintenanceKey mKey;
  // Null while there is none.
  const MaintenanceRecord* mRecord = nullptr;
  MaintenanceOrder* mOrder = nullptr;
};

struct IndexedWave
{
  // The hosts in the order of the wave, without those that it has finished with.
  std::vector<WaveHost> mHosts;
  // Hosts of all pools, without those that are known to be finished or gone.
  std::vector<MachineId> mUnfinished;
  // Hosts of all pools that are down for the wave.
  int mDown = 0;
};

// What the index was built from.
struct HostIndexBasis
{
  struct ShardBasis
  {
    const Shard* mShard = nullptr;
    std::int64_t mEpoch = 0;
    bool mIsActive = false;
    std::size_t mExecutors = 0;

    bool operator==(const ShardBasis&) const = default;
  };

  std::int64_t mMachineChanges = 0;
  std::size_t mMachines = 0;
  std::int64_t mWaveChanges = 0;
  std::size_t mWaves = 0;
  std::vector<ShardBasis> mShards;

  bool operator==(const HostIndexBasis&) const = default;
};

struct HostIndex
{
  // In the order of their ids.
  std::vector<IndexedHost> mHosts;
  std::map<ServiceName, PoolHosts> mPools;
  std::map<std::int64_t, IndexedWave> mWaves;
  HostIndexBasis mBasis;
  // How often the index was built.
  std::int64_t mGeneration = 0;
  // The records of maintenance that the waves were last updated with.
  std::int64_t mMaintenanceChanges = 0;
  std::size_t mMaintenanceRecords = 0;
  // How many hosts decisions have looked at.
  std::int64_t mVisits = 0;
};

// Makes the index match the context. The pointers in it are valid until the context changes.
void
UpdateHostIndex(HostIndex& aIndex, const FleetContext& aContext);

// Returns the hosts of a pool; null if its shard is not owned here or has no hosts.
const PoolHosts*
FindPoolHosts(const HostIndex& aIndex, const ServiceName& aPool);

inline bool
IsMaintenanceFinished(const WaveHost& aHost)
{
  return aHost.mRecord != nullptr && aHost.mRecord->mPhase == MaintenancePhase::Finished;
}

// Forgets that the host is due in the wave, and returns whether it is due in no other one.
bool
RemoveDueWave(IndexedHost& aHost, const Wave& aWave);

// Whether each host of the wave has finished its maintenance or is gone.
bool
IsWaveDone(IndexedWave& aIndexed, const FleetContext& aContext, std::int64_t aWave);

}
