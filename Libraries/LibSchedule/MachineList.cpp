#include "LibSchedule/MachineList.h"

#include <algorithm>
#include <string_view>

namespace sesameseam::schedule {

namespace {

constexpr Duration kListInterval = 500ms;
constexpr std::int64_t kListsUntilGone = 3;

// Takes a row over that differs from what is known of its machine.
void
ApplyRow(MachineList& aList, Instant aNow, const Machine& aMachine)
{
  auto [known, isNew] = aList.mMachines.try_emplace(aMachine.mId);
  if (!isNew && known->second == aMachine) {
    return;
  }
  if (isNew) {
    aList.mMissingSince.erase(aMachine.mId);
  }
  auto isNewHere = isNew || known->second.mPool != aMachine.mPool;
  if (isNewHere) {
    aList.mInPoolSince[aMachine.mId] = aNow;
  }
  if (aMachine.mState != MachineState::Up) {
    aList.mUpSince.erase(aMachine.mId);
  } else if (isNewHere || !aList.mUpSince.contains(aMachine.mId)) {
    aList.mUpSince[aMachine.mId] = aList.mFirstPageAt;
  }
  known->second = aMachine;
  ++aList.mChanges;
}

// Whether the next list has the machines of the current one, in the same order.
bool
HasSameMachines(const MachineList& aList)
{
  return !aList.mHasRepeatedRows && std::equal(aList.mRows.begin(),
                                               aList.mRows.end(),
                                               aList.mNextRows.begin(),
                                               aList.mNextRows.end(),
                                               [](const MachineRow& aOld, const MachineRow& aNew) {
                                                 return aOld == aNew || aOld->mId == aNew->mId;
                                               });
}

void
ApplyChangedRows(MachineList& aList, Instant aNow)
{
  for (std::size_t i = 0; i < aList.mRows.size(); ++i) {
    if (aList.mRows[i] != aList.mNextRows[i]) {
      ApplyRow(aList, aNow, *aList.mNextRows[i]);
    }
  }
}

// Of a machine that moved to another page while the list was read, the last row counts.
void
ApplyAllRows(MachineList& aList, Instant aNow)
{
  std::map<std::string_view, const Machine*> listed;
  for (const auto& row : aList.mNextRows) {
    listed[row->mId.mValue] = row.get();
  }
  aList.mHasRepeatedRows = listed.size() != aList.mNextRows.size();
  for (const auto& [id, machine] : listed) {
    ApplyRow(aList, aNow, *machine);
  }
  auto missing = std::erase_if(aList.mMachines, [&](const auto& aEntry) {
    auto isMissing = !listed.contains(aEntry.first.mValue);
    if (isMissing) {
      aList.mMissingSince[aEntry.first] = aList.mListCount;
    }
    return isMissing;
  });
  aList.mChanges += static_cast<std::int64_t>(missing);
}

}

void
OnMachines(MachineList& aList, const Now& aNow, const MachinesAnswer& aAnswer, Actions& aActions)
{
  UpdateDependency(aList.mDependency, "the list of machines", aAnswer.mResult, aNow.mAt, aActions);
  aList.mCallPending = false;
  aList.mNextReadAt = aNow.mAt + kListInterval;
  if (aAnswer.mResult != CallResult::Done) {
    aList.mNextPage.clear();
    aList.mNextRows.clear();
    return;
  }
  aList.mNextRows.insert(aList.mNextRows.end(), aAnswer.mMachines.begin(), aAnswer.mMachines.end());
  aList.mNextPage = aAnswer.mNextPage;
  if (!aAnswer.mNextPage.empty()) {
    aList.mNextReadAt = aNow.mAt;
    return;
  }
  ++aList.mListCount;
  if (HasSameMachines(aList)) {
    ApplyChangedRows(aList, aNow.mAt);
  } else {
    ApplyAllRows(aList, aNow.mAt);
  }
  aList.mRows.swap(aList.mNextRows);
  aList.mNextRows.clear();
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
  if (FindMachine(aList, aId) != nullptr) {
    return false;
  }
  // A machine that was never listed is missing since the first list.
  auto missing = aList.mMissingSince.find(aId);
  auto since = missing == aList.mMissingSince.end() ? 1 : missing->second;
  return aList.mListCount - since + 1 >= kListsUntilGone;
}

}
