#include "LibSchedule/MachineList.h"

namespace sesameseam::schedule {

namespace {

constexpr Duration kListInterval = 500ms;
constexpr std::int64_t kListsUntilGone = 3;

}

void
OnMachines(MachineList& aList, const Now& aNow, const MachinesAnswer& aAnswer, Actions& aActions)
{
  UpdateDependency(aList.mDependency, "the list of machines", aAnswer.mResult, aNow.mAt, aActions);
  aList.mCallPending = false;
  aList.mNextReadAt = aNow.mAt + kListInterval;
  if (aAnswer.mResult != CallResult::Done) {
    aList.mNextPage.clear();
    aList.mNextMachines.clear();
    return;
  }
  for (const auto& machine : aAnswer.mMachines) {
    aList.mNextMachines[machine.mId] = machine;
  }
  aList.mNextPage = aAnswer.mNextPage;
  if (!aAnswer.mNextPage.empty()) {
    aList.mNextReadAt = aNow.mAt;
    return;
  }
  ++aList.mListCount;
  for (const auto& [id, machine] : aList.mNextMachines) {
    aList.mLastListedIn[id] = aList.mListCount;
    const auto* known = FindMachine(aList, id);
    auto isNewHere = known == nullptr || known->mPool != machine.mPool;
    if (isNewHere) {
      aList.mInPoolSince[id] = aNow.mAt;
    }
    if (machine.mState != MachineState::Up) {
      aList.mUpSince.erase(id);
    } else if (isNewHere || !aList.mUpSince.contains(id)) {
      aList.mUpSince[id] = aList.mFirstPageAt;
    }
  }
  aList.mMachines.swap(aList.mNextMachines);
  aList.mNextMachines.clear();
  aList.mRequestedAt = aList.mFirstPageAt;
  aList.mIsKnown = true;
}

void
AdvanceMachineList(MachineList& aList, const Now& aNow, Actions& aActions)
{
  if (aList.mCallPending || aNow.mAt < aList.mNextReadAt) {
    return;
  }
  aList.mCallPending = true;
  if (aList.mNextPage.empty()) {
    aList.mFirstPageAt = aNow.mAt;
  }
  aActions.emplace_back(MachinesCall{ aList.mNextPage });
}

const Machine*
FindMachine(const MachineList& aList, const MachineId& aId)
{
  auto found = aList.mMachines.find(aId);
  return found == aList.mMachines.end() ? nullptr : &found->second;
}

bool
IsGone(const MachineList& aList, const MachineId& aId)
{
  auto last = aList.mLastListedIn.find(aId);
  auto lastList = last == aList.mLastListedIn.end() ? 0 : last->second;
  return aList.mListCount - lastList >= kListsUntilGone;
}

}
