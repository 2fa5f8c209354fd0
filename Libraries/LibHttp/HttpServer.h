#pragma once

#include "LibHttp/Address.h"
#include "LibHttp/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace sesameseam {

using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

struct HttpServerSettings
{
  Address mListen;
  // A handler holds its thread while it waits, so that this bounds the requests under way.
  int mMaxThreads = 256;
  std::size_t mMaxBodyBytes = 8U * 1024U * 1024U;
};

// Serves fixed paths, each by a handler that may be called by several threads at once.
class HttpServer
{
public:
  explicit HttpServer(const HttpServerSettings& aSettings);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void AddPath(const std::string& aPath, HttpHandler aHandler);

  // Serves from a thread of its own until Stop.
  absl::Status Start();

  // Takes no new connections, and waits for the handlers that run.
  void Stop();

private:
  struct Implementation;
  std::unique_ptr<Implementation> mImplementation;
};

}
