#include "Http.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <optional>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <set>
#include <sstream>
#include <string>
#include <vector>

// A stand-in of the platform: its store, which is a log with keyed topics and groups, and its list
// of machines. It keeps the sizes of records and requests that the platform's settings state.
namespace {

using review::Incoming;
using review::Query;
using review::Reply;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooLarge = 413;
constexpr std::size_t kRecordBytes = 262144;
constexpr std::size_t kRequestBytes = 2097152;
constexpr std::size_t kHeaderBytes = 4;
constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kRememberedAppends = 5;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1000000;
constexpr std::size_t kPartitions = 24;
constexpr int kCheckInsUntilGone = 3;

struct Appended
{
  std::int64_t mSequence = 0;
  std::string mAnswer;
};

struct Newest
{
  std::string mValue;
  std::int64_t mOffset = 0;
};

struct Partition
{
  std::deque<std::string> mRecords;
  std::int64_t mFirst = 0;
  std::map<std::string, Newest> mNewest;
  std::int64_t mEpoch = -1;
  std::optional<std::int64_t> mNextSequence;
  std::deque<Appended> mLast;
};

struct WaitingRead
{
  evhttp_request* mRequest = nullptr;
  Query mQuery;
  std::int64_t mUntil = 0;
};

struct Member
{
  std::int64_t mUntil = 0;
};

// Which member has each partition of the one topic of a group, and which is to get it.
struct Group
{
  std::int64_t mGeneration = 0;
  std::map<std::string, Member> mMembers;
  std::vector<std::string> mHolders = std::vector<std::string>(kPartitions);
  std::vector<std::string> mTargets = std::vector<std::string>(kPartitions);
  std::string mTopic;
};

struct CheckIn
{
  std::int64_t mAt = 0;
  std::int64_t mIntervalMs = 0;
};

struct Platform
{
  event_base* mBase = nullptr;
  std::map<std::pair<std::string, int>, Partition> mLog;
  std::list<WaitingRead> mReads;
  std::map<std::string, Group> mGroups;
  std::map<std::string, CheckIn> mCheckIns;
  std::string mRecordFile;
};

std::string
TextOf(const Query& aQuery, const std::string& aName)
{
  auto found = aQuery.find(aName);
  return found == aQuery.end() ? std::string() : found->second;
}

std::int64_t
NumberOf(const Query& aQuery, const std::string& aName, std::int64_t aDefault = 0)
{
  auto text = TextOf(aQuery, aName);
  return text.empty() ? aDefault : std::stoll(text);
}

Partition&
PartitionOf(Platform& aPlatform, const Query& aQuery)
{
  return aPlatform.mLog[{ TextOf(aQuery, "topic"), static_cast<int>(NumberOf(aQuery, "part")) }];
}

std::int64_t
EndOf(const Partition& aPartition)
{
  return aPartition.mFirst + static_cast<std::int64_t>(aPartition.mRecords.size());
}

std::string
BigEndian(std::uint64_t aValue, int aBytes)
{
  constexpr int kBits = 8;
  constexpr std::uint64_t kMask = 0xff;
  std::string text;
  for (auto shift = (aBytes - 1) * kBits; shift >= 0; shift -= kBits) {
    text.push_back(static_cast<char>((aValue >> shift) & kMask));
  }
  return text;
}

// Splits a body into records. Returns nothing if one of them is incomplete.
std::optional<std::vector<std::string>>
SplitRecords(const std::string& aBody)
{
  constexpr int kBits = 8;
  std::vector<std::string> records;
  std::size_t at = 0;
  while (at + kHeaderBytes <= aBody.size()) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < kHeaderBytes; ++i) {
      length = length << kBits | static_cast<unsigned char>(aBody[at + i]);
    }
    at += kHeaderBytes;
    if (at + length > aBody.size()) {
      return std::nullopt;
    }
    records.push_back(aBody.substr(at, length));
    at += length;
  }
  return records;
}

