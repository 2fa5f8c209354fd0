// Takes the place of the users' platform in tests of whole processes: the store, the list of
// machines and some executors, on one event loop. GET /summary tells what it has seen.

#include "LibHttp/EventHttpServer.h"
#include "LibStandIn/FakeExecutor.h"
#include "LibStandIn/FakeStore.h"
#include "platform/CallSender.h"
#include "platform/JobWire.h"
#include "platform/JsonReading.h"
#include "platform/Names.h"
#include "platform/StoreWire.h"

#include <CLI/CLI.hpp>
#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>
#include <csignal>
#include <event2/event.h>
#include <iostream>
#include <list>
#include <memory>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <set>

using namespace sesameseam;
using namespace sesameseam::standin;

namespace {

using schedule::CallResult;
using schedule::Stream;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kOtherEnd = 412;
constexpr int kNotFound = 404;
constexpr char kJson[] = "application/json";

// One queue, whose host is the one that the scripts of the tests send.
constexpr char kConfig[] =
  R"({"version":1,"routes":[{"name":"previews","host":"x","prefix":"/previews/",)"
  R"("targetRuntimeMs":600,"priority":0,"service":"previews","attempts":3,"stretch":1.6}],)"
  R"("services":[{"name":"previews","standby":false}]})";

using Query = std::map<std::string, std::string>;

Query
ParseQuery(const std::string& aText)
{
  Query query;
  for (auto part : absl::StrSplit(aText, '&')) {
    std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    query.insert(pair);
  }
  return query;
}

std::int64_t
NumberOf(const Query& aQuery, const std::string& aName)
{
  auto found = aQuery.find(aName);
  return found == aQuery.end() ? 0 : std::atoll(found->second.c_str());
}

Stream
StreamOf(const std::string& aTopic)
{
  for (auto stream : { Stream::Operator,
                       Stream::Executors,
                       Stream::Jobs,
                       Stream::Progress,
                       Stream::Owners,
                       Stream::Fleet }) {
    if (platform::TopicOf(stream) == aTopic) {
      return stream;
    }
  }
  return Stream::Status;
}

std::vector<schedule::LogRecord>
DecodeRecords(std::string_view aBytes)
{
  std::vector<schedule::LogRecord> records;
  constexpr std::size_t kHeader = 4;
  while (aBytes.size() > kHeader) {
    std::size_t length = 0;
    for (unsigned char byte : aBytes.substr(0, kHeader)) {
      length = length << 8 | byte;
    }
    auto record = aBytes.substr(kHeader, length);
    auto key = static_cast<unsigned char>(record.front());
    records.push_back({ std::string(record.substr(1, key)), std::string(record.substr(1 + key)) });
    aBytes.remove_prefix(kHeader + length);
  }
  return records;
}

std::string
BigEndian(std::int64_t aValue)
{
  std::string out;
  for (int shift = 56; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>(aValue >> shift & 0xff));
  }
  return out;
}

// A request that is answered once there is news, or at its end.
struct Waiting
{
  EventHttpServer* mServer = nullptr;
  std::int64_t mTicket = 0;
  schedule::Instant mUntil;
  std::function<std::optional<EventHttpReply>(bool aIsOver)> mAnswer;
};

class Platform
{
public:
  Platform(event_base* aBase,
           const std::string& aStore,
           const std::vector<std::string>& aExecutors);

  absl::Status Listen();
  void Tick();

private:
  void OnStore(const EventHttpIncoming& aIncoming);
  void OnExecutor(std::size_t aIndex, const EventHttpIncoming& aIncoming);
  EventHttpReply AnswerAppend(const EventHttpIncoming& aIncoming, const Query& aQuery);
  EventHttpReply AnswerNewest(const Query& aQuery);
  EventHttpReply AnswerJoin(const std::string& aBody);
  EventHttpReply AnswerMachines();
  EventHttpReply AnswerStart(std::size_t aIndex, const std::string& aBody);
  EventHttpReply AnswerHold(std::size_t aIndex, const schedule::HoldCall& aCall);
  EventHttpReply Summary();
  void Await(Waiting aWaiting);
  void NoteStart(const schedule::StartCall& aCall);

