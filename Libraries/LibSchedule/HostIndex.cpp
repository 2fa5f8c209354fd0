#include "LibSchedule/HostIndex.h"

#include <algorithm>
#include <unordered_map>

namespace sesameseam::schedule {

namespace {

HostIndexBasis
BasisOf(const FleetContext& aContext)
{
  HostIndexBasis basis;
  basis.mMachineChanges = aContext.mMachines->mChanges;
  basis.mMachines = aContext.mMachines->mMachines.size();
  basis.mWaveChanges = aContext.mWaveChanges;
  basis.mWaves = aContext.mWaves->size();
  for (const auto& [partition, shard] : *aContext.mShards) {
    auto isActive = shard.mPhase == ShardPhase::Active;
    basis.mShards.push_back({ &shard, shard.mEpoch, isActive, shard.mExecutors.size() });
  }
  return basis;
}

Executor*
FindExecutor(Shard& aShard, const ExecutorId& aId)
{
  auto found = aShard.mExecutors.find(aId);
  return found == aShard.mExecutors.end() ? nullptr : &found->second;
}

// Adds the hosts of owned pools. A pool's shard is looked up once.
void
AddHosts(HostIndex& aIndex, const FleetContext& aContext)
{
  const auto& list = *aContext.mMachines;
  for (const auto& [id, machine] : list.mMachines) {
    auto [pool, isNew] = aIndex.mPools.try_emplace(machine.mPool);
    if (isNew) {
      pool->second.mShard = FindShard(aContext, machine.mPool);
    }
    auto* shard = pool->second.mShard;
    if (shard == nullptr) {
      continue;
    }
    auto since = list.mInPoolSince.find(id);
    const auto* inPoolSince = since == list.mInPoolSince.end() ? nullptr : &since->second;
    aIndex.mHosts.push_back(
      { &machine, shard, FindExecutor(*shard, machine.mExecutor), inPoolSince, {} });
  }
  for (const auto& host : aIndex.mHosts) {
    aIndex.mPools.at(host.mMachine->mPool).mHosts.push_back(&host);
  }
}

// Whether a visit of the wave would change nothing: its maintenance is over, and the executor was
// told so.
bool
IsSettled(const IndexedHost& aHost)
{
  return aHost.mDueIn.empty() && (aHost.mExecutor == nullptr ||
                                  (!aHost.mExecutor->mIsDueForMaintenance &&
                                   aHost.mExecutor->mDrainReason != DrainReason::ForMaintenance));
}

using HostsById = std::unordered_map<std::string_view, IndexedHost*>;

void
AddWave(IndexedWave& aIndexed,
        const FleetContext& aContext,
        const HostsById& aHosts,
        const Wave& aWave)
{
  for (const auto& id : aWave.mMachines) {
    auto host = aHosts.find(id.mValue);
    MaintenanceKey key{ aWave.mNumber, id };
    const auto* record = FindMaintenance(*aContext.mLog, key);
    auto isFinished = record != nullptr && record->mPhase == MaintenancePhase::Finished;
    if (!isFinished && !IsGone(*aContext.mMachines, id)) {
      aIndexed.mUnfinished.push_back(id);
    }
    if (host == aHosts.end()) {
      continue;
    }
    if (!isFinished) {
      host->second->mDueIn.push_back(&aWave);
    }
    aIndexed.mHosts.push_back({ host->second, std::move(key), record });
  }
}

void
AddWaves(HostIndex& aIndex, const FleetContext& aContext)
{
  HostsById hosts;
  for (auto& host : aIndex.mHosts) {
    hosts.emplace(host.mMachine->mId.mValue, &host);
  }
  for (const auto& [number, wave] : *aContext.mWaves) {
    AddWave(aIndex.mWaves[number], aContext, hosts, wave);
  }
  for (auto& [number, wave] : aIndex.mWaves) {
    std::erase_if(wave.mHosts, [](const WaveHost& aHost) { return IsSettled(*aHost.mHost); });
  }
}

int
CountHostsDown(const FleetContext& aContext, std::int64_t aWave)
{
  const auto& records = aContext.mLog->mMaintenanceRecords;
  int count = 0;
  for (auto i = records.lower_bound({ aWave, {} }); i != records.end(); ++i) {
    const auto& [key, record] = *i;
    if (key.mWave != aWave) {
      break;
    }
    auto isDown =
      record.mPhase == MaintenancePhase::Begun && !IsGone(*aContext.mMachines, key.mMachine);
    count += isDown ? 1 : 0;
  }
  return count;
}

// Looks the records of maintenance up again after some were added or changed.
void
UpdateMaintenance(HostIndex& aIndex, const FleetContext& aContext)
{
  const auto& log = *aContext.mLog;
  aIndex.mMaintenanceChanges = log.mMaintenanceChanges;
  aIndex.mMaintenanceRecords = log.mMaintenanceRecords.size();
  for (auto& [number, wave] : aIndex.mWaves) {
    for (auto& host : wave.mHosts) {
      if (host.mRecord == nullptr) {
        host.mRecord = FindMaintenance(log, host.mKey);
      }
    }
    wave.mDown = CountHostsDown(aContext, number);
  }
}

}

void
UpdateHostIndex(HostIndex& aIndex, const FleetContext& aContext)
{
  auto basis = BasisOf(aContext);
  auto isNew = aIndex.mGeneration == 0 || !(basis == aIndex.mBasis);
  if (isNew) {
    aIndex.mHosts.clear();
    aIndex.mPools.clear();
    aIndex.mWaves.clear();
    aIndex.mBasis = std::move(basis);
    ++aIndex.mGeneration;
    AddHosts(aIndex, aContext);
    AddWaves(aIndex, aContext);
  }
  const auto& log = *aContext.mLog;
  if (isNew || aIndex.mMaintenanceChanges != log.mMaintenanceChanges ||
      aIndex.mMaintenanceRecords != log.mMaintenanceRecords.size()) {
    UpdateMaintenance(aIndex, aContext);
  }
}

const PoolHosts*
FindPoolHosts(const HostIndex& aIndex, const ServiceName& aPool)
{
  auto found = aIndex.mPools.find(aPool);
  return found == aIndex.mPools.end() || found->second.mShard == nullptr ? nullptr : &found->second;
}

bool
RemoveDueWave(IndexedHost& aHost, const Wave& aWave)
{
  std::erase(aHost.mDueIn, &aWave);
  return aHost.mDueIn.empty();
}

bool
IsWaveDone(IndexedWave& aIndexed, const FleetContext& aContext, std::int64_t aWave)
{
  auto& hosts = aIndexed.mUnfinished;
  while (!hosts.empty() && (IsMaintenanceFinished(*aContext.mLog, { aWave, hosts.back() }) ||
                            IsGone(*aContext.mMachines, hosts.back()))) {
    hosts.pop_back();
  }
  return hosts.empty();
}

}
