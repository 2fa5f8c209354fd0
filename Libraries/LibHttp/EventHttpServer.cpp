#include "LibHttp/EventHttpServer.h"

#include "LibHttp/Address.h"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <utility>

namespace sesameseam {

namespace {

// What a connection reads ahead at most while its answer waits to be taken; libevent goes on
// reading then to see whether the client is gone.
constexpr std::size_t kMaxReadAheadBytes = 4096;
// A line of headers is kept in memory of its own; libevent takes it from the buffer in two pieces.
constexpr std::size_t kBytesPerHeaderPiece = 64;
constexpr timeval kAcceptPause{ 0, 100'000 };

EventHttpMethod
MethodOf(evhttp_request* aRequest)
{
  switch (evhttp_request_get_command(aRequest)) {
    case EVHTTP_REQ_GET:
      return EventHttpMethod::Get;
    case EVHTTP_REQ_POST:
      return EventHttpMethod::Post;
    case EVHTTP_REQ_DELETE:
      return EventHttpMethod::Delete;
    default:
      return EventHttpMethod::Other;
  }
}

std::string
HeaderOf(evhttp_request* aRequest, const std::string& aName)
{
  const auto* value = evhttp_find_header(evhttp_request_get_input_headers(aRequest), aName.c_str());
  return value == nullptr ? std::string() : std::string(value);
}

// A header that is repeated is kept as often as it was sent, so that the receiver can refuse it.
std::vector<std::string>
HeadersOf(evhttp_request* aRequest, const char* aName)
{
  std::vector<std::string> values;
  const auto* headers = evhttp_request_get_input_headers(aRequest);
  for (const auto* each = headers->tqh_first; each != nullptr; each = each->next.tqe_next) {
    if (evutil_ascii_strcasecmp(each->key, aName) == 0) {
      values.emplace_back(each->value);
    }
  }
  return values;
}

std::chrono::milliseconds
ParseMilliseconds(const std::string& aText)
{
  std::int64_t value = 0;
  auto result = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return std::chrono::milliseconds(result.ec == std::errc() ? std::max<std::int64_t>(0, value) : 0);
}

// Nothing is read while this many bytes are buffered.
void
SetReadLimit(bufferevent* aBuffers, std::size_t aBytes)
{
  bufferevent_setwatermark(aBuffers, EV_READ, 0, aBytes);
}

ConnectionInstant
Now()
{
  return std::chrono::steady_clock::now();
}

}

struct EventHttpServer::Connection
{
  EventHttpServer& mServer;
  ConnectionId mId = 0;
  bufferevent* mBuffers = nullptr;
  evhttp_connection* mEvhttpConnection = nullptr;
  // Bytes of the request under way that libevent or the handler has taken from the buffer.
  std::size_t mTakenBytes = 0;
  // What the headers of the request need beside their bytes.
  std::size_t mHeaderOverheadBytes = 0;
};

EventHttpServer::EventHttpServer(event_base* aBase,
                                 EventHttpServerSettings aSettings,
                                 Handler aHandler)
  : mSettings(std::move(aSettings))
  , mHandler(std::move(aHandler))
  , mServer(evhttp_new(aBase))
  , mCheck(event_new(aBase, -1, 0, OnCheck, this))
{
  mTable.mLimits = mSettings.mLimits;
  evhttp_set_max_headers_size(mServer, mSettings.mMaxHeaderBytes);
  evhttp_set_max_body_size(mServer, mSettings.mMaxBodyBytes);
  evhttp_set_timeout(mServer, mSettings.mIdleSeconds);
  evhttp_set_allowed_methods(mServer,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_HEAD);
  evhttp_set_bevcb(mServer, MakeBuffers, this);
  evhttp_set_gencb(mServer, OnRequest, this);
}

EventHttpServer::~EventHttpServer()
{
  evhttp_free(mServer);
  event_free(mCheck);
}

absl::Status
EventHttpServer::Start()
{
  auto colon = mSettings.mAddress.rfind(':');
  if (colon == std::string::npos) {
    return MakeError(ErrorKind::BadSettings, "no address with a port: " + mSettings.mAddress);
  }
  auto host = mSettings.mAddress.substr(0, colon);
  auto port = static_cast<std::uint16_t>(std::atoi(mSettings.mAddress.c_str() + colon + 1));
  auto* bound = evhttp_bind_socket_with_handle(mServer, host.c_str(), port);
  if (bound == nullptr) {
    return MakeError(ErrorKind::Internal, "cannot listen on " + mSettings.mAddress);
  }
  auto* listener = evhttp_bound_socket_get_listener(bound);
  evconnlistener_set_error_cb(listener, OnAcceptFailed);
  return absl::OkStatus();
}

std::size_t
EventHttpServer::MaxBufferedBytes() const
{
  return static_cast<std::size_t>(mSettings.mMaxHeaderBytes + mSettings.mMaxBodyBytes);
}

bufferevent*
EventHttpServer::MakeBuffers(event_base* aBase, void* aServer)
{
  auto& server = *static_cast<EventHttpServer*>(aServer);
  auto* buffers = bufferevent_socket_new(aBase, -1, 0);
  SetReadLimit(buffers, server.MaxBufferedBytes());
  auto id = server.mNextConnection++;
  auto connection = std::make_unique<Connection>(Connection{ server, id, buffers });
  evbuffer_add_cb(bufferevent_get_input(buffers), OnInput, connection.get());
  evbuffer_add_cb(bufferevent_get_output(buffers), OnOutput, connection.get());
  AddConnection(server.mTable, id, Now());
  server.mConnections.emplace(id, std::move(connection));
  server.mIds[buffers] = id;
  server.mNewConnections.push_back(id);
  server.CheckSoon();
  return buffers;
}

void
EventHttpServer::OnRequest(evhttp_request* aRequest, void* aServer)
{
  auto& server = *static_cast<EventHttpServer*>(aServer);
  EventHttpIncoming incoming;
  incoming.mTicket = server.mNextTicket++;
  incoming.mMethod = MethodOf(aRequest);
  auto host = HeaderOf(aRequest, "Host");
  auto colon = host.rfind(':');
  incoming.mHost = host.substr(0, colon);
  incoming.mPort = colon == std::string::npos ? 0 : std::atoi(host.c_str() + colon + 1);
  std::string uri = evhttp_request_get_uri(aRequest);
  auto question = uri.find('?');
  incoming.mPath = uri.substr(0, question);
  if (question != std::string::npos) {
    incoming.mQuery = uri.substr(question + 1);
  }
  if (!server.mSettings.mTimeoutHeader.empty()) {
    incoming.mTimeout = ParseMilliseconds(HeaderOf(aRequest, server.mSettings.mTimeoutHeader));
  }
  incoming.mAuthorizations = HeadersOf(aRequest, "Authorization");
  auto* buffer = evhttp_request_get_input_buffer(aRequest);
  incoming.mBody.resize(evbuffer_get_length(buffer));
  evbuffer_remove(buffer, incoming.mBody.data(), incoming.mBody.size());
  if (auto* connection = server.Find(aRequest)) {
    server.Enter(*connection, ConnectionPhase::Handling);
  }
  server.mRequests.emplace(incoming.mTicket, aRequest);
  server.mHandler(std::move(incoming));
}

void
EventHttpServer::Reply(std::int64_t aTicket, const EventHttpReply& aReply)
{
  auto found = mRequests.find(aTicket);
  if (found == mRequests.end()) {
    return;
  }
  auto* request = found->second;
  mRequests.erase(found);
  auto* headers = evhttp_request_get_output_headers(request);
  if (!aReply.mContentType.empty()) {
    evhttp_add_header(headers, "Content-Type", aReply.mContentType.c_str());
  }
  if (!aReply.mRetryAfter.empty()) {
    evhttp_add_header(headers, "Retry-After", aReply.mRetryAfter.c_str());
  }
  if (mClosing) {
    evhttp_add_header(headers, "Connection", "close");
  }
  if (auto* connection = Find(request)) {
    connection->mTakenBytes = 0;
    connection->mHeaderOverheadBytes = 0;
    SetReadLimit(connection->mBuffers, kMaxReadAheadBytes);
    Enter(*connection, ConnectionPhase::Sending);
    evhttp_request_set_on_complete_cb(request, OnAnswerTaken, this);
  }
  auto* buffer = evbuffer_new();
  evbuffer_add(buffer, aReply.mBody.data(), aReply.mBody.size());
  evhttp_send_reply(request, aReply.mStatus, nullptr, buffer);
  evbuffer_free(buffer);
}

void
EventHttpServer::OnAnswerTaken(evhttp_request* aRequest, void* aServer)
{
  auto& server = *static_cast<EventHttpServer*>(aServer);
  auto* connection = server.Find(aRequest);
  if (connection == nullptr) {
    return;
  }
  SetReadLimit(connection->mBuffers, server.MaxBufferedBytes());
  auto ahead = evbuffer_get_length(bufferevent_get_input(connection->mBuffers));
  server.Enter(*connection, ahead > 0 ? ConnectionPhase::Receiving : ConnectionPhase::Idle);
}

EventHttpServer::Connection*
EventHttpServer::Find(evhttp_request* aRequest)
{
  auto* connection = evhttp_request_get_connection(aRequest);
  if (connection == nullptr) {
    return nullptr;
  }
  auto id = mIds.find(evhttp_connection_get_bufferevent(connection));
  return id == mIds.end() ? nullptr : mConnections.at(id->second).get();
}

void
EventHttpServer::Enter(const Connection& aConnection, ConnectionPhase aPhase)
{
  EnterPhase(mTable, aConnection.mId, aPhase, Now());
  CountHeldBytes(aConnection);
}

void
EventHttpServer::CountHeldBytes(const Connection& aConnection)
{
  auto received = evbuffer_get_length(bufferevent_get_input(aConnection.mBuffers));
  auto toSend = evbuffer_get_length(bufferevent_get_output(aConnection.mBuffers));
  SetHeldBytes(mTable,
               aConnection.mId,
               received + aConnection.mTakenBytes + aConnection.mHeaderOverheadBytes + toSend);
  if (mTable.mHeldBytes > mTable.mLimits.mMaxHeldBytes) {
    CheckSoon();
  }
}

void
EventHttpServer::OnInput(evbuffer* aBuffer, const evbuffer_cb_info* aChange, void* aConnection)
{
  auto& connection = *static_cast<Connection*>(aConnection);
  auto& server = connection.mServer;
  auto phase = server.mTable.mConnections.at(connection.mId).mPhase;
  if (phase == ConnectionPhase::Idle) {
    phase = ConnectionPhase::Receiving;
    server.Enter(connection, phase);
  }
  if (phase == ConnectionPhase::Receiving && aChange->n_deleted > 0) {
    auto maxHeaderBytes = static_cast<std::size_t>(server.mSettings.mMaxHeaderBytes);
    auto isHeader = connection.mTakenBytes < maxHeaderBytes;
    connection.mHeaderOverheadBytes += isHeader ? kBytesPerHeaderPiece : 0;
    connection.mTakenBytes += aChange->n_deleted;
  }
  if (phase == ConnectionPhase::Receiving &&
      evbuffer_get_length(aBuffer) >= server.MaxBufferedBytes()) {
    server.mFullConnections.push_back(connection.mId);
    server.CheckSoon();
  }
  server.CountHeldBytes(connection);
}

void
EventHttpServer::OnOutput(evbuffer* /*aBuffer*/, const evbuffer_cb_info* aChange, void* aConnection)
{
  auto& connection = *static_cast<Connection*>(aConnection);
  auto& server = connection.mServer;
  auto phase = server.mTable.mConnections.at(connection.mId).mPhase;
  if (phase == ConnectionPhase::Sending && aChange->n_deleted > 0) {
    server.Enter(connection, phase);
  }
  server.CountHeldBytes(connection);
}

void
EventHttpServer::OnClosed(evhttp_connection* /*aEvhttpConnection*/, void* aConnection)
{
  auto& connection = *static_cast<Connection*>(aConnection);
  auto& server = connection.mServer;
  auto id = connection.mId;
  RemoveConnection(server.mTable, id);
  server.mIds.erase(connection.mBuffers);
  // Its callbacks are gone with its buffers, which libevent frees next.
  server.mConnections.erase(id);
}

// The descriptors have run out, or the memory of the system. libevent would try again at once, and
// for as long as a client waits.
void
EventHttpServer::OnAcceptFailed(evconnlistener* aListener, void* /*aEvhttp*/)
{
  evconnlistener_disable(aListener);
  auto* base = evconnlistener_get_base(aListener);
  event_base_once(base, -1, EV_TIMEOUT, OnAcceptAgain, aListener, &kAcceptPause);
}

void
EventHttpServer::OnAcceptAgain(int /*aDescriptor*/, short /*aWhat*/, void* aListener)
{
  evconnlistener_enable(static_cast<evconnlistener*>(aListener));
}

void
EventHttpServer::CheckSoon()
{
  event_active(mCheck, EV_TIMEOUT, 0);
}

void
EventHttpServer::AdoptNewConnections()
{
  for (auto id : mNewConnections) {
    auto found = mConnections.find(id);
    if (found == mConnections.end()) {
      continue;
    }
    // libevent gives the connections of a server out only along with a request, but hands each to
    // the callbacks of its buffers.
    void* argument = nullptr;
    bufferevent_getcb(found->second->mBuffers, nullptr, nullptr, nullptr, &argument);
    auto* connection = static_cast<evhttp_connection*>(argument);
    found->second->mEvhttpConnection = connection;
    evhttp_connection_set_closecb(connection, OnClosed, found->second.get());
  }
}

void
EventHttpServer::MakeRoomFor(ConnectionId aId)
{
  while (mConnections.contains(aId)) {
    auto chosen = ChooseToMakeRoom(mTable, aId, Now());
    if (!chosen) {
      return;
    }
    auto& counters = mTable.mCounters;
    (*chosen == aId ? counters.mRefused : counters.mClosedForRoom) += 1;
    Close(*chosen);
  }
}

void
EventHttpServer::Close(ConnectionId aId)
{
  evhttp_connection_free(mConnections.at(aId)->mEvhttpConnection);
}

// No request within the limits fills the buffer and stays there, and nothing more is read from such
// a connection, not even that the client is gone.
void
EventHttpServer::CloseFullConnections()
{
  for (auto id : std::exchange(mFullConnections, {})) {
    auto found = mConnections.find(id);
    if (found == mConnections.end() ||
        mTable.mConnections.at(id).mPhase != ConnectionPhase::Receiving) {
      continue;
    }
    auto* input = bufferevent_get_input(found->second->mBuffers);
    if (evbuffer_get_length(input) >= MaxBufferedBytes()) {
      mTable.mCounters.mClosedForBytes += 1;
      Close(id);
    }
  }
}

void
EventHttpServer::OnCheck(int /*aDescriptor*/, short /*aWhat*/, void* aServer)
{
  auto& server = *static_cast<EventHttpServer*>(aServer);
  server.AdoptNewConnections();
  for (auto id : std::exchange(server.mNewConnections, {})) {
    server.MakeRoomFor(id);
  }
  server.CloseFullConnections();
  while (auto chosen = ChooseToFreeBytes(server.mTable, Now())) {
    server.mTable.mCounters.mClosedForBytes += 1;
    server.Close(*chosen);
  }
}

}