void
NoteKey(Partition& aPartition, const std::string& aRecord, std::int64_t aOffset)
{
  auto length = static_cast<unsigned char>(aRecord.front());
  auto key = aRecord.substr(1, length);
  auto value = aRecord.substr(std::size_t(1) + length);
  if (value.empty()) {
    aPartition.mNewest.erase(key);
  } else {
    aPartition.mNewest[key] = { value, aOffset };
  }
}

void
AddRecords(Partition& aPartition, bool aIsKeyed, const std::vector<std::string>& aRecords)
{
  for (const auto& record : aRecords) {
    if (aIsKeyed && !record.empty()) {
      NoteKey(aPartition, record, EndOf(aPartition));
    }
    aPartition.mRecords.push_back(record);
  }
}

std::string
ReadAnswer(const Partition& aPartition, const Query& aQuery)
{
  auto from = NumberOf(aQuery, "from");
  auto limit = static_cast<std::size_t>(NumberOf(aQuery, "maxKb", kKilobyte)) * kKilobyte;
  auto body = BigEndian(static_cast<std::uint64_t>(EndOf(aPartition)), 8) +
              BigEndian(static_cast<std::uint64_t>(aPartition.mFirst), 8);
  auto empty = body.size();
  for (auto at = from; at < EndOf(aPartition); ++at) {
    const auto& record = aPartition.mRecords[static_cast<std::size_t>(at - aPartition.mFirst)];
    if (body.size() > empty && body.size() + record.size() > limit) {
      break;
    }
    body += BigEndian(record.size(), kHeaderBytes) + record;
  }
  return body;
}

void
AnswerReads(Platform& aPlatform)
{
  auto now = review::UnixMilliseconds();
  aPlatform.mReads.remove_if([&](const WaitingRead& aRead) {
    auto& partition = PartitionOf(aPlatform, aRead.mQuery);
    if (NumberOf(aRead.mQuery, "from") >= EndOf(partition) && now < aRead.mUntil) {
      return false;
    }
    Reply(aRead.mRequest, kOk, ReadAnswer(partition, aRead.mQuery));
    return true;
  });
}

void
OnRead(Platform& aPlatform, const Incoming& aIncoming)
{
  auto& partition = PartitionOf(aPlatform, aIncoming.mQuery);
  if (NumberOf(aIncoming.mQuery, "from") < partition.mFirst) {
    Reply(aIncoming.mRequest, kGone, "{\"first\":" + std::to_string(partition.mFirst) + "}");
    return;
  }
  auto until = review::UnixMilliseconds() + NumberOf(aIncoming.mQuery, "waitMs");
  aPlatform.mReads.push_back({ aIncoming.mRequest, aIncoming.mQuery, until });
  AnswerReads(aPlatform);
}

// Checks the producer's epoch and sequence number. Returns whether the append is answered.
bool
AnswerFenced(Partition& aPartition, const Incoming& aIncoming)
{
  const auto& query = aIncoming.mQuery;
  auto epoch = NumberOf(query, "epoch");
  auto sequence = NumberOf(query, "seq");
  if (epoch < aPartition.mEpoch) {
    Reply(aIncoming.mRequest, kConflict, R"({"reason":"fenced"})");
    return true;
  }
  if (epoch > aPartition.mEpoch) {
    aPartition.mEpoch = epoch;
    aPartition.mNextSequence.reset();
    aPartition.mLast.clear();
  }
  if (aIncoming.mBody.empty()) {
    Reply(aIncoming.mRequest,
          kOk,
          "{\"offset\":" + std::to_string(EndOf(aPartition)) +
            ",\"end\":" + std::to_string(EndOf(aPartition)) + "}");
    return true;
  }
  for (const auto& last : aPartition.mLast) {
    if (last.mSequence == sequence) {
      Reply(aIncoming.mRequest, kOk, last.mAnswer);
      return true;
    }
  }
  if (aPartition.mNextSequence && sequence != *aPartition.mNextSequence) {
    Reply(aIncoming.mRequest,
          kConflict,
          R"({"reason":"seq","seq":)" + std::to_string(*aPartition.mNextSequence) + "}");
    return true;
  }
  return false;
}

