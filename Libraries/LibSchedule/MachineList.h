#pragma once

#include "LibSchedule/Dependency.h"

#include <map>

// The platform's list of machines, polled while this entry host owns shards.
namespace sesameseam::schedule {

struct MachineList
{
  std::map<MachineId, Machine> mMachines;
  // When a machine was first known to be in its pool.
  std::map<MachineId, Instant> mInPoolSince;
  // When the list was requested that first showed a machine up in its pool.
  std::map<MachineId, Instant> mUpSince;
  bool mIsKnown = false;
  // When the current list was requested.
  Instant mRequestedAt;

  // Machines from the pages of the next list that were read so far.
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
