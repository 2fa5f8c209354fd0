#pragma once

#include "LibSchedule/Demand.h"
#include "LibSchedule/Upkeep.h"

#include <map>

// Moves hosts to pools that lack them. Owners tell the demands of their pools in the fleet log;
// owners of pools that can spare hosts give them, each in a conditional append, so that together
// they give no more than is wanted. The reserve gives first, then the pool that lacked hosts last:
// where load moves from pool to pool, its next peak is the furthest away.
namespace sesameseam::schedule {

struct MoveTask
{
  ServiceName mTo;
  // The token under which the shard was owned that gave the host.
  std::int64_t mEpoch = 0;
  std::int64_t mFence = 0;
  bool mCallPending = false;
  bool mOrdered = false;
  Instant mRetryAt;
  Instant mGiveUpAt;
};

// A host that gets no new work, so that it can go to another pool once it is empty.
struct EmptyingHost
{
  ServiceName mFrom;
  ServiceName mTo;
  // When its pool was known to lack hosts last.
  Instant mWantedAt;
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
  std::map<ServiceName, Instant> mLackSince;
  std::map<MachineId, EmptyingHost> mEmptying;
  std::map<MachineId, MoveTask> mTasks;
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