  FakeStore mStore;
  std::vector<FakeExecutor> mExecutors;
  std::unique_ptr<EventHttpServer> mStoreServer;
  std::vector<std::unique_ptr<EventHttpServer>> mServers;
  std::list<Waiting> mWaiting;
  std::set<schedule::TaskName> mDone;
  std::int64_t mStarts = 0;
  std::int64_t mTwice = 0;
  std::int64_t mAgain = 0;
};

std::string
EntryOf(const FakeExecutor& aExecutor)
{
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("service");
  writer.String(aExecutor.mEntry.mService.mValue.c_str());
  writer.Key("address");
  writer.String(aExecutor.mEntry.mAddress.c_str());
  writer.Key("state");
  writer.String("ready");
  writer.Key("room");
  writer.StartObject();
  writer.Key("cpu");
  writer.Int64(aExecutor.mEntry.mRoom.mCpuMillicores);
  writer.Key("memMb");
  writer.Int64(aExecutor.mEntry.mRoom.mMemoryMb);
  writer.EndObject();
  writer.EndObject();
  return buffer.GetString();
}

Platform::Platform(event_base* aBase,
                   const std::string& aStore,
                   const std::vector<std::string>& aExecutors)
{
  EventHttpServerSettings store;
  store.mAddress = aStore;
  mStoreServer = std::make_unique<EventHttpServer>(
    aBase, store, [this](const EventHttpIncoming& aIncoming) { OnStore(aIncoming); });
  Append(mStore, { Stream::Operator, 0, { { "config", kConfig } } });
  auto now = platform::CurrentTime();
  for (std::size_t i = 0; i < aExecutors.size(); ++i) {
    FakeExecutor executor;
    executor.mEntry.mId = schedule::ExecutorId("i-" + std::to_string(i));
    executor.mEntry.mService = schedule::ServiceName("previews");
    executor.mEntry.mAddress = aExecutors[i];
    executor.mEntry.mRoom = { 8000, 64000, 0 };
    executor.mEntry.mIncarnation = ToMilliseconds(now.mWall.time_since_epoch()).count();
    executor.mStartedAt = now.mAt;
    Append(mStore, { Stream::Executors, 0, { { executor.mEntry.mId.mValue, EntryOf(executor) } } });
    mExecutors.push_back(executor);
    EventHttpServerSettings settings;
    settings.mAddress = aExecutors[i];
    mServers.push_back(std::make_unique<EventHttpServer>(
      aBase, settings, [this, i](const EventHttpIncoming& aIncoming) {
        OnExecutor(i, aIncoming);
      }));
  }
}

absl::Status
Platform::Listen()
{
  TRY(mStoreServer->Start());
  for (auto& server : mServers) {
    TRY(server->Start());
  }
  return absl::OkStatus();
}

void
Platform::Await(Waiting aWaiting)
{
  if (auto reply = aWaiting.mAnswer(false)) {
    aWaiting.mServer->Reply(aWaiting.mTicket, *reply);
    return;
  }
  mWaiting.push_back(std::move(aWaiting));
}

void
Platform::Tick()
{
  auto now = platform::CurrentTime().mAt;
  mWaiting.remove_if([&](Waiting& aWaiting) {
    auto reply = aWaiting.mAnswer(now >= aWaiting.mUntil);
    if (reply) {
      aWaiting.mServer->Reply(aWaiting.mTicket, *reply);
    }
    return reply.has_value();
  });
}

