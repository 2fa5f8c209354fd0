#pragma once

#include "LibServe/FreeSlots.h"
#include "LibServe/PoolEvents.h"

#include <map>
#include <optional>
#include <set>

namespace sesameseam {

// A slot that this entry host owns, or owned until recently.
struct OwnedSlot
{
  TargetView mTarget;
  std::optional<AttemptId> mAttempt;
  // Until this time, another entry host may still be using the slot.
  TimePoint mFencedUntil;
  // The fence ends early once all members have reported that they no longer use the slot.
  bool mFenceEndsOnReports = false;
  // Until this time, the target may still be busy with a lost attempt, or is left alone after a
  // failure.
  TimePoint mHeldUntil;
};

// The slots of one pool that this entry host owns, and those that it is about to give up.
struct SlotTable
{
  std::map<SlotId, OwnedSlot> mOwned;
  // Slots with another owner that are not unused yet: an attempt is running, or a fence or hold is
  // in effect.
  std::map<SlotId, OwnedSlot> mFormer;
  // The owned slots that are free, and the number of those in use.
  FreeSlotIndex mFree;
  // Owned slots without an attempt that become free at a later time.
  std::set<std::pair<TimePoint, SlotId>> mFreeLater;
  // True if some fence ends early once all members have reported.
  bool mAwaitsReports = false;
  std::int64_t mVersion = -1;
};

// Updates the table to the slots that the new view assigns to this entry host. Gained slots are
// fenced for aFence, since their previous owner may still use them.
void
ReassignSlots(SlotTable& aTable,
              const PoolView& aOld,
              const PoolView& aNew,
              const MemberName& aSelf,
              Duration aFence,
              TimePoint aNow);

// Ends the fences of slots that no other member uses any more, according to the members' reports at
// the current version or later.
void
EndReportedFences(SlotTable& aTable,
                  const PoolView& aView,
                  const MemberName& aSelf,
                  const std::map<MemberName, PeerLoadReported>& aReports,
                  TimePoint aNow);

// Frees the slots whose fence and hold are over.
void
FreeDueSlots(SlotTable& aTable, TimePoint aNow);

bool
IsFree(const OwnedSlot& aSlot, TimePoint aNow);

// Assigns a free slot to an attempt.
void
AcquireSlot(SlotTable& aTable, const SlotId& aSlot, AttemptId aAttempt);

// Ends an attempt's use of its slot. The slot stays unavailable until aHeldUntil.
void
ReleaseSlot(SlotTable& aTable, const SlotId& aSlot, TimePoint aHeldUntil, TimePoint aNow);

// Slots with another owner that this entry host may still use.
std::set<SlotId>
FormerSlotsInUse(const SlotTable& aTable, TimePoint aNow);

}