void
OnAppend(Platform& aPlatform, const Incoming& aIncoming)
{
  auto records = SplitRecords(aIncoming.mBody);
  if (!records) {
    Reply(aIncoming.mRequest, kBadRequest, "{}");
    return;
  }
  std::size_t largest = 0;
  for (const auto& record : *records) {
    largest = std::max(largest, record.size());
  }
  if (largest > kRecordBytes || aIncoming.mBody.size() > kRequestBytes) {
    review::Record(aPlatform.mRecordFile,
                   "store refuses an append to " + TextOf(aIncoming.mQuery, "topic") +
                     ": its largest record has " + std::to_string(largest) + " bytes");
    Reply(aIncoming.mRequest, kTooLarge, R"({"reason":"size"})");
    return;
  }
  auto& partition = PartitionOf(aPlatform, aIncoming.mQuery);
  if (aIncoming.mQuery.contains("at") && NumberOf(aIncoming.mQuery, "at") != EndOf(partition)) {
    Reply(aIncoming.mRequest,
          kPreconditionFailed,
          "{\"end\":" + std::to_string(EndOf(partition)) + "}");
    return;
  }
  auto isFenced = aIncoming.mQuery.contains("epoch");
  if (isFenced && AnswerFenced(partition, aIncoming)) {
    return;
  }
  auto answer = "{\"offset\":" + std::to_string(EndOf(partition));
  AddRecords(partition, TextOf(aIncoming.mQuery, "topic").starts_with("keyed."), *records);
  answer += ",\"end\":" + std::to_string(EndOf(partition)) + "}";
  if (isFenced) {
    auto sequence = NumberOf(aIncoming.mQuery, "seq");
    partition.mNextSequence = sequence + 1;
    partition.mLast.push_back({ sequence, answer });
    if (partition.mLast.size() > kRememberedAppends) {
      partition.mLast.pop_front();
    }
  }
  Reply(aIncoming.mRequest, kOk, answer);
  AnswerReads(aPlatform);
}

std::string
Base64(const std::string& aBytes)
{
  static const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  unsigned value = 0;
  int bits = 0;
  for (unsigned char byte : aBytes) {
    value = value << 8U | byte;
    bits += 8;
    while (bits >= 6) {
      bits -= 6;
      text.push_back(kDigits[value >> bits & 63U]);
    }
  }
  if (bits > 0) {
    text.push_back(kDigits[value << (6 - bits) & 63U]);
  }
  while (text.size() % 4 != 0) {
    text.push_back('=');
  }
  return text;
}

void
OnNewest(Platform& aPlatform, const Incoming& aIncoming)
{
  auto& partition = PartitionOf(aPlatform, aIncoming.mQuery);
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartObject();
  writer.Key("items");
  writer.StartArray();
  std::size_t items = 0;
  auto next = partition.mNewest.upper_bound(TextOf(aIncoming.mQuery, "after"));
  for (; next != partition.mNewest.end() && items < kPageItems && buffer.GetSize() < kPageBytes;
       ++next) {
    writer.StartObject();
    writer.Key("key");
    writer.String(next->first.c_str());
    writer.Key("value");
    writer.String(Base64(next->second.mValue).c_str());
    writer.Key("offset");
    writer.Int64(next->second.mOffset);
    writer.EndObject();
    ++items;
  }
  writer.EndArray();
  writer.Key("hasMore");
  writer.Bool(next != partition.mNewest.end());
  writer.Key("end");
  writer.Int64(EndOf(partition));
  writer.EndObject();
  Reply(aIncoming.mRequest, kOk, buffer.GetString());
}

