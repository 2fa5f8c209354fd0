#include "Http.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <event2/event.h>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <rapidjson/document.h>
#include <sstream>
#include <string>

// A stand-in of one executor. The specification of a job says what each of its tasks does, in words
// separated by blanks:
//   ms=N         it ends after N milliseconds of work (1000)
//   fail         it ends as failed, not as done
//   lasts        it never ends by itself
//   fail-at=N    its first run ends as failed after N milliseconds
//   save         it keeps a checkpoint every half second of work
namespace {

using review::Incoming;
using review::Reply;
using Document = rapidjson::Document;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
constexpr std::int64_t kStartUpMs = 500;
constexpr std::int64_t kStopMs = 300;
constexpr std::int64_t kCheckpointMs = 500;
constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kCheckInMs = 1500;
constexpr int kPercent = 100;
constexpr std::size_t kListedEnds = 500;

struct Work
{
  std::int64_t mMs = 1000;
  std::int64_t mFailAt = 0;
  bool mFails = false;
  bool mLasts = false;
  bool mSaves = false;
};

// One run, named by its task and its number.
struct Run
{
  Work mWork;
  std::string mSpec;
  std::int64_t mStartedAt = 0;
  // What the work of former runs counts for.
  std::int64_t mResumedAt = 0;
  std::int64_t mStopAt = 0;
};

struct End
{
  std::int64_t mNumber = 0;
  std::string mTask;
  int mRun = 0;
  std::string mHow;
  std::string mSaved;
};

struct Waiting
{
  evhttp_request* mRequest = nullptr;
  std::int64_t mUntil = 0;
};

using Name = std::pair<std::string, int>;

struct Executor
{
  std::string mId;
  std::string mAddress;
  std::string mStore;
  std::string mService;
  std::string mKind;
  std::string mRack;
  std::string mCpu;
  std::string mRecordFile;
  std::int64_t mBorn = 0;
  std::int64_t mSeq = 0;
  std::int64_t mFence = 0;
  std::int64_t mLeaseEnd = 0;
  std::int64_t mNextEnd = 1;
  std::map<Name, Run> mRuns;
  std::map<std::string, int> mHighestEnded;
  std::list<End> mEnds;
  std::list<Waiting> mWaiting;
};

// How fast the executor's steady clock runs.
double&
ClockRate()
{
  static double rate = 1;
  return rate;
}

// The executor's steady clock, which begins with its process.
std::int64_t
Clock()
{
  static const auto kStart = std::chrono::steady_clock::now();
  auto since = std::chrono::steady_clock::now() - kStart;
  return static_cast<std::int64_t>(
           std::chrono::duration<double, std::milli>(since * ClockRate()).count()) +
         1;
}

Work
ParseWork(const std::string& aSpec)
{
  Work work;
  std::istringstream words(aSpec);
  std::string word;
  while (words >> word) {
    if (word.starts_with("ms=")) {
      work.mMs = std::stoll(word.substr(3));
    } else if (word.starts_with("fail-at=")) {
      work.mFailAt = std::stoll(word.substr(8));
    } else {
      work.mFails |= word == "fail";
      work.mLasts |= word == "lasts";
      work.mSaves |= word == "save";
    }
  }
  return work;
}

std::int64_t
NumberOf(const Document& aDocument, const char* aName)
{
  return aDocument.IsObject() && aDocument.HasMember(aName) && aDocument[aName].IsInt64()
           ? aDocument[aName].GetInt64()
           : 0;
}

std::string
TextOf(const Document& aDocument, const char* aName)
{
  return aDocument.IsObject() && aDocument.HasMember(aName) && aDocument[aName].IsString()
           ? aDocument[aName].GetString()
           : "";
}

void
Note(const Executor& aExecutor, const std::string& aWhat, const std::string& aTask, int aRun)
{
  review::Record(aExecutor.mRecordFile,
                 aExecutor.mId + " " + aWhat + " " + aTask + " " + std::to_string(aRun));
}

std::int64_t
WorkDone(const Run& aRun)
{
  return aRun.mResumedAt + Clock() - aRun.mStartedAt;
}

// A checkpoint is 16 hex digits: what it is of, and the work that it stands for.
std::string
CheckpointOf(const std::string& aTask, const Run& aRun)
{
  constexpr std::size_t kLength = 17;
  auto saved = WorkDone(aRun) / kCheckpointMs * kCheckpointMs;
  if (!aRun.mWork.mSaves || saved == 0) {
    return {};
  }
  char text[kLength];
  auto of = static_cast<unsigned>(std::hash<std::string>()(aTask) & 0xffffffffU);
  (void)std::snprintf(text, sizeof text, "%08x%08x", of, static_cast<unsigned>(saved));
  return text;
}

void
EndRun(Executor& aExecutor, const Name& aName, const std::string& aHow)
{
  auto found = aExecutor.mRuns.find(aName);
  auto saved = CheckpointOf(aName.first, found->second);
  aExecutor.mRuns.erase(found);
  auto& highest = aExecutor.mHighestEnded[aName.first];
  highest = std::max(highest, aName.second);
  aExecutor.mEnds.push_back({ aExecutor.mNextEnd++, aName.first, aName.second, aHow, saved });
  Note(aExecutor, "end-" + aHow, aName.first, aName.second);
}

std::string
HowEnded(const Executor& aExecutor, const Name& aName, const Run& aRun)
{
  if (Clock() > aExecutor.mLeaseEnd) {
    return "lapsed";
  }
  if (aRun.mStopAt != 0 && Clock() >= aRun.mStopAt) {
    return "stopped";
  }
  if (aRun.mWork.mFailAt != 0 && aName.second == 1 && WorkDone(aRun) >= aRun.mWork.mFailAt) {
    return "failed";
  }
  if (!aRun.mWork.mLasts && WorkDone(aRun) >= aRun.mWork.mMs) {
    return aRun.mWork.mFails ? "failed" : "done";
  }
  return {};
}

std::string
ClockText()
{
  return "{\"clockMs\":" + std::to_string(Clock());
}

std::string
Lists(const Executor& aExecutor)
{
  std::string running;
  for (const auto& [name, run] : aExecutor.mRuns) {
    auto done = run.mWork.mLasts
                  ? WorkDone(run) * kPercent / kStartUpMs
                  : WorkDone(run) * kPercent / std::max<std::int64_t>(1, run.mWork.mMs);
    running += (running.empty() ? "[\"" : ",[\"") + name.first + "\"," +
               std::to_string(name.second) + ",\"" + CheckpointOf(name.first, run) + "\"," +
               std::to_string(std::min<std::int64_t>(kPercent, done)) + ",0]";
  }
  std::string finished;
  std::size_t listed = 0;
  for (const auto& end : aExecutor.mEnds) {
    if (++listed > kListedEnds) {
      break;
    }
    finished += (finished.empty() ? "[" : ",[") + std::to_string(end.mNumber) + ",\"" + end.mTask +
                "\"," + std::to_string(end.mRun) + ",\"" + end.mHow + "\",\"" + end.mSaved + "\"]";
  }
  return ClockText() + ",\"born\":" + std::to_string(aExecutor.mBorn) + ",\"running\":[" + running +
         "],\"finished\":[" + finished + "]}";
}

// What ended, and what waits for that.
void
Advance(Executor& aExecutor)
{
  auto before = aExecutor.mNextEnd;
  for (auto next = aExecutor.mRuns.begin(); next != aExecutor.mRuns.end();) {
    auto name = next->first;
    auto how = HowEnded(aExecutor, name, next->second);
    ++next;
    if (!how.empty()) {
      EndRun(aExecutor, name, how);
    }
  }
  auto hasEnded = aExecutor.mNextEnd != before;
  aExecutor.mWaiting.remove_if([&](const Waiting& aWaiting) {
    if (!hasEnded && Clock() < aWaiting.mUntil) {
      return false;
    }
    Reply(aWaiting.mRequest, kOk, Lists(aExecutor));
    return true;
  });
}

// Takes the fence number of a call over. Returns false, with the call answered, if it is too low.
bool
TakeFence(Executor& aExecutor, const Incoming& aIncoming, const Document& aCall)
{
  auto fence = NumberOf(aCall, "fence");
  if (fence < aExecutor.mFence) {
    Reply(aIncoming.mRequest, kConflict, ClockText() + R"(,"reason":"fence"})");
    return false;
  }
  aExecutor.mFence = fence;
  return true;
}

void
TakeLease(Executor& aExecutor, const Document& aCall)
{
  auto end = std::min(NumberOf(aCall, "deadlineMs"), Clock() + kMaxHoldMs);
  aExecutor.mLeaseEnd = std::max(aExecutor.mLeaseEnd, end);
}

void
OnStart(Executor& aExecutor, const Incoming& aIncoming, const Document& aCall)
{
  constexpr int kHexDigits = 8;
  constexpr int kHexBase = 16;
  Name name{ TextOf(aCall, "task"), static_cast<int>(NumberOf(aCall, "run")) };
  if (aExecutor.mRuns.contains(name)) {
    Reply(aIncoming.mRequest, kOk, ClockText() + "}");
    return;
  }
  auto highest = aExecutor.mHighestEnded.find(name.first);
  if (highest != aExecutor.mHighestEnded.end() && name.second <= highest->second) {
    TakeLease(aExecutor, aCall);
    Reply(aIncoming.mRequest, kConflict, ClockText() + R"(,"reason":"old"})");
    return;
  }
  if (NumberOf(aCall, "deadlineMs") <= Clock()) {
    Reply(aIncoming.mRequest, kConflict, ClockText() + R"(,"reason":"late"})");
    return;
  }
  TakeLease(aExecutor, aCall);
  Run run;
  run.mSpec = TextOf(aCall, "spec");
  run.mWork = ParseWork(run.mSpec);
  run.mStartedAt = Clock();
  auto checkpoint = TextOf(aCall, "lastCheckpoint");
  if (!checkpoint.empty()) {
    run.mResumedAt = std::stoll(checkpoint.substr(kHexDigits), nullptr, kHexBase);
  }
  aExecutor.mRuns[name] = run;
  Note(aExecutor, "start", name.first, name.second);
  Reply(aIncoming.mRequest, kOk, ClockText() + "}");
}

void
OnStop(Executor& aExecutor, const Incoming& aIncoming, const Document& aCall)
{
  Name name{ TextOf(aCall, "task"), static_cast<int>(NumberOf(aCall, "run")) };
  auto found = aExecutor.mRuns.find(name);
  if (found != aExecutor.mRuns.end() && found->second.mStopAt == 0) {
    found->second.mStopAt = Clock() + kStopMs;
  } else if (found == aExecutor.mRuns.end()) {
    auto& highest = aExecutor.mHighestEnded[name.first];
    highest = std::max(highest, name.second);
  }
  Reply(aIncoming.mRequest, kOk, ClockText() + "}");
}

void
OnHold(Executor& aExecutor, const Incoming& aIncoming, const Document& aCall)
{
  TakeLease(aExecutor, aCall);
  auto lastSeen = NumberOf(aCall, "lastSeen");
  aExecutor.mEnds.remove_if([&](const End& aEnd) {
    if (aEnd.mNumber > lastSeen) {
      return false;
    }
    Note(aExecutor, "noted-" + aEnd.mHow, aEnd.mTask, aEnd.mRun);
    return true;
  });
  Advance(aExecutor);
  auto wait = NumberOf(aCall, "waitMs");
  if (wait == 0 || !aExecutor.mEnds.empty()) {
    Reply(aIncoming.mRequest, kOk, Lists(aExecutor));
    return;
  }
  aExecutor.mWaiting.push_back({ aIncoming.mRequest, Clock() + wait });
}

void
OnRequest(Executor& aExecutor, const Incoming& aIncoming)
{
  auto expected = review::HeaderOf(aIncoming, "Expect-Instance");
  if (!expected.empty() && expected != aExecutor.mId) {
    Reply(aIncoming.mRequest, kMisdirected, "{}");
    return;
  }
  Document call;
  call.Parse(aIncoming.mBody.c_str());
  Advance(aExecutor);
  using Function = void (*)(Executor&, const Incoming&, const Document&);
  static const std::map<std::string, Function> kHandlers{
    { "/sesameseam/run-start", OnStart },
    { "/sesameseam/run-stop", OnStop },
    { "/sesameseam/hold", OnHold },
  };
  auto found = kHandlers.find(aIncoming.mPath);
  if (found == kHandlers.end()) {
    Reply(aIncoming.mRequest, kNotFound, "{}");
    return;
  }
  if (TakeFence(aExecutor, aIncoming, call)) {
    found->second(aExecutor, aIncoming, call);
  }
}

void
CheckIn(event_base* aBase, Executor& aExecutor)
{
  auto entry = R"({"service":")" + aExecutor.mService + R"(","address":")" + aExecutor.mAddress +
               R"(","zone":"a","version":"1","capacity":8,"state":"ready","coldMs":0,"seq":)" +
               std::to_string(++aExecutor.mSeq) + R"(,"born":)" + std::to_string(aExecutor.mBorn) +
               R"(,"labels":[")" + aExecutor.mKind + R"(",")" + aExecutor.mRack +
               R"("],"room":{"cpu":)" + aExecutor.mCpu + R"(,"memMb":131072}})";
  auto path = "/check-in?id=" + aExecutor.mId + "&interval=" + std::to_string(kCheckInMs);
  review::Post(aBase, aExecutor.mStore, path, entry);
}

}

