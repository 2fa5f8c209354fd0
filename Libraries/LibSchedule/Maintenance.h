#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/FleetContext.h"

#include <map>
#include <optional>

// Takes the hosts of a wave down for maintenance, a few at a time. Each owner handles the hosts of
// its shards; the fleet log keeps all owners together within the wave's limit.
namespace sesameseam::schedule {

// The maintenance order for a host, by this owner.
struct MaintenanceOrder
{
  // The fencing token, from the offset of this owner's record; 0 until that is stored. An order of
  // another owner needs a record of its own.
  std::int64_t mFence = 0;
  // Epoch of the shard to which the order belongs. An owner that regains the shard starts over,
  // since another owner may have sent orders meanwhile.
  std::int64_t mEpoch = 0;
  bool mCallPending = false;
  bool mAcknowledged = false;
  Instant mAcknowledgedAt;
  Instant mRetryAt;
};

struct Maintenance
{
  std::map<MaintenanceKey, MaintenanceOrder> mOrders;
  // Waves whose state was reported to the operator, and whether they were reported as completed.
  std::map<std::int64_t, bool> mReported;
  std::optional<WaveStatusCall> mPendingReport;
  Instant mNextReportAt;
};

// Whether there is a wave that was not reported as completed.
bool
HasOpenWave(const Maintenance& aMaintenance, const std::map<std::int64_t, Wave>& aWaves);

// Stores the fencing tokens of the records that were stored.
void
OnMaintenanceRecorded(Maintenance& aMaintenance, const AppendAnswer& aAnswer, Actions& aActions);
void
OnMaintenanceAnswer(Maintenance& aMaintenance,
                    const Now& aNow,
                    const MaintenanceAnswer& aAnswer,
                    Actions& aActions);
void
OnWaveStatus(Maintenance& aMaintenance,
             const Now& aNow,
             const WaveStatusAnswer& aAnswer,
             Actions& aActions);

// Chooses hosts to drain, records and orders their maintenance, and records that they are back.
void
AdvanceMaintenance(Maintenance& aMaintenance,
                   const Now& aNow,
                   const FleetContext& aContext,
                   Actions& aActions);

// Sends the orders that are recorded, and records that hosts are back. No host is chosen.
void
AdvanceMaintenanceOrders(const Now& aNow, const FleetContext& aContext, Actions& aActions);

}
