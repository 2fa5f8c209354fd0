#include "LibSchedule/ExecutorAddresses.h"

namespace sesameseam::schedule::detail {

namespace {

void
RecordAddress(Executor& aExecutor, PendingWrite& aWrite)
{
  const auto& entry = aExecutor.mEntry;
  if (aExecutor.mRecordedAddress == entry.mAddress || entry.mState == ExecutorState::Gone) {
    return;
  }
  aExecutor.mRecordedAddress = entry.mAddress;
  aWrite.mCall.mRecords.push_back({ ExecutorAddressKey(entry.mId), entry.mAddress });
}

// The executor on which the newest run of a task is placed; nullptr if the run is gone.
Executor*
FindExecutorOf(Shard& aShard, const TaskRun& aRun)
{
  auto* job = FindJob(aShard, aRun.mTask.mJob);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aRun.mTask);
  if (task == nullptr || task->mAttempts.empty()) {
    return nullptr;
  }
  auto found = aShard.mExecutors.find(task->mAttempts.back().mExecutor);
  return found == aShard.mExecutors.end() ? nullptr : &found->second;
}

// Removes the address of an executor, and returns whether nothing is left to do about it.
bool
TryRemoveAddress(Shard& aShard, const ExecutorId& aId, PendingWrite& aWrite)
{
  auto found = aShard.mExecutors.find(aId);
  if (found != aShard.mExecutors.end()) {
    auto& executor = found->second;
    if (executor.mEntry.mState != ExecutorState::Gone) {
      return true;
    }
    if (!executor.mRuns.empty()) {
      return false;
    }
    executor.mRecordedAddress.clear();
  }
  aWrite.mCall.mRecords.push_back({ ExecutorAddressKey(aId), {} });
  return true;
}

}

void
OnLoadedAddress(Shard& aShard, const KeyedRecord& aRecord)
{
  auto id = ExecutorOfKey(aRecord.mKey);
  aShard.mLoadedAddresses[id] = aRecord.mValue;
  auto found = aShard.mExecutors.find(id);
  if (found != aShard.mExecutors.end()) {
    ApplyLoadedAddress(aShard, found->second);
  }
}

void
ApplyLoadedAddress(const Shard& aShard, Executor& aExecutor)
{
  auto loaded = aShard.mLoadedAddresses.find(aExecutor.mEntry.mId);
  if (loaded == aShard.mLoadedAddresses.end()) {
    return;
  }
  aExecutor.mRecordedAddress = loaded->second;
  if (aExecutor.mEntry.mAddress.empty()) {
    aExecutor.mEntry.mAddress = loaded->second;
  }
}

void
RemoveUnlistedAddresses(Shard& aShard)
{
  for (const auto& [id, address] : aShard.mLoadedAddresses) {
    auto found = aShard.mExecutors.find(id);
    if (found == aShard.mExecutors.end() || found->second.mEntry.mState == ExecutorState::Gone) {
      aShard.mAddressesToRemove.insert(id);
    }
  }
  aShard.mLoadedAddresses.clear();
}

void
RemoveAddressOnceEmpty(Shard& aShard, const Executor& aExecutor)
{
  if (!aExecutor.mRecordedAddress.empty()) {
    aShard.mAddressesToRemove.insert(aExecutor.mEntry.mId);
  }
}

void
AddAddressRecords(Shard& aShard, PendingWrite& aWrite)
{
  std::erase_if(aShard.mAddressesToRemove,
                [&](const ExecutorId& aId) { return TryRemoveAddress(aShard, aId, aWrite); });
  for (const auto& run : aWrite.mStarts) {
    if (auto* executor = FindExecutorOf(aShard, run)) {
      RecordAddress(*executor, aWrite);
    }
  }
}

}
