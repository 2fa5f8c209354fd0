#include "JobPlatform.h"

#include "platform/CallSender.h"
#include "platform/JsonReading.h"
#include "platform/StoreWire.h"
#include "platform/WireNames.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

// The fake platform's store and machine list, and the endpoints for tests.
namespace sesameseam::standin {

namespace {

using schedule::Stream;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

StoreQuery
ParseQuery(const std::string& aText)
{
  StoreQuery query;
  for (auto part : absl::StrSplit(aText, '&')) {
    std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    query.insert(pair);
  }
  return query;
}

std::int64_t
NumberOf(const StoreQuery& aQuery, const std::string& aName)
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
                       Stream::JobStates,
                       Stream::Owners,
                       Stream::Fleet,
                       Stream::Quotas,
                       Stream::Queues }) {
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

}

EventHttpReply
Platform::AnswerAppend(const EventHttpIncoming& aIncoming, const StoreQuery& aQuery)
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
  if (answer.mRefusal == schedule::AppendRefusal::EndMismatch) {
    return { kPreconditionFailed, kJson, "{\"end\":" + std::to_string(answer.mEnd) + "}" };
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
Platform::AnswerNewest(const StoreQuery& aQuery)
{
  schedule::ReadNewestCall call;
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
           "starts " + std::to_string(mStarts) + "\ntwice " + std::to_string(mDuplicateRuns) +
             "\nagain " + std::to_string(mRestartedTasks) + "\noverfull " +
             std::to_string(mOvercommitted) + "\n" };
}

EventHttpReply
Platform::StartedJobs()
{
  std::string ids;
  for (const auto& id : mStartedJobs) {
    ids += id + "\n";
  }
  return { kOk, "text/plain", std::move(ids) };
}

EventHttpReply
Platform::Control(const StoreQuery& aQuery)
{
  for (const auto& [name, value] : aQuery) {
    if (name == "refused") {
      mRefusedShare = std::atof(value.c_str());
    } else if (name == "lost") {
      mLostShare = std::atof(value.c_str());
    } else if (name == "forget") {
      TrimHistory(mStore);
    } else if (name == "deal") {
      ReassignPartitions(mStore);
    } else if (name == "config") {
      WriteConfig(std::atoll(value.c_str()));
    } else if (name == "restart") {
      RestartExecutor(static_cast<std::size_t>(std::atoi(value.c_str())));
    } else {
      return { kBadRequest };
    }
  }
  return { kOk };
}

bool
Platform::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
}

void
Platform::OnStoreRequest(const EventHttpIncoming& aIncoming)
{
  auto query = ParseQuery(aIncoming.mQuery);
  const auto& path = aIncoming.mPath;
  EventHttpReply reply{ kNotFound };
  auto isTestRequest = path == "/summary" || path == "/started" || path == "/control";
  if (!isTestRequest && Chance(mRefusedShare)) {
    mStoreServer->Reply(aIncoming.mTicket, { kUnavailable });
    return;
  }
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
    ReplyWhenReady({ mStoreServer.get(), aIncoming.mTicket, until, answer });
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
  } else if (path == "/started") {
    reply = StartedJobs();
  } else if (path == "/control") {
    reply = Control(query);
  }
  if (!isTestRequest && Chance(mLostShare)) {
    return;
  }
  mStoreServer->Reply(aIncoming.mTicket, reply);
}

}
