#pragma once

#include "LibServe/SlotMap.h"

#include <cstddef>
#include <map>
#include <vector>

// Index of free slots by target, so that choosing a slot does not scan all of them.
namespace sesameseam {

struct TargetSlots
{
  std::vector<int> mFree;
  int mInUse = 0;
  // Index into FreeSlotIndex::mAvailable; valid while the target has free slots.
  std::size_t mPosition = 0;
};

struct FreeSlotIndex
{
  std::map<HostName, TargetSlots> mTargets;
  // Targets with at least one free slot, unordered.
  std::vector<HostName> mAvailable;
  int mFree = 0;
  int mInUse = 0;
};

void
AddFree(FreeSlotIndex& aIndex, const SlotId& aSlot);
void
RemoveFree(FreeSlotIndex& aIndex, const SlotId& aSlot);

int
FreeOn(const FreeSlotIndex& aIndex, const HostName& aHost);
// The number of free and used slots, without those that are fenced or held.
int
FreeOrInUseOn(const FreeSlotIndex& aIndex, const HostName& aHost);
int
InUseOn(const FreeSlotIndex& aIndex, const HostName& aHost);

void
AddInUse(FreeSlotIndex& aIndex, const HostName& aHost, int aCount);

// Returns a free slot of the target, which must have at least one.
SlotId
FreeSlotOf(const FreeSlotIndex& aIndex, const HostName& aHost);

}
