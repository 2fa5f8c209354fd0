#include "JobPlatform.h"

#include "../job-executor/ExecutorAnswers.h"
#include "platform/CallSender.h"
#include "platform/JobWire.h"
#include "platform/WireNames.h"

#include <iostream>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

// The fake platform's executors.
namespace sesameseam::standin {

namespace {

using schedule::CallResult;
using schedule::Stream;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// The tests' tasks take one core each, so this is also the number of runs that fit.
constexpr std::size_t kCores = 8;
constexpr int kMillicoresPerCore = 1000;
constexpr std::int64_t kMemoryMb = 64000;
constexpr double kSlowClock = 0.98;

// A queue at the Host header of the tests' requests.
std::string
RouteOf(const std::string& aName)
{
  return R"({"name":")" + aName + R"(","host":"x","prefix":"/)" + aName +
         R"(/","targetRuntimeMs":600,"priority":0,"service":"previews","attempts":3,"stretch":1.6})";
}

// The configuration of a version: the queue "previews", and "added-N" for each version N after the
// first.
std::string
ConfigOf(std::int64_t aVersion)
{
  auto routes = RouteOf("previews");
  for (std::int64_t added = 2; added <= aVersion; ++added) {
    routes += "," + RouteOf("added-" + std::to_string(added));
  }
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" + routes +
         R"(],"services":[{"name":"previews","standby":false}]})";
}

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
  writer.Int64(aExecutor.mEntry.mCapacity.mCpuMillicores);
  writer.Key("memMb");
  writer.Int64(aExecutor.mEntry.mCapacity.mMemoryMb);
  writer.EndObject();
  writer.EndObject();
  return buffer.GetString();
}

// Prints a line about a run, to help with tracing a violation.
void
LogRun(const char* aWhat, const schedule::TaskRun& aRun, const schedule::ExecutorId& aOn)
{
  auto now = ToMilliseconds(platform::CurrentTime().mWall.time_since_epoch()).count();
  std::cout << now << " " << platform::EncodeTaskName(aRun.mTask) << " run " << aRun.mRun << " on "
            << aOn.mValue << " " << aWhat << std::endl;
}

}

Platform::Platform(event_base* aBase,
                   const std::string& aStore,
                   const std::vector<ExecutorAddresses>& aExecutors)
  : mBase(aBase)
  , mAddresses(aExecutors)
  , mServers(aExecutors.size())
{
  EventHttpServerSettings store;
  store.mAddress = aStore;
  mStoreServer = std::make_unique<EventHttpServer>(
    aBase, store, [this](const EventHttpIncoming& aIncoming) { OnStoreRequest(aIncoming); });
  WriteConfig(1);
  auto now = platform::CurrentTime();
  for (std::size_t i = 0; i < aExecutors.size(); ++i) {
    FakeExecutor executor;
    executor.mEntry.mId = schedule::ExecutorId("i-" + std::to_string(i));
    executor.mEntry.mService = schedule::ServiceName("previews");
    executor.mEntry.mAddress = aExecutors[i].mListed;
    executor.mEntry.mCapacity = { std::int64_t(kCores) * kMillicoresPerCore, kMemoryMb, 0 };
    executor.mClockSpeed = i % 2 == 0 ? 1.0 : kSlowClock;
    executor.mEntry.mIncarnation = ToMilliseconds(now.mWall.time_since_epoch()).count();
    executor.mStartedAt = now.mAt;
    Append(mStore, { Stream::Executors, 0, { { executor.mEntry.mId.mValue, EntryOf(executor) } } });
    mExecutors.push_back(executor);
    MakeServer(i);
  }
}

void
Platform::WriteConfig(std::int64_t aVersion)
{
  Append(mStore, { Stream::Operator, 0, { { "config", ConfigOf(aVersion) } } });
}

void
Platform::MakeServer(std::size_t aIndex)
{
  EventHttpServerSettings settings;
  settings.mAddress = mAddresses[aIndex].mListen;
  mServers[aIndex] = std::make_unique<EventHttpServer>(
    mBase, settings, [this, aIndex](const EventHttpIncoming& aIncoming) {
      OnExecutorRequest(aIndex, aIncoming);
    });
}

