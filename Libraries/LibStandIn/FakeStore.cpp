#include "LibStandIn/FakeStore.h"

#include <algorithm>

namespace sesameseam::standin {

namespace {

using schedule::AppendAnswer;
using schedule::AppendCall;
using schedule::AppendRefusal;
using schedule::CallResult;
using schedule::KeyedRecord;

// Retries of this many recent appends are recognised by their sequence numbers and get the original
// answer.
constexpr std::size_t kRememberedAppends = 5;

AppendAnswer
Refuse(const AppendCall& aCall, AppendRefusal aRefusal)
{
  AppendAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Refused;
  answer.mRefusal = aRefusal;
  return answer;
}

std::int64_t
EndOf(const FakePartition& aPartition)
{
  return static_cast<std::int64_t>(aPartition.mRecords.size());
}

AppendAnswer
Add(FakePartition& aPartition, const AppendCall& aCall)
{
  AppendAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  answer.mOffset = EndOf(aPartition);
  for (const auto& record : aCall.mRecords) {
    if (record.mValue.empty()) {
      aPartition.mNewest.erase(record.mKey);
    } else {
      aPartition.mNewest[record.mKey] = EndOf(aPartition);
    }
    aPartition.mRecords.push_back(record);
  }
  answer.mEnd = EndOf(aPartition);
  return answer;
}

AppendAnswer
AddFenced(FakePartition& aPartition, const AppendCall& aCall)
{
  const auto& fence = *aCall.mFence;
  if (fence.mEpoch < aPartition.mEpoch) {
    return Refuse(aCall, AppendRefusal::Fenced);
  }
  if (fence.mEpoch > aPartition.mEpoch) {
    aPartition.mEpoch = fence.mEpoch;
    aPartition.mNextSequence = fence.mSequence;
    aPartition.mLastAppends.clear();
  }
  if (aCall.mRecords.empty()) {
    return Add(aPartition, aCall);
  }
  for (const auto& last : aPartition.mLastAppends) {
    if (last.mSequence == fence.mSequence) {
      return last.mAnswer;
    }
  }
  if (fence.mSequence != aPartition.mNextSequence) {
    auto answer = Refuse(aCall, AppendRefusal::Sequence);
    answer.mExpectedSequence = aPartition.mNextSequence;
    return answer;
  }
  ++aPartition.mNextSequence;
  auto answer = Add(aPartition, aCall);
  aPartition.mLastAppends.push_back({ fence.mSequence, answer });
  if (aPartition.mLastAppends.size() > kRememberedAppends) {
    aPartition.mLastAppends.erase(aPartition.mLastAppends.begin());
  }
  return answer;
}

// Assigns the partitions round-robin to the members, in the order of their names.
void
AssignPartitions(FakeGroup& aGroup)
{
  ++aGroup.mGeneration;
  std::vector<std::string> names;
  for (const auto& [name, member] : aGroup.mMembers) {
    names.push_back(name);
  }
  for (int partition = 0; partition < aGroup.mPartitions; ++partition) {
    if (names.empty()) {
      aGroup.mAssigned.erase(partition);
      continue;
    }
    aGroup.mAssigned[partition] = names[static_cast<std::size_t>(partition) % names.size()];
  }
}

void
RemoveMember(FakeGroup& aGroup, const std::string& aName)
{
  aGroup.mMembers.erase(aName);
  std::erase_if(aGroup.mHeld, [&](const auto& aEntry) { return aEntry.second == aName; });
}

void
RemoveExpired(FakeGroup& aGroup, schedule::Instant aNow)
{
  std::vector<std::string> expired;
  for (const auto& [name, member] : aGroup.mMembers) {
    if (aNow - member.mLastJoin > aGroup.mTimeToLive) {
      expired.push_back(name);
    }
  }
  for (const auto& name : expired) {
    RemoveMember(aGroup, name);
  }
  if (!expired.empty()) {
    AssignPartitions(aGroup);
  }
}

}

AppendAnswer
Append(FakeStore& aStore, const AppendCall& aCall)
{
  auto& partition = aStore.mPartitions[{ aCall.mStream, aCall.mPartition }];
  if (aCall.mExpectedEnd && *aCall.mExpectedEnd != EndOf(partition)) {
    auto answer = Refuse(aCall, AppendRefusal::EndMismatch);
    answer.mEnd = EndOf(partition);
    return answer;
  }
  return aCall.mFence ? AddFenced(partition, aCall) : Add(partition, aCall);
}

schedule::ReadAnswer
Read(const FakeStore& aStore, const schedule::ReadCall& aCall)
{
  schedule::ReadAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  auto found = aStore.mPartitions.find({ aCall.mStream, aCall.mPartition });
  if (found == aStore.mPartitions.end()) {
    return answer;
  }
  const auto& partition = found->second;
  if (aCall.mFrom < partition.mFirst) {
    answer.mResult = CallResult::Refused;
    answer.mTrimmed = true;
    return answer;
  }
  for (auto offset = aCall.mFrom; offset < EndOf(partition); ++offset) {
    const auto& record = partition.mRecords[static_cast<std::size_t>(offset)];
    answer.mRecords.push_back({ record.mKey, record.mValue, offset });
  }
  answer.mEnd = EndOf(partition);
  return answer;
}

schedule::ReadNewestAnswer
Newest(const FakeStore& aStore, const schedule::ReadNewestCall& aCall)
{
  schedule::ReadNewestAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  auto found = aStore.mPartitions.find({ aCall.mStream, aCall.mPartition });
  if (found == aStore.mPartitions.end()) {
    return answer;
  }
  const auto& partition = found->second;
  answer.mEnd = EndOf(partition);
  for (auto entry = partition.mNewest.upper_bound(aCall.mAfterKey);
       entry != partition.mNewest.end();
       ++entry) {
    if (answer.mRecords.size() == aStore.mPageSize) {
      answer.mHasMore = true;
      return answer;
    }
    const auto& record = partition.mRecords[static_cast<std::size_t>(entry->second)];
    answer.mRecords.push_back({ record.mKey, record.mValue, entry->second });
  }
  return answer;
}

schedule::JoinAnswer
Join(FakeStore& aStore,
     const std::string& aMember,
     const schedule::JoinCall& aCall,
     schedule::Instant aNow)
{
  auto& group = aStore.mGroup;
  RemoveExpired(group, aNow);
  auto [member, isNew] = group.mMembers.try_emplace(aMember);
  member->second.mLastJoin = aNow;
  member->second.mGeneration = aCall.mGeneration;
  if (isNew) {
    AssignPartitions(group);
  }
  schedule::JoinAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  answer.mGeneration = group.mGeneration;
  for (auto& [partition, assigned] : group.mAssigned) {
    auto holder = group.mHeld.find(partition);
    auto isReleased =
      holder == group.mHeld.end() ||
      (holder->second == aMember && assigned != aMember && aCall.mGeneration >= group.mGeneration);
    if (isReleased && holder != group.mHeld.end()) {
      group.mHeld.erase(holder);
    }
    if (assigned == aMember && !group.mHeld.contains(partition)) {
      group.mHeld[partition] = aMember;
    }
    if (assigned == aMember && group.mHeld[partition] == aMember) {
      answer.mPartitions.push_back(partition);
    }
  }
  return answer;
}

std::map<int, std::string>
Owners(FakeStore& aStore, schedule::Instant aNow)
{
  RemoveExpired(aStore.mGroup, aNow);
  return aStore.mGroup.mHeld;
}

void
Leave(FakeStore& aStore, const std::string& aMember)
{
  RemoveMember(aStore.mGroup, aMember);
  AssignPartitions(aStore.mGroup);
}

void
ReassignPartitions(FakeStore& aStore)
{
  auto& group = aStore.mGroup;
  ++group.mGeneration;
  std::vector<std::string> names;
  for (const auto& [partition, name] : group.mAssigned) {
    names.push_back(name);
  }
  std::size_t next = 1;
  for (auto& [partition, name] : group.mAssigned) {
    name = names[next % names.size()];
    ++next;
  }
  group.mHeld.clear();
}

void
TrimHistory(FakeStore& aStore)
{
  for (auto& [key, partition] : aStore.mPartitions) {
    partition.mFirst = EndOf(partition);
  }
}

}
