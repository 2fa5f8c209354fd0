// A fake executor in a process of its own, which tests kill and start again under its id. It
// reports itself to the fake platform's store, and appends a line to a file for each event:
//
//   WALL_CLOCK_MS ID WHAT [TASK RUN]
//
// WHAT is "begins" (the process), "start", "end-HOW" (done, failed, stopped, lapsed), "noted-HOW"
// (a call acknowledged the end), "lapse" (its lease expired), "call KIND" for each call it reads.

#include "ExecutorAnswers.h"

#include "LibHttp/EventHttpClient.h"
#include "platform/CallSender.h"
#include "platform/JobWire.h"
#include "platform/StoreWire.h"
#include "platform/WireNames.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <event2/event.h>
#include <fstream>
#include <iostream>
#include <list>

namespace {

using namespace sesameseam;
using namespace sesameseam::standin;

constexpr int kTickMicroseconds = 5000;
constexpr std::chrono::milliseconds kReportInterval = 1s;
constexpr std::int64_t kMemoryMb = 131072;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMisdirectedRequest = 421;

struct Options
{
  std::string mListen;
  std::string mListed;
  std::string mStore;
  std::string mId;
  std::string mRecord;
  std::int64_t mMillicores = 32000;
  double mClockSpeed = 1.0;
  std::int64_t mClockStartMs = 0;
};

// A heartbeat that is answered when a run ends, or when its wait is over.
struct WaitingHeartbeat
{
  std::int64_t mTicket = 0;
  schedule::HeartbeatCall mCall;
  schedule::Instant mUntil;
};

class JobExecutor
{
public:
  JobExecutor(event_base* aBase, Options aOptions);

  absl::Status Listen() { return mServer.Start(); }
  void Tick();

private:
  void OnRequest(const EventHttpIncoming& aIncoming);
  void OnStart(const EventHttpIncoming& aIncoming);
  void OnStop(const EventHttpIncoming& aIncoming);
  void OnHeartbeat(const EventHttpIncoming& aIncoming);
  // Ends what is over, and records that.
  void AdvanceAndRecord();
  void Report();
  void Record(const std::string& aWhat);
  void Record(const std::string& aWhat, const schedule::TaskRun& aRun);

