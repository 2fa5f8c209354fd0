#pragma once

#include "LibBase/Error.h"
#include "LibSchedule/Calls.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

// The log in which shard owners share what concerns hosts: maintenance in waves, moves between
// pools, and the demands of pools. Records of maintenance and moves are appended only if nothing
// else was appended meanwhile, so that limits hold for all owners together. The offset of such a
// record gives the fencing token of the order that follows: it rises with each order for a host,
// whichever owner sends it.
namespace sesameseam::schedule {

struct MaintenanceKey
{
  std::int64_t mWave = 0;
  MachineId mMachine;

  auto operator<=>(const MaintenanceKey&) const = default;
};

enum class MaintenancePhase
{
  Begun,
  Finished,
};

struct MaintenanceRecord
{
  MaintenancePhase mPhase = MaintenancePhase::Begun;
  ExecutorId mFormerExecutor;
  // When it was recorded.
  TimePoint mAt;
};

struct PoolDemand
{
  int mWanted = 0;
  int mPresent = 0;
  TimePoint mAt;
  // Hosts that could move at once.
  int mIdle = 0;
  // When the pool was last short of hosts; the Unix epoch if it never was.
  TimePoint mLastShortageAt;
};

struct HostMove
{
  ServiceName mTo;
  TimePoint mAt;
};

// Read position in one partition of the log. The newest record of each key is loaded page by page,
// then the records that follow are read.
struct FleetLogCursor
{
  int mPartition = 0;
  std::int64_t mPosition = 0;
  bool mLoaded = false;
  bool mReadPending = false;
  Instant mNextReadAt;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
};

struct FleetLog
{
  std::map<MaintenanceKey, MaintenanceRecord> mMaintenanceRecords;
  // How many records of maintenance were applied.
  std::int64_t mMaintenanceChanges = 0;
  std::map<ServiceName, PoolDemand> mDemands;
  std::map<MachineId, HostMove> mMoves;
  // How often a record of maintenance or of a move was applied, or added to the batch.
  std::int64_t mHostChanges = 0;

  // Maintenance and moves, in the order in which they were recorded.
  FleetLogCursor mHostCursor{ 0 };
  // Demands are published often. They have a partition of their own, so that they don't make the
  // conditional appends fail.
  FleetLogCursor mDemandCursor{ 1 };
  bool mAppendPending = false;
  // Records for the next conditional append, and the hosts that they concern.
  std::vector<LogRecord> mBatch;
  std::set<MachineId> mBatchHosts;
};

LogRecord
ToRecord(const MaintenanceKey& aKey, const MaintenanceRecord& aRecord);
LogRecord
ToRecord(const MachineId& aMachine, const HostMove& aMove);
// Returns the record that removes a move, which is complete or was given up.
LogRecord
MoveTombstone(const MachineId& aMachine);

const MaintenanceRecord*
FindMaintenance(const FleetLog& aLog, const MaintenanceKey& aKey);
// The records of a host in all waves. The time grows with the number of waves, and only with the
// logarithm of that of records.
std::vector<const MaintenanceRecord*>
MaintenanceOf(const FleetLog& aLog, const MachineId& aMachine);
// Whether the host's maintenance in the wave is finished.
bool
IsMaintenanceFinished(const FleetLog& aLog, const MaintenanceKey& aKey);

// Applies a record; returns an error if it can't be decoded.
absl::Status
ApplyFleetRecord(FleetLog& aLog, std::string_view aKey, std::string_view aValue);

void
OnFleetRead(FleetLog& aLog, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
void
OnFleetNewest(FleetLog& aLog, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions);
// Returns whether the answer confirms that the records of a conditional append were stored.
bool
OnFleetAppend(FleetLog& aLog, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);

void
AdvanceFleetLog(FleetLog& aLog, const Now& aNow, Actions& aActions);

// Whether records may be added to the next conditional append: one is in flight at a time, and it
// holds at most one record per host.
bool
MayAppend(const FleetLog& aLog);
bool
MayAppend(const FleetLog& aLog, const MachineId& aHost);
void
AddToBatch(FleetLog& aLog, const MachineId& aHost, LogRecord aRecord);
// Appends the batch on condition that nothing else was appended meanwhile.
void
AppendBatch(FleetLog& aLog, Actions& aActions);
void
PublishDemand(const FleetLog& aLog,
              const ServiceName& aPool,
              const PoolDemand& aDemand,
              Actions& aActions);

}
