#pragma once

#include "LibSchedule/Executor.h"
#include "LibSchedule/Job.h"

// Excludes executors from placement that fail what they are given, with exponential back-off.
//
// A failed run may be the fault of the executor or of its job. A step whose runs have failed on
// several executors, and succeeded on none, is taken to be at fault itself: its failures then speak
// against no executor, also those that were counted before. As soon as a run of it succeeds, they
// count again. Nor is a step at fault that has failed only where everything fails: on executors
// that have failed several other steps in a row too, while most of their pool has not.
namespace sesameseam::schedule {

using Executors = std::map<ExecutorId, Executor>;

// Whether the failures of the step are its own fault.
bool
IsAtFault(const StepOutcomes& aOutcomes, const Executors& aExecutors);

// Counts a failed run of a step, and excludes the executor from placement after several that speak
// against it.
void
RecordFailure(Executor& aExecutor, const StepName& aStep, bool aIsStepAtFault, Instant aNow);

// Counts that the executor has refused a start, which no step is at fault for.
void
RecordRefusal(Executor& aExecutor, Instant aNow);

// The executor has done a run: what failed there before no longer counts.
void
RecordSuccess(Executor& aExecutor);

// Applies what has been found out about a step whose runs have failed there.
void
SetStepAtFault(Executor& aExecutor, const StepName& aStep, bool aIsStepAtFault);

// Takes the executor back into use if most of its pool is excluded: that many hardly fail for a
// reason of their own each, and the pool would stand still.
void
LimitBackOff(const Executors& aExecutors, Executor& aExecutor, Instant aNow);

// The failures since the last success that speak against the executor.
int
CountFailures(const Executor& aExecutor);

}
