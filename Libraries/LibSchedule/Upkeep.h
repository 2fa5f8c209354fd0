#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/FleetLog.h"
#include "LibSchedule/MachineList.h"
#include "LibSchedule/Shard.h"

#include <map>
#include <optional>

// Takes the hosts of a wave down, a few at a time. Each owner does so for the hosts of its shards;
// the fleet log keeps all owners together within the wave's limit.
namespace sesameseam::schedule {

// An order for a host, which this owner recorded in the fleet log.
struct UpkeepTask
{
  // The offset of this owner's record; an order of another owner needs a record of its own.
  std::int64_t mFence = 0;
  // The token under which the shard was owned. Who owns it again begins anew, since another owner
  // may have given orders meanwhile.
  std::int64_t mEpoch = 0;
  bool mCallPending = false;
  bool mOrdered = false;
  Instant mOrderedAt;
  Instant mRetryAt;
};

struct Upkeep
{
  std::map<UpkeepKey, UpkeepTask> mTasks;
  // Waves whose state was told to the operator, and whether they were completed.
  std::map<std::int64_t, bool> mReported;
  std::optional<WaveStatusCall> mReporting;
  Instant mNextReportAt;
};

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

// Whether no other holder can have ordered the host within the time that holders must leave.
bool
MayOrder(const FleetContext& aContext,
         const Shard& aShard,
         const MachineId& aMachine,
         const Now& aNow);

// The partition that holds the jobs of a service.
int
PartitionOf(const ServiceName& aService, int aPartitions);

// A wave whose hosts are not all done.
bool
HasOpenWave(const Upkeep& aUpkeep, const std::map<std::int64_t, Wave>& aWaves);

// Whether the host is due for its upkeep, and the time for that is no longer ample: it stays in its
// pool until then.
bool
StaysForUpkeep(const FleetContext& aContext, const MachineId& aMachine, Instant aNow);

// Notes the fencing token of the records that were stored.
void
OnUpkeepRecorded(Upkeep& aUpkeep, const AppendAnswer& aAnswer, Actions& aActions);
void
OnUpkeepAnswer(Upkeep& aUpkeep, const Now& aNow, const UpkeepAnswer& aAnswer, Actions& aActions);
void
OnWaveStatus(Upkeep& aUpkeep, const Now& aNow, const WaveStatusAnswer& aAnswer, Actions& aActions);

void
AdvanceUpkeep(Upkeep& aUpkeep, const Now& aNow, const FleetContext& aContext, Actions& aActions);

}
