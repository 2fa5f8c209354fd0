#pragma once

#include "LibSchedule/RelayedCalls.h"

// Which host makes the calls to an executor.
namespace sesameseam::schedule::detail {

// How many executors the host makes the calls to; its name is empty for this one.
int&
CountAssigned(RelayedCalls& aCalls, const std::string& aHost);

// Whether the owner bears no more calls than it makes.
bool
IsLate(const RelayedCalls& aCalls);

// Returns the relay that makes the calls to an executor, or null if this host does.
Relay*
RelayFor(RelayedCalls& aCalls, const ExecutorId& aExecutor, Instant aNow);

// Has the owner make the next calls to an executor itself, if it bears them.
void
MakeOwn(RelayedCalls& aCalls, const ExecutorCall& aCall, Instant aNow);

}
