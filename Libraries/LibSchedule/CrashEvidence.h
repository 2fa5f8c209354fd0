#pragma once

#include "LibSchedule/ExecutorEnds.h"
#include "LibSchedule/Job.h"

// What the end of an executor says of the tasks that ran there. A task is given up only if the ends
// under it would hardly have come without it.
namespace sesameseam::schedule {

// What the end of an executor says of one run that was there.
struct CrashEvidence
{
  // The executor crashed under the run (HasCrashedUnder), and not together with many others.
  bool mIsSuspicious = false;
  // How likely it is that the executor would have ended then without this task, between 0 and 1.
  // 1 if the run is not known to have begun.
  double mCoincidence = 1;
};

// The ends of the other executors of a shard.
struct EndsOfOthers
{
  Bystanders mTogether;
  // How many end per second, each.
  double mRate = 0;
};

// Counts the ends since aSince. Executors that ended under the task itself are left out.
EndsOfOthers
CountEndsOfOthers(const std::map<ExecutorId, Executor>& aExecutors,
                  const Executor& aEnded,
                  const Task& aTask,
                  Instant aSince,
                  Instant aNow);

// How likely it is that one of the other runs there was the cause, between 0 and 1. aCrashes is how
// many executors had crashed under their tasks before, and under the task itself.
double
BlameOfOthers(const std::vector<int>& aCrashesOfOthers, int aCrashes);

CrashEvidence
EvidenceAgainst(const Executor& aEnded,
                const PlacedRun& aRun,
                const EndsOfOthers& aOthers,
                double aBlameOfOthers);

// Whether the task is to be given up after an executor ended under it: three have, and that is
// hardly a coincidence, or five have. A task that lasts is never given up.
bool
IsToBeGivenUp(const Step& aStep, const Task& aTask, const CrashEvidence& aLast);

}
