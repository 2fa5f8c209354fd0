#include "Http.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <memory>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr std::int64_t kMaxBody = 16 * 1024 * 1024;

struct Address
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

Address
ParseAddress(const std::string& aText)
{
  auto colon = aText.rfind(':');
  auto port = static_cast<std::uint16_t>(std::strtol(aText.c_str() + colon + 1, nullptr, 10));
  return { aText.substr(0, colon), port };
}

std::string
BodyOf(evhttp_request* aRequest)
{
  auto* buffer = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

Query
ParseQuery(const std::string& aText)
{
  Query query;
  std::size_t at = 0;
  while (at < aText.size()) {
    auto end = std::min(aText.find('&', at), aText.size());
    auto part = aText.substr(at, end - at);
    auto equals = part.find('=');
    query[part.substr(0, equals)] =
      equals == std::string::npos ? std::string() : part.substr(equals + 1);
    at = end + 1;
  }
  return query;
}

void
OnRequest(evhttp_request* aRequest, void* aHandler)
{
  Incoming incoming;
  incoming.mRequest = aRequest;
  std::string uri = evhttp_request_get_uri(aRequest);
  auto question = uri.find('?');
  incoming.mPath = uri.substr(0, question);
  if (question != std::string::npos) {
    incoming.mQuery = ParseQuery(uri.substr(question + 1));
  }
  incoming.mBody = BodyOf(aRequest);
  (*static_cast<Handler*>(aHandler))(incoming);
}

// Closed connections are freed at the next request: not from within their own callback.
std::vector<evhttp_connection*>&
ClosedConnections()
{
  static std::vector<evhttp_connection*> closed;
  return closed;
}

}

bool
Serve(event_base* aBase, const std::string& aAddress, const Handler& aHandler)
{
  auto address = ParseAddress(aAddress);
  auto* server = evhttp_new(aBase);
  evhttp_set_max_body_size(server, kMaxBody);
  evhttp_set_gencb(server, OnRequest, std::make_unique<Handler>(aHandler).release());
  return evhttp_bind_socket(server, address.mHost.c_str(), address.mPort) == 0;
}

std::string
HeaderOf(const Incoming& aIncoming, const char* aName)
{
  const auto* value =
    evhttp_find_header(evhttp_request_get_input_headers(aIncoming.mRequest), aName);
  return value == nullptr ? std::string() : std::string(value);
}

void
Reply(evhttp_request* aRequest, int aStatus, const std::string& aBody)
{
  auto* buffer = evbuffer_new();
  evbuffer_add(buffer, aBody.data(), aBody.size());
  evhttp_send_reply(aRequest, aStatus, "", buffer);
  evbuffer_free(buffer);
}

void
Post(event_base* aBase,
     const std::string& aAddress,
     const std::string& aPath,
     const std::string& aBody)
{
  for (auto* connection : std::exchange(ClosedConnections(), {})) {
    evhttp_connection_free(connection);
  }
  auto address = ParseAddress(aAddress);
  auto* connection =
    evhttp_connection_base_new(aBase, nullptr, address.mHost.c_str(), address.mPort);
  auto* request = evhttp_request_new(
    [](evhttp_request*, void* aConnection) {
      ClosedConnections().push_back(static_cast<evhttp_connection*>(aConnection));
    },
    connection);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", aAddress.c_str());
  evhttp_add_header(headers, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(request), aBody.data(), aBody.size());
  evhttp_make_request(connection, request, EVHTTP_REQ_POST, aPath.c_str());
}

void
Every(event_base* aBase, int aMilliseconds, const std::function<void()>& aFunction)
{
  constexpr int kMillisecondsPerSecond = 1000;
  auto* tick = event_new(
    aBase,
    -1,
    EV_PERSIST,
    [](int, short, void* aCalled) { (*static_cast<std::function<void()>*>(aCalled))(); },
    std::make_unique<std::function<void()>>(aFunction).release());
  timeval interval{ aMilliseconds / kMillisecondsPerSecond,
                    (aMilliseconds % kMillisecondsPerSecond) * kMillisecondsPerSecond };
  event_add(tick, &interval);
}

std::int64_t
UnixMilliseconds()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void
Record(const std::string& aFile, const std::string& aLine)
{
  if (aFile.empty()) {
    return;
  }
  static const int kFile = open(aFile.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  auto line = std::to_string(UnixMilliseconds()) + " " + aLine + "\n";
  if (write(kFile, line.data(), line.size()) < 0) {
    std::abort();
  }
}

}
