#pragma once

#include "LibBase/Error.h"
#include "LibHttp/ConnectionLimits.h"
#include "LibHttp/EventHttpMethod.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evconnlistener;
struct event;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace sesameseam {

struct EventHttpIncoming
{
  // Names the request until it is answered.
  std::int64_t mTicket = 0;
  EventHttpMethod mMethod = EventHttpMethod::Get;
  std::string mHost;
  // The port in the Host header; 0 if it has none.
  int mPort = 0;
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
  ConnectionLimits mLimits;
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

  // What the connections hold, and which were closed.
  [[nodiscard]] const ConnectionTable& Connections() const { return mTable; }

private:
  struct Connection;

  static bufferevent* MakeBuffers(event_base* aBase, void* aServer);
  static void OnRequest(evhttp_request* aRequest, void* aServer);
  static void OnAnswerTaken(evhttp_request* aRequest, void* aServer);
  static void OnInput(evbuffer* aBuffer, const evbuffer_cb_info* aChange, void* aConnection);
  static void OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aChange, void* aConnection);
  static void OnClosed(evhttp_connection* aEvhttpConnection, void* aConnection);
  static void OnCheck(int aDescriptor, short aWhat, void* aServer);
  static void OnAcceptFailed(evconnlistener* aListener, void* aEvhttp);
  static void OnAcceptAgain(int aDescriptor, short aWhat, void* aListener);

  // What a connection buffers at most while a request arrives: libevent handles a line or a chunk
  // only once it has the whole of it.
  [[nodiscard]] std::size_t MaxBufferedBytes() const;
  // The connection of a request; null if the client is gone.
  Connection* Find(evhttp_request* aRequest);
  void Enter(const Connection& aConnection, ConnectionPhase aPhase);
  void CountHeldBytes(const Connection& aConnection);
  // The limits are looked at outside of libevent's own callbacks, in which nothing may be closed.
  void CheckSoon();
  // Learns of the new connections all that was not known yet when they were accepted.
  void AdoptNewConnections();
  // Closes connections, at last the new one itself, while there are more than may be.
  void MakeRoomFor(ConnectionId aId);
  void CloseFullConnections();
  void Close(ConnectionId aId);

  EventHttpServerSettings mSettings;
  Handler mHandler;
  evhttp* mServer;
  event* mCheck;
  ConnectionTable mTable;
  std::map<ConnectionId, std::unique_ptr<Connection>> mConnections;
  std::map<const bufferevent*, ConnectionId> mIds;
  std::vector<ConnectionId> mNewConnections;
  // Connections whose buffer may be full.
  std::vector<ConnectionId> mFullConnections;
  ConnectionId mNextConnection = 1;
  std::map<std::int64_t, evhttp_request*> mRequests;
  std::int64_t mNextTicket = 1;
  bool mClosing = false;
};

}
