#pragma once

#include "LibBase/Error.h"
#include "LibSchedule/Calls.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

// What the owners of shards tell one another of hosts: who is down in a wave, who is on the way to
// another pool, and which pool wants hosts. A record that others depend on is appended only if
// nothing else was appended meanwhile, so that limits hold for all owners together. The offset of
// the record is the fencing token of the order that follows: it rises with each order for a host,
// whoever gives it.
namespace sesameseam::schedule {

struct UpkeepKey
{
  std::int64_t mWave = 0;
  MachineId mMachine;

  auto operator<=>(const UpkeepKey&) const = default;
};

enum class UpkeepPhase
{
  Begun,
  Finished,
};

struct UpkeepRecord
{
  UpkeepPhase mPhase = UpkeepPhase::Begun;
  ExecutorId mFormerExecutor;
  // When it was recorded.
  TimePoint mAt;
};

struct PoolDemand
{
  int mWanted = 0;
  int mPresent = 0;
  TimePoint mAt;
  // Hosts that could leave at once.
  int mIdle = 0;
  // When the pool lacked hosts last; the epoch if it never did.
  TimePoint mLastShortageAt;
};

struct HostMove
{
  ServiceName mTo;
  TimePoint mAt;
};

// How far one partition of the log has been read.
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
  std::map<UpkeepKey, UpkeepRecord> mUpkeeps;
  std::map<ServiceName, PoolDemand> mDemands;
  std::map<MachineId, HostMove> mMoves;

  // Upkeep and moves, in the order in which they were agreed.
  FleetLogCursor mHosts{ 0 };
  // Demands are told often, and must not get in the way of what has to be agreed.
  FleetLogCursor mDemandCursor{ 1 };
  bool mAppendPending = false;
  // Records for the next conditional append, and the hosts that they are about.
  std::vector<LogRecord> mBatch;
  std::set<MachineId> mBatchHosts;
};

LogRecord
ToRecord(const UpkeepKey& aKey, const UpkeepRecord& aRecord);
LogRecord
ToRecord(const MachineId& aMachine, const HostMove& aMove);
// The move is over or was given up.
LogRecord
MoveTombstone(const MachineId& aMachine);

const UpkeepRecord*
FindUpkeep(const FleetLog& aLog, const UpkeepKey& aKey);
// Whether the host has had its upkeep.
bool
IsUpkeepFinished(const FleetLog& aLog, const UpkeepKey& aKey);

// Takes in a record; what can't be read is an error.
absl::Status
ApplyFleetRecord(FleetLog& aLog, std::string_view aKey, std::string_view aValue);

void
OnFleetRead(FleetLog& aLog, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
void
OnFleetNewest(FleetLog& aLog, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions);
// Returns whether the answer is to a conditional append whose records were stored.
bool
OnFleetAppend(FleetLog& aLog, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);

void
AdvanceFleetLog(FleetLog& aLog, const Now& aNow, Actions& aActions);

// Whether records may be gathered for a conditional append: one is under way at a time, and holds
// one record a host.
bool
MayAppend(const FleetLog& aLog);
bool
MayAppend(const FleetLog& aLog, const MachineId& aHost);
void
AddToBatch(FleetLog& aLog, const MachineId& aHost, LogRecord aRecord);
// Appends what was gathered, unless anything else was appended meanwhile.
void
AppendBatch(FleetLog& aLog, Actions& aActions);
void
PublishDemand(const FleetLog& aLog,
              const ServiceName& aPool,
              const PoolDemand& aDemand,
              Actions& aActions);

}
