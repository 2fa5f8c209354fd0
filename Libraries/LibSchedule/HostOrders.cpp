#include "LibSchedule/HostOrders.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

constexpr Duration kHolderMargin = 300ms;
// An order to move a host is retried for no longer than this.
constexpr Duration kMoveOrderLifetime = 6s;
// Records that are older than this don't delay an order of another owner. An order is sent within
// 2.5 s of its record: the append is answered within 1.5 s, and a move is given up 1 s later. Two
// owners leave 3 s between their orders, and the clocks of two hosts differ by up to 2.5 s.
constexpr Duration kMaxOrderAge = 8s;

// Every order is recorded before it is sent, so a host without a recent record has no recent order.
bool
HasRecentOrder(const FleetLog& aLog, const MachineId& aMachine, TimePoint aNow)
{
  auto move = aLog.mMoves.find(aMachine);
  if (move != aLog.mMoves.end() && aNow - move->second.mAt < kMaxOrderAge) {
    return true;
  }
  auto records = MaintenanceOf(aLog, aMachine);
  return std::any_of(records.begin(), records.end(), [&](const auto* aRecord) {
    return aRecord->mPhase == MaintenancePhase::Begun || aNow - aRecord->mAt < kMaxOrderAge;
  });
}

// Whether the last order for the host was the move to its present pool, and the minimum time
// between orders of two owners has passed since: the time of the move and the time for which the
// host is known to be up.
bool
HasArrived(const FleetContext& aContext, const Machine& aMachine, Instant aNow)
{
  auto move = aContext.mLog->mMoves.find(aMachine.mId);
  if (move == aContext.mLog->mMoves.end() || aMachine.mPool != move->second.mTo) {
    return false;
  }
  auto upSince = aContext.mMachines->mUpSince.find(aMachine.mId);
  if (upSince == aContext.mMachines->mUpSince.end()) {
    return false;
  }
  auto records = MaintenanceOf(*aContext.mLog, aMachine.mId);
  auto hasMaintenance = std::any_of(records.begin(), records.end(), [&](const auto* aRecord) {
    return aRecord->mAt > move->second.mAt;
  });
  auto wait = aContext.mHolderLease + kHolderMargin - aContext.mMoveTime;
  return !hasMaintenance && aNow - upSince->second > wait;
}

}

bool
MayOrder(const FleetContext& aContext, const IndexedHost& aHost, const Now& aNow)
{
  if (!detail::MayActAsOwner(*aHost.mShard, aNow.mAt)) {
    return false;
  }
  auto wait = aContext.mHolderLease + kHolderMargin;
  auto hasWaited = aNow.mAt - aHost.mShard->mTakenOverAt > wait && aHost.mInPoolSince != nullptr &&
                   aNow.mAt - *aHost.mInPoolSince > wait;
  return hasWaited || HasArrived(aContext, *aHost.mMachine, aNow.mAt) ||
         !HasRecentOrder(*aContext.mLog, aHost.mMachine->mId, aNow.mWall);
}

bool
IsMoving(const FleetLog& aLog, const MachineId& aMachine, TimePoint aNow)
{
  auto found = aLog.mMoves.find(aMachine);
  return found != aLog.mMoves.end() && aNow - found->second.mAt < kMoveOrderLifetime;
}

}