// Distributes the partitions evenly; a member keeps what it may.
void
Distribute(Group& aGroup)
{
  ++aGroup.mGeneration;
  std::map<std::string, std::size_t> counts;
  for (const auto& [name, member] : aGroup.mMembers) {
    counts[name] = 0;
  }
  auto most = counts.empty() ? 0 : (kPartitions + counts.size() - 1) / counts.size();
  for (auto& target : aGroup.mTargets) {
    auto found = counts.find(target);
    if (found == counts.end() || found->second >= most) {
      target.clear();
    } else {
      ++found->second;
    }
  }
  for (auto& target : aGroup.mTargets) {
    if (target.empty() && !counts.empty()) {
      auto least =
        std::min_element(counts.begin(), counts.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second < aRight.second;
        });
      target = least->first;
      ++least->second;
    }
  }
}

void
RemoveMember(Group& aGroup, const std::string& aName)
{
  if (aGroup.mMembers.erase(aName) == 0) {
    return;
  }
  std::replace(aGroup.mHolders.begin(), aGroup.mHolders.end(), aName, std::string());
  Distribute(aGroup);
}

void
ExpireMembers(Group& aGroup)
{
  auto now = review::UnixMilliseconds();
  std::vector<std::string> expired;
  for (const auto& [name, member] : aGroup.mMembers) {
    if (member.mUntil < now) {
      expired.push_back(name);
    }
  }
  for (const auto& name : expired) {
    RemoveMember(aGroup, name);
  }
}

std::string
MemberText(const rapidjson::Document& aDocument, const char* aName)
{
  return aDocument.IsObject() && aDocument.HasMember(aName) && aDocument[aName].IsString()
           ? aDocument[aName].GetString()
           : "";
}

void
OnJoin(Platform& aPlatform, const Incoming& aIncoming)
{
  rapidjson::Document document;
  document.Parse(aIncoming.mBody.c_str());
  auto name = MemberText(document, "memberId");
  if (name.empty()) {
    Reply(aIncoming.mRequest, kBadRequest, "{}");
    return;
  }
  auto& group = aPlatform.mGroups[MemberText(document, "group")];
  group.mTopic = document["topics"][0].GetString();
  ExpireMembers(group);
  auto isNew = !group.mMembers.contains(name);
  group.mMembers[name] = { review::UnixMilliseconds() + document["ttlMs"].GetInt64() };
  if (isNew) {
    Distribute(group);
  }
  auto hasSeenAll = document["generation"].GetInt64() >= group.mGeneration;
  std::string rows;
  for (std::size_t i = 0; i < kPartitions; ++i) {
    auto& holder = group.mHolders[i];
    if (holder == name && group.mTargets[i] != name && hasSeenAll) {
      holder.clear();
    }
    if (group.mTargets[i] == name && (holder.empty() || holder == name)) {
      holder = name;
      rows += (rows.empty() ? "[\"" : ",[\"") + group.mTopic + "\"," + std::to_string(i) + ",0]";
    }
  }
  Reply(aIncoming.mRequest,
        kOk,
        "{\"generation\":" + std::to_string(group.mGeneration) + ",\"parts\":[" + rows + "]}");
}

void
OnLeave(Platform& aPlatform, const Incoming& aIncoming)
{
  rapidjson::Document document;
  document.Parse(aIncoming.mBody.c_str());
  RemoveMember(aPlatform.mGroups[MemberText(document, "group")], MemberText(document, "memberId"));
  Reply(aIncoming.mRequest, kOk, "{}");
}

void
OnOwners(Platform& aPlatform, const Incoming& aIncoming)
{
  auto& group = aPlatform.mGroups[TextOf(aIncoming.mQuery, "group")];
  ExpireMembers(group);
  std::string rows;
  for (std::size_t i = 0; i < kPartitions && !group.mTopic.empty(); ++i) {
    rows += (rows.empty() ? "[\"" : ",[\"") + group.mTopic + "\"," + std::to_string(i) + ",\"" +
            group.mHolders[i] + "\",0]";
  }
  Reply(aIncoming.mRequest, kOk, "{\"parts\":[" + rows + "]}");
}

