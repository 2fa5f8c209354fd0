#pragma once

#include "LibSchedule/Demand.h"
#include "LibSchedule/Upkeep.h"

#include <map>

// Moves hosts to pools that lack them. Owners tell the demands of their pools in the fleet log;
// owners of pools that can spare hosts give them, each in a conditional append, so that together
// they give no more than is wanted. The reserve gives first, then the pool that lacked hosts last:
// where load moves from pool to pool, its next peak is the furthest away.
namespace sesameseam::schedule {

struct MoveOrder
{
  ServiceName mTo;
  // The token under which the shard was owned that gave the host.
  std::int64_t mEpoch = 0;
  std::int64_t mFence = 0;
  bool mCallPending = false;
  bool mAcknowledged = false;
  Instant mRetryAt;
  Instant mDeadline;
};

// A host that gets no new work, so that it can go to another pool once it is empty.
struct DrainingHost
{
  ServiceName mFrom;
  ServiceName mTo;
  // When its pool was known to lack hosts last.
  Instant mLastNeededAt;
};

struct PublishedDemand
{
  PoolDemand mDemand;
  Instant mAt;
};

struct Rebalance
{
  std::map<ServiceName, PublishedDemand> mPublished;
  // Since when a pool is known to lack hosts.
  std::map<ServiceName, Instant> mShortageSince;
  std::map<MachineId, DrainingHost> mDraining;
  std::map<MachineId, MoveOrder> mOrders;
  Instant mNextCheckAt;
  std::int64_t mMoves = 0;
};

struct RebalanceSettings
{
  // How long a host is away when it moves.
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

}
