#include "LibSchedule/Partition.h"

#include "LibBase/Hash.h"

namespace sesameseam::schedule {

int
PartitionOf(const ServiceName& aService, int aPartitions)
{
  return static_cast<int>(StableHash(aService.mValue) % static_cast<std::uint64_t>(aPartitions));
}

}
