#include "LibHttp/EventHttpServer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace sesameseam;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxBodyBytes = 256 * 1024;
constexpr std::size_t kMaxRelayedBytes = 1024 * 1024;

std::uint16_t
FreePort()
{
  int file = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)bind(file, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t size = sizeof(address);
  getsockname(file, reinterpret_cast<sockaddr*>(&address), &size);
  close(file);
  return ntohs(address.sin_port);
}

class Client
{
public:
  explicit Client(std::uint16_t aPort)
    : mFile(socket(AF_INET, SOCK_STREAM, 0))
  {
    // So that answers wait at the server.
    constexpr int kBufferBytes = 4096;
    setsockopt(mFile, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof(kBufferBytes));
    timeval patience{ 20, 0 };
    setsockopt(mFile, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    setsockopt(mFile, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)connect(mFile, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~Client() { close(mFile); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(const std::string& aText) const
  {
    std::size_t sent = 0;
    while (sent < aText.size()) {
      auto count = send(mFile, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      sent += static_cast<std::size_t>(count);
    }
  }

  // Reads until the server closes the connection, with a pause before each read.
  [[nodiscard]] std::string ReadAll(std::chrono::milliseconds aPause = 0ms) const
  {
    constexpr std::size_t kBlockBytes = 64 * 1024;
    std::string text;
    std::string block(kBlockBytes, '\0');
    for (;;) {
      std::this_thread::sleep_for(aPause);
      auto count = recv(mFile, block.data(), block.size(), 0);
      if (count <= 0) {
        return text;
      }
      text.append(block, 0, static_cast<std::size_t>(count));
    }
  }

  void Shutdown() const { shutdown(mFile, SHUT_RDWR); }

  // The next close resets the connection.
  void ResetWhenClosed() const
  {
    linger now{ 1, 0 };
    setsockopt(mFile, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

private:
  int mFile;
};

// A server that answers each request with the length of its body and then mAnswerBytes more.
struct Server
{
  explicit Server(std::size_t aMaxBodyBytes = kMaxBodyBytes)
  {
    EventHttpServerSettings settings;
    settings.mAddress = "127.0.0.1:" + std::to_string(mPort);
    settings.mMaxBodyBytes = static_cast<std::int64_t>(aMaxBodyBytes);
    mServer = std::make_unique<EventHttpServer>(
      mBase, settings, [this](const EventHttpIncoming& aIncoming) {
        if (!mAnswers) {
          return;
        }
        auto body = "<" + std::to_string(aIncoming.mBody.size()) + ">";
        mServer->Reply(aIncoming.mTicket,
                       { 200, "text/plain", body + std::string(mAnswerBytes, 'a') });
      });
    BOOST_REQUIRE(mServer->Start().ok());
  }
  ~Server()
  {
    mServer.reset();
    event_base_free(mBase);
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Serves until the clients, in a thread of their own, have done their work.
  void ServeWhile(const std::function<void()>& aClients)
  {
    std::atomic<bool> done{ false };
    std::thread clients([&] {
      aClients();
      done = true;
    });
    while (!done) {
      timeval soon{ 0, 10'000 };
      event_base_loopexit(mBase, &soon);
      event_base_dispatch(mBase);
    }
    clients.join();
  }

  std::uint16_t mPort = FreePort();
  event_base* mBase = event_base_new();
  std::size_t mAnswerBytes = 0;
  bool mAnswers = true;
  std::unique_ptr<EventHttpServer> mServer;
};

std::string
Post(const std::string& aBody, const std::string& aHeaders = "")
{
  return "POST / HTTP/1.1\r\nHost: x\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
Hex(std::size_t aNumber)
{
  std::ostringstream text;
  text << std::hex << aNumber;
  return text.str();
}

std::string
PostInOneChunk(const std::string& aBody)
{
  return "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
         Hex(aBody.size()) + "\r\n" + aBody + "\r\n0\r\n\r\n";
}

std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos; at = aText.find(aPart, at + 1)) {
    count += 1;
  }
  return count;
}

// What the server answers to a client that sends the text at once.
std::string
AnswerTo(Server& aServer, const std::string& aText, std::chrono::milliseconds aPause = 0ms)
{
  std::string answer;
  aServer.ServeWhile([&] {
    Client client(aServer.mPort);
    std::thread sender([&] { client.Send(aText); });
    answer = client.ReadAll(aPause);
    sender.join();
  });
  return answer;
}

}

BOOST_AUTO_TEST_SUITE(TestEventHttpServer)

BOOST_AUTO_TEST_CASE(a_body_of_the_largest_size_is_answered)
{
  Server server;
  auto answer = AnswerTo(server, Post(std::string(kMaxBodyBytes, 'x'), "Connection: close\r\n"));
  BOOST_TEST(Count(answer, "<262144>") == 1);
}

BOOST_AUTO_TEST_CASE(a_body_of_the_largest_size_beside_headers_of_the_largest_size_is_answered)
{
  Server server;
  constexpr std::size_t kLongHeaderBytes = 16'000;
  auto headers = "Connection: close\r\nX-A: " + std::string(kLongHeaderBytes, 'h') + "\r\n";
  auto answer = AnswerTo(server, Post(std::string(kMaxBodyBytes, 'x'), headers));
  BOOST_TEST(Count(answer, "<262144>") == 1);
}

BOOST_AUTO_TEST_CASE(a_body_of_the_largest_size_in_one_chunk_is_answered)
{
  Server server;
  auto answer = AnswerTo(server, PostInOneChunk(std::string(kMaxBodyBytes, 'x')));
  BOOST_TEST(Count(answer, "<262144>") == 1);
}

BOOST_AUTO_TEST_CASE(a_relayed_request_of_the_largest_size_is_answered)
{
  Server server(kMaxRelayedBytes);
  auto body = std::string(kMaxRelayedBytes, 'x');
  BOOST_TEST(Count(AnswerTo(server, Post(body, "Connection: close\r\n")), "<1048576>") == 1);
  BOOST_TEST(Count(AnswerTo(server, PostInOneChunk(body)), "<1048576>") == 1);
}

BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_all_answered_whole_to_a_slow_reader)
{
  Server server;
  constexpr std::size_t kAnswerBytes = 200'000;
  constexpr int kRequests = 8;
  server.mAnswerBytes = kAnswerBytes;
  std::string ahead;
  for (int i = 0; i < kRequests; ++i) {
    ahead += Post(std::string(kMaxBodyBytes, 'x'));
  }
  auto answer = AnswerTo(server, ahead + Post("", "Connection: close\r\n"), 2ms);
  BOOST_TEST(Count(answer, "<262144>") == kRequests);
  BOOST_TEST(Count(answer, "<0>") == 1);
  BOOST_TEST(static_cast<std::size_t>(std::count(answer.begin(), answer.end(), 'a')) >=
             (kRequests + 1) * kAnswerBytes);
}

BOOST_AUTO_TEST_CASE(many_small_requests_sent_ahead_are_all_answered)
{
  Server server;
  constexpr std::size_t kAnswerBytes = 500;
  constexpr std::size_t kRequests = 5000;
  server.mAnswerBytes = kAnswerBytes;
  std::string ahead;
  for (std::size_t i = 0; i < kRequests; ++i) {
    ahead += Post("abc");
  }
  auto answer = AnswerTo(server, ahead + Post("", "Connection: close\r\n"));
  BOOST_TEST(Count(answer, "<3>") == kRequests);
  BOOST_TEST(Count(answer, "<0>") == 1);
}

// Connections whose request is handled are never closed, so that what they send ahead must not add
// up.
BOOST_AUTO_TEST_CASE(little_is_read_ahead_while_a_request_is_handled)
{
  Server server;
  server.mAnswers = false;
  constexpr std::size_t kMaxAheadBytes = 32 * 1024;
  std::size_t held = 0;
  server.ServeWhile([&] {
    Client client(server.mPort);
    std::thread sender([&] { client.Send(Post("abc") + Post(std::string(kMaxBodyBytes, 'x'))); });
    std::this_thread::sleep_for(500ms);
    held = server.mServer->Connections().mHeldBytes;
    client.Shutdown();
    sender.join();
  });
  BOOST_TEST(held > 0U);
  BOOST_TEST(held <= kMaxAheadBytes);
}

BOOST_AUTO_TEST_CASE(a_line_without_end_does_not_keep_its_connection)
{
  Server server;
  server.ServeWhile([&] {
    Client client(server.mPort);
    client.Send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string(2 * kMaxBodyBytes, 'a'));
    (void)client.ReadAll();
  });
  BOOST_TEST(server.mServer->Connections().mConnections.size() == 0U);
}

BOOST_AUTO_TEST_CASE(connections_that_are_reset_half_way_do_no_harm)
{
  Server server;
  constexpr std::size_t kAnswerBytes = 2'000'000;
  server.mAnswerBytes = kAnswerBytes;
  auto request = Post("abc");
  server.ServeWhile([&] {
    for (std::size_t bytes = 1; bytes <= request.size(); ++bytes) {
      Client client(server.mPort);
      client.ResetWhenClosed();
      client.Send(request + request.substr(0, bytes));
    }
  });
  server.mAnswerBytes = 0;
  BOOST_TEST(Count(AnswerTo(server, Post("", "Connection: close\r\n")), "<0>") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
