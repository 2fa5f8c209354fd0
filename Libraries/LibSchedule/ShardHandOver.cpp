#include "LibSchedule/ShardHandOver.h"

#include "LibSchedule/Partition.h"
#include "LibSchedule/Shard.h"

#include <algorithm>
#include <utility>

namespace sesameseam::schedule::detail {

namespace {

constexpr Duration kRetryDelay = 60ms;
// Keeps an append below the maximum request size of the store.
constexpr std::size_t kMaxForwardBytes = 1 << 20;

bool
IsElsewhere(const Shard& aShard, const ServiceName& aService)
{
  auto partitions = aShard.mSettings.mPartitions;
  return partitions > 0 && PartitionOf(aService, partitions) != aShard.mPartition;
}

JobProgress
ProgressOf(const HandOver& aHandOver)
{
  JobProgress progress;
  progress.mTenantHash = TenantHashOf(aHandOver.mDefinition.mTenant);
  progress.mService = aHandOver.mDefinition.mService;
  progress.mIsForwarded = aHandOver.mIsForwarded;
  return progress;
}

JobState
StateOf(const HandOver& aHandOver)
{
  JobState state;
  state.mTenantHash = TenantHashOf(aHandOver.mDefinition.mTenant);
  if (aHandOver.mDefinition.mRunCount == 0) {
    state.mPendingIn = aHandOver.mDefinition.mQueue;
  }
  if (aHandOver.mIsForwarded) {
    state.mRunBy = aHandOver.mDefinition.mService;
  }
  return state;
}

void
AddRecords(const JobId& aId, const HandOver& aHandOver, std::vector<LogRecord>& aRecords)
{
  if (!aHandOver.mIsForwarded) {
    aRecords.push_back({ aId.mValue, EncodeJob(aHandOver.mDefinition) });
  }
  if (!aHandOver.mCancellation.empty()) {
    aRecords.push_back({ CancellationKey(aId), aHandOver.mCancellation });
  }
}

}

const ServiceName&
HomeOf(const JobDefinition& aDefinition)
{
  return aDefinition.mHome.IsEmpty() ? aDefinition.mService : aDefinition.mHome;
}

void
ApplyRecordedService(const JobProgress* aProgress, JobDefinition& aDefinition)
{
  auto home = HomeOf(aDefinition);
  if (aProgress != nullptr) {
    aDefinition.mService = aProgress->mService.IsEmpty() ? home : aProgress->mService;
  }
  aDefinition.mHome = aDefinition.mService == home ? ServiceName() : home;
}

std::optional<int>
OtherHomePartition(const Shard& aShard, const JobDefinition& aDefinition)
{
  if (aDefinition.mHome.IsEmpty() || !IsElsewhere(aShard, aDefinition.mHome)) {
    return std::nullopt;
  }
  return PartitionOf(aDefinition.mHome, aShard.mSettings.mPartitions);
}

bool
TakeHandOver(Shard& aShard,
             const JobId& aId,
             const JobDefinition& aDefinition,
             const JobProgress* aProgress)
{
  // A job without a home of its own was stored for the service of this shard.
  if (aDefinition.mHome.IsEmpty() || !IsElsewhere(aShard, aDefinition.mService)) {
    return false;
  }
  auto& handOvers = aShard.mHandOvers;
  auto& handOver = handOvers.mJobs[aId];
  handOver.mDefinition = aDefinition;
  handOver.mIsRecorded = aProgress != nullptr;
  handOver.mIsForwarded = aProgress != nullptr && aProgress->mIsForwarded;
  if (!handOver.mIsForwarded) {
    (handOver.mIsRecorded ? handOvers.mToForward : handOvers.mToRecord).insert(aId);
  }
  // The former owner may have stored that it was forwarded, and not published it.
  AddState(aShard.mStates, aId, StateOf(handOver));
  return true;
}

bool
CancelHandOver(Shard& aShard, const KeyedRecord& aRecord)
{
  auto id = JobOfKey(aRecord.mKey);
  auto found = aShard.mHandOvers.mJobs.find(id);
  if (found == aShard.mHandOvers.mJobs.end()) {
    return false;
  }
  found->second.mCancellation = aRecord.mValue;
  if (found->second.mIsRecorded) {
    aShard.mHandOvers.mToForward.insert(id);
  }
  return true;
}

void
EndHandOver(Shard& aShard, const KeyedRecord& aRecord)
{
  auto id = JobOfKey(aRecord.mKey);
  auto found = aShard.mHandOvers.mJobs.find(id);
  if (found != aShard.mHandOvers.mJobs.end()) {
    auto& handOver = found->second;
    // It may have ended before it was stored that it was forwarded. The definition is removed once
    // callers can see where it was run.
    handOver.mIsForwarded = true;
    AddState(aShard.mStates, id, StateOf(handOver));
    AddEndedJob(aShard.mEnded, id);
    if (!handOver.mCancellation.empty()) {
      AddEndedJobRecord(aShard.mEnded, id, CancellationKey(id));
    }
    aShard.mHandOvers.mToRecord.erase(id);
    aShard.mHandOvers.mToForward.erase(id);
    aShard.mHandOvers.mJobs.erase(found);
  }
  AddEndedJobRecord(aShard.mEnded, id, aRecord.mKey);
}

bool
KeepEndedHandOver(Shard& aShard, const JobId& aId, const JobProgress& aProgress)
{
  auto isHandedOver = !aProgress.mService.IsEmpty() && IsElsewhere(aShard, aProgress.mService);
  if (!isHandedOver || aShard.mHandOvers.mJobs.contains(aId)) {
    return false;
  }
  JobState state;
  state.mTenantHash = aProgress.mTenantHash;
  state.mRunBy = aProgress.mService;
  AddState(aShard.mStates, aId, std::move(state));
  return true;
}

void
AddHandOverRecords(Shard& aShard, PendingWrite& aWrite)
{
  for (const auto& id : std::exchange(aShard.mHandOvers.mToRecord, {})) {
    auto found = aShard.mHandOvers.mJobs.find(id);
    if (found != aShard.mHandOvers.mJobs.end()) {
      aWrite.mCall.mRecords.push_back({ id.mValue, EncodeProgress(ProgressOf(found->second)) });
      aWrite.mHandOvers.push_back(id);
    }
  }
}

void
OnHandOverRecorded(Shard& aShard, const JobId& aId)
{
  auto found = aShard.mHandOvers.mJobs.find(aId);
  if (found == aShard.mHandOvers.mJobs.end()) {
    return;
  }
  found->second.mIsRecorded = true;
  if (found->second.mIsForwarded) {
    AddState(aShard.mStates, aId, StateOf(found->second));
  } else {
    aShard.mHandOvers.mToForward.insert(aId);
  }
}

void
ForwardJobs(Shard& aShard, Instant aNow, Actions& aActions)
{
  auto& handOvers = aShard.mHandOvers;
  auto isIdle = handOvers.mToForward.empty() || !handOvers.mInFlight.empty();
  if (isIdle || aNow < handOvers.mNextForwardAt || !MayActAsOwner(aShard, aNow)) {
    return;
  }
  AppendCall call;
  call.mStream = Stream::Jobs;
  call.mTicket = aShard.mEpoch;
  call.mShard = aShard.mPartition;
  std::size_t bytes = 0;
  for (auto next = handOvers.mToForward.begin();
       next != handOvers.mToForward.end() && bytes < kMaxForwardBytes;) {
    const auto& handOver = handOvers.mJobs.at(*next);
    auto partition = PartitionOf(handOver.mDefinition.mService, aShard.mSettings.mPartitions);
    if (!call.mRecords.empty() && partition != call.mPartition) {
      ++next;
      continue;
    }
    call.mPartition = partition;
    AddRecords(*next, handOver, call.mRecords);
    bytes += call.mRecords.back().mValue.size() + handOver.mDefinition.mSpec.size();
    handOvers.mInFlight.push_back(*next);
    next = handOvers.mToForward.erase(next);
  }
  aActions.emplace_back(std::move(call));
}

void
OnForwardAnswer(Shard& aShard, Instant aNow, const AppendAnswer& aAnswer, Actions& aActions)
{
  auto& handOvers = aShard.mHandOvers;
  auto isStored = aAnswer.mResult == CallResult::Done;
  for (const auto& id : std::exchange(handOvers.mInFlight, {})) {
    auto found = handOvers.mJobs.find(id);
    if (found == handOvers.mJobs.end()) {
      continue;
    }
    if (!isStored) {
      // The other shard keeps the first record of a job, so that storing it again does no harm.
      handOvers.mToForward.insert(id);
      continue;
    }
    if (found->second.mIsForwarded) {
      continue;
    }
    found->second.mIsForwarded = true;
    handOvers.mToRecord.insert(id);
    LogEntry entry{ LogLevel::Info, "job-handed-over", id.mValue };
    entry.mSubject = found->second.mDefinition.mService.mValue;
    entry.mReason = "its queue has left " + found->second.mDefinition.mHome.mValue;
    entry.mVersion = aShard.mEpoch;
    aActions.emplace_back(std::move(entry));
  }
  if (!isStored) {
    handOvers.mNextForwardAt = aNow + kRetryDelay;
  }
}

}
