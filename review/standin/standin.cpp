// A stand-in of the platform for the scripts of this review: the store, the list of machines and
// some executors, on one thread. It follows PROTOCOL.md and decides nothing by itself: faults are
// asked for under /control.
#include "Http.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

using review::HttpServer;
using review::NowMs;
using review::Reply;
using review::Request;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooLarge = 413;
constexpr int kMisdirected = 421;
constexpr std::size_t kRecordBytes = 262144;
constexpr std::size_t kRequestBytes = 2097152;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1 << 20;
constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kStopMs = 300;
constexpr std::int64_t kCheckpointMs = 500;
constexpr std::int64_t kMigrateMs = 1500;
constexpr std::int64_t kGangTimeoutMs = 3000;
constexpr int kFullPace = 100;
// The tail of a task that serves, alone on its executor.
constexpr int kCalmTailMs = 40;
// Three check-in intervals.
constexpr std::int64_t kSilenceMs = 4500;
constexpr std::int64_t kCheckInMs = 1500;

struct Partition
{
  std::vector<std::pair<std::string, std::string>> mRecords;
  std::map<std::string, std::size_t> mNewest;
  std::int64_t mEpoch = 0;
  std::optional<std::int64_t> mNextSequence;
  std::deque<std::pair<std::int64_t, std::string>> mLastAppends;
};

struct Member
{
  std::int64_t mJoinedAt = 0;
  std::int64_t mTtl = 0;
};

struct Run
{
  std::string mSpec;
  std::string mCheckpoint;
  std::int64_t mStartedAt = 0;
  std::int64_t mStopAt = 0;
  // The work that ends it, and what is done of it, in milliseconds at full speed; 0 for a task that
  // lasts.
  std::int64_t mWork = 0;
  double mWorked = 0;
  std::int64_t mWorkedAt = 0;
  int mPace = kFullPace;
  bool mServes = false;
  bool mFills = false;
  // How many tasks its gang has; 0 for a task that works alone.
  int mGang = 0;
  // The checkpoint that its start carried.
  std::string mCarried;
};

struct End
{
  std::int64_t mNumber = 0;
  std::string mTask;
  int mRun = 0;
  std::string mHow;
  std::string mSaved;
};

using RunName = std::pair<std::string, int>;

struct Executor
{
  std::string mId;
  std::string mMachine;
  std::string mPool;
  std::string mRack;
  std::string mAddress;
  std::int64_t mCpu = 0;
  std::int64_t mMemory = 0;
  std::int64_t mBorn = 0;
  std::int64_t mStartedAt = 0;
  std::int64_t mFence = 0;
  std::int64_t mLeaseEnd = 0;
  std::int64_t mNextEnd = 1;
  std::int64_t mDownUntil = 0;
  std::int64_t mSilentSince = 0;
  std::int64_t mNextEntryAt = 0;
  std::int64_t mSequence = 0;
  std::int64_t mMovingUntil = 0;
  std::int64_t mMachineFence = 0;
  std::map<RunName, Run> mRuns;
  std::map<std::string, int> mHighestEnded;
  std::vector<End> mEnds;
};

struct Waiting
{
  std::size_t mExecutor = 0;
  std::string mTopic;
  int mPart = 0;
  std::size_t mFrom = 0;
  std::int64_t mUntil = 0;
  Request mRequest;
  std::int64_t mBorn = 0;
};

struct Freeze
{
  int mScheduler = -1;
  pid_t mProcess = 0;
  std::int64_t mForMs = 0;
  std::int64_t mWakeAt = 0;
};

std::string
Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

std::string
BigEndian(std::uint64_t aValue, int aBytes)
{
  std::string out;
  for (int i = aBytes - 1; i >= 0; --i) {
    out.push_back(static_cast<char>((aValue >> (8 * i)) & 0xff));
  }
  return out;
}

