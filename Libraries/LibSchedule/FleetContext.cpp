#include "LibSchedule/FleetContext.h"

namespace sesameseam::schedule {

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
