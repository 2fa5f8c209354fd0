#pragma once

#include "LibSchedule/Shard.h"

// Stops the long-running tasks of executors that drain, within the number of unavailable tasks that
// their callers allow.
namespace sesameseam::schedule::detail {

// Counts the tasks of the step, other than aTask, that are not available.
int
CountUnavailableTasks(const Shard& aShard, Job& aJob, const TaskId& aTask, Instant aNow);

// Whether a stop that was requested may be sent now. One that is repeated may come at a time at
// which other tasks of the step are unavailable.
bool
MaySendStop(Shard& aShard,
            const Executor& aExecutor,
            const TaskRun& aName,
            const PlacedRun& aRun,
            Instant aNow);

// Stops the long-running tasks of an executor that drains, or whose host is to go down or to move.
void
StopLongRunningTasks(Shard& aShard, Executor& aExecutor, Instant aNow);

}
