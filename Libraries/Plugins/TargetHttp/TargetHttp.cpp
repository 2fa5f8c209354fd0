#include "LibHttp/HttpCall.h"
#include "LibPlatform/Target.h"

// Sends attempts to targets by HTTP: POST /run with the request's id, which the answer repeats.
namespace sesameseam {

namespace {

constexpr int kFirstFailureStatus = 500;
constexpr const char* kRequestIdHeader = "X-Request-Id";

HttpRequest
MessageFor(const Request& aRequest)
{
  HttpRequest message;
  message.mMethod = "POST";
  message.mPath = "/run";
  message.mHeaders.push_back({ kRequestIdHeader, aRequest.mId.mValue });
  message.mHeaders.push_back({ "X-Request-Kind", aRequest.mKind });
  if (!aRequest.mKey.IsEmpty()) {
    message.mHeaders.push_back({ "Idempotency-Key", aRequest.mKey.mValue });
  }
  message.mBody = aRequest.mBody;
  return message;
}

AttemptResult
ResultOf(const absl::StatusOr<HttpReply>& aReply, const Request& aRequest)
{
  AttemptResult result;
  if (!aReply.ok()) {
    bool refused = KindOf(aReply.status()) == ErrorKind::ConnectionRefused;
    result.mEnd = refused ? AttemptEnd::NotSent : AttemptEnd::Lost;
    return result;
  }
  // An answer to another request must not reach this request's caller.
  if (HeaderOf(aReply->mHeaders, kRequestIdHeader) != aRequest.mId.mValue) {
    result.mEnd = AttemptEnd::Lost;
    return result;
  }
  bool failed = aReply->mStatus >= kFirstFailureStatus;
  result.mEnd = failed ? AttemptEnd::Failed : AttemptEnd::Answered;
  result.mStatus = aReply->mStatus;
  result.mBody = aReply->mBody;
  return result;
}

AttemptResult
RunAttempt(const Dispatch& aDispatch)
{
  auto address = ParseAddress(aDispatch.mTarget.mAddress);
  if (!address.ok()) {
    AttemptResult result;
    result.mEnd = AttemptEnd::NotSent;
    return result;
  }
  auto reply = CallHttp(*address, MessageFor(*aDispatch.mRequest), aDispatch.mTimeout);
  return ResultOf(reply, *aDispatch.mRequest);
}

[[maybe_unused]] const bool kRegistered = RegisterTargetClient("http", RunAttempt);

}
}
