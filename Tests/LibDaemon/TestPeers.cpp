#include "LibPeer/PeerClient.h"
#include "LibPeer/PeerServer.h"

#include <arpa/inet.h>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace sesameseam;

namespace {

// Returns an ephemeral port. The socket is closed again, so another process could take the port.
std::uint16_t
FindFreePort()
{
  int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  BOOST_REQUIRE(bind(file, reinterpret_cast<sockaddr*>(&address), size) == 0);
  BOOST_REQUIRE(getsockname(file, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  close(file);
  return ntohs(address.sin_port);
}

int
ConnectTo(std::uint16_t aPort)
{
  int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  BOOST_REQUIRE(connect(file, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  return file;
}

}

BOOST_AUTO_TEST_SUITE(TestPeers)

BOOST_AUTO_TEST_CASE(PeerOfAnotherDeploymentIsRejected)
{
  std::atomic<int> calls{ 0 };
  PeerServerSettings settings;
  settings.mListen = { "127.0.0.1", FindFreePort() };
  settings.mDeployment = "balai";
  PeerHandlers handlers;
  handlers.mExchange = [&](const wire::Report& aReport) {
    calls += 1;
    return aReport;
  };
  handlers.mForward = [&](const wire::ForwardCall& aCall) {
    calls += 1;
    wire::ForwardReply reply;
    reply.requestId = aCall.requestId;
    return reply;
  };
  PeerServer server(settings, handlers);
  BOOST_REQUIRE(server.Start().ok());
  {
    PeerClient client(settings.mListen);
    wire::Report report;
    report.deployment = "anaa";
    BOOST_TEST((KindOf(client.Exchange(report, 5s).status()) == ErrorKind::WrongDeployment));
    wire::ForwardCall call;
    call.deployment = "anaa";
    BOOST_TEST((KindOf(client.Forward(call, 5s).status()) == ErrorKind::WrongDeployment));
    BOOST_TEST(calls == 0);
    report.deployment = "balai";
    BOOST_TEST(client.Exchange(report, 5s).ok());
    BOOST_TEST(calls == 1);
  }
  server.Stop();
}

BOOST_AUTO_TEST_CASE(IdleConnectionsDoNotExhaustConnectionLimit)
{
  PeerServerSettings settings;
  settings.mListen = { "127.0.0.1", FindFreePort() };
  settings.mDeployment = "balai";
  settings.mMaxConnections = 4;
  settings.mIdleTimeout = 200ms;
  PeerHandlers handlers;
  handlers.mExchange = [](const wire::Report& aReport) { return aReport; };
  PeerServer server(settings, handlers);
  BOOST_REQUIRE(server.Start().ok());
  std::vector<int> held;
  for (int i = 0; i < settings.mMaxConnections; ++i) {
    held.push_back(ConnectTo(settings.mListen.mPort));
    BOOST_REQUIRE(send(held.back(), "\x80\x01", 2, MSG_NOSIGNAL) == 2);
  }
  {
    PeerClient client(settings.mListen);
    wire::Report report;
    report.deployment = "balai";
    BOOST_TEST(client.Exchange(report, 10s).ok());
  }
  for (int file : held) {
    close(file);
  }
  server.Stop();
}

// Calls whose texts are more than is left are refused unread; the next ones, and reports, are
// served.
BOOST_AUTO_TEST_CASE(TextsOfCallsStayInsideTheirShareOfMemory)
{
  PeerServerSettings settings;
  settings.mListen = { "127.0.0.1", FindFreePort() };
  settings.mDeployment = "balai";
  settings.mMaxCallBytes = 100000;
  std::atomic<int> calls{ 0 };
  std::atomic<std::size_t> received{ 0 };
  PeerHandlers handlers;
  handlers.mExchange = [](const wire::Report& aReport) { return aReport; };
  handlers.mForward = [&](const wire::ForwardCall& aCall) {
    calls += 1;
    received = aCall.body.size();
    wire::ForwardReply reply;
    reply.requestId = aCall.requestId;
    return reply;
  };
  PeerServer server(settings, handlers);
  BOOST_REQUIRE(server.Start().ok());
  {
    PeerClient client(settings.mListen);
    wire::ForwardCall call;
    call.deployment = "balai";
    for (int i = 1; i <= 5; ++i) {
      call.body = std::string(100000, 'x');
      BOOST_TEST(client.Forward(call, 5s).ok());
      BOOST_TEST(received == 100000U);
      call.body += 'x';
      BOOST_TEST(!client.Forward(call, 5s).ok());
      BOOST_TEST(calls == i);
      wire::Report report;
      report.deployment = "balai";
      BOOST_TEST(client.Exchange(report, 5s).ok());
    }
  }
  server.Stop();
}

BOOST_AUTO_TEST_CASE(AReportOfManyPoolsIsExchanged)
{
  PeerServerSettings settings;
  settings.mListen = { "127.0.0.1", FindFreePort() };
  settings.mDeployment = "balai";
  PeerHandlers handlers;
  handlers.mExchange = [](const wire::Report& aReport) { return aReport; };
  PeerServer server(settings, handlers);
  BOOST_REQUIRE(server.Start().ok());
  {
    PeerClient client(settings.mListen);
    wire::Report report;
    report.deployment = "balai";
    report.loads.resize(4096);
    for (auto& load : report.loads) {
      load.pool = std::string(200, 'p');
    }
    for (int i = 0; i < 3; ++i) {
      auto answer = client.Exchange(report, 5s);
      BOOST_REQUIRE(answer.ok());
      BOOST_TEST((*answer == report));
    }
  }
  server.Stop();
}

BOOST_AUTO_TEST_SUITE_END()