void
AddKeyed(Platform& aPlatform,
         const std::string& aTopic,
         const std::string& aKey,
         const std::string& aValue)
{
  auto record = std::string(1, static_cast<char>(aKey.size())) + aKey + aValue;
  AddRecords(aPlatform.mLog[{ aTopic, 0 }], true, { record });
  AnswerReads(aPlatform);
}

void
OnMachines(Platform& aPlatform, const Incoming& aIncoming)
{
  std::string rows;
  for (const auto& [id, entry] : aPlatform.mLog[{ "keyed.servers", 0 }].mNewest) {
    rapidjson::Document document;
    document.Parse(entry.mValue.c_str());
    rows += rows.empty() ? "" : ",";
    rows += R"({"machine":"m-)";
    rows += id;
    rows += R"(","pool":")";
    rows += MemberText(document, "service");
    rows += R"(","state":"up","zone":"a","id":")";
    rows += id;
    rows += "\"}";
  }
  Reply(aIncoming.mRequest, kOk, "{\"machines\":[" + rows + "],\"nextToken\":null}");
}

// An executor writes its entry, which is removed after three intervals of silence.
void
OnCheckIn(Platform& aPlatform, const Incoming& aIncoming)
{
  auto id = TextOf(aIncoming.mQuery, "id");
  aPlatform.mCheckIns[id] = { review::UnixMilliseconds(), NumberOf(aIncoming.mQuery, "interval") };
  AddKeyed(aPlatform, "keyed.servers", id, aIncoming.mBody);
  Reply(aIncoming.mRequest, kOk, "{}");
}

void
RemoveSilent(Platform& aPlatform)
{
  auto now = review::UnixMilliseconds();
  std::erase_if(aPlatform.mCheckIns, [&](const auto& aEntry) {
    const auto& [id, checkIn] = aEntry;
    auto isSilent = now - checkIn.mAt > kCheckInsUntilGone * checkIn.mIntervalMs;
    if (isSilent) {
      review::Record(aPlatform.mRecordFile, "store removes the entry of " + id);
      AddKeyed(aPlatform, "keyed.servers", id, {});
    }
    return isSilent;
  });
}

void
OnRequest(Platform& aPlatform, const Incoming& aIncoming)
{
  static const std::map<std::string, void (*)(Platform&, const Incoming&)> kHandlers{
    { "/sesameseam/log-append", OnAppend }, { "/sesameseam/log-read", OnRead },
    { "/sesameseam/log-newest", OnNewest }, { "/sesameseam/log-join", OnJoin },
    { "/sesameseam/log-leave", OnLeave },   { "/sesameseam/log-owners", OnOwners },
    { "/sesameseam/machines", OnMachines }, { "/check-in", OnCheckIn },
  };
  auto found = kHandlers.find(aIncoming.mPath);
  if (found == kHandlers.end()) {
    Reply(aIncoming.mRequest, kNotFound, "{}");
    return;
  }
  found->second(aPlatform, aIncoming);
}

}

// Usage: platform ADDRESS CONFIG-FILE RECORD-FILE
int
main(int aCount, char** aArguments)
{
  constexpr int kArguments = 4;
  constexpr int kTickMs = 10;
  if (aCount != kArguments) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  Platform platform;
  platform.mBase = event_base_new();
  platform.mRecordFile = aArguments[3];
  std::ifstream file(aArguments[2]);
  std::ostringstream config;
  config << file.rdbuf();
  AddKeyed(platform, "keyed.op", "config", config.str());
  auto isListening = review::Serve(platform.mBase, aArguments[1], [&](const Incoming& aIncoming) {
    OnRequest(platform, aIncoming);
  });
  if (!isListening) {
    std::cerr << "cannot listen on " << aArguments[1] << "\n";
    return 2;
  }
  review::Every(platform.mBase, kTickMs, [&] {
    AnswerReads(platform);
    RemoveSilent(platform);
  });
  event_base_dispatch(platform.mBase);
  return 0;
}
