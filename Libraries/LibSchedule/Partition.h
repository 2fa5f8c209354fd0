#pragma once

#include "LibSchedule/Model.h"

namespace sesameseam::schedule {

// Returns the partition that holds the jobs of a service.
int
PartitionOf(const ServiceName& aService, int aPartitions);

}