EventHttpReply
Platform::AnswerAppend(const EventHttpIncoming& aIncoming, const Query& aQuery)
{
  schedule::AppendCall call;
  call.mStream = StreamOf(aQuery.at("topic"));
  call.mPartition = static_cast<int>(NumberOf(aQuery, "part"));
  call.mRecords = DecodeRecords(aIncoming.mBody);
  if (aQuery.contains("at")) {
    call.mExpectedEnd = NumberOf(aQuery, "at");
  }
  if (aQuery.contains("epoch")) {
    call.mFence = { NumberOf(aQuery, "epoch"), NumberOf(aQuery, "seq") };
  }
  auto answer = Append(mStore, call);
  if (answer.mRefusal == schedule::AppendRefusal::Moved) {
    return { kOtherEnd, kJson, "{\"end\":" + std::to_string(answer.mEnd) + "}" };
  }
  if (answer.mRefusal == schedule::AppendRefusal::Fenced) {
    return { kConflict, kJson, R"({"reason":"fenced"})" };
  }
  if (answer.mRefusal == schedule::AppendRefusal::Sequence) {
    auto expected = std::to_string(answer.mExpectedSequence);
    return { kConflict, kJson, R"({"reason":"seq","seq":)" + expected + "}" };
  }
  return { kOk,
           kJson,
           "{\"offset\":" + std::to_string(answer.mOffset) +
             ",\"end\":" + std::to_string(answer.mEnd) + "}" };
}

EventHttpReply
Platform::AnswerNewest(const Query& aQuery)
{
  schedule::NewestCall call;
  call.mStream = StreamOf(aQuery.at("topic"));
  call.mPartition = static_cast<int>(NumberOf(aQuery, "part"));
  call.mAfterKey = aQuery.contains("after") ? aQuery.at("after") : "";
  auto answer = Newest(mStore, call);
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("items");
  writer.StartArray();
  for (const auto& record : answer.mRecords) {
    writer.StartObject();
    writer.Key("key");
    writer.String(record.mKey.c_str());
    writer.Key("value");
    writer.String(absl::Base64Escape(record.mValue).c_str());
    writer.Key("offset");
    writer.Int64(record.mOffset);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("hasMore");
  writer.Bool(answer.mHasMore);
  writer.Key("end");
  writer.Int64(answer.mEnd);
  writer.EndObject();
  return { kOk, kJson, buffer.GetString() };
}

EventHttpReply
Platform::AnswerJoin(const std::string& aBody)
{
  rapidjson::Document document;
  platform::ParseObject(aBody, document);
  schedule::JoinCall call{ platform::IntegerOr(document, "generation", 0) };
  auto member = platform::StringOr(document, "memberId", {});
  auto answer = Join(mStore, member, call, platform::CurrentTime().mAt);
  std::string rows;
  for (auto partition : answer.mPartitions) {
    rows += (rows.empty() ? "" : ",");
    rows += "[\"" + std::string(platform::kJobsTopic) + "\"," + std::to_string(partition) + ",0]";
  }
  return { kOk,
           kJson,
           "{\"generation\":" + std::to_string(answer.mGeneration) + ",\"parts\":[" + rows + "]}" };
}

EventHttpReply
Platform::AnswerMachines()
{
  std::string rows;
  for (const auto& executor : mExecutors) {
    rows += rows.empty() ? "" : ",";
    rows += R"({"machine":"m-)" + executor.mEntry.mId.mValue +
            R"(","pool":"previews","state":"up","id":")" + executor.mEntry.mId.mValue + "\"}";
  }
  return { kOk, kJson, "{\"machines\":[" + rows + "],\"nextToken\":null}" };
}

EventHttpReply
Platform::Summary()
{
  return { kOk,
           kJson,
           "starts " + std::to_string(mStarts) + "\ntwice " + std::to_string(mTwice) + "\nagain " +
             std::to_string(mAgain) + "\n" };
}

