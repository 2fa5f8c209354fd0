#include "LibHttp/HttpCall.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>
#include <string>

namespace sesameseam {

namespace {

// The library sends parameters of its own only with GET.
std::string
UrlOf(const HttpRequest& aRequest)
{
  return aRequest.mQuery.empty() ? aRequest.mPath : aRequest.mPath + "?" + aRequest.mQuery;
}

using SteadyClock = std::chrono::steady_clock;

// Collects the answer of one asynchronous call.
class CallState : public cxxtools::Connectable
{
public:
  explicit CallState(cxxtools::http::Client& aClient)
  {
    cxxtools::connect(aClient.replyFinished, *this, &CallState::OnFinished);
    cxxtools::connect(aClient.bodyAvailable, *this, &CallState::OnBody);
  }

  [[nodiscard]] bool IsFinished() const { return mFinished; }
  [[nodiscard]] bool IsTooLarge() const { return mBody.size() > kMaxAnswerBytes; }
  std::string& Body() { return mBody; }

private:
  void OnFinished(cxxtools::http::Client&) { mFinished = true; }

  std::size_t OnBody(cxxtools::http::Client& aClient)
  {
    auto available = aClient.in().rdbuf()->in_avail();
    std::string part(static_cast<std::size_t>(std::max<std::streamsize>(available, 0)), '\0');
    auto count = aClient.in().readsome(part.data(), static_cast<std::streamsize>(part.size()));
    mBody.append(part, 0, static_cast<std::size_t>(count));
    return static_cast<std::size_t>(count);
  }

  bool mFinished = false;
  std::string mBody;
};

// The library tells a refused connection only by its text.
ErrorKind
KindOfException(const std::exception& aError)
{
  return absl::StrContains(aError.what(), "Connection refused") ? ErrorKind::ConnectionRefused
                                                                : ErrorKind::ConnectionBroken;
}

cxxtools::http::Request
ToLibrary(const HttpRequest& aRequest)
{
  cxxtools::http::Request request(UrlOf(aRequest));
  request.method(aRequest.mMethod);
  for (const auto& header : aRequest.mHeaders) {
    request.setHeader(header.mName.c_str(), header.mValue.c_str());
  }
  request.setHeader("Connection", "close");
  request.body() << aRequest.mBody;
  return request;
}

HttpReply
FromLibrary(const cxxtools::http::ReplyHeader& aHeader, std::string aBody)
{
  HttpReply reply;
  reply.mStatus = static_cast<int>(aHeader.httpReturnCode());
  for (const auto& [name, value] : aHeader) {
    reply.mHeaders.push_back({ name, value });
  }
  reply.mBody = std::move(aBody);
  return reply;
}

// An answer without its length ends with the connection, so that it can't be known to be whole.
absl::Status
CheckWhole(const cxxtools::http::ReplyHeader& aHeader, const std::string& aBody)
{
  if (aHeader.chunkedTransferEncoding()) {
    return absl::OkStatus();
  }
  if (!aHeader.hasHeader("Content-Length") || aHeader.contentLength() != aBody.size()) {
    return MakeError(ErrorKind::ConnectionBroken, "the answer is not whole");
  }
  return absl::OkStatus();
}

absl::StatusOr<HttpReply>
Run(cxxtools::http::Client& aClient, const HttpRequest& aRequest, SteadyClock::time_point aEnd)
{
  CallState state(aClient);
  auto request = ToLibrary(aRequest);
  aClient.beginExecute(request);
  while (!state.IsFinished()) {
    auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(aEnd - SteadyClock::now()).count();
    if (left <= 0) {
      aClient.close();
      return MakeError(ErrorKind::DeadlineExceeded, "no whole answer in time");
    }
    aClient.wait(cxxtools::Milliseconds(static_cast<double>(left)));
    if (state.IsTooLarge()) {
      aClient.close();
      return MakeError(ErrorKind::TooLarge, "the answer is too large");
    }
  }
  aClient.endExecute();
  TRY(CheckWhole(aClient.header(), state.Body()));
  return FromLibrary(aClient.header(), std::move(state.Body()));
}

}

absl::StatusOr<HttpReply>
CallHttp(const Address& aAddress, const HttpRequest& aRequest, Duration aTimeout)
{
  try {
    cxxtools::Selector selector;
    cxxtools::http::Client client(selector, aAddress.mHost, aAddress.mPort);
    return Run(client, aRequest, SteadyClock::now() + aTimeout);
  } catch (const std::exception& error) {
    return MakeError(KindOfException(error), error.what());
  }
}

}
