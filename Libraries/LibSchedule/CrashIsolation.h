#pragma once

#include "LibSchedule/Executor.h"
#include "LibSchedule/Job.h"

#include <map>

// Tasks under which executors crash. What ran on an executor that crashes is suspected. Suspects
// run apart from other tasks, so that the one that crashes its executors is found without taking
// others along. Whether a task is given up is decided by CrashEvidence.
namespace sesameseam::schedule {

// No task is given up before this many executors have crashed under it. A run after two of them is
// alone on its executor, but for runs that last.
inline constexpr int kCrashesToGiveUp = 3;

// Whether the process of the executor ended while the run was there. A plain end of its lease is no
// crash, and neither is an executor that leaves as announced or on our own order. A run that this
// owner placed was there if it is known to have begun, and one that another owner placed may have
// been there.
bool
HasCrashedUnder(const Executor& aExecutor, const PlacedRun& aRun);

// How the next run of a task has to be kept apart.
Isolation
IsolationOf(const Step& aStep, const Task& aTask);

// Notes that a task has found no executor on which it would be kept apart. Returns whether it has
// waited for one for so long that it is to start beside others. Only a task that lasts is: it is
// started again for ever, so that it would wait for ever.
bool
MayStopWaiting(const Step& aStep, Task& aTask, Instant aNow);

// Whether a run has been at work for so long that its task does not crash the executors that start
// it. Only a run that lasts can show this other than by its end.
bool
HasProvenHarmless(const PlacedRun& aRun, Instant aNow);

// The part of an executor that a run keeps from others by its isolation; 0 for one that is not
// isolated.
double
OccupiedShare(Isolation aIsolation);

// The runs on an executor by how they are kept apart.
struct Occupants
{
  int mOrdinary = 0;
  // Runs that last may have to be beside suspects, since they would find no executor of their own.
  int mLongRunning = 0;
  int mSuspects = 0;
  int mAlone = 0;
};

void
AddOccupant(Occupants& aOccupants, Isolation aIsolation, bool aIsLongRunning);
void
RemoveOccupant(Occupants& aOccupants, Isolation aIsolation, bool aIsLongRunning);

// Whether a run that is to be kept apart as given may be placed beside the occupants.
bool
MayJoin(const Occupants& aOccupants, Isolation aIsolation, bool aIsLongRunning);

// Isolated tasks of one pool that found no executor in a placement pass.
struct UnplacedSuspects
{
  int mSuspects = 0;
  int mAlone = 0;
};

// Reserves executors of the pool for the suspects that wait: none while none waits, and at most a
// part of the pool, those whose other work ends soonest. A reserved executor takes no other work.
void
ReserveForSuspects(std::map<ExecutorId, Executor>& aExecutors,
                   const ServiceName& aPool,
                   const UnplacedSuspects& aWaiting,
                   Instant aNow);

}
