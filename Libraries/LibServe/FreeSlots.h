#pragma once

#include "LibServe/SlotMap.h"

#include <cstddef>
#include <map>
#include <vector>

// The free slots of targets, so that a choice of one looks at few of them.
namespace sesameseam {

struct TargetSlots
{
  std::vector<int> mFree;
  int mInUse = 0;
  // The place in the list of open targets, while there are free slots.
  std::size_t mPosition = 0;
};

struct FreeSlotIndex
{
  std::map<HostName, TargetSlots> mTargets;
  // The targets that have free slots, in no order.
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
// The slots that are free or in use; what is fenced or held does not count.
int
FreeOrInUseOn(const FreeSlotIndex& aIndex, const HostName& aHost);
int
InUseOn(const FreeSlotIndex& aIndex, const HostName& aHost);

void
AddInUse(FreeSlotIndex& aIndex, const HostName& aHost, int aCount);

// A free slot of a target that has one.
SlotId
FreeSlotOf(const FreeSlotIndex& aIndex, const HostName& aHost);

}