// Usage: executor ADDRESS STORE-ADDRESS ID SERVICE KIND RACK CPU-MILLICORES RECORD-FILE
//          [LISTED-ADDRESS CLOCK-RATE]
int
main(int aCount, char** aArguments)
{
  constexpr int kArguments = 9;
  constexpr int kTickMs = 5;
  if (aCount != kArguments && aCount != kArguments + 2) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  Executor executor;
  executor.mAddress = aArguments[1];
  if (aCount > kArguments) {
    executor.mAddress = aArguments[kArguments];
    ClockRate() = std::stod(aArguments[kArguments + 1]);
  }
  executor.mStore = aArguments[2];
  executor.mId = aArguments[3];
  executor.mService = aArguments[4];
  executor.mKind = aArguments[5];
  executor.mRack = aArguments[6];
  executor.mCpu = aArguments[7];
  executor.mRecordFile = aArguments[8];
  executor.mBorn = review::UnixMilliseconds();
  auto isListening = review::Serve(
    base, aArguments[1], [&](const Incoming& aIncoming) { OnRequest(executor, aIncoming); });
  if (!isListening) {
    std::cerr << "cannot listen on " << aArguments[1] << "\n";
    return 2;
  }
  review::Record(executor.mRecordFile, executor.mId + " begins");
  CheckIn(base, executor);
  review::Every(base, static_cast<int>(kCheckInMs), [&] { CheckIn(base, executor); });
  review::Every(base, kTickMs, [&] { Advance(executor); });
  event_base_dispatch(base);
  return 0;
}
