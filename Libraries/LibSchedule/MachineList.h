#pragma once

#include "LibSchedule/Dependency.h"

#include <map>

// The platform's list of machines, read at intervals where something depends on it.
namespace sesameseam::schedule {

struct MachineList
{
  std::map<MachineId, Machine> mMachines;
  // Since when a machine is known to be in its pool.
  std::map<MachineId, Instant> mInPoolSince;
  // Since when a machine is known to be up in its pool, by the time at which the list was asked
  // for.
  std::map<MachineId, Instant> mUpSince;
  bool mIsKnown = false;
  // When the list that is known was asked for.
  Instant mRequestedAt;

  // The pages that were read of the next list.
  std::map<MachineId, Machine> mNextMachines;
  std::string mNextPage;
  Instant mFirstPageAt;
  Dependency mDependency;
  bool mCallPending = false;
  Instant mNextReadAt;
};

void
OnMachines(MachineList& aList, const Now& aNow, const MachinesAnswer& aAnswer, Actions& aActions);

void
AdvanceMachineList(MachineList& aList, const Now& aNow, Actions& aActions);

const Machine*
FindMachine(const MachineList& aList, const MachineId& aId);

}
