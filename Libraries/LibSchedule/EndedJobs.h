#pragma once

#include "LibSchedule/Calls.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// What the owner of a shard keeps of jobs that have ended. The definition of an ended job is
// removed from the jobs stream, so that a new owner loads only jobs that are under way. That is
// done only once callers can see the final state, since an entry host looks in the jobs stream for
// a job whose state it lacks. The final progress is kept for callers until it expires, and is
// removed only once the definition is gone: without its progress, a definition would be taken for a
// new job and run again.
namespace sesameseam::schedule {

struct ExpiringJob
{
  JobId mId;
  Instant mRemovedAt;
};

struct EndedJobs
{
  // All ended jobs whose progress is kept.
  std::set<JobId> mIds;
  // The keys of the jobs stream that can be removed once the final state of their job is published.
  std::map<JobId, std::vector<std::string>> mUnpublished;
  // Keys of the jobs stream that are to be removed, and those that are being removed.
  std::set<std::string> mKeysToRemove;
  std::vector<std::string> mKeysInFlight;
  // Jobs that another shard has handed over, and its partition. It is told of the end before their
  // definitions are removed here. Else a later owner there would hand them over again.
  std::map<JobId, int> mHomePartitions;
  // Jobs whose definition is removed, in the order of the removal.
  std::deque<ExpiringJob> mExpiring;
  Instant mNextRemovalAt;
};

// Adds a job whose final phase is stored. aHomePartition is the partition of the shard that has
// handed it over, if one has.
void
AddEndedJob(EndedJobs& aJobs, const JobId& aId, std::optional<int> aHomePartition = std::nullopt);

// Adds a further record of the jobs stream that concerns an ended job.
void
AddEndedJobRecord(EndedJobs& aJobs, const JobId& aId, const std::string& aKey);

// To be called with the records of an append to the stream of job states that is stored.
void
OnStatesPublished(EndedJobs& aJobs, const std::vector<LogRecord>& aRecords);

// Sends the removal that is due. aEpoch distinguishes the calls of this owner.
void
AdvanceRemoval(EndedJobs& aJobs,
               Instant aNow,
               int aPartition,
               std::int64_t aEpoch,
               Actions& aActions);
// Whether the append of an owner to the jobs stream removes keys or tells of ends.
bool
IsRemoval(const AppendCall& aCall);
void
OnRemovalAnswer(EndedJobs& aJobs, Instant aNow, const AppendAnswer& aAnswer);

// Whether there are jobs whose progress is no longer kept.
bool
HasExpired(const EndedJobs& aJobs, Instant aNow);

// Takes at most aMax of those jobs.
std::vector<JobId>
TakeExpired(EndedJobs& aJobs, Instant aNow, std::size_t aMax);

}
