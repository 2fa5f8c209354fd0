#include "LibHttp/HttpServer.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <glog/logging.h>
#include <istream>
#include <thread>
#include <vector>

namespace sesameseam {

namespace {

HttpRequest
FromLibrary(const cxxtools::http::Request& aRequest, std::string aBody)
{
  HttpRequest request;
  request.mMethod = aRequest.method();
  request.mPath = aRequest.url();
  request.mQuery = aRequest.qparams();
  for (const auto& [name, value] : aRequest.header()) {
    request.mHeaders.push_back({ name, value });
  }
  request.mBody = std::move(aBody);
  return request;
}

void
ToLibrary(const HttpReply& aFrom, std::ostream& aOut, cxxtools::http::Reply& aTo)
{
  aTo.httpReturn(static_cast<unsigned>(aFrom.mStatus), aFrom.mStatus < 400 ? "OK" : "Error");
  for (const auto& header : aFrom.mHeaders) {
    aTo.setHeader(header.mName.c_str(), header.mValue.c_str());
  }
  aOut << aFrom.mBody;
}

class HandlerResponder : public cxxtools::http::Responder
{
public:
  HandlerResponder(cxxtools::http::Service& aService,
                   const HttpHandler& aHandler,
                   std::size_t aMaxBodyBytes)
    : cxxtools::http::Responder(aService)
    , mHandler(aHandler)
    , mMaxBodyBytes(aMaxBodyBytes)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket&, std::istream&, cxxtools::http::Request&) override
  {
    mBody.clear();
    mTooLarge = false;
  }

  // Reads on to the end of a body that is too large, but does not keep it.
  std::size_t readBody(std::istream& aIn) override
  {
    auto available = aIn.rdbuf()->in_avail();
    std::string part(static_cast<std::size_t>(std::max<std::streamsize>(available, 1)), '\0');
    auto count = static_cast<std::size_t>(
      aIn.readsome(part.data(), static_cast<std::streamsize>(part.size())));
    mTooLarge = mTooLarge || mBody.size() + count > mMaxBodyBytes;
    if (!mTooLarge) {
      mBody.append(part, 0, count);
    }
    return count;
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    if (mTooLarge) {
      auto refusal = JsonReply(413, R"({"error":"too-large","outcome":"not-run"})");
      refusal.mHeaders.push_back({ "X-Outcome", "not-run" });
      ToLibrary(refusal, aOut, aReply);
      return;
    }
    ToLibrary(mHandler(FromLibrary(aRequest, std::move(mBody))), aOut, aReply);
  }

private:
  const HttpHandler& mHandler;
  std::size_t mMaxBodyBytes;
  std::string mBody;
  bool mTooLarge = false;
};

class HandlerService : public cxxtools::http::Service
{
public:
  HandlerService(HttpHandler aHandler, std::size_t aMaxBodyBytes)
    : mHandler(std::move(aHandler))
    , mMaxBodyBytes(aMaxBodyBytes)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
  {
    return new HandlerResponder(*this, mHandler, mMaxBodyBytes);
  }

  void releaseResponder(cxxtools::http::Responder* aResponder) override { delete aResponder; }

private:
  HttpHandler mHandler;
  std::size_t mMaxBodyBytes;
};

}

struct HttpServer::Implementation
{
  HttpServerSettings mSettings;
  cxxtools::EventLoop mLoop;
  std::unique_ptr<cxxtools::http::Server> mServer;
  std::vector<std::pair<std::string, std::unique_ptr<HandlerService>>> mServices;
  std::thread mThread;
};

HttpServer::HttpServer(const HttpServerSettings& aSettings)
  : mImplementation(std::make_unique<Implementation>())
{
  mImplementation->mSettings = aSettings;
}

HttpServer::~HttpServer()
{
  Stop();
}

void
HttpServer::AddPath(const std::string& aPath, HttpHandler aHandler)
{
  mImplementation->mServices.emplace_back(
    aPath,
    std::make_unique<HandlerService>(std::move(aHandler),
                                     mImplementation->mSettings.mMaxBodyBytes));
}

absl::Status
HttpServer::Start()
{
  auto& self = *mImplementation;
  try {
    const auto& listen = self.mSettings.mListen;
    self.mServer = std::make_unique<cxxtools::http::Server>(self.mLoop, listen.mHost, listen.mPort);
    self.mServer->maxThreads(static_cast<unsigned>(self.mSettings.mMaxThreads));
    for (auto& [path, service] : self.mServices) {
      self.mServer->addService(path, *service);
    }
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::BadSettings, error.what());
  }
  self.mThread = std::thread([&self] { self.mLoop.run(); });
  return absl::OkStatus();
}

void
HttpServer::Stop()
{
  auto& self = *mImplementation;
  if (!self.mThread.joinable()) {
    return;
  }
  for (auto& [path, service] : self.mServices) {
    service->waitIdle();
  }
  self.mLoop.exit();
  self.mThread.join();
  self.mServer.reset();
}

}
