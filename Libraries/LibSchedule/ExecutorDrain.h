#pragma once

#include "LibSchedule/Shard.h"

// Moving lasting tasks off an executor that leaves, within what their callers allow to be away.
namespace sesameseam::schedule::detail {

// Tasks of the step, other than aTask, that are not at work.
int
CountUnavailableTasks(const Shard& aShard, Job& aJob, const TaskId& aTask);

// Stops the lasting tasks of an executor that drains or is to be taken down.
void
StopLastingTasks(Shard& aShard, Executor& aExecutor, Instant aNow);

}
