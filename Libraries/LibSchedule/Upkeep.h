#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/FleetContext.h"

#include <map>
#include <optional>

// Takes the hosts of a wave down, a few at a time. Each owner does so for the hosts of its shards;
// the fleet log keeps all owners together within the wave's limit.
namespace sesameseam::schedule {

// An order for a host, which this owner recorded in the fleet log.
struct UpkeepOrder
{
  // The offset of this owner's record; an order of another owner needs a record of its own.
  std::int64_t mFence = 0;
  // The token under which the shard was owned. Who owns it again begins anew, since another owner
  // may have given orders meanwhile.
  std::int64_t mEpoch = 0;
  bool mCallPending = false;
  bool mAcknowledged = false;
  Instant mAcknowledgedAt;
  Instant mRetryAt;
};

struct Upkeep
{
  std::map<UpkeepKey, UpkeepOrder> mOrders;
  // Waves whose state was told to the operator, and whether they were completed.
  std::map<std::int64_t, bool> mReported;
  std::optional<WaveStatusCall> mPendingReport;
  Instant mNextReportAt;
};

// A wave whose hosts are not all done.
bool
HasOpenWave(const Upkeep& aUpkeep, const std::map<std::int64_t, Wave>& aWaves);

// Notes the fencing token of the records that were stored.
void
OnUpkeepRecorded(Upkeep& aUpkeep, const AppendAnswer& aAnswer, Actions& aActions);
void
OnUpkeepAnswer(Upkeep& aUpkeep,
               const Now& aNow,
               const MaintenanceAnswer& aAnswer,
               Actions& aActions);
void
OnWaveStatus(Upkeep& aUpkeep, const Now& aNow, const WaveStatusAnswer& aAnswer, Actions& aActions);

void
AdvanceUpkeep(Upkeep& aUpkeep, const Now& aNow, const FleetContext& aContext, Actions& aActions);

}
