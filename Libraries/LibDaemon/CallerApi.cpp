#include "LibDaemon/CallerApi.h"

#include <absl/strings/numbers.h>
#include <algorithm>

namespace sesameseam {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::size_t kMaxNameBytes = 200;

struct CallerError
{
  std::string mError;
  std::string mReason;
  std::string mOutcome = "not-run";
};

template<typename V>
void
VisitFields(V& aVisit, CallerError& aError)
{
  aVisit("error", aError.mError);
  aVisit("reason", aError.mReason);
  aVisit("outcome", aError.mOutcome);
}

struct CallerRefusal
{
  OutcomeKind mOutcome = OutcomeKind::NotRun;
  OutcomeReason mReason = OutcomeReason::None;
  Duration mRetryAfter = Duration::zero();
};

template<typename V>
void
VisitFields(V& aVisit, CallerRefusal& aRefusal)
{
  aVisit("outcome", aRefusal.mOutcome);
  aVisit("reason", aRefusal.mReason);
  aVisit("retry_after", aRefusal.mRetryAfter);
}

absl::StatusOr<std::string>
ReadName(const HttpRequest& aMessage, const std::string& aHeader, bool aRequired)
{
  auto value = HeaderOf(aMessage.mHeaders, aHeader);
  if (value.empty() && aRequired) {
    return MakeError(ErrorKind::BadField, aHeader + " is missing");
  }
  bool printable = std::all_of(
    value.begin(), value.end(), [](char aByte) { return aByte > ' ' && aByte < '\x7f'; });
  if (value.size() > kMaxNameBytes || !printable) {
    return MakeError(ErrorKind::BadField,
                     aHeader + " must be at most 200 printable characters without spaces");
  }
  return value;
}

absl::StatusOr<Duration>
ReadDuration(const HttpRequest& aMessage, const std::string& aHeader)
{
  auto duration = ParseDuration(HeaderOf(aMessage.mHeaders, aHeader));
  if (!duration) {
    return MakeError(ErrorKind::BadField, aHeader + " must be a duration, such as 250ms or 3s");
  }
  return *duration;
}

absl::Status
ReadClass(const HttpRequest& aMessage, Request& aRequest)
{
  auto name = HeaderOf(aMessage.mHeaders, "X-Class");
  if (name.empty()) {
    return absl::OkStatus();
  }
  auto value = EnumValue<RequestClass>(name);
  if (!value) {
    return MakeError(ErrorKind::BadField, "X-Class must be urgent, ordinary or long");
  }
  aRequest.mClass = *value;
  return absl::OkStatus();
}

absl::Status
ReadIdempotency(const HttpRequest& aMessage, Request& aRequest)
{
  auto text = HeaderOf(aMessage.mHeaders, "X-Idempotent");
  if (!text.empty() && text != "true" && text != "false") {
    return MakeError(ErrorKind::BadField, "X-Idempotent must be true or false");
  }
  aRequest.mIdempotent = text == "true";
  bool needsKey = !aRequest.mIdempotent;
  aRequest.mKey = RequestKey(TRY(ReadName(aMessage, "Idempotency-Key", needsKey)));
  return absl::OkStatus();
}

absl::Status
ReadTry(const HttpRequest& aMessage, Request& aRequest)
{
  auto number = HeaderOf(aMessage.mHeaders, "X-Try");
  if (number.empty()) {
    return absl::OkStatus();
  }
  if (!absl::SimpleAtoi(number, &aRequest.mTry) || aRequest.mTry < 1) {
    return MakeError(ErrorKind::BadField, "X-Try must be the number of the try, from 1");
  }
  auto notRun = HeaderOf(aMessage.mHeaders, "X-Tries-Not-Run");
  bool valid = notRun.empty() || absl::SimpleAtoi(notRun, &aRequest.mTriesNotRun);
  if (!valid || aRequest.mTriesNotRun < 0 || aRequest.mTriesNotRun >= aRequest.mTry) {
    return MakeError(ErrorKind::BadField, "X-Tries-Not-Run must be below X-Try");
  }
  return absl::OkStatus();
}

absl::StatusOr<Request>
ReadRequest(Daemon& aDaemon, const HttpRequest& aMessage)
{
  if (aMessage.mMethod != "POST") {
    return MakeError(ErrorKind::BadField, "the method must be POST");
  }
  Request request;
  request.mId = RequestId(aDaemon.NewId());
  request.mPool = PoolName(TRY(ReadName(aMessage, "X-Pool", true)));
  request.mTeam = TeamName(TRY(ReadName(aMessage, "X-Team", false)));
  request.mKind = TRY(ReadName(aMessage, "X-Kind", false));
  TRY(ReadClass(aMessage, request));
  TRY(ReadIdempotency(aMessage, request));
  TRY(ReadTry(aMessage, request));
  auto timeout = TRY(ReadDuration(aMessage, "X-Deadline"));
  if (timeout <= Duration::zero() || timeout > kMaxDeadline) {
    return MakeError(ErrorKind::BadField, "X-Deadline must be above 0s and at most 1h");
  }
  request.mDeadline = aDaemon.Now() + timeout;
  if (!HeaderOf(aMessage.mHeaders, "X-Run-Time").empty()) {
    request.mDeclaredRunTime = TRY(ReadDuration(aMessage, "X-Run-Time"));
  }
  request.mBody = aMessage.mBody;
  return request;
}

HttpReply
ErrorReply(const absl::Status& aError)
{
  CallerError error;
  error.mError = std::string(NameOf(KindOf(aError)));
  error.mReason = std::string(aError.message());
  auto reply = JsonReply(kBadRequest, ToJson(error));
  reply.mHeaders.push_back({ "X-Outcome", "not-run" });
  return reply;
}

HttpReply
UnknownPoolReply(const std::string& aPool, OutcomeKind aKind)
{
  CallerError error;
  error.mError = std::string(NameOf(ErrorKind::UnknownPool));
  error.mReason = "no pool '" + aPool + "'";
  error.mOutcome = std::string(EnumName(aKind));
  auto reply = JsonReply(404, ToJson(error));
  reply.mHeaders.push_back({ "X-Outcome", error.mOutcome });
  return reply;
}

std::string
RoundUpToSeconds(Duration aDuration)
{
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aDuration).count());
}

