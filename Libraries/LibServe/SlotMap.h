#pragma once

#include "LibServe/PoolView.h"

#include <compare>
#include <map>
#include <vector>

// Partitions the slots of a pool's targets among the entry hosts without coordination: the owner of
// each slot is a function of the pool's configuration and the member set.
namespace sesameseam {

struct SlotId
{
  HostName mHost;
  int mIndex = 0;

  auto operator<=>(const SlotId&) const = default;
};

// A member that serves a pool owns at least this many of its slots, if the pool has as many.
constexpr int kMinSlotsForMember = 8;

// The members among which the slots of the pool are divided.
std::vector<MemberName>
ServingMembers(const PoolView& aView);

// Returns the owner of each slot of the pool. A slot has exactly one owner.
std::map<SlotId, MemberName>
AssignSlots(const PoolView& aView);

}
