#pragma once

#include "LibSchedule/Demand.h"
#include "LibSchedule/Maintenance.h"

#include <map>

// Moves hosts to pools that are short of them. Owners publish the demands of their pools in the
// fleet log; owners of pools with a surplus record moves with conditional appends, so that together
// they move no more hosts than are needed. Standby pools give hosts first, then the pool whose
// shortage was the most recent: where load moves from pool to pool, its next peak is the furthest
// away.
namespace sesameseam::schedule {

struct MoveOrder
{
  ServiceName mTo;
  // Epoch of the donor pool's shard when the move was recorded.
  std::int64_t mEpoch = 0;
  std::int64_t mFence = 0;
  bool mCallPending = false;
  bool mAcknowledged = false;
  Instant mRetryAt;
  Instant mDeadline;
};

// A host that gets no new work, so that it can move to another pool once nothing runs on it.
struct DrainingHost
{
  ServiceName mFrom;
  ServiceName mTo;
  // When the pool mTo was last known to be short of hosts.
  Instant mLastNeededAt;
};

struct PublishedDemand
{
  PoolDemand mDemand;
  Instant mAt;
};

// Counts of the changes that may make hosts of a pool ready to move, or no longer so.
struct HostChanges
{
  // Of the index of hosts.
  std::int64_t mGeneration = 0;
  std::int64_t mRecords = 0;
  std::int64_t mCapacities = 0;
  std::int64_t mAnswers = 0;
  std::int64_t mRuns = 0;

  bool operator==(const HostChanges&) const = default;
};

// How many hosts of a pool were ready to move, of at most mLimit. It holds until something changes;
// a limit of 0 stands for a count that is not known.
struct ReadyCount
{
  HostChanges mChanges;
  int mLimit = 0;
  int mCount = 0;
};

struct Rebalance
{
  std::map<ServiceName, PublishedDemand> mPublished;
  // Since when a pool is known to be short of hosts.
  std::map<ServiceName, Instant> mShortageSince;
  std::map<MachineId, DrainingHost> mDraining;
  std::map<MachineId, MoveOrder> mOrders;
  std::map<ServiceName, ReadyCount> mReadyCounts;
  Instant mNextCheckAt;
  // Moves are to be decided at the next check, which is not for orders only.
  bool mIsDecisionDue = false;
  std::int64_t mMoves = 0;
};

struct RebalanceSettings
{
  // How long a host is unavailable during a move.
  std::chrono::milliseconds mMoveTime{ 1500 };
};

void
OnMoveRecorded(Rebalance& aRebalance,
               const Now& aNow,
               const AppendAnswer& aAnswer,
               Actions& aActions);
void
OnMoveAnswer(Rebalance& aRebalance,
             const Now& aNow,
             const FleetContext& aContext,
             const MoveAnswer& aAnswer,
             Actions& aActions);

void
AdvanceRebalance(Rebalance& aRebalance,
                 const RebalanceSettings& aSettings,
                 const Now& aNow,
                 const FleetContext& aContext,
                 const std::vector<Service>& aServices,
                 Actions& aActions);

// Sends the orders for moves that are recorded, and decides on moves only if that could not be done
// when AdvanceRebalance() was last called.
void
AdvanceMoveOrders(Rebalance& aRebalance,
                  const RebalanceSettings& aSettings,
                  const Now& aNow,
                  const FleetContext& aContext,
                  const std::vector<Service>& aServices,
                  Actions& aActions);

}