void
Platform::OnStore(const EventHttpIncoming& aIncoming)
{
  auto query = ParseQuery(aIncoming.mQuery);
  const auto& path = aIncoming.mPath;
  EventHttpReply reply{ kNotFound };
  if (path == platform::kReadPath) {
    schedule::ReadCall call;
    call.mStream = StreamOf(query["topic"]);
    call.mPartition = static_cast<int>(NumberOf(query, "part"));
    call.mFrom = NumberOf(query, "from");
    auto until = platform::CurrentTime().mAt + std::chrono::milliseconds(NumberOf(query, "waitMs"));
    auto answer = [this, call](bool aIsOver) -> std::optional<EventHttpReply> {
      auto read = Read(mStore, call);
      if (read.mTrimmed) {
        return EventHttpReply{ kGone, kJson, "{}" };
      }
      if (read.mRecords.empty() && !aIsOver) {
        return std::nullopt;
      }
      std::vector<schedule::LogRecord> records;
      for (auto& record : read.mRecords) {
        records.push_back({ record.mKey, record.mValue });
      }
      auto body = BigEndian(read.mEnd) + BigEndian(0) + platform::EncodeRecords(records);
      return EventHttpReply{ kOk, "application/octet-stream", body };
    };
    Await({ mStoreServer.get(), aIncoming.mTicket, until, answer });
    return;
  }
  if (path == platform::kAppendPath) {
    reply = AnswerAppend(aIncoming, query);
  } else if (path == platform::kNewestPath) {
    reply = AnswerNewest(query);
  } else if (path == platform::kJoinPath) {
    reply = AnswerJoin(aIncoming.mBody);
  } else if (path == platform::kLeavePath) {
    rapidjson::Document document;
    platform::ParseObject(aIncoming.mBody, document);
    Leave(mStore, platform::StringOr(document, "memberId", {}));
    reply = { kOk, kJson, "{}" };
  } else if (path == platform::kOwnersPath) {
    std::string rows;
    for (const auto& [partition, member] : Owners(mStore, platform::CurrentTime().mAt)) {
      rows += rows.empty() ? "" : ",";
      rows += "[\"" + std::string(platform::kJobsTopic) + "\"," + std::to_string(partition) +
              ",\"" + member + "\",0]";
    }
    reply = { kOk, kJson, "{\"parts\":[" + rows + "]}" };
  } else if (path == platform::kMachinesPath) {
    reply = AnswerMachines();
  } else if (path == "/summary") {
    reply = Summary();
  }
  mStoreServer->Reply(aIncoming.mTicket, reply);
}

void
Platform::NoteStart(const schedule::StartCall& aCall)
{
  ++mStarts;
  mAgain += mDone.contains(aCall.mRun.mTask) ? 1 : 0;
  for (auto& executor : mExecutors) {
    Advance(executor, platform::CurrentTime().mAt);
    for (const auto& [run, state] : executor.mRuns) {
      mTwice += run.mTask == aCall.mRun.mTask && run.mRun != aCall.mRun.mRun ? 1 : 0;
    }
  }
}

EventHttpReply
Platform::AnswerStart(std::size_t aIndex, const std::string& aBody)
{
  rapidjson::Document document;
  platform::ParseObject(aBody, document);
  auto name = platform::DecodeTaskName(platform::StringOr(document, "task", {}));
  if (!name.ok()) {
    return { 400, kJson, "{}" };
  }
  schedule::StartCall call;
  call.mTo.mExecutor = mExecutors[aIndex].mEntry.mId;
  call.mTo.mEpoch = platform::IntegerOr(document, "fence", 0);
  call.mRun = { *name, static_cast<int>(platform::IntegerOr(document, "run", 0)) };
  call.mSpec = platform::StringOr(document, "spec", {});
  call.mLeaseEnd = std::chrono::milliseconds(platform::IntegerOr(document, "deadlineMs", 0));
  auto isNew = !mExecutors[aIndex].mRuns.contains(call.mRun);
  auto answer = Start(mExecutors[aIndex], call, platform::CurrentTime().mAt);
  auto clock = "{\"clockMs\":" + std::to_string(answer.mClock.count());
  if (answer.mResult == CallResult::Done) {
    if (isNew) {
      NoteStart(call);
    }
    return { kOk, kJson, clock + "}" };
  }
  auto isFenced = answer.mRefusal == schedule::StartRefusal::Fenced;
  return { kConflict, kJson, clock + ",\"reason\":\"" + (isFenced ? "fence" : "old") + "\"}" };
}

