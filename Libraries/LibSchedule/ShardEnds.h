#pragma once

#include "LibSchedule/Shard.h"

#include <string>
#include <string_view>

// What the ends that executors list mean for tasks and jobs.
namespace sesameseam::schedule::detail {

// Takes in the ends of the list that were not processed before.
void
ApplyEnds(Shard& aShard,
          const Now& aNow,
          Executor& aExecutor,
          const HeartbeatAnswer& aAnswer,
          Actions& aActions);

const Step&
StepOf(const Job& aJob, const TaskId& aTask);

void
RemoveAttempt(Task& aTask, const ExecutorId& aExecutor, int aRun);

void
LogRun(std::string_view aEvent,
       const TaskRun& aRun,
       const Executor& aExecutor,
       std::string aReason,
       Actions& aActions);

}
