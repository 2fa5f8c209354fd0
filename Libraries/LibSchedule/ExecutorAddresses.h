#pragma once

#include "LibSchedule/Shard.h"

// The addresses of executors with runs, kept in the progress stream. An owner that finds runs on an
// executor that is no longer listed calls it at its address: either its runs go on, or another
// executor answers, which proves that they have ended.
namespace sesameseam::schedule::detail {

// Keeps an address that was read from the log while this host takes the shard over.
void
OnLoadedAddress(Shard& aShard, const KeyedRecord& aRecord);

// Sets what the log has of the executor's address.
void
ApplyLoadedAddress(const Shard& aShard, Executor& aExecutor);

// Has the addresses that were loaded removed of executors that are not listed, once they have no
// runs.
void
RemoveUnlistedAddresses(Shard& aShard);
void
RemoveAddressOnceEmpty(Shard& aShard, const Executor& aExecutor);

// Adds to a write the addresses of the executors on which its runs are placed, as far as the log
// does not have them, and the removals that are due.
void
AddAddressRecords(Shard& aShard, PendingWrite& aWrite);

}