EventHttpReply
Platform::AnswerHold(std::size_t aIndex, const schedule::HoldCall& aCall)
{
  auto& executor = mExecutors[aIndex];
  for (const auto& end : executor.mEnds) {
    if (end.mNumber <= aCall.mLastSeen && end.mKind == schedule::EndKind::Done) {
      mDone.insert(end.mRun.mTask);
    }
  }
  auto answer = Hold(executor, aCall, platform::CurrentTime().mAt);
  if (answer.mFenced) {
    return { kConflict, kJson, R"({"reason":"fence"})" };
  }
  std::string running;
  for (const auto& task : answer.mRunning) {
    running += running.empty() ? "" : ",";
    running += "[\"" + platform::EncodeTaskName(task.mRun.mTask) + "\"," +
               std::to_string(task.mRun.mRun) + ",\"\",100]";
  }
  static const std::map<schedule::EndKind, const char*> kNames{
    { schedule::EndKind::Done, "done" },
    { schedule::EndKind::Failed, "failed" },
    { schedule::EndKind::Stopped, "stopped" },
    { schedule::EndKind::LeaseLapsed, "lapsed" },
  };
  std::string ends;
  for (const auto& end : answer.mEnds) {
    ends += ends.empty() ? "" : ",";
    ends += "[" + std::to_string(end.mNumber) + ",\"" + platform::EncodeTaskName(end.mRun.mTask) +
            "\"," + std::to_string(end.mRun.mRun) + ",\"" + kNames.at(end.mKind) + "\",\"\"]";
  }
  return { kOk,
           kJson,
           "{\"clockMs\":" + std::to_string(answer.mClock.count()) +
             ",\"born\":" + std::to_string(answer.mIncarnation) + ",\"running\":[" + running +
             "],\"finished\":[" + ends + "]}" };
}

void
Platform::OnExecutor(std::size_t aIndex, const EventHttpIncoming& aIncoming)
{
  auto& server = *mServers[aIndex];
  if (aIncoming.mPath == platform::kStartPath) {
    server.Reply(aIncoming.mTicket, AnswerStart(aIndex, aIncoming.mBody));
    return;
  }
  rapidjson::Document document;
  platform::ParseObject(aIncoming.mBody, document);
  if (aIncoming.mPath == platform::kHoldPath) {
    schedule::HoldCall call;
    call.mTo.mEpoch = platform::IntegerOr(document, "fence", 0);
    call.mLastSeen = platform::IntegerOr(document, "lastSeen", 0);
    call.mLeaseEnd = std::chrono::milliseconds(platform::IntegerOr(document, "deadlineMs", 0));
    auto now = platform::CurrentTime().mAt;
    auto until = now + std::chrono::milliseconds(platform::IntegerOr(document, "waitMs", 0));
    auto first = AnswerHold(aIndex, call);
    auto answer = [this, aIndex, call, first](bool aIsOver) -> std::optional<EventHttpReply> {
      auto& executor = mExecutors[aIndex];
      Advance(executor, platform::CurrentTime().mAt);
      if (executor.mEnds.empty() && !aIsOver && first.mStatus == kOk) {
        return std::nullopt;
      }
      return AnswerHold(aIndex, call);
    };
    Await({ &server, aIncoming.mTicket, until, answer });
    return;
  }
  if (aIncoming.mPath == platform::kStopPath) {
    auto name = platform::DecodeTaskName(platform::StringOr(document, "task", {}));
    schedule::StopCall call;
    call.mTo.mEpoch = platform::IntegerOr(document, "fence", 0);
    if (name.ok()) {
      call.mRun = { *name, static_cast<int>(platform::IntegerOr(document, "run", 0)) };
      Stop(mExecutors[aIndex], call, platform::CurrentTime().mAt);
    }
    server.Reply(aIncoming.mTicket, { kOk, kJson, "{}" });
    return;
  }
  server.Reply(aIncoming.mTicket, { kNotFound });
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Takes the place of the users' platform in tests");
  std::string store;
  std::vector<std::string> executors;
  app.add_option("--store", store, "Address of the store and of the list of machines")->required();
  app.add_option("--executor", executors, "Address of an executor; may be given several times");
  CLI11_PARSE(app, aCount, aArguments);

  signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  Platform platform(base, store, executors);
  auto started = platform.Listen();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return 1;
  }
  constexpr int kTickMicroseconds = 5000;
  timeval interval{ 0, kTickMicroseconds };
  auto* tick = event_new(
    base,
    -1,
    EV_PERSIST,
    [](int, short, void* aPlatform) { static_cast<Platform*>(aPlatform)->Tick(); },
    &platform);
  event_add(tick, &interval);
  event_base_dispatch(base);
  return 0;
}
