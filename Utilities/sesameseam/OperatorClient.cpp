#include "OperatorClient.h"

#include <random>
#include <sstream>
#include <thread>

namespace sesameseam {

namespace {

constexpr Duration kCallTimeout = 12s;
constexpr Duration kPollInterval = 50ms;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

std::string
RandomId()
{
  std::random_device device;
  std::ostringstream out;
  out << "cli-" << std::hex << device() << device() << device();
  return out.str();
}

struct ErrorBody
{
  std::string mError;
  std::string mReason;
};

template<typename V>
void
VisitFields(V& aVisit, ErrorBody& aBody)
{
  aVisit("error", aBody.mError);
  aVisit("reason", aBody.mReason);
}

absl::Status
ErrorOf(const HttpReply& aReply)
{
  auto body = FromJson<ErrorBody>(aReply.mBody);
  if (!body.ok()) {
    return MakeError(ErrorKind::BadField,
                     "the entry host answered with status " + std::to_string(aReply.mStatus));
  }
  if (aReply.mStatus == kUnauthorized) {
    return MakeError(ErrorKind::NotAuthorized, body->mReason + "; use --token-file FILE");
  }
  return MakeError(ErrorKind::BadField, body->mReason);
}

absl::StatusOr<HttpReply>
CallAny(const OperatorClient& aClient, const HttpRequest& aRequest)
{
  absl::Status last = MakeError(ErrorKind::BadSettings, "no entry host was named; use --entry");
  for (const auto& entryHost : aClient.mEntryHosts) {
    auto reply = CallHttp(entryHost, aRequest, kCallTimeout);
    if (reply.ok() && reply->mStatus != kUnavailable) {
      return reply;
    }
    last = reply.ok() ? MakeError(ErrorKind::LogUnavailable, reply->mBody) : reply.status();
  }
  return last;
}

}

absl::StatusOr<Decision>
SendChange(const OperatorClient& aClient,
           const std::string& aKind,
           std::optional<Offset> aBasedOn,
           const JsonValue& aBody)
{
  ChangeSubmission call{ RecordId(RandomId()), aClient.mOperator, aBasedOn, aKind, aBody };
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = "/change";
  request.mHeaders.push_back({ "Authorization", "Bearer " + aClient.mToken });
  request.mBody = ToJson(call);
  auto reply = TRY(CallAny(aClient, request));
  if (reply.mStatus != kOk && reply.mStatus != kConflict) {
    return ErrorOf(reply);
  }
  return FromJson<Decision>(reply.mBody);
}

absl::StatusOr<std::string>
Fetch(const OperatorClient& aClient, const std::string& aPath)
{
  HttpRequest request;
  request.mPath = aPath;
  auto reply = TRY(CallAny(aClient, request));
  if (reply.mStatus != kOk) {
    return ErrorOf(reply);
  }
  return reply.mBody;
}

absl::StatusOr<StatusReply>
FetchStatus(const OperatorClient& aClient)
{
  return FromJson<StatusReply>(TRY(Fetch(aClient, "/status")));
}

absl::Status
WaitInForce(const OperatorClient& aClient, Offset aVersion, Duration aTimeout)
{
  auto end = std::chrono::steady_clock::now() + aTimeout;
  std::string lagging;
  do {
    auto status = TRY(FetchStatus(aClient));
    lagging.clear();
    for (const auto& member : status.mMembers) {
      if (member.mVersion < aVersion) {
        lagging += " " + member.mMember.mValue;
      }
    }
    if (lagging.empty()) {
      return absl::OkStatus();
    }
    std::this_thread::sleep_for(kPollInterval);
  } while (std::chrono::steady_clock::now() < end);
  return MakeError(ErrorKind::DeadlineExceeded, "not in force yet on:" + lagging);
}

}
