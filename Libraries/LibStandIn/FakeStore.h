#pragma once

#include "LibSchedule/Calls.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// A fake of the platform's store for tests: partitions of keyed records with fenced and conditional
// appends, and a consumer group whose members are assigned the partitions.
namespace sesameseam::standin {

struct StoredAppend
{
  std::int64_t mSequence = 0;
  schedule::AppendAnswer mAnswer;
};

struct FakePartition
{
  std::vector<schedule::LogRecord> mRecords;
  // The first offset that can still be read; the records before it were trimmed.
  std::int64_t mFirst = 0;
  std::map<std::string, std::int64_t> mNewest;
  std::int64_t mEpoch = -1;
  std::int64_t mNextSequence = 0;
  std::vector<StoredAppend> mLastAppends;
};

struct FakeMember
{
  schedule::Instant mLastJoin;
  std::int64_t mGeneration = 0;
};

struct FakeGroup
{
  int mPartitions = 24;
  Duration mTimeToLive = 1500ms;
  std::int64_t mGeneration = 0;
  std::map<std::string, FakeMember> mMembers;
  // The member that each partition is assigned to, and the one that holds it. They differ until the
  // former holder releases the partition or expires.
  std::map<int, std::string> mAssigned;
  std::map<int, std::string> mHeld;
};

struct PartitionKey
{
  schedule::Stream mStream = schedule::Stream::Jobs;
  int mPartition = 0;

  auto operator<=>(const PartitionKey&) const = default;
};

struct FakeStore
{
  std::map<PartitionKey, FakePartition> mPartitions;
  FakeGroup mGroup;
  std::size_t mPageSize = 500;
};

schedule::AppendAnswer
Append(FakeStore& aStore, const schedule::AppendCall& aCall);
schedule::ReadAnswer
Read(const FakeStore& aStore, const schedule::ReadCall& aCall);
schedule::ReadNewestAnswer
Newest(const FakeStore& aStore, const schedule::ReadNewestCall& aCall);
schedule::JoinAnswer
Join(FakeStore& aStore,
     const std::string& aMember,
     const schedule::JoinCall& aCall,
     schedule::Instant aNow);
// The member that holds each partition.
std::map<int, std::string>
Owners(FakeStore& aStore, schedule::Instant aNow);
void
Leave(FakeStore& aStore, const std::string& aMember);

// Reassigns all partitions without waiting for their release, as the platform does at times of its
// own accord.
void
ReassignPartitions(FakeStore& aStore);

// Trims all partitions to their ends; the newest record of each key can still be read by key.
void
TrimHistory(FakeStore& aStore);

}
