#pragma once

#include "LibServe/FreeSlots.h"
#include "LibServe/PoolEvents.h"

#include <map>
#include <optional>
#include <set>

namespace sesameseam {

// A slot that has its home here.
struct OwnedSlot
{
  TargetView mTarget;
  std::optional<AttemptId> mAttempt;
  // Another entry host may still use the slot until then.
  TimePoint mFencedUntil;
  // Members that have yet to report that they left the slot; then the fence falls early.
  bool mFenceEndsOnReports = false;
  // An attempt was lost here, so that the target may still be busy with it.
  TimePoint mHeldUntil;
};

// The slots of one pool that this entry host may use, and those that it is about to leave.
struct SlotTable
{
  std::map<SlotId, OwnedSlot> mOwned;
  // Slots that have another home now: in use here until the attempt ends, or fenced still.
  std::map<SlotId, OwnedSlot> mFormer;
  // Home slots without an attempt and without a fence.
  FreeSlotIndex mFree;
  // Home slots that are free from a time on.
  std::set<std::pair<TimePoint, SlotId>> mFreeLater;
  // Some slots open as soon as all members have reported.
  bool mAwaitsReports = false;
  std::int64_t mVersion = -1;
};

// Takes over the slots that the view gives to this entry host.
void
ReassignSlots(SlotTable& aTable,
              const PoolView& aOld,
              const PoolView& aNew,
              const MemberName& aSelf,
              Duration aFence,
              TimePoint aNow);

// Opens fenced slots that every other member has left, as its report at this version says.
void
EndReportedFences(SlotTable& aTable,
                  const PoolView& aView,
                  const MemberName& aSelf,
                  const std::map<MemberName, PeerLoadReported>& aReports,
                  TimePoint aNow);

// Frees the slots whose time has come.
void
FreeDueSlots(SlotTable& aTable, TimePoint aNow);

bool
IsFree(const OwnedSlot& aSlot, TimePoint aNow);

// Gives a free slot to an attempt.
void
AcquireSlot(SlotTable& aTable, const SlotId& aSlot, AttemptId aAttempt);

// Ends the use of a slot by an attempt.
void
ReleaseSlot(SlotTable& aTable, const SlotId& aSlot, TimePoint aHeldUntil, TimePoint aNow);

// The former slots that this entry host may still use.
std::set<SlotId>
FormerSlotsInUse(const SlotTable& aTable, TimePoint aNow);

}
