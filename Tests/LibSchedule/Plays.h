#pragma once

#include "LibStandIn/Simulation.h"

#include <boost/test/unit_test.hpp>

// What tests that play with the simulation ask of it.
namespace sesameseam::standin {

// Fails the test if an invariant was broken.
inline void
CheckInvariants(const Simulation& aSimulation)
{
  for (const auto& broken : aSimulation.Violations()) {
    BOOST_TEST_MESSAGE(broken);
  }
  BOOST_TEST(aSimulation.Violations().size() == 0u);
}

// The host that owns the shard of the jobs that are handed in; -1 if none does.
inline int
OwnerOf(const Simulation& aSimulation)
{
  using schedule::ShardPhase;
  schedule::ServiceName pool("previews");
  auto partition = schedule::PartitionOf(pool, aSimulation.mStore.mGroup.mPartitions);
  for (std::size_t i = 0; i < aSimulation.mHosts.size(); ++i) {
    const auto& host = aSimulation.mHosts[i];
    auto shard = host.mNode.mShards.find(partition);
    auto isOwner = shard != host.mNode.mShards.end() && shard->second.mPhase == ShardPhase::Active;
    if (host.mIsUp && isOwner) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

}
