#include "LibServe/SlotTable.h"

#include <algorithm>

namespace sesameseam {

namespace {

const TargetView*
FindTarget(const PoolView& aView, const HostName& aHost)
{
  for (const auto& target : aView.mTargets) {
    if (target.mHost == aHost) {
      return &target;
    }
  }
  return nullptr;
}

bool
Contains(const std::vector<MemberName>& aMembers, const MemberName& aMember)
{
  return std::find(aMembers.begin(), aMembers.end(), aMember) != aMembers.end();
}

bool
IsReportedInUse(const std::map<MemberName, PeerLoadReported>& aReports, const SlotId& aSlot)
{
  return std::any_of(aReports.begin(), aReports.end(), [&](const auto& aReport) {
    return aReport.second.mSlotsInUse.contains(aSlot);
  });
}

// True if a member of the old member set, as far as this entry host knew it, is not in the new one.
bool
HasLostMember(const PoolView& aOld, const PoolView& aNew)
{
  return std::any_of(aOld.mMembers.begin(), aOld.mMembers.end(), [&](const auto& aMember) {
    return !Contains(aNew.mMembers, aMember);
  });
}

// True if load reports of the current members cover everyone who may still use a gained slot. They
// do not cover attempts of members that have left, or of an earlier incarnation of this one.
bool
ReportsCoverAllUsers(const PoolView& aOld, const PoolView& aNew, const MemberName& aSelf)
{
  if (!Contains(aOld.mMembers, aSelf)) {
    // True only if each member has joined once and none has left.
    return aNew.mMemberEpoch == static_cast<std::int64_t>(aNew.mMembers.size());
  }
  return aOld.mMemberEpoch + 1 >= aNew.mMemberEpoch && !HasLostMember(aOld, aNew);
}

OwnedSlot
MakeGainedSlot(const PoolView& aOld,
               const PoolView& aNew,
               const MemberName& aSelf,
               const TargetView& aTarget,
               Duration aFence,
               TimePoint aNow)
{
  OwnedSlot slot;
  slot.mTarget = aTarget;
  slot.mFencedUntil = aNow + aFence;
  slot.mFenceEndsOnReports = ReportsCoverAllUsers(aOld, aNew, aSelf);
  return slot;
}

void
MoveToFormer(SlotTable& aTable, const SlotId& aSlot, OwnedSlot aState, TimePoint aNow)
{
  if (!aState.mAttempt && aNow >= aState.mFencedUntil && aNow >= aState.mHeldUntil) {
    return;
  }
  aTable.mFormer.emplace(aSlot, std::move(aState));
}

TimePoint
FreeAt(const OwnedSlot& aSlot)
{
  return std::max(aSlot.mFencedUntil, aSlot.mHeldUntil);
}

void
IndexSlot(SlotTable& aTable, const SlotId& aId, const OwnedSlot& aSlot, TimePoint aNow)
{
  if (aSlot.mAttempt) {
    return;
  }
  if (IsFree(aSlot, aNow)) {
    AddFree(aTable.mFree, aId);
    return;
  }
  aTable.mFreeLater.emplace(FreeAt(aSlot), aId);
}

void
RebuildIndex(SlotTable& aTable, TimePoint aNow)
{
  aTable.mFree = {};
  aTable.mFreeLater.clear();
  aTable.mAwaitsReports = false;
  for (const auto& [id, slot] : aTable.mOwned) {
    AddInUse(aTable.mFree, id.mHost, slot.mAttempt ? 1 : 0);
    aTable.mAwaitsReports = aTable.mAwaitsReports || slot.mFenceEndsOnReports;
    IndexSlot(aTable, id, slot, aNow);
  }
}

}

void
ReassignSlots(SlotTable& aTable,
              const PoolView& aOld,
              const PoolView& aNew,
              const MemberName& aSelf,
              Duration aFence,
              TimePoint aNow)
{
  auto before = std::move(aTable.mOwned);
  aTable.mOwned.clear();
  aTable.mVersion = aNew.mVersion;
  for (const auto& [id, owner] : AssignSlots(aNew)) {
    if (owner != aSelf) {
      continue;
    }
    auto kept = before.find(id);
    if (kept != before.end()) {
      kept->second.mTarget = *FindTarget(aNew, id.mHost);
      aTable.mOwned.insert(before.extract(kept));
      continue;
    }
    auto former = aTable.mFormer.find(id);
    const auto* target = FindTarget(aNew, id.mHost);
    auto slot = MakeGainedSlot(aOld, aNew, aSelf, *target, aFence, aNow);
    if (former != aTable.mFormer.end()) {
      slot.mAttempt = former->second.mAttempt;
      slot.mHeldUntil = former->second.mHeldUntil;
      aTable.mFormer.erase(former);
    }
    aTable.mOwned.emplace(id, std::move(slot));
  }
  for (auto& [id, slot] : before) {
    MoveToFormer(aTable, id, std::move(slot), aNow);
  }
  RebuildIndex(aTable, aNow);
}

void
EndReportedFences(SlotTable& aTable,
                  const PoolView& aView,
                  const MemberName& aSelf,
                  const std::map<MemberName, PeerLoadReported>& aReports,
                  TimePoint aNow)
{
  for (const auto& member : aView.mMembers) {
    auto found = aReports.find(member);
    bool current = found != aReports.end() && found->second.mVersion >= aTable.mVersion;
    if (member != aSelf && !current) {
      return;
    }
  }
  for (auto& [id, slot] : aTable.mOwned) {
    if (slot.mFenceEndsOnReports && !IsReportedInUse(aReports, id)) {
      slot.mFencedUntil = TimePoint();
      slot.mFenceEndsOnReports = false;
    }
  }
  RebuildIndex(aTable, aNow);
}

void
FreeDueSlots(SlotTable& aTable, TimePoint aNow)
{
  while (!aTable.mFreeLater.empty() && aTable.mFreeLater.begin()->first <= aNow) {
    auto id = aTable.mFreeLater.begin()->second;
    aTable.mFreeLater.erase(aTable.mFreeLater.begin());
    AddFree(aTable.mFree, id);
  }
}

bool
IsFree(const OwnedSlot& aSlot, TimePoint aNow)
{
  return !aSlot.mAttempt && aNow >= aSlot.mFencedUntil && aNow >= aSlot.mHeldUntil;
}

void
AcquireSlot(SlotTable& aTable, const SlotId& aSlot, AttemptId aAttempt)
{
  RemoveFree(aTable.mFree, aSlot);
  AddInUse(aTable.mFree, aSlot.mHost, 1);
  aTable.mOwned.at(aSlot).mAttempt = aAttempt;
}

void
ReleaseSlot(SlotTable& aTable, const SlotId& aSlot, TimePoint aHeldUntil, TimePoint aNow)
{
  auto owned = aTable.mOwned.find(aSlot);
  if (owned != aTable.mOwned.end()) {
    owned->second.mAttempt.reset();
    owned->second.mHeldUntil = aHeldUntil;
    AddInUse(aTable.mFree, aSlot.mHost, -1);
    IndexSlot(aTable, aSlot, owned->second, aNow);
    return;
  }
  auto former = aTable.mFormer.find(aSlot);
  if (former != aTable.mFormer.end()) {
    former->second.mAttempt.reset();
    former->second.mHeldUntil = aHeldUntil;
  }
}

std::set<SlotId>
FormerSlotsInUse(const SlotTable& aTable, TimePoint aNow)
{
  std::set<SlotId> inUse;
  for (const auto& [id, slot] : aTable.mFormer) {
    if (!IsFree(slot, aNow)) {
      inUse.insert(id);
    }
  }
  return inUse;
}

}