HttpReply
MakeReply(const Outcome& aOutcome)
{
  HttpReply reply;
  if (aOutcome.mKind == OutcomeKind::Answered) {
    reply.mStatus = aOutcome.mStatus;
    reply.mBody = aOutcome.mBody;
  } else {
    CallerRefusal refusal{ aOutcome.mKind, aOutcome.mReason, aOutcome.mRetryAfter };
    bool notRun = aOutcome.mKind == OutcomeKind::NotRun;
    reply = JsonReply(notRun ? kUnavailable : kGatewayTimeout, ToJson(refusal));
    reply.mHeaders.push_back({ "Retry-After", RoundUpToSeconds(aOutcome.mRetryAfter) });
    reply.mHeaders.push_back(
      { "X-Retry-After-Ms", std::to_string(ToMilliseconds(aOutcome.mRetryAfter).count()) });
  }
  reply.mHeaders.push_back({ "X-Outcome", std::string(EnumName(aOutcome.mKind)) });
  return reply;
}

}

HttpReply
ServeCaller(Daemon& aDaemon, const HttpRequest& aMessage)
{
  auto request = ReadRequest(aDaemon, aMessage);
  if (!request.ok()) {
    return ErrorReply(request.status());
  }
  RequestLabels labels{ request->mPool.mValue, request->mClass, OutcomeKind::NotRun };
  auto arrived = aDaemon.Now();
  auto outcome = aDaemon.Serve(std::move(*request));
  if (outcome.mReason == OutcomeReason::UnknownPool) {
    return UnknownPoolReply(labels.mPool, outcome.mKind);
  }
  labels.mOutcome = outcome.mKind;
  aDaemon.RequestDurations().Add(labels, aDaemon.Now() - arrived);
  auto reply = MakeReply(outcome);
  auto callersId = HeaderOf(aMessage.mHeaders, "X-Request-Id");
  if (!callersId.empty()) {
    reply.mHeaders.push_back({ "X-Request-Id", callersId });
  }
  return reply;
}

}
