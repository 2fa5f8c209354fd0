#include "LibSchedule/EndedJobs.h"

#include "LibSchedule/JobRecords.h"

namespace sesameseam::schedule {

namespace {

// Jobs that end within this time share an append.
constexpr Duration kRemovalInterval = 1s;
constexpr std::size_t kMaxKeysPerAppend = 2000;
// How long callers can query a job after its end.
constexpr Duration kRetention = 600s;

// The partition in which the end of a job has to be stored, or a key removed, next.
int
PartitionOfKey(const EndedJobs& aJobs, const std::string& aKey, int aOwnPartition)
{
  auto home = aJobs.mHomePartitions.find(JobId(aKey));
  return home == aJobs.mHomePartitions.end() ? aOwnPartition : home->second;
}

}

void
AddEndedJob(EndedJobs& aJobs, const JobId& aId, std::optional<int> aHomePartition)
{
  aJobs.mIds.insert(aId);
  if (aHomePartition) {
    aJobs.mHomePartitions[aId] = *aHomePartition;
  }
  aJobs.mUnpublished[aId].push_back(aId.mValue);
}

void
AddEndedJobRecord(EndedJobs& aJobs, const JobId& aId, const std::string& aKey)
{
  auto unpublished = aJobs.mUnpublished.find(aId);
  if (unpublished != aJobs.mUnpublished.end()) {
    unpublished->second.push_back(aKey);
  } else {
    aJobs.mKeysToRemove.insert(aKey);
  }
}

void
OnStatesPublished(EndedJobs& aJobs, const std::vector<LogRecord>& aRecords)
{
  for (const auto& record : aRecords) {
    auto unpublished = aJobs.mUnpublished.find(JobId(record.mKey));
    if (unpublished == aJobs.mUnpublished.end()) {
      continue;
    }
    auto state = DecodeJobState(record.mValue);
    if (state.ok() && (IsFinal(state->mPhase) || !state->mRunBy.IsEmpty())) {
      aJobs.mKeysToRemove.insert(unpublished->second.begin(), unpublished->second.end());
      aJobs.mUnpublished.erase(unpublished);
    }
  }
}

void
AdvanceRemoval(EndedJobs& aJobs,
               Instant aNow,
               int aPartition,
               std::int64_t aEpoch,
               Actions& aActions)
{
  auto isIdle = aJobs.mKeysToRemove.empty() || !aJobs.mKeysInFlight.empty();
  if (isIdle || aNow < aJobs.mNextRemovalAt) {
    return;
  }
  AppendCall call;
  call.mStream = Stream::Jobs;
  call.mPartition = PartitionOfKey(aJobs, *aJobs.mKeysToRemove.begin(), aPartition);
  call.mTicket = aEpoch;
  if (call.mPartition != aPartition) {
    call.mShard = aPartition;
  }
  for (auto next = aJobs.mKeysToRemove.begin();
       next != aJobs.mKeysToRemove.end() && call.mRecords.size() < kMaxKeysPerAppend;) {
    if (PartitionOfKey(aJobs, *next, aPartition) != call.mPartition) {
      ++next;
      continue;
    }
    if (call.mShard) {
      call.mRecords.push_back({ EndNoticeKey(JobId(*next)), std::string(kEndNotice) });
    } else {
      call.mRecords.push_back({ *next, {} });
    }
    aJobs.mKeysInFlight.push_back(*next);
    next = aJobs.mKeysToRemove.erase(next);
  }
  aJobs.mNextRemovalAt = aNow + kRemovalInterval;
  aActions.emplace_back(std::move(call));
}

bool
IsRemoval(const AppendCall& aCall)
{
  const auto& first = aCall.mRecords.front();
  return first.mValue.empty() || IsEndNoticeKey(first.mKey);
}

void
OnRemovalAnswer(EndedJobs& aJobs, Instant aNow, const AppendAnswer& aAnswer)
{
  for (auto& key : aJobs.mKeysInFlight) {
    if (aAnswer.mResult != CallResult::Done) {
      aJobs.mKeysToRemove.insert(std::move(key));
    } else if (aAnswer.mCall.mShard) {
      // The other shard will learn of the end, so that the job can be removed here.
      aJobs.mHomePartitions.erase(JobId(key));
      aJobs.mKeysToRemove.insert(std::move(key));
    } else if (!IsCancellationKey(key) && !IsEndNoticeKey(key)) {
      aJobs.mExpiring.push_back({ JobId(std::move(key)), aNow });
    }
  }
  aJobs.mKeysInFlight.clear();
}

bool
HasExpired(const EndedJobs& aJobs, Instant aNow)
{
  return !aJobs.mExpiring.empty() && aNow - aJobs.mExpiring.front().mRemovedAt > kRetention;
}

std::vector<JobId>
TakeExpired(EndedJobs& aJobs, Instant aNow, std::size_t aMax)
{
  std::vector<JobId> expired;
  while (HasExpired(aJobs, aNow) && expired.size() < aMax) {
    auto id = std::move(aJobs.mExpiring.front().mId);
    aJobs.mExpiring.pop_front();
    // A job that was handed in again since has its definition removed first.
    if (!aJobs.mKeysToRemove.contains(id.mValue) && aJobs.mIds.erase(id) > 0) {
      expired.push_back(std::move(id));
    }
  }
  return expired;
}

}
