#pragma once

#include "LibSchedule/Shard.h"

// Runs that have ended without reporting an end: how that is found out, and what it says of their
// tasks.
namespace sesameseam::schedule::detail {

// Drops runs that the executor doesn't list, provided that they were there when the list was
// requested.
void
DropUnlistedRuns(Shard& aShard,
                 const Now& aNow,
                 Executor& aExecutor,
                 const HeartbeatAnswer& aAnswer,
                 Actions& aActions);

// Tells that an executor lists a run, at work or with its end, that its owner does not have there
// (any more): it was taken for ended too early, or has ended before its lease did.
void
NoteReturnedRun(Shard& aShard,
                const Executor& aExecutor,
                const TaskRun& aRun,
                std::optional<EndKind> aEnd,
                Actions& aActions);

// Drops the runs on an executor whose leases have expired.
void
DropExpiredRuns(Shard& aShard, const Now& aNow, Executor& aExecutor, Actions& aActions);

}
