#pragma once

#include "LibSchedule/Shard.h"

#include <string>
#include <string_view>

// Applies the ends that executors report to the tasks and jobs of a shard.
namespace sesameseam::schedule::detail {

// Applies those ends of the answer that were not processed before.
void
ApplyEnds(Shard& aShard,
          const Now& aNow,
          Executor& aExecutor,
          const HeartbeatAnswer& aAnswer,
          Actions& aActions);

// Takes back what was counted against tasks when the executor left the list: its process answers,
// so that it had not crashed.
void
WithdrawCrashes(Shard& aShard, Executor& aExecutor, Actions& aActions);

// Notes that a run of the task's step is done or, if it lasts, is at work: failures of the step
// elsewhere are not its own fault.
void
NoteStepSucceeded(Shard& aShard, Instant aNow, Job& aJob, const TaskId& aTask, Actions& aActions);

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
