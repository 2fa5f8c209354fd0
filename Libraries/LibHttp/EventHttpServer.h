#pragma once

#include "LibBase/Error.h"
#include "LibHttp/EventHttpMethod.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

struct bufferevent;
struct event_base;
struct evhttp;
struct evhttp_request;

namespace sesameseam {

struct EventHttpIncoming
{
  // Names the request until it is answered.
  std::int64_t mTicket = 0;
  EventHttpMethod mMethod = EventHttpMethod::Get;
  std::string mHost;
  // Without the query.
  std::string mPath;
  std::string mQuery;
  std::string mBody;
  // How long the caller waits, from its header; 0 where it says nothing.
  std::chrono::milliseconds mTimeout{ 0 };
  // The values of all Authorization headers, in their order. Secrets; never to be logged.
  std::vector<std::string> mAuthorizations;
};

struct EventHttpReply
{
  int mStatus = 0;
  std::string mContentType;
  std::string mBody;
  std::string mRetryAfter;
};

struct EventHttpServerSettings
{
  std::string mAddress;
  // The header that says in milliseconds how long the caller waits.
  std::string mTimeoutHeader;
  std::int64_t mMaxHeaderBytes = 16 * 1024;
  std::int64_t mMaxBodyBytes = 256 * 1024;
  int mIdleSeconds = 60;
};

// An HTTP server on a libevent loop. Requests are answered in any order, later or at once.
class EventHttpServer
{
public:
  using Handler = std::function<void(EventHttpIncoming)>;

  EventHttpServer(event_base* aBase, EventHttpServerSettings aSettings, Handler aHandler);
  ~EventHttpServer();
  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;

  absl::Status Start();
  void Reply(std::int64_t aTicket, const EventHttpReply& aReply);

  // From now on each answer asks its caller to close the connection.
  void CloseConnections() { mClosing = true; }

  [[nodiscard]] std::size_t Pending() const { return mRequests.size(); }

private:
  static bufferevent* MakeBuffers(event_base* aBase, void* aServer);
  static void OnRequest(evhttp_request* aRequest, void* aServer);
  static void OnAnswerTaken(evhttp_request* aRequest, void* aServer);

  // What a connection buffers at most while a request arrives: libevent handles a line or a chunk
  // only once it has the whole of it.
  [[nodiscard]] std::size_t MaxBufferedBytes() const;

  EventHttpServerSettings mSettings;
  Handler mHandler;
  evhttp* mServer;
  std::map<std::int64_t, evhttp_request*> mRequests;
  std::int64_t mNextTicket = 1;
  bool mClosing = false;
};

}
