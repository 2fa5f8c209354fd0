#pragma once

#include "LibSchedule/Dependency.h"

#include <map>
#include <vector>

// The platform's list of machines, polled while this entry host owns shards. A list that is read
// again costs a look at each row, and more only for rows that differ from the last list.
namespace sesameseam::schedule {

struct MachineList
{
  // Entries stay where they are while their machine is listed.
  std::map<MachineId, Machine> mMachines;
  // When a machine was first known to be in its pool.
  std::map<MachineId, Instant> mInPoolSince;
  // When the list was requested that first showed a machine up in its pool.
  std::map<MachineId, Instant> mUpSince;
  // How many lists were read, and the first of them that lacked a machine again, counted from 1.
  std::int64_t mListCount = 0;
  std::map<MachineId, std::int64_t> mMissingSince;
  bool mIsKnown = false;
  // When the current list was requested.
  Instant mRequestedAt;
  // How many machines came, changed or went over all lists.
  std::int64_t mChanges = 0;

  // The rows of the current list. No machine is in two of them unless mHasRepeatedRows is set.
  std::vector<MachineRow> mRows;
  bool mHasRepeatedRows = false;

  // Rows from the pages of the next list that were read so far.
  std::vector<MachineRow> mNextRows;
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

// Whether the last few lists have all lacked the machine. One list alone may lack it, since its
// pages are read one after the other while machines come and go.
bool
IsGone(const MachineList& aList, const MachineId& aId);

}
