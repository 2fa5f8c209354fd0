#pragma once

#include "LibSchedule/Executor.h"

// When the owner of a shard sends an executor a heartbeat, what it asks for, and what it met.
namespace sesameseam::schedule {

bool
NeedsHeartbeat(const Executor& aExecutor, Instant aNow);

// How long the executor may wait for the end of a run before it answers.
std::chrono::milliseconds
HeartbeatPollTime(const Executor& aExecutor, Instant aNow);

// The number of the last end to acknowledge; 0 for none.
std::int64_t
EndsToAcknowledge(const Executor& aExecutor, Instant aNow);

// A list proves what runs remain only if it is of the last process of the executor. A process that
// started before that one is believed once no lease is left there, in case that a clock was set
// back.
HeartbeatFailure
FailureOf(const Executor& aExecutor, const HeartbeatAnswer& aAnswer, Instant aNow);

std::string_view
NameOf(HeartbeatFailure aFailure);

}