void
Platform::RestartExecutor(std::size_t aIndex)
{
  mPendingRequests.remove_if(
    [&](const PendingRequest& aRequest) { return aRequest.mServer == mServers[aIndex].get(); });
  mServers[aIndex].reset();
  Restart(mExecutors[aIndex], platform::CurrentTime().mAt);
  MakeServer(aIndex);
  auto started = mServers[aIndex]->Start();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
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
Platform::ReplyWhenReady(PendingRequest aRequest)
{
  if (auto reply = aRequest.mAnswer(false)) {
    aRequest.mServer->Reply(aRequest.mTicket, *reply);
    return;
  }
  mPendingRequests.push_back(std::move(aRequest));
}

void
Platform::Tick()
{
  auto now = platform::CurrentTime().mAt;
  mPendingRequests.remove_if([&](PendingRequest& aRequest) {
    auto reply = aRequest.mAnswer(now >= aRequest.mUntil);
    if (reply) {
      aRequest.mServer->Reply(aRequest.mTicket, *reply);
    }
    return reply.has_value();
  });
}

void
Platform::RecordStart(const schedule::StartCall& aCall)
{
  ++mStarts;
  mStartedJobs.insert(aCall.mRun.mTask.mJob.mValue);
  if (mDone.contains(aCall.mRun.mTask)) {
    ++mRestartedTasks;
    LogRun("started again", aCall.mRun, aCall.mTo.mExecutor);
  }
  for (auto& executor : mExecutors) {
    Advance(executor, platform::CurrentTime().mAt);
    mOvercommitted += executor.mRuns.size() > kCores ? 1 : 0;
    for (const auto& [run, state] : executor.mRuns) {
      if (run.mTask == aCall.mRun.mTask && run.mRun != aCall.mRun.mRun) {
        ++mDuplicateRuns;
        LogRun("runs twice", aCall.mRun, aCall.mTo.mExecutor);
      }
    }
  }
}

EventHttpReply
Platform::AnswerStart(std::size_t aIndex, const std::string& aBody)
{
  auto call = DecodeStartCall(mExecutors[aIndex].mEntry.mId, aBody);
  if (!call) {
    return { kBadRequest, kJson, "{}" };
  }
  auto isNew = !mExecutors[aIndex].mRuns.contains(call->mRun);
  auto answer = Start(mExecutors[aIndex], *call, platform::CurrentTime().mAt);
  if (answer.mResult == CallResult::Done && isNew) {
    RecordStart(*call);
  }
  return EncodeStartAnswer(answer);
}

EventHttpReply
Platform::AnswerHeartbeat(std::size_t aIndex, const schedule::HeartbeatCall& aCall)
{
  auto& executor = mExecutors[aIndex];
  for (const auto& end : executor.mEnds) {
    if (end.mNumber <= aCall.mLastSeen && end.mKind == schedule::EndKind::Done) {
      mDone.insert(end.mRun.mTask);
      LogRun("acknowledged as done", end.mRun, executor.mEntry.mId);
    }
  }
  return EncodeHeartbeatAnswer(Heartbeat(executor, aCall, platform::CurrentTime().mAt));
}

void
Platform::OnExecutorRequest(std::size_t aIndex, const EventHttpIncoming& aIncoming)
{
  auto& server = *mServers[aIndex];
  if (aIncoming.mPath == platform::kStartPath) {
    server.Reply(aIncoming.mTicket, AnswerStart(aIndex, aIncoming.mBody));
    return;
  }
  if (aIncoming.mPath == platform::kHeartbeatPath) {
    auto call = DecodeHeartbeatCall(mExecutors[aIndex].mEntry.mId, aIncoming.mBody);
    auto until = platform::CurrentTime().mAt + call.mWait;
    auto first = AnswerHeartbeat(aIndex, call);
    // Task ends are acknowledged only once, on arrival of the call.
    call.mLastSeen = 0;
    auto answer = [this, aIndex, call, first](bool aIsOver) -> std::optional<EventHttpReply> {
      auto& executor = mExecutors[aIndex];
      Advance(executor, platform::CurrentTime().mAt);
      if (executor.mEnds.empty() && !aIsOver && first.mStatus == kOk) {
        return std::nullopt;
      }
      return AnswerHeartbeat(aIndex, call);
    };
    ReplyWhenReady({ &server, aIncoming.mTicket, until, answer });
    return;
  }
  if (aIncoming.mPath == platform::kStopPath) {
    auto call = DecodeStopCall(mExecutors[aIndex].mEntry.mId, aIncoming.mBody);
    if (call) {
      Stop(mExecutors[aIndex], *call, platform::CurrentTime().mAt);
    }
    server.Reply(aIncoming.mTicket, { kOk, kJson, "{}" });
    return;
  }
  server.Reply(aIncoming.mTicket, { kNotFound });
}

}
