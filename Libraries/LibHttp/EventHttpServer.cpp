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
#include <event2/util.h>

namespace sesameseam {

namespace {

// What a connection reads ahead at most while its answer waits to be taken; libevent goes on
// reading then to see whether the client is gone.
constexpr std::size_t kMaxReadAheadBytes = 4096;

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

}

EventHttpServer::EventHttpServer(event_base* aBase,
                                 EventHttpServerSettings aSettings,
                                 Handler aHandler)
  : mSettings(std::move(aSettings))
  , mHandler(std::move(aHandler))
  , mServer(evhttp_new(aBase))
{
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
  if (evhttp_bind_socket(mServer, host.c_str(), port) != 0) {
    return MakeError(ErrorKind::Internal, "cannot listen on " + mSettings.mAddress);
  }
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
  auto* buffers = bufferevent_socket_new(aBase, -1, 0);
  SetReadLimit(buffers, static_cast<EventHttpServer*>(aServer)->MaxBufferedBytes());
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
  incoming.mHost = host.substr(0, host.rfind(':'));
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
  // The client may be gone.
  if (auto* connection = evhttp_request_get_connection(request)) {
    SetReadLimit(evhttp_connection_get_bufferevent(connection), kMaxReadAheadBytes);
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
  auto* buffers = evhttp_connection_get_bufferevent(evhttp_request_get_connection(aRequest));
  SetReadLimit(buffers, static_cast<EventHttpServer*>(aServer)->MaxBufferedBytes());
}

}
