#pragma once

#include "LibBase/Error.h"
#include "LibSchedule/Calls.h"

#include <map>
#include <optional>
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
  Over,
};

struct UpkeepRecord
{
  UpkeepPhase mPhase = UpkeepPhase::Begun;
  ExecutorId mFormerExecutor;
};

struct PoolDemand
{
  int mWanted = 0;
  int mPresent = 0;
  TimePoint mAt;
};

struct HostMove
{
  ServiceName mTo;
  TimePoint mAt;
};

struct FleetLog
{
  std::map<UpkeepKey, UpkeepRecord> mUpkeeps;
  std::map<ServiceName, PoolDemand> mDemands;
  std::map<MachineId, HostMove> mMoves;

  std::int64_t mPosition = 0;
  bool mLoaded = false;
  bool mReadPending = false;
  Instant mNextReadAt;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
  bool mAppendPending = false;
};

LogRecord
ToRecord(const UpkeepKey& aKey, const UpkeepRecord& aRecord);
LogRecord
ToRecord(const ServiceName& aPool, const PoolDemand& aDemand);
LogRecord
ToRecord(const MachineId& aMachine, const HostMove& aMove);
// The move is over or was given up.
LogRecord
MoveOver(const MachineId& aMachine);

// Takes in a record; what can't be read is an error.
absl::Status
TakeFleetRecord(FleetLog& aLog, std::string_view aKey, std::string_view aValue);

void
OnFleetRead(FleetLog& aLog, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
void
OnFleetNewest(FleetLog& aLog, const Now& aNow, const NewestAnswer& aAnswer, Actions& aActions);
// Returns whether the records of a conditional append were stored.
bool
OnFleetAppend(FleetLog& aLog, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);

void
AdvanceFleetLog(FleetLog& aLog, const Now& aNow, Actions& aActions);

// Whether a conditional append may be sent now. One is under way at a time.
bool
MayAppend(const FleetLog& aLog);
void
AppendIfUnchanged(FleetLog& aLog, std::vector<LogRecord> aRecords, Actions& aActions);
// For what nobody's limits depend on.
void
AppendAnyway(std::vector<LogRecord> aRecords, Actions& aActions);

}
