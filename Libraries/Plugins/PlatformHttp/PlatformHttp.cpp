#include "LibBase/Json.h"
#include "LibHttp/HttpCall.h"
#include "LibPlatform/Platform.h"

// The platform's services by HTTP and JSON.
namespace sesameseam {

namespace {

constexpr Duration kAppendTimeout = 1s;
constexpr Duration kReadMargin = 1s;
constexpr Duration kListTimeout = 2s;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

struct WireEntry
{
  Offset mOffset = kNoOffset;
  std::string mRecord;
};

template<typename V>
void
VisitFields(V& aVisit, WireEntry& aEntry)
{
  aVisit("offset", aEntry.mOffset, Presence::Required);
  aVisit("record", aEntry.mRecord, Presence::Required);
}

struct WirePart
{
  std::vector<WireEntry> mEntries;
  Offset mEnd = 0;
  Offset mFirst = 0;
};

template<typename V>
void
VisitFields(V& aVisit, WirePart& aPart)
{
  aVisit("entries", aPart.mEntries, Presence::Required);
  aVisit("end", aPart.mEnd, Presence::Required);
  aVisit("first", aPart.mFirst, Presence::Required);
}

struct WireAppend
{
  std::vector<std::string> mRecords;
};

template<typename V>
void
VisitFields(V& aVisit, WireAppend& aAppend)
{
  aVisit("records", aAppend.mRecords, Presence::Required);
}

struct WireAppended
{
  Offset mOffset = kNoOffset;
};

template<typename V>
void
VisitFields(V& aVisit, WireAppended& aAppended)
{
  aVisit("offset", aAppended.mOffset, Presence::Required);
}

absl::StatusOr<Offset>
Append(const Address& aAddress, const std::vector<std::string>& aRecords)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = "/log/append";
  request.mBody = ToJson(WireAppend{ aRecords });
  auto reply = CallHttp(aAddress, request, kAppendTimeout);
  if (!reply.ok()) {
    bool refused = KindOf(reply.status()) == ErrorKind::ConnectionRefused;
    return MakeError(refused ? ErrorKind::LogUnavailable : ErrorKind::LogAnswerLost,
                     std::string(reply.status().message()));
  }
  if (reply->mStatus == kUnavailable) {
    return MakeError(ErrorKind::LogUnavailable, reply->mBody);
  }
  if (reply->mStatus != kOk) {
    return MakeError(ErrorKind::LogAnswerLost, reply->mBody);
  }
  return TRY(FromJson<WireAppended>(reply->mBody)).mOffset;
}

absl::StatusOr<LogReadResult>
Read(const Address& aAddress, Offset aFrom, Duration aWait)
{
  HttpRequest request;
  request.mPath = "/log/read";
  request.mQuery =
    "from=" + std::to_string(aFrom) + "&wait_ms=" + std::to_string(ToMilliseconds(aWait).count());
  auto reply = TRY(CallHttp(aAddress, request, aWait + kReadMargin));
  if (reply.mStatus != kOk) {
    return MakeError(ErrorKind::LogUnavailable, reply.mBody);
  }
  auto wire = TRY(FromJson<WirePart>(reply.mBody));
  LogReadResult part;
  part.mEnd = wire.mEnd;
  part.mFirst = wire.mFirst;
  for (auto& entry : wire.mEntries) {
    part.mEntries.push_back({ entry.mOffset, std::move(entry.mRecord) });
  }
  return part;
}

absl::StatusOr<std::map<HostName, std::int64_t>>
ListHosts(const Address& aAddress)
{
  HttpRequest request;
  request.mPath = "/hosts";
  auto reply = TRY(CallHttp(aAddress, request, kListTimeout));
  if (reply.mStatus != kOk) {
    return MakeError(ErrorKind::LogUnavailable, reply.mBody);
  }
  return FromJson<std::map<HostName, std::int64_t>>(reply.mBody);
}

absl::Status
Reboot(const Address& aAddress, const HostName& aHost)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = "/hosts/reboot";
  // The HTTP library sends a query with GET only.
  request.mBody = ToJson(std::map<std::string, HostName>{ { "host", aHost } });
  auto reply = TRY(CallHttp(aAddress, request, kListTimeout));
  if (reply.mStatus != kOk) {
    return MakeError(ErrorKind::UnknownHost, reply.mBody);
  }
  return absl::OkStatus();
}

struct WireStart
{
  StartTask mStart;
};

template<typename V>
void
VisitFields(V& aVisit, WireStart& aWire)
{
  aVisit("worker", aWire.mStart.mWorker);
  aVisit("job", aWire.mStart.mJob);
  aVisit("epoch", aWire.mStart.mEpoch);
  aVisit("checkpoint", aWire.mStart.mCheckpoint);
  aVisit("body", aWire.mStart.mBody);
  aVisit("lease", aWire.mStart.mLease);
}

struct WireStop
{
  StopTask mStop;
};

template<typename V>
void
VisitFields(V& aVisit, WireStop& aWire)
{
  aVisit("worker", aWire.mStop.mWorker);
  aVisit("job", aWire.mStop.mJob);
  aVisit("epoch", aWire.mStop.mEpoch);
}

absl::Status
Post(const Address& aAddress, const std::string& aPath, std::string aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = aPath;
  request.mBody = std::move(aBody);
  auto reply = TRY(CallHttp(aAddress, request, kListTimeout));
  if (reply.mStatus != kOk) {
    return MakeError(ErrorKind::BadState, reply.mBody);
  }
  return absl::OkStatus();
}

absl::StatusOr<std::vector<TaskReport>>
ListTasks(const Address& aAddress)
{
  HttpRequest request;
  request.mPath = "/tasks";
  auto reply = TRY(CallHttp(aAddress, request, kListTimeout));
  if (reply.mStatus != kOk) {
    return MakeError(ErrorKind::LogUnavailable, reply.mBody);
  }
  return FromJson<std::vector<TaskReport>>(reply.mBody);
}

absl::StatusOr<Platform>
MakeHttpPlatform(const Address& aAddress)
{
  Platform platform;
  platform.mAppend = [aAddress](const auto& aRecords) { return Append(aAddress, aRecords); };
  platform.mRead = [aAddress](Offset aFrom, Duration aWait) {
    return Read(aAddress, aFrom, aWait);
  };
  platform.mListHosts = [aAddress] { return ListHosts(aAddress); };
  platform.mReboot = [aAddress](const HostName& aHost) { return Reboot(aAddress, aHost); };
  platform.mStartTask = [aAddress](const StartTask& aStart) {
    return Post(aAddress, "/tasks/start", ToJson(WireStart{ aStart }));
  };
  platform.mStopTask = [aAddress](const StopTask& aStop) {
    return Post(aAddress, "/tasks/stop", ToJson(WireStop{ aStop }));
  };
  platform.mListTasks = [aAddress] { return ListTasks(aAddress); };
  return platform;
}

[[maybe_unused]] const bool kRegistered = RegisterPlatform("http", MakeHttpPlatform);

}
}