  Options mOptions;
  FakeExecutor mExecutor;
  EventHttpServer mServer;
  EventHttpClient mClient;
  std::list<WaitingHeartbeat> mWaiting;
  std::int64_t mRecordedEnds = 0;
  std::int64_t mSequence = 0;
  bool mHasLapsed = true;
  schedule::Instant mReportAt;
};

JobExecutor::JobExecutor(event_base* aBase, Options aOptions)
  : mOptions(std::move(aOptions))
  , mServer(aBase,
            EventHttpServerSettings{ mOptions.mListen },
            [this](const EventHttpIncoming& aIncoming) { OnRequest(aIncoming); })
  , mClient(aBase, EventHttpClientSettings{})
{
  auto now = platform::CurrentTime();
  mExecutor.mEntry.mId = schedule::ExecutorId(mOptions.mId);
  mExecutor.mEntry.mService = schedule::ServiceName("previews");
  mExecutor.mEntry.mAddress = mOptions.mListed.empty() ? mOptions.mListen : mOptions.mListed;
  mExecutor.mEntry.mCapacity = { mOptions.mMillicores, kMemoryMb, 0 };
  mExecutor.mEntry.mIncarnation = ToMilliseconds(now.mWall.time_since_epoch()).count();
  mExecutor.mClockSpeed = mOptions.mClockSpeed;
  mExecutor.mStartedAt = now.mAt - std::chrono::milliseconds(mOptions.mClockStartMs);
  Record("begins");
}

void
JobExecutor::Record(const std::string& aWhat)
{
  auto now = ToMilliseconds(platform::CurrentTime().mWall.time_since_epoch()).count();
  // One write in append mode: the lines of several processes don't mix.
  auto line = std::to_string(now) + " " + mOptions.mId + " " + aWhat + "\n";
  std::ofstream(mOptions.mRecord, std::ios::app) << line << std::flush;
}

void
JobExecutor::Record(const std::string& aWhat, const schedule::TaskRun& aRun)
{
  Record(aWhat + " " + platform::EncodeTaskName(aRun.mTask) + " " + std::to_string(aRun.mRun));
}

void
JobExecutor::AdvanceAndRecord()
{
  auto now = platform::CurrentTime().mAt;
  Advance(mExecutor, now);
  for (const auto& end : mExecutor.mEnds) {
    if (end.mNumber > mRecordedEnds) {
      mRecordedEnds = end.mNumber;
      Record(std::string("end-") + NameOfEnd(end.mKind), end.mRun);
    }
  }
  auto hasLapsed = ClockOf(mExecutor, now) >= mExecutor.mLeaseEnd;
  if (hasLapsed && !mHasLapsed) {
    Record("lapse");
  }
  mHasLapsed = hasLapsed;
}

void
JobExecutor::OnStart(const EventHttpIncoming& aIncoming)
{
  auto call = DecodeStartCall(mExecutor.mEntry.mId, aIncoming.mBody);
  if (!call) {
    mServer.Reply(aIncoming.mTicket, { kBadRequest });
    return;
  }
  auto isNew = !mExecutor.mRuns.contains(call->mRun);
  auto answer = Start(mExecutor, *call, platform::CurrentTime().mAt);
  if (answer.mResult == schedule::CallResult::Done && isNew) {
    Record("start", call->mRun);
  }
  mServer.Reply(aIncoming.mTicket, EncodeStartAnswer(answer));
}

void
JobExecutor::OnStop(const EventHttpIncoming& aIncoming)
{
  auto call = DecodeStopCall(mExecutor.mEntry.mId, aIncoming.mBody);
  if (!call) {
    mServer.Reply(aIncoming.mTicket, { kBadRequest });
    return;
  }
  Record("call stop", call->mRun);
  Stop(mExecutor, *call, platform::CurrentTime().mAt);
  auto clock = ClockOf(mExecutor, platform::CurrentTime().mAt).count();
  auto body = "{\"clockMs\":" + std::to_string(clock) + "}";
  mServer.Reply(aIncoming.mTicket, { kOk, "application/json", body });
}

void
JobExecutor::OnHeartbeat(const EventHttpIncoming& aIncoming)
{
  auto call = DecodeHeartbeatCall(mExecutor.mEntry.mId, aIncoming.mBody);
  Record("call heartbeat lastSeen=" + std::to_string(call.mLastSeen) +
         " deadlineMs=" + std::to_string(call.mLeaseEnd.count()));
  for (const auto& end : mExecutor.mEnds) {
    if (end.mNumber <= call.mLastSeen && call.mTo.mEpoch >= mExecutor.mFence) {
      Record(std::string("noted-") + NameOfEnd(end.mKind), end.mRun);
    }
  }
  auto now = platform::CurrentTime().mAt;
  auto answer = Heartbeat(mExecutor, call, now);
  if (answer.mFenced || call.mWait.count() == 0 || !answer.mEnds.empty()) {
    mServer.Reply(aIncoming.mTicket, EncodeHeartbeatAnswer(answer));
    return;
  }
  // Lease and acknowledgement count once, on arrival.
  mWaiting.push_back({ aIncoming.mTicket, { call.mTo }, now + call.mWait });
}

void
JobExecutor::OnRequest(const EventHttpIncoming& aIncoming)
{
  AdvanceAndRecord();
  const auto& listed = mExecutor.mEntry.mAddress;
  auto isForAnother = aIncoming.mPort != std::atoi(listed.c_str() + listed.rfind(':') + 1);
  if (isForAnother) {
    mServer.Reply(aIncoming.mTicket, { kMisdirectedRequest });
  } else if (aIncoming.mPath == platform::kStartPath) {
    OnStart(aIncoming);
  } else if (aIncoming.mPath == platform::kStopPath) {
    OnStop(aIncoming);
  } else if (aIncoming.mPath == platform::kHeartbeatPath) {
    OnHeartbeat(aIncoming);
  } else {
    mServer.Reply(aIncoming.mTicket, { kNotFound });
  }
  AdvanceAndRecord();
}

void
JobExecutor::Report()
{
  schedule::AppendCall append;
  append.mStream = schedule::Stream::Executors;
  append.mRecords = { { mOptions.mId, EncodeEntry(mExecutor, ++mSequence) } };
  EventHttpRequest request;
  request.mAddress = mOptions.mStore;
  request.mKind = "report";
  request.mMethod = EventHttpMethod::Post;
  request.mPath = platform::AppendPath(append);
  request.mBody = platform::EncodeRecords(append.mRecords);
  mClient.Call(request, [](const EventHttpResponse& aResponse) {
    if (!aResponse.mAnswered || aResponse.mStatus != kOk) {
      std::cerr << "a report to the store failed with " << aResponse.mStatus << "\n";
    }
  });
}

void
JobExecutor::Tick()
{
  auto now = platform::CurrentTime().mAt;
  AdvanceAndRecord();
  mWaiting.remove_if([&](const WaitingHeartbeat& aHeartbeat) {
    if (mExecutor.mEnds.empty() && now < aHeartbeat.mUntil) {
      return false;
    }
    auto answer = Heartbeat(mExecutor, aHeartbeat.mCall, now);
    mServer.Reply(aHeartbeat.mTicket, EncodeHeartbeatAnswer(answer));
    return true;
  });
  if (now >= mReportAt) {
    mReportAt = now + kReportInterval;
    Report();
  }
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Fakes an executor of the users' platform in a process of its own");
  Options options;
  app.add_option("--listen", options.mListen, "Address that it listens on")->required();
  app.add_option("--listed", options.mListed, "Address in its entry, if that is another one");
  app.add_option("--store", options.mStore, "Address of the platform's store")->required();
  app.add_option("--id", options.mId, "Its id")->required();
  app.add_option("--record", options.mRecord, "File that its events are appended to")->required();
  app.add_option("--millicores", options.mMillicores, "Its processor time");
  app.add_option("--clock-speed", options.mClockSpeed, "Speed of its clock, 1.0 for real time");
  app.add_option("--clock-start", options.mClockStartMs, "Milliseconds that its clock begins at");
  CLI11_PARSE(app, aCount, aArguments);

  signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  JobExecutor executor(base, options);
  auto started = executor.Listen();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return 1;
  }
  timeval interval{ 0, kTickMicroseconds };
  auto* tick = event_new(
    base,
    -1,
    EV_PERSIST,
    [](int, short, void* aExecutor) { static_cast<JobExecutor*>(aExecutor)->Tick(); },
    &executor);
  event_add(tick, &interval);
  event_base_dispatch(base);
  return 0;
}
