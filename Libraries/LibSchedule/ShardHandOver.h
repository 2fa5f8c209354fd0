#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/JobRecords.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Jobs that are stored in one shard and run by another one. A job is stored in the partition of its
// queue's home. If the queue has another service by then, the owner of the home hands the job over
// to the shard of that service, which runs it. Which service that is, is recorded with the job's
// progress before it is handed over, so that a later owner, or a later record of the same job,
// changes nothing. Docs: docs/design/moved-queues.md.
namespace sesameseam::schedule {

struct Shard;
struct PendingWrite;

struct HandOver
{
  JobDefinition mDefinition;
  // The record of its cancellation; empty if it isn't cancelled.
  std::string mCancellation;
  // The service that runs it is stored.
  bool mIsRecorded = false;
  // The other shard has it.
  bool mIsForwarded = false;
};

struct HandOvers
{
  std::map<JobId, HandOver> mJobs;
  std::set<JobId> mToRecord;
  std::set<JobId> mToForward;
  // Those of the append that is in flight.
  std::vector<JobId> mInFlight;
  Instant mNextForwardAt;
};

namespace detail {

// The service that the job was submitted to first, in whose partition it is stored.
const ServiceName&
HomeOf(const JobDefinition& aDefinition);

// Sets the service of a job that was found in the log: the one that is recorded with its progress,
// if there is any.
void
ApplyRecordedService(const JobProgress* aProgress, JobDefinition& aDefinition);

// The partition of the job's home, if that isn't this shard's.
std::optional<int>
OtherHomePartition(const Shard& aShard, const JobDefinition& aDefinition);

// Takes the job if another shard has to run it. Returns whether that is so.
bool
TakeHandOver(Shard& aShard,
             const JobId& aId,
             const JobDefinition& aDefinition,
             const JobProgress* aProgress);

// Passes a cancellation on. Returns false if the job isn't one that was handed over.
bool
CancelHandOver(Shard& aShard, const KeyedRecord& aRecord);

// Applies the notice that a job has ended in the other shard.
void
EndHandOver(Shard& aShard, const KeyedRecord& aRecord);

// Publishes where a job is that was handed over and has no definition any more, so that it has
// ended there. Returns whether the progress is that of such a job.
bool
KeepEndedHandOver(Shard& aShard, const JobId& aId, const JobProgress& aProgress);

void
AddHandOverRecords(Shard& aShard, PendingWrite& aWrite);
void
OnHandOverRecorded(Shard& aShard, const JobId& aId);

// Sends the append that is due.
void
ForwardJobs(Shard& aShard, Instant aNow, Actions& aActions);
void
OnForwardAnswer(Shard& aShard, Instant aNow, const AppendAnswer& aAnswer, Actions& aActions);

}

}