std::string
Base64(const std::string& aText)
{
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = (bits << 8) | (i + k < aText.size() ? static_cast<unsigned char>(aText[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out.push_back(i + k <= aText.size() ? kDigits[(bits >> (18 - 6 * k)) & 63] : '=');
    }
  }
  return out;
}

std::string
TextOf(const rapidjson::Document& aJson, const char* aName)
{
  return aJson.IsObject() && aJson.HasMember(aName) && aJson[aName].IsString()
           ? aJson[aName].GetString()
           : "";
}

std::int64_t
NumberOf(const rapidjson::Document& aJson, const char* aName)
{
  return aJson.IsObject() && aJson.HasMember(aName) && aJson[aName].IsInt64()
           ? aJson[aName].GetInt64()
           : 0;
}

class Platform
{
public:
  Platform(const std::vector<std::string>& aStores,
           std::vector<Executor> aExecutors,
           const std::string& aRecord)
    : mRecordFile(aRecord, std::ios::app)
    , mStores(aStores.size())
    , mExecutors(std::move(aExecutors))
  {
    for (const auto& address : aStores) {
      mServer.Listen(address);
    }
    for (auto& executor : mExecutors) {
      mServer.Listen(executor.mAddress);
      Boot(executor);
    }
  }

  void Run()
  {
    while (true) {
      for (auto& request : mServer.Poll(5)) {
        Handle(std::move(request));
      }
      Tick();
    }
  }

private:
  void Note(const std::string& aText) { mRecordFile << NowMs() << " " << aText << std::endl; }

  Partition& PartitionOf(const std::string& aTopic, int aPart)
  {
    return mPartitions[{ aTopic, aPart }];
  }

  void Add(Partition& aPartition, const std::string& aKey, const std::string& aValue)
  {
    if (aValue.empty()) {
      aPartition.mNewest.erase(aKey);
    } else {
      aPartition.mNewest[aKey] = aPartition.mRecords.size();
    }
    aPartition.mRecords.emplace_back(aKey, aValue);
  }

  // Executors.

  std::int64_t ClockOf(const Executor& aExecutor) { return NowMs() - aExecutor.mStartedAt + 1000; }

  void Boot(Executor& aExecutor)
  {
    auto now = NowMs();
    aExecutor.mBorn = std::max(now, aExecutor.mBorn + 1);
    aExecutor.mStartedAt = now;
    aExecutor.mFence = 0;
    aExecutor.mLeaseEnd = 0;
    aExecutor.mNextEnd = 1;
    aExecutor.mSequence = 0;
    aExecutor.mNextEntryAt = 0;
    aExecutor.mRuns.clear();
    aExecutor.mEnds.clear();
    aExecutor.mHighestEnded.clear();
  }

  void WriteEntry(Executor& aExecutor)
  {
    std::string entry =
      "{\"service\":" + Quoted(aExecutor.mPool) + ",\"address\":" + Quoted(aExecutor.mAddress) +
      ",\"zone\":\"z\",\"version\":\"v1\",\"capacity\":8,\"state\":\"ready\"," +
      "\"coldMs\":0,\"born\":" + std::to_string(aExecutor.mBorn) +
      ",\"room\":{\"cpu\":" + std::to_string(aExecutor.mCpu) +
      ",\"memMb\":" + std::to_string(aExecutor.mMemory) + ",\"gpu\":0},\"labels\":[\"a\"," +
      Quoted(aExecutor.mRack) + "],\"clockMs\":" + std::to_string(ClockOf(aExecutor)) +
      ",\"seq\":" + std::to_string(++aExecutor.mSequence) + "}";
    Add(PartitionOf("keyed.servers", 0), aExecutor.mId, entry);
  }

  void EndRun(Executor& aExecutor, const RunName& aName, const std::string& aHow)
  {
    auto& run = aExecutor.mRuns.at(aName);
    Note("end " + aName.first + " run " + std::to_string(aName.second) + " on " + aExecutor.mId +
         " " + aHow);
    aExecutor.mEnds.push_back(
      { aExecutor.mNextEnd++, aName.first, aName.second, aHow, run.mCheckpoint });
    auto& highest = aExecutor.mHighestEnded[aName.first];
    highest = std::max(highest, aName.second);
    aExecutor.mRuns.erase(aName);
  }

  void AdvanceExecutor(Executor& aExecutor)
  {
    auto now = NowMs();
    if (aExecutor.mDownUntil > 0) {
      if (aExecutor.mSilentSince > 0 && now - aExecutor.mSilentSince > kSilenceMs) {
        Add(PartitionOf("keyed.servers", 0), aExecutor.mId, "");
        aExecutor.mSilentSince = 0;
        Note("entry removed " + aExecutor.mId);
      }
      if (now < aExecutor.mDownUntil) {
        return;
      }
      aExecutor.mDownUntil = 0;
      Boot(aExecutor);
      mServer.Listen(aExecutor.mAddress);
      Note("boot " + aExecutor.mId);
    }
    if (aExecutor.mMovingUntil > 0 && now >= aExecutor.mMovingUntil) {
      aExecutor.mMovingUntil = 0;
      Boot(aExecutor);
      Note("joined " + aExecutor.mId + " pool " + aExecutor.mPool);
    }
    if (aExecutor.mMovingUntil == 0 && now >= aExecutor.mNextEntryAt) {
      aExecutor.mNextEntryAt = now + kCheckInMs;
      WriteEntry(aExecutor);
    }
    std::vector<std::pair<RunName, std::string>> ended;
    auto lapsed = ClockOf(aExecutor) >= aExecutor.mLeaseEnd;
    for (auto& [name, run] : aExecutor.mRuns) {
      if (run.mGang == 0) {
        run.mCheckpoint = CheckpointAt(now - run.mStartedAt);
      }
      run.mWorked += static_cast<double>((now - run.mWorkedAt) * run.mPace) / kFullPace;
      run.mWorkedAt = now;
      if (run.mStopAt > 0 && now >= run.mStopAt) {
        ended.emplace_back(name, "stopped");
      } else if (run.mWork > 0 && run.mWorked >= static_cast<double>(run.mWork)) {
        ended.emplace_back(name, "done");
      } else if (lapsed) {
        ended.emplace_back(name, "lapsed");
      }
    }
    for (const auto& [name, how] : ended) {
      EndRun(aExecutor, name, how);
    }
  }

  // The checkpoint after so much work.
  static std::string CheckpointAt(std::int64_t aWorkMs)
  {
    char text[32];
    std::snprintf(
      text, sizeof text, "%016llx", static_cast<unsigned long long>(aWorkMs / kCheckpointMs));
    return text;
  }

  void ExtendLease(Executor& aExecutor, std::int64_t aDeadline)
  {
    auto latest = ClockOf(aExecutor) + kMaxHoldMs;
    aExecutor.mLeaseEnd = std::max(aExecutor.mLeaseEnd, std::min(aDeadline, latest));
  }

  Reply Refusal(const Executor& aExecutor, const char* aReason)
  {
    return { kConflict,
             "{\"clockMs\":" + std::to_string(ClockOf(aExecutor)) + ",\"reason\":\"" + aReason +
               "\"}" };
  }

  static int PercentOf(const struct Run& aRun)
  {
    return aRun.mWork == 0
             ? kFullPace
             : static_cast<int>(kFullPace * aRun.mWorked / static_cast<double>(aRun.mWork));
  }

  int TailOf(const Executor& aExecutor) const
  {
    int filling = 0;
    for (const auto& [name, run] : aExecutor.mRuns) {
      filling += run.mFills ? run.mPace : 0;
    }
    return kCalmTailMs + mInterference * filling;
  }

  Reply Pace(Executor& aExecutor, const rapidjson::Document& aBody)
  {
    RunName name{ TextOf(aBody, "task"), static_cast<int>(NumberOf(aBody, "run")) };
    auto run = aExecutor.mRuns.find(name);
    if (run != aExecutor.mRuns.end()) {
      run->second.mPace = static_cast<int>(NumberOf(aBody, "percent"));
      Note("pace " + name.first + " " + std::to_string(run->second.mPace) + " percent, fence " +
           std::to_string(aExecutor.mFence));
    }
    return { kOk, "{\"clockMs\":" + std::to_string(ClockOf(aExecutor)) + "}" };
  }

  Reply Lists(const Executor& aExecutor)
  {
    std::string running;
    for (const auto& [name, run] : aExecutor.mRuns) {
      running += (running.empty() ? "" : ",") + std::string("[") + Quoted(name.first) + "," +
                 std::to_string(name.second) + "," + Quoted(run.mCheckpoint) + "," +
                 std::to_string(PercentOf(run)) + "," +
                 std::to_string(run.mServes ? TailOf(aExecutor) : 0) + "]";
    }
    std::string ends;
    std::size_t listed = 0;
    for (const auto& end : aExecutor.mEnds) {
      if (++listed > 500) {
        break;
      }
      ends += (ends.empty() ? "" : ",") + std::string("[") + std::to_string(end.mNumber) + "," +
              Quoted(end.mTask) + "," + std::to_string(end.mRun) + "," + Quoted(end.mHow) + "," +
              Quoted(end.mSaved) + "]";
    }
    return { kOk,
             "{\"clockMs\":" + std::to_string(ClockOf(aExecutor)) +
               ",\"born\":" + std::to_string(aExecutor.mBorn) + ",\"running\":[" + running +
               "],\"finished\":[" + ends + "]}" };
  }

  Reply Start(Executor& aExecutor, const rapidjson::Document& aBody)
  {
    RunName name{ TextOf(aBody, "task"), static_cast<int>(NumberOf(aBody, "run")) };
    if (aExecutor.mRuns.contains(name)) {
      return { kOk, "{\"clockMs\":" + std::to_string(ClockOf(aExecutor)) + "}" };
    }
    auto ended = aExecutor.mHighestEnded.find(name.first);
    if (ended != aExecutor.mHighestEnded.end() && name.second <= ended->second) {
      return Refusal(aExecutor, "old");
    }
    if (NumberOf(aBody, "deadlineMs") <= ClockOf(aExecutor)) {
      return Refusal(aExecutor, "late");
    }
    ExtendLease(aExecutor, NumberOf(aBody, "deadlineMs"));
    struct Run run;
    run.mSpec = TextOf(aBody, "spec");
    run.mStartedAt = NowMs();
    run.mWorkedAt = NowMs();
    run.mCarried = TextOf(aBody, "lastCheckpoint");
    run.mGang = run.mSpec.starts_with("gang ") ? std::atoi(run.mSpec.c_str() + 5) : 0;
    run.mCheckpoint = run.mCarried;
    run.mServes = run.mSpec == "serves";
    run.mFills = run.mSpec.starts_with("fills ");
    auto lasts = run.mServes || run.mGang > 0 || run.mSpec == "lasts";
    run.mWork = lasts ? 0 : std::atoll(run.mSpec.c_str() + (run.mFills ? 6 : 0));
    aExecutor.mRuns[name] = run;
    Note("start " + name.first + " run " + std::to_string(name.second) + " on " + aExecutor.mId +
         " pool " + aExecutor.mPool + " fence " + std::to_string(aExecutor.mFence) +
         (run.mGang > 0 ? " checkpoint '" + run.mCarried + "'" : ""));
    return { kOk, "{\"clockMs\":" + std::to_string(ClockOf(aExecutor)) + "}" };
  }

  Reply Stop(Executor& aExecutor, const rapidjson::Document& aBody)
  {
    RunName name{ TextOf(aBody, "task"), static_cast<int>(NumberOf(aBody, "run")) };
    Note("stop " + name.first + " run " + std::to_string(name.second) + " on " + aExecutor.mId);
    auto run = aExecutor.mRuns.find(name);
    if (run == aExecutor.mRuns.end()) {
      auto& highest = aExecutor.mHighestEnded[name.first];
      highest = std::max(highest, name.second);
    } else if (run->second.mStopAt == 0) {
      run->second.mStopAt = NowMs() + kStopMs;
    }
    return { kOk, "{\"clockMs\":" + std::to_string(ClockOf(aExecutor)) + "}" };
  }

  void HandleExecutor(std::size_t aIndex, Request aRequest)
  {
    auto& executor = mExecutors[aIndex];
    AdvanceExecutor(executor);
    if (executor.mMovingUntil > 0 || executor.mDownUntil > 0) {
      mServer.Drop(aRequest);
      return;
    }
    if (aRequest.Header("expect-instance") != executor.mId) {
      mServer.Answer(aRequest, { kMisdirected, "{}" });
      return;
    }
    rapidjson::Document body;
    body.Parse(aRequest.mBody.data(), aRequest.mBody.size());
    auto fence = NumberOf(body, "fence");
    if (fence < executor.mFence) {
      mServer.Answer(aRequest, Refusal(executor, "fence"));
      return;
    }
    executor.mFence = fence;
    if (aRequest.mPath == "/sesameseam/run-start") {
      mServer.Answer(aRequest, Start(executor, body));
    } else if (aRequest.mPath == "/sesameseam/run-stop") {
      mServer.Answer(aRequest, Stop(executor, body));
    } else if (aRequest.mPath == "/sesameseam/pace") {
      mServer.Answer(aRequest, Pace(executor, body));
    } else if (aRequest.mPath == "/sesameseam/hold") {
      auto seen = NumberOf(body, "lastSeen");
      std::erase_if(executor.mEnds, [&](const End& aEnd) { return aEnd.mNumber <= seen; });
      if (NumberOf(body, "deadlineMs") > 0) {
        ExtendLease(executor, NumberOf(body, "deadlineMs"));
      }
      Waiting waiting;
      waiting.mExecutor = aIndex + 1;
      waiting.mUntil = NowMs() + NumberOf(body, "waitMs");
      waiting.mBorn = executor.mBorn;
      waiting.mRequest = std::move(aRequest);
      mWaiting.push_back(std::move(waiting));
    } else {
      mServer.Answer(aRequest, { kOk, "{}" });
    }
  }

  // Gangs. A gang works once all its tasks of one run are there and carry the same checkpoint. The
  // specification is "gang COUNT MILLISECONDS".

  using GangMembers = std::vector<std::pair<Executor*, RunName>>;

  void AdvanceGang(const std::string& aGang, const GangMembers& aMembers, std::int64_t aPassed)
  {
    auto& first = aMembers.front().first->mRuns.at(aMembers.front().second);
    auto isWhole = static_cast<int>(aMembers.size()) == first.mGang;
    std::set<std::string> carried;
    std::int64_t oldest = NowMs();
    for (const auto& [executor, name] : aMembers) {
      carried.insert(executor->mRuns.at(name).mCarried);
      oldest = std::min(oldest, executor->mRuns.at(name).mStartedAt);
    }
    if (mGangWork.contains(aGang) && !isWhole) {
      EndGang(aMembers, "broken");
      return;
    }
    if (!isWhole || carried.size() > 1) {
      if (NowMs() - oldest > kGangTimeoutMs) {
        EndGang(aMembers, "alone");
      }
      return;
    }
    auto& work = mGangWork[aGang];
    work += aPassed;
    auto before = std::strtoll(first.mCarried.c_str(), nullptr, 16) * kCheckpointMs;
    for (const auto& [executor, name] : aMembers) {
      executor->mRuns.at(name).mCheckpoint = CheckpointAt(before + work);
    }
    if (before + work >= std::atoll(first.mSpec.c_str() + first.mSpec.rfind(' '))) {
      EndGang(aMembers, "done");
    }
  }

  void EndGang(const GangMembers& aMembers, const char* aHow)
  {
    for (const auto& [executor, name] : aMembers) {
      EndRun(*executor, name, aHow);
    }
  }

  void AdvanceGangs()
  {
    std::map<std::string, GangMembers> gangs;
    for (auto& executor : mExecutors) {
      for (const auto& [name, run] : executor.mRuns) {
        if (run.mGang > 0) {
          auto step = name.first.substr(0, name.first.rfind('.'));
          gangs[step + " run " + std::to_string(name.second)].emplace_back(&executor, name);
        }
      }
    }
    auto passed = mGangsAt == 0 ? 0 : NowMs() - mGangsAt;
    mGangsAt = NowMs();
    for (const auto& [gang, members] : gangs) {
      AdvanceGang(gang, members, passed);
    }
  }

  // The store.

  Reply Append(const Request& aRequest)
  {
    auto topic = aRequest.Query("topic");
    auto& partition = PartitionOf(topic, std::atoi(aRequest.Query("part").c_str()));
    std::vector<std::pair<std::string, std::string>> records;
    std::string_view rest = aRequest.mBody;
    if (rest.size() > kRequestBytes) {
      return { kTooLarge, "{}" };
    }
    while (rest.size() >= 4) {
      std::size_t length = 0;
      for (int i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<unsigned char>(rest[static_cast<std::size_t>(i)]);
      }
      if (length > kRecordBytes) {
        Note("append refused: a record of " + std::to_string(length) + " bytes for " + topic);
        return { kTooLarge, "{}" };
      }
      auto record = rest.substr(4, length);
      auto key = static_cast<unsigned char>(record.front());
      records.emplace_back(record.substr(1, key), record.substr(std::size_t(1) + key));
      rest.remove_prefix(4 + length);
    }
    if (!aRequest.Query("at").empty() && std::atoll(aRequest.Query("at").c_str()) !=
                                           static_cast<std::int64_t>(partition.mRecords.size())) {
      return { kPreconditionFailed, "{\"end\":" + std::to_string(partition.mRecords.size()) + "}" };
    }
    auto isFenced = !aRequest.Query("epoch").empty();
    auto epoch = std::atoll(aRequest.Query("epoch").c_str());
    auto sequence = std::atoll(aRequest.Query("seq").c_str());
    if (isFenced) {
      if (epoch < partition.mEpoch) {
        return { kConflict, "{\"reason\":\"fenced\"}" };
      }
      if (epoch > partition.mEpoch) {
        partition.mEpoch = epoch;
        partition.mNextSequence.reset();
        partition.mLastAppends.clear();
      }
      for (const auto& [number, answer] : partition.mLastAppends) {
        if (number == sequence && !records.empty()) {
          return { kOk, answer };
        }
      }
      if (!records.empty()) {
        if (partition.mNextSequence && sequence != *partition.mNextSequence) {
          return { kConflict,
                   "{\"reason\":\"seq\",\"seq\":" + std::to_string(*partition.mNextSequence) +
                     "}" };
        }
        partition.mNextSequence = sequence + 1;
      }
    }
    auto offset = partition.mRecords.size();
    for (const auto& [key, value] : records) {
      Add(partition, key, value);
    }
    auto answer = "{\"offset\":" + std::to_string(offset) +
                  ",\"end\":" + std::to_string(partition.mRecords.size()) + "}";
    if (isFenced && !records.empty()) {
      partition.mLastAppends.emplace_back(sequence, answer);
      if (partition.mLastAppends.size() > 5) {
        partition.mLastAppends.pop_front();
      }
    }
    return { kOk, answer };
  }

  std::optional<Reply> Read(const Waiting& aWaiting, bool aIsOver)
  {
    const auto& partition = PartitionOf(aWaiting.mTopic, aWaiting.mPart);
    if (partition.mRecords.size() <= aWaiting.mFrom && !aIsOver) {
      return std::nullopt;
    }
    auto body = BigEndian(partition.mRecords.size(), 8) + BigEndian(0, 8);
    for (auto i = aWaiting.mFrom; i < partition.mRecords.size() && body.size() < kPageBytes; ++i) {
      const auto& [key, value] = partition.mRecords[i];
      body += BigEndian(1 + key.size() + value.size(), 4);
      body.push_back(static_cast<char>(key.size()));
      body += key;
      body += value;
    }
    return Reply{ kOk, std::move(body) };
  }

  Reply Newest(const Request& aRequest)
  {
    const auto& partition =
      PartitionOf(aRequest.Query("topic"), std::atoi(aRequest.Query("part").c_str()));
    std::string items;
    std::size_t count = 0;
    auto entry = partition.mNewest.upper_bound(aRequest.Query("after"));
    for (; entry != partition.mNewest.end() && count < kPageItems && items.size() < kPageBytes;
         ++entry, ++count) {
      items += (items.empty() ? "" : ",") + std::string("{\"key\":") + Quoted(entry->first) +
               ",\"value\":" + Quoted(Base64(partition.mRecords[entry->second].second)) +
               ",\"offset\":" + std::to_string(entry->second) + "}";
    }
    return { kOk,
             "{\"items\":[" + items +
               "],\"hasMore\":" + (entry == partition.mNewest.end() ? "false" : "true") +
               ",\"end\":" + std::to_string(partition.mRecords.size()) + "}" };
  }

  // The group: partitions are dealt round-robin to the members in the order of their names.

  void Deal()
  {
    ++mGeneration;
    mDealt.clear();
    if (mMembers.empty()) {
      return;
    }
    auto member = mMembers.begin();
    for (int part = 0; part < 24; ++part) {
      mDealt[part] = member->first;
      if (++member == mMembers.end()) {
        member = mMembers.begin();
      }
    }
  }

  void RemoveMember(const std::string& aId)
  {
    mMembers.erase(aId);
    mGenerations.erase(aId);
    std::erase_if(mHeld, [&](const auto& aEntry) { return aEntry.second == aId; });
    Deal();
  }

  void ExpireMembers()
  {
    auto now = NowMs();
    std::vector<std::string> expired;
    for (const auto& [id, member] : mMembers) {
      if (now - member.mJoinedAt > member.mTtl) {
        expired.push_back(id);
      }
    }
    for (const auto& id : expired) {
      Note("member " + id + " expired");
      RemoveMember(id);
    }
  }

  Reply Join(std::size_t aScheduler, const std::string& aBody)
  {
    rapidjson::Document body;
    body.Parse(aBody.data(), aBody.size());
    auto id = TextOf(body, "memberId");
    ExpireMembers();
    auto isNew = !mMembers.contains(id);
    mMembers[id] = { NowMs(), std::max<std::int64_t>(1000, NumberOf(body, "ttlMs")) };
    mLastJoin[aScheduler] = NowMs();
    if (isNew) {
      Deal();
    }
    mGenerations[id] = NumberOf(body, "generation");
    // A member that knows of the deal has given up what it is not dealt.
    if (mGenerations[id] >= mGeneration) {
      std::erase_if(mHeld, [&](const auto& aEntry) {
        return aEntry.second == id && mDealt[aEntry.first] != id;
      });
    }
    std::string rows;
    for (const auto& [part, member] : mDealt) {
      if (member == id && (!mHeld.contains(part) || mHeld[part] == id)) {
        mHeld[part] = id;
        rows += (rows.empty() ? "" : ",") + std::string("[\"keyed.jobs\",") + std::to_string(part) +
                ",0]";
      }
    }
    return { kOk, "{\"generation\":" + std::to_string(mGeneration) + ",\"parts\":[" + rows + "]}" };
  }

  Reply Owners()
  {
    ExpireMembers();
    std::string rows;
    for (const auto& [part, member] : mHeld) {
      rows += (rows.empty() ? "" : ",") + std::string("[\"keyed.jobs\",") + std::to_string(part) +
              "," + Quoted(member) + ",0]";
    }
    return { kOk, "{\"parts\":[" + rows + "]}" };
  }

  // The list of machines.

  Reply Machines()
  {
    std::string rows;
    for (const auto& executor : mExecutors) {
      auto state = executor.mMovingUntil > 0 ? "moving" : executor.mDownUntil > 0 ? "down" : "up";
      rows += (rows.empty() ? "" : ",") + std::string("{\"machine\":") + Quoted(executor.mMachine) +
              ",\"pool\":" + Quoted(executor.mPool) + ",\"state\":\"" + state +
              "\",\"zone\":\"z\",\"labels\":[\"a\"," + Quoted(executor.mRack) +
              "],\"room\":{\"cpu\":" + std::to_string(executor.mCpu) +
              ",\"memMb\":" + std::to_string(executor.mMemory) + ",\"gpu\":0}" +
              (executor.mMovingUntil > 0 ? "" : ",\"id\":" + Quoted(executor.mId)) + "}";
    }
    return { kOk, "{\"machines\":[" + rows + "],\"nextToken\":null}" };
  }

  Reply Move(const Request& aRequest)
  {
    rapidjson::Document body;
    body.Parse(aRequest.mBody.data(), aRequest.mBody.size());
    auto machine = TextOf(body, "machine");
    auto pool = TextOf(body, "pool");
    Note("order move " + machine + " pool " + pool + " holder " + aRequest.Header("duty-holder") +
         " fence " + aRequest.Header("fence-token"));
    for (auto& executor : mExecutors) {
      if (executor.mMachine != machine) {
        continue;
      }
      if (executor.mPool == pool) {
        return { kOk, "{}" };
      }
      if (executor.mMovingUntil > 0 || executor.mDownUntil > 0) {
        return { kConflict, "{\"reason\":\"busy\"}" };
      }
      Add(PartitionOf("keyed.servers", 0), executor.mId, "");
      executor.mRuns.clear();
      executor.mId = executor.mMachine + "-" + std::to_string(++mMoves);
      executor.mPool = pool;
      executor.mMovingUntil = NowMs() + kMigrateMs;
      return { kOk, "{}" };
    }
    return { kBadRequest, "{}" };
  }

  // What the scripts ask for.

  Reply Control(const Request& aRequest)
  {
    if (aRequest.mPath == "/control/put") {
      auto topic = aRequest.Query("topic");
      Note("put " + topic + " " + aRequest.Query("key") + ", " +
           std::to_string(aRequest.mBody.size()) + " bytes");
      Add(PartitionOf(topic, 0), aRequest.Query("key"), aRequest.mBody);
      return { kOk, "{}" };
    }
    if (aRequest.mPath == "/control/where") {
      // The executors that run tasks of a job.
      std::string places;
      for (std::size_t i = 0; i < mExecutors.size(); ++i) {
        for (const auto& [name, run] : mExecutors[i].mRuns) {
          if (name.first.starts_with(aRequest.Query("job"))) {
            places += std::to_string(i) + " " + name.first + " " + std::to_string(run.mPace) + "\n";
          }
        }
      }
      return { kOk, places };
    }
    if (aRequest.mPath == "/control/crash") {
      auto& executor =
        mExecutors.at(static_cast<std::size_t>(std::atoi(aRequest.Query("executor").c_str())));
      Note("crash " + executor.mId);
      // Its last check-in.
      executor.mSilentSince = executor.mNextEntryAt - kCheckInMs;
      executor.mRuns.clear();
      executor.mDownUntil = NowMs() + std::atoll(aRequest.Query("ms").c_str());
      mServer.Close(executor.mAddress);
      return { kOk, "{}" };
    }
    if (aRequest.mPath == "/control/freeze") {
      // Stops a scheduler as the answer to its next conditional write is on its way.
      mFreeze.mScheduler = std::atoi(aRequest.Query("scheduler").c_str());
      mFreeze.mProcess = static_cast<pid_t>(std::atoi(aRequest.Query("pid").c_str()));
      mFreeze.mForMs = std::atoll(aRequest.Query("ms").c_str());
      return { kOk, "{}" };
    }
    if (aRequest.mPath == "/control/interference") {
      // How far a task that fills lengthens the tails beside it, in ms for each percent of its
      // pace.
      mInterference = std::atoi(aRequest.Query("ms").c_str());
      Note("interference " + aRequest.Query("ms") + " ms a percent");
      return { kOk, "{}" };
    }
    if (aRequest.mPath == "/control/owner") {
      // The scheduler that was dealt the partition.
      auto held = mHeld.find(std::atoi(aRequest.Query("part").c_str()));
      return { kOk, held == mHeld.end() ? std::string() : held->second };
    }
    if (aRequest.mPath == "/control/note") {
      Note(aRequest.mBody);
      return { kOk, "{}" };
    }
    return { kNotFound, "{}" };
  }

  void FreezeIfDue(std::size_t aScheduler, const Request& aRequest, const Reply& aReply)
  {
    // The last join is some time ago, so that the group notices the freeze soon.
    constexpr std::int64_t kSinceJoinMs = 250;
    auto isDue = static_cast<int>(aScheduler) == mFreeze.mScheduler && aReply.mStatus == kOk &&
                 !aRequest.Query("at").empty() && NowMs() - mLastJoin[aScheduler] > kSinceJoinMs;
    if (isDue) {
      Note("freeze scheduler " + std::to_string(aScheduler) + " for " +
           std::to_string(mFreeze.mForMs) + " ms");
      kill(mFreeze.mProcess, SIGSTOP);
      mFreeze.mWakeAt = NowMs() + mFreeze.mForMs;
      mFreeze.mScheduler = -1;
    }
  }

  void HandleStore(std::size_t aScheduler, Request aRequest)
  {
    const auto& path = aRequest.mPath;
    if (path == "/sesameseam/log-read") {
      Waiting waiting;
      waiting.mTopic = aRequest.Query("topic");
      waiting.mPart = std::atoi(aRequest.Query("part").c_str());
      waiting.mFrom = static_cast<std::size_t>(std::atoll(aRequest.Query("from").c_str()));
      waiting.mUntil = NowMs() + std::atoll(aRequest.Query("waitMs").c_str());
      waiting.mRequest = std::move(aRequest);
      mWaiting.push_back(std::move(waiting));
      return;
    }
    Reply reply{ kNotFound, "{}" };
    if (path == "/sesameseam/log-append") {
      reply = Append(aRequest);
      FreezeIfDue(aScheduler, aRequest, reply);
    } else if (path == "/sesameseam/log-newest") {
      reply = Newest(aRequest);
    } else if (path == "/sesameseam/log-join") {
      reply = Join(aScheduler, aRequest.mBody);
    } else if (path == "/sesameseam/log-leave") {
      rapidjson::Document body;
      body.Parse(aRequest.mBody.data(), aRequest.mBody.size());
      RemoveMember(TextOf(body, "memberId"));
      reply = { kOk, "{}" };
    } else if (path == "/sesameseam/log-owners") {
      reply = Owners();
    } else if (path == "/sesameseam/machines") {
      reply = Machines();
    } else if (path == "/sesameseam/machine-move") {
      reply = Move(aRequest);
    } else if (path.starts_with("/control/")) {
      reply = Control(aRequest);
    }
    mServer.Answer(aRequest, reply);
  }

  void Handle(Request aRequest)
  {
    auto listener = aRequest.mListener;
    for (std::size_t i = 0; i < mExecutors.size(); ++i) {
      if (mExecutors[i].mAddress == listener) {
        HandleExecutor(i, std::move(aRequest));
        return;
      }
    }
    HandleStore(mServer.IndexOf(listener), std::move(aRequest));
  }

  bool AnswerWaiting(Waiting& aWaiting)
  {
    auto isOver = NowMs() >= aWaiting.mUntil;
    if (aWaiting.mExecutor == 0) {
      auto reply = Read(aWaiting, isOver);
      if (reply) {
        mServer.Answer(aWaiting.mRequest, *reply);
      }
      return reply.has_value();
    }
    const auto& executor = mExecutors[aWaiting.mExecutor - 1];
    if (executor.mBorn != aWaiting.mBorn || executor.mMovingUntil > 0) {
      mServer.Drop(aWaiting.mRequest);
      return true;
    }
    if (!isOver && executor.mEnds.empty()) {
      return false;
    }
    mServer.Answer(aWaiting.mRequest, Lists(executor));
    return true;
  }

  void Tick()
  {
    for (auto& executor : mExecutors) {
      AdvanceExecutor(executor);
    }
    AdvanceGangs();
    std::erase_if(mWaiting, [&](Waiting& aWaiting) { return AnswerWaiting(aWaiting); });
    if (mFreeze.mWakeAt > 0 && NowMs() >= mFreeze.mWakeAt) {
      kill(mFreeze.mProcess, SIGCONT);
      mFreeze.mWakeAt = 0;
      Note("thaw");
    }
  }

  HttpServer mServer;
  std::ofstream mRecordFile;
  std::size_t mStores;
  std::vector<Executor> mExecutors;
  std::map<std::pair<std::string, int>, Partition> mPartitions;
  std::vector<Waiting> mWaiting;
  std::map<std::string, Member> mMembers;
  std::map<std::string, std::int64_t> mGenerations;
  std::map<int, std::string> mDealt;
  std::map<int, std::string> mHeld;
  std::map<std::size_t, std::int64_t> mLastJoin;
  std::int64_t mGeneration = 0;
  std::int64_t mMoves = 0;
  int mInterference = 0;
  // How long each gang has worked, in milliseconds.
  std::map<std::string, std::int64_t> mGangWork;
  std::int64_t mGangsAt = 0;
  Freeze mFreeze;
};

// Parses ADDRESS,ID,POOL,CPU,MEMORY.
Executor
ParseExecutor(const std::string& aText)
{
  std::vector<std::string> parts;
  std::stringstream text(aText);
  for (std::string part; std::getline(text, part, ',');) {
    parts.push_back(part);
  }
  Executor executor;
  executor.mAddress = parts.at(0);
  executor.mId = parts.at(1);
  executor.mMachine = "m-" + executor.mId;
  executor.mPool = parts.at(2);
  executor.mRack = "r-" + executor.mPool;
  executor.mCpu = std::atoll(parts.at(3).c_str());
  executor.mMemory = std::atoll(parts.at(4).c_str());
  return executor;
}

// Makes the call ADDRESS METHOD PATH HOST [BODY-FILE] and prints the status and the body.
int
CallOnce(const std::vector<std::string>& aArguments)
{
  constexpr int kTimeoutMs = 3000;
  std::string body;
  if (aArguments.size() > 5) {
    std::ifstream file(aArguments[5]);
    std::stringstream text;
    text << file.rdbuf();
    body = text.str();
  }
  auto head = aArguments[2] + " " + aArguments[3] + " HTTP/1.1\r\nHost: " + aArguments[4] +
              "\r\nConnection: close\r\nDeadline-Ms: " + std::to_string(kTimeoutMs) +
              "\r\nContent-Type: application/json\r\n";
  auto reply = review::Call(aArguments[1], head, body, kTimeoutMs);
  std::cout << reply.mStatus << " " << reply.mBody << "\n";
  return 0;
}

}

int
main(int aCount, char** aArguments)
{
  std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  if (arguments.size() == 2 && arguments[0] == "ports") {
    for (const auto& port : review::FreePorts(std::atoi(arguments[1].c_str()))) {
      std::cout << port << "\n";
    }
    return 0;
  }
  if (arguments.size() >= 5 && arguments[0] == "call") {
    return CallOnce(arguments);
  }
  std::vector<std::string> stores;
  std::vector<Executor> executors;
  std::string record = "/dev/null";
  for (std::size_t i = 0; i + 1 < arguments.size(); i += 2) {
    if (arguments[i] == "--store") {
      stores.push_back(arguments[i + 1]);
    } else if (arguments[i] == "--executor") {
      executors.push_back(ParseExecutor(arguments[i + 1]));
    } else if (arguments[i] == "--record") {
      record = arguments[i + 1];
    }
  }
  signal(SIGPIPE, SIG_IGN);
  Platform(stores, std::move(executors), record).Run();
}
