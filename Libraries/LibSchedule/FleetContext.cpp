#include "LibSchedule/FleetContext.h"

#include "LibBase/Hash.h"

namespace sesameseam::schedule {

int
PartitionOf(const ServiceName& aService, int aPartitions)
{
  return static_cast<int>(StableHash(aService.mValue) % static_cast<std::uint64_t>(aPartitions));
}

bool
IsFleetKnown(const FleetContext& aContext)
{
  return aContext.mLog->mHostCursor.mLoaded && aContext.mMachines->mIsKnown;
}

Shard*
FindShard(const FleetContext& aContext, const ServiceName& aPool)
{
  auto found = aContext.mShards->find(PartitionOf(aPool, aContext.mPartitions));
  if (found == aContext.mShards->end() || found->second.mPhase != ShardPhase::Active) {
    return nullptr;
  }
  return &found->second;
}

}
