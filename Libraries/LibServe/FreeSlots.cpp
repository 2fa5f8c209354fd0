#include "LibServe/FreeSlots.h"

#include <algorithm>

namespace sesameseam {

namespace {

void
RemoveAvailableTarget(FreeSlotIndex& aIndex, std::size_t aPosition)
{
  if (aPosition + 1 != aIndex.mAvailable.size()) {
    aIndex.mAvailable[aPosition] = std::move(aIndex.mAvailable.back());
    aIndex.mTargets.at(aIndex.mAvailable[aPosition]).mPosition = aPosition;
  }
  aIndex.mAvailable.pop_back();
}

}

void
AddFree(FreeSlotIndex& aIndex, const SlotId& aSlot)
{
  auto& target = aIndex.mTargets[aSlot.mHost];
  if (target.mFree.empty()) {
    target.mPosition = aIndex.mAvailable.size();
    aIndex.mAvailable.push_back(aSlot.mHost);
  }
  target.mFree.push_back(aSlot.mIndex);
  aIndex.mFree += 1;
}

void
RemoveFree(FreeSlotIndex& aIndex, const SlotId& aSlot)
{
  auto& target = aIndex.mTargets.at(aSlot.mHost);
  auto found = std::find(target.mFree.rbegin(), target.mFree.rend(), aSlot.mIndex);
  target.mFree.erase(std::next(found).base());
  aIndex.mFree -= 1;
  if (target.mFree.empty()) {
    RemoveAvailableTarget(aIndex, target.mPosition);
  }
}

int
FreeOn(const FreeSlotIndex& aIndex, const HostName& aHost)
{
  auto found = aIndex.mTargets.find(aHost);
  return found == aIndex.mTargets.end() ? 0 : static_cast<int>(found->second.mFree.size());
}

int
FreeOrInUseOn(const FreeSlotIndex& aIndex, const HostName& aHost)
{
  auto found = aIndex.mTargets.find(aHost);
  return found == aIndex.mTargets.end() ? 0 : FreeOn(aIndex, aHost) + found->second.mInUse;
}

int
InUseOn(const FreeSlotIndex& aIndex, const HostName& aHost)
{
  auto found = aIndex.mTargets.find(aHost);
  return found == aIndex.mTargets.end() ? 0 : found->second.mInUse;
}

void
AddInUse(FreeSlotIndex& aIndex, const HostName& aHost, int aCount)
{
  aIndex.mTargets[aHost].mInUse += aCount;
  aIndex.mInUse += aCount;
}

SlotId
FreeSlotOf(const FreeSlotIndex& aIndex, const HostName& aHost)
{
  return { aHost, aIndex.mTargets.at(aHost).mFree.back() };
}

}
