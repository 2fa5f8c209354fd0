#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/JobRecords.h"
#include "LibSchedule/Shard.h"

#include <map>
#include <optional>

// Takes the hosts of a wave down, a few at a time. Each owner does so for the hosts of its shards.
// A record in the log for each host, appended only if nothing else was appended meanwhile, keeps
// all owners together within the wave's limit.
namespace sesameseam::schedule {

struct UpkeepSettings
{
  // Two holders may not order one host within this time.
  std::chrono::milliseconds mHolderLease{ 3000 };
};

struct UpkeepTask
{
  bool mCallPending = false;
  bool mOrdered = false;
  Instant mOrderedAt;
  Instant mRetryAt;
};

struct UpkeepKey
{
  std::int64_t mWave = 0;
  MachineId mMachine;

  auto operator<=>(const UpkeepKey&) const = default;
};

struct Upkeep
{
  UpkeepSettings mSettings;
  // What the log says of each host of a wave.
  std::map<UpkeepKey, UpkeepRecord> mRecords;
  std::int64_t mPosition = 0;
  bool mLoaded = false;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
  bool mReadPending = false;
  Instant mNextReadAt;
  // The record that is being appended.
  std::optional<UpkeepKey> mAppending;
  bool mAppendPending = false;

  std::map<MachineId, Machine> mMachines;
  std::map<MachineId, Machine> mPageOfMachines;
  std::string mMachinesPage;
  bool mMachinesPending = false;
  bool mMachinesKnown = false;
  // When the list of machines that is known was asked for.
  Instant mMachinesAskedAt;
  Instant mMachinesSentAt;
  Instant mNextMachinesAt;

  std::map<UpkeepKey, UpkeepTask> mTasks;
  std::map<MachineId, Instant> mInPoolSince;
  std::map<std::int64_t, bool> mReported;
  std::optional<WaveStatusCall> mReporting;
  Instant mNextReportAt;
};

// What the module needs to know of the shards of this host.
struct UpkeepContext
{
  const std::map<std::int64_t, Wave>* mWaves = nullptr;
  std::map<int, Shard>* mShards = nullptr;
  int mPartitions = 1;
  // The shard whose owner reports the state of waves.
  int mReportingShard = 0;
};

void
OnUpkeepRead(Upkeep& aUpkeep, const Now& aNow, const ReadAnswer& aAnswer);
void
OnUpkeepNewest(Upkeep& aUpkeep, const Now& aNow, const NewestAnswer& aAnswer);
void
OnUpkeepAppend(Upkeep& aUpkeep, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);
void
OnMachines(Upkeep& aUpkeep, const Now& aNow, const MachinesAnswer& aAnswer);
void
OnUpkeepAnswer(Upkeep& aUpkeep, const Now& aNow, const UpkeepAnswer& aAnswer, Actions& aActions);
void
OnWaveStatus(Upkeep& aUpkeep, const Now& aNow, const WaveStatusAnswer& aAnswer, Actions& aActions);

void
AdvanceUpkeep(Upkeep& aUpkeep, const Now& aNow, const UpkeepContext& aContext, Actions& aActions);

// The partition that holds the jobs of a service.
int
PartitionOf(const ServiceName& aService, int aPartitions);

}
