#include "ExecutorAnswers.h"

#include "platform/JobWire.h"
#include "platform/JsonReading.h"

#include <map>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace sesameseam::standin {

namespace {

using schedule::CallResult;
using schedule::StartRefusal;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kMisdirectedRequest = 421;
constexpr char kJson[] = "application/json";
constexpr int kFullPercent = 100;

const char*
NameOfRefusal(StartRefusal aRefusal)
{
  if (aRefusal == StartRefusal::Fenced) {
    return "fence";
  }
  return aRefusal == StartRefusal::LeaseExpired ? "late" : "old";
}

}

std::optional<schedule::StartCall>
DecodeStartCall(const schedule::ExecutorId& aExecutor, const std::string& aBody)
{
  rapidjson::Document document;
  if (!platform::ParseObject(aBody, document).ok()) {
    return std::nullopt;
  }
  auto name = platform::DecodeTaskName(platform::StringOr(document, "task", {}));
  if (!name.ok()) {
    return std::nullopt;
  }
  schedule::StartCall call;
  call.mTo.mExecutor = aExecutor;
  call.mTo.mEpoch = platform::IntegerOr(document, "fence", 0);
  call.mRun = { *name, static_cast<int>(platform::IntegerOr(document, "run", 0)) };
  call.mSpec = platform::StringOr(document, "spec", {});
  call.mLeaseEnd = std::chrono::milliseconds(platform::IntegerOr(document, "deadlineMs", 0));
  return call;
}

std::optional<schedule::StopCall>
DecodeStopCall(const schedule::ExecutorId& aExecutor, const std::string& aBody)
{
  rapidjson::Document document;
  if (!platform::ParseObject(aBody, document).ok()) {
    return std::nullopt;
  }
  auto name = platform::DecodeTaskName(platform::StringOr(document, "task", {}));
  if (!name.ok()) {
    return std::nullopt;
  }
  schedule::StopCall call;
  call.mTo.mExecutor = aExecutor;
  call.mTo.mEpoch = platform::IntegerOr(document, "fence", 0);
  call.mRun = { *name, static_cast<int>(platform::IntegerOr(document, "run", 0)) };
  return call;
}

schedule::HeartbeatCall
DecodeHeartbeatCall(const schedule::ExecutorId& aExecutor, const std::string& aBody)
{
  schedule::HeartbeatCall call;
  call.mTo.mExecutor = aExecutor;
  rapidjson::Document document;
  if (!platform::ParseObject(aBody, document).ok()) {
    return call;
  }
  call.mTo.mEpoch = platform::IntegerOr(document, "fence", 0);
  call.mLastSeen = platform::IntegerOr(document, "lastSeen", 0);
  call.mLeaseEnd = std::chrono::milliseconds(platform::IntegerOr(document, "deadlineMs", 0));
  call.mWait = std::chrono::milliseconds(platform::IntegerOr(document, "waitMs", 0));
  return call;
}

EventHttpReply
EncodeStartAnswer(const schedule::StartAnswer& aAnswer)
{
  if (aAnswer.mRefusal == StartRefusal::OtherIncarnation && aAnswer.mResult != CallResult::Done) {
    return { kMisdirectedRequest, kJson, "{}" };
  }
  auto clock = "{\"clockMs\":" + std::to_string(aAnswer.mClock.count());
  if (aAnswer.mResult == CallResult::Done) {
    return { kOk, kJson, clock + "}" };
  }
  return { kConflict, kJson, clock + ",\"reason\":\"" + NameOfRefusal(aAnswer.mRefusal) + "\"}" };
}

EventHttpReply
EncodeHeartbeatAnswer(const schedule::HeartbeatAnswer& aAnswer)
{
  if (aAnswer.mFenced) {
    return { kConflict, kJson, R"({"reason":"fence"})" };
  }
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("clockMs");
  writer.Int64(aAnswer.mClock.count());
  writer.Key("born");
  writer.Int64(aAnswer.mIncarnation);
  writer.Key("running");
  writer.StartArray();
  for (const auto& task : aAnswer.mRunning) {
    writer.StartArray();
    writer.String(platform::EncodeTaskName(task.mRun.mTask).c_str());
    writer.Int(task.mRun.mRun);
    writer.String("");
    writer.Int(kFullPercent);
    writer.EndArray();
  }
  writer.EndArray();
  writer.Key("finished");
  writer.StartArray();
  for (const auto& end : aAnswer.mEnds) {
    writer.StartArray();
    writer.Int64(end.mNumber);
    writer.String(platform::EncodeTaskName(end.mRun.mTask).c_str());
    writer.Int(end.mRun.mRun);
    writer.String(NameOfEnd(end.mKind));
    writer.String("");
    writer.EndArray();
  }
  writer.EndArray();
  writer.EndObject();
  return { kOk, kJson, buffer.GetString() };
}

std::string
EncodeEntry(const FakeExecutor& aExecutor, std::int64_t aSequence)
{
  const auto& entry = aExecutor.mEntry;
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("service");
  writer.String(entry.mService.mValue.c_str());
  writer.Key("address");
  writer.String(entry.mAddress.c_str());
  writer.Key("state");
  writer.String("ready");
  writer.Key("seq");
  writer.Int64(aSequence);
  writer.Key("born");
  writer.Int64(entry.mIncarnation);
  writer.Key("room");
  writer.StartObject();
  writer.Key("cpu");
  writer.Int64(entry.mCapacity.mCpuMillicores);
  writer.Key("memMb");
  writer.Int64(entry.mCapacity.mMemoryMb);
  writer.EndObject();
  writer.EndObject();
  return buffer.GetString();
}

const char*
NameOfEnd(schedule::EndKind aKind)
{
  static const std::map<schedule::EndKind, const char*> kNames{
    { schedule::EndKind::Done, "done" },
    { schedule::EndKind::Failed, "failed" },
    { schedule::EndKind::Stopped, "stopped" },
    { schedule::EndKind::LeaseExpired, "lapsed" },
  };
  return kNames.at(aKind);
}

}
