#include "LibHttp/EventHttpClient.h"
#include "LibHttp/EventHttpServer.h"
#include "RawServer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>
#include <string>
#include <thread>
#include <vector>

// A request for one process reaches that process or none, also if another one listens at its
// address by then.

using namespace sesameseam;

namespace {

struct BaseDeleter
{
  void operator()(event_base* aBase) const { event_base_free(aBase); }
};
using Base = std::unique_ptr<event_base, BaseDeleter>;

// A free address on loopback.
std::string
FreeAddress()
{
  RawServer server([](int, int) { return false; });
  return "127.0.0.1:" + std::to_string(server.Where().mPort);
}

std::string
AddressOf(const RawServer& aServer)
{
  return "127.0.0.1:" + std::to_string(aServer.Where().mPort);
}

// What a process has received: the requests with the process that each was meant for.
struct Received
{
  std::int64_t mBy = 0;
  std::string mPath;
  std::string mMeantFor;
};

// The processes that listen at one address, one after the other. Each names itself by a number.
class Processes
{
public:
  Processes(event_base* aBase, std::string aAddress)
    : mBase(aBase)
    , mAddress(std::move(aAddress))
  {
    Restart();
  }

  // The next process begins; the connections of the one before are closed.
  void Restart()
  {
    mServer.reset();
    ++mCurrent;
    EventHttpServerSettings settings;
    settings.mAddress = mAddress;
    mServer = std::make_unique<EventHttpServer>(
      mBase, settings, [this](const EventHttpIncoming& aIncoming) {
        mReceived.push_back({ mCurrent, aIncoming.mPath, aIncoming.mBody });
        mServer->Reply(aIncoming.mTicket, { 200, "text/plain", std::to_string(mCurrent) });
        if (mClosesConnections) {
          mServer->CloseConnections();
        }
      });
    BOOST_REQUIRE(mServer->Start().ok());
    if (mClosesConnections) {
      mServer->CloseConnections();
    }
  }

  // From the next process on each answer closes its connection.
  void CloseConnections() { mClosesConnections = true; }

  [[nodiscard]] std::int64_t Current() const { return mCurrent; }
  [[nodiscard]] const std::vector<Received>& All() const { return mReceived; }

private:
  event_base* mBase;
  std::string mAddress;
  std::int64_t mCurrent = 0;
  bool mClosesConnections = false;
  std::unique_ptr<EventHttpServer> mServer;
  std::vector<Received> mReceived;
};

EventHttpRequest
StartFor(const std::string& aAddress, std::int64_t aProcess)
{
  EventHttpRequest request;
  request.mAddress = aAddress;
  request.mLane = "orders";
  request.mMethod = EventHttpMethod::Post;
  request.mPath = "/start";
  // RawServer takes a request for whole at this word.
  request.mBody = std::to_string(aProcess) + " END";
  request.mTimeout = 500ms;
  request.mProcess = aProcess;
  request.mIntroduction.mPath = "/who";
  request.mIntroduction.mBody = "END";
  request.mIntroduction.mTimeout = 500ms;
  request.mIntroduction.mProcessOf = [](const EventHttpResponse& aResponse) {
    return std::stoll(aResponse.mBody);
  };
  return request;
}

EventHttpResponse
Call(event_base* aBase, EventHttpClient& aClient, const EventHttpRequest& aRequest)
{
  EventHttpResponse answer;
  aClient.Call(aRequest, [&](const EventHttpResponse& aResponse) {
    answer = aResponse;
    event_base_loopbreak(aBase);
  });
  event_base_dispatch(aBase);
  return answer;
}

// Has the loop handle what has happened so far.
void
RunSteps(event_base* aBase, int aSteps)
{
  for (int i = 0; i < aSteps; ++i) {
    event_base_loop(aBase, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  }
}

std::ptrdiff_t
CountOf(const Processes& aProcesses, const std::string& aPath)
{
  const auto& all = aProcesses.All();
  return std::count_if(
    all.begin(), all.end(), [&](const Received& aReceived) { return aReceived.mPath == aPath; });
}

void
CheckNoneWentAstray(const Processes& aProcesses)
{
  for (const auto& each : aProcesses.All()) {
    if (each.mPath == "/start") {
      RC_ASSERT(std::to_string(each.mBy) + " END" == each.mMeantFor);
    }
  }
}

}

BOOST_AUTO_TEST_SUITE(TestOneProcess)

BOOST_AUTO_TEST_CASE(a_connection_is_introduced_once)
{
  Base base(event_base_new());
  auto address = FreeAddress();
  Processes processes(base.get(), address);
  EventHttpClient client(base.get(), {});
  for (int i = 0; i < 3; ++i) {
    auto answer = Call(base.get(), client, StartFor(address, 1));
    BOOST_TEST(answer.mAnswered);
    BOOST_TEST(answer.mWasSent);
  }
  BOOST_TEST(CountOf(processes, "/who") == 1);
  BOOST_TEST(CountOf(processes, "/start") == 3);
}

BOOST_AUTO_TEST_CASE(a_later_process_gets_no_request_that_is_for_the_former_one)
{
  Base base(event_base_new());
  auto address = FreeAddress();
  Processes processes(base.get(), address);
  EventHttpClient client(base.get(), {});
  BOOST_TEST(Call(base.get(), client, StartFor(address, 1)).mAnswered);
  processes.Restart();
  // The first one may find that its connection has broken; then a new one is introduced.
  for (int i = 0; i < 3; ++i) {
    Call(base.get(), client, StartFor(address, 1));
  }
  auto answer = Call(base.get(), client, StartFor(address, 1));
  BOOST_TEST(answer.mAnswered);
  BOOST_TEST(!answer.mWasSent);
  BOOST_TEST(answer.mBody == "2");
  BOOST_TEST(CountOf(processes, "/start") == 1);
  BOOST_TEST(Call(base.get(), client, StartFor(address, 2)).mAnswered);
  BOOST_TEST(CountOf(processes, "/start") == 2);
}

// libevent opens a connection that the other side has closed again for the next request.
BOOST_AUTO_TEST_CASE(a_connection_that_was_opened_again_is_introduced_again)
{
  Base base(event_base_new());
  auto address = FreeAddress();
  Processes processes(base.get(), address);
  EventHttpClient client(base.get(), {});
  BOOST_TEST(Call(base.get(), client, StartFor(address, 1)).mAnswered);
  processes.Restart();
  RunSteps(base.get(), 10);
  BOOST_TEST(!Call(base.get(), client, StartFor(address, 1)).mWasSent);
  BOOST_TEST(CountOf(processes, "/start") == 1);
}

BOOST_AUTO_TEST_CASE(a_request_is_not_sent_if_its_introduction_is_not_answered)
{
  RawServer server([](int, int) { return true; });
  Base base(event_base_new());
  EventHttpClient client(base.get(), {});
  auto address = "127.0.0.1:" + std::to_string(server.Where().mPort);
  auto answer = Call(base.get(), client, StartFor(address, 1));
  BOOST_TEST(!answer.mAnswered);
  BOOST_TEST(!answer.mWasSent);
}

BOOST_AUTO_TEST_CASE(a_request_that_is_refused_a_connection_was_not_sent)
{
  Base base(event_base_new());
  auto address = FreeAddress();
  EventHttpClient client(base.get(), {});
  auto request = StartFor(address, 1);
  request.mAsksForListener = true;
  auto answer = Call(base.get(), client, request);
  BOOST_TEST(!answer.mWasSent);
  BOOST_TEST(answer.mHasNoListener);
}

// A server may close a connection because it ends, and another process accept the next one.
BOOST_AUTO_TEST_CASE(a_request_is_not_sent_on_a_new_connection_once_the_introduced_one_was_closed)
{
  Base base(event_base_new());
  auto address = FreeAddress();
  Processes processes(base.get(), address);
  processes.CloseConnections();
  processes.Restart();
  EventHttpClient client(base.get(), {});
  auto answer = Call(base.get(), client, StartFor(address, 2));
  BOOST_TEST(answer.mAnswered);
  BOOST_TEST(!answer.mWasSent);
  BOOST_TEST(CountOf(processes, "/start") == 0);
}

BOOST_AUTO_TEST_CASE(a_process_that_keeps_no_connection_open_is_served_all_the_same)
{
  Base base(event_base_new());
  auto address = FreeAddress();
  Processes processes(base.get(), address);
  processes.CloseConnections();
  processes.Restart();
  EventHttpClient client(base.get(), {});
  for (int i = 0; i < 5; ++i) {
    Call(base.get(), client, StartFor(address, 2));
  }
  BOOST_TEST(CountOf(processes, "/start") == 3);
}

// Guards against starts that never reach an executor whose proxy closes connections unannounced.
BOOST_AUTO_TEST_CASE(
  a_server_that_closes_connections_without_saying_so_is_served_after_a_few_requests)
{
  RawServer server([](int aDescriptor, int) {
    SendText(aDescriptor, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    return false;
  });
  Base base(event_base_new());
  EventHttpClient client(base.get(), {});
  auto address = AddressOf(server);
  std::vector<bool> reached;
  for (int i = 0; i < 6; ++i) {
    auto answer = Call(base.get(), client, StartFor(address, 1));
    reached.push_back(answer.mAnswered && answer.mWasSent);
  }
  std::vector<bool> expected{ false, false, false, true, true, true };
  BOOST_TEST(reached == expected, boost::test_tools::per_element());
}

// Guards against heartbeats that always follow on a connection that is about to be closed.
BOOST_AUTO_TEST_CASE(answers_that_name_the_process_and_close_count_too)
{
  RawServer server([](int aDescriptor, int) {
    SendText(aDescriptor, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    return false;
  });
  Base base(event_base_new());
  EventHttpClient client(base.get(), {});
  auto request = StartFor(AddressOf(server), 0);
  request.mAnswerNamesProcess = true;
  int reached = 0;
  for (int i = 0; i < 12; ++i) {
    reached += Call(base.get(), client, request).mAnswered ? 1 : 0;
  }
  // Every second one finds its connection closed until that has happened three times.
  BOOST_TEST(reached == 9);
}

// Guards against one crash with several connections that counts as several closed in a row.
BOOST_AUTO_TEST_CASE(connections_that_break_together_lead_to_no_request_on_a_new_connection)
{
  constexpr int kBroken = 4;
  RawServer server([](int aDescriptor, int aRequest) {
    // The answer to the last introduction is under way while the others' connections break.
    std::this_thread::sleep_for(aRequest <= kBroken ? 0ms : 100ms);
    SendText(aDescriptor, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    return aRequest > kBroken;
  });
  Base base(event_base_new());
  EventHttpClientSettings settings;
  settings.mMaxConnections = kBroken + 1;
  EventHttpClient client(base.get(), settings);
  int ended = 0;
  int reached = 0;
  for (int i = 0; i <= kBroken; ++i) {
    client.Call(StartFor(AddressOf(server), 1), [&](const EventHttpResponse& aResponse) {
      ++ended;
      reached += aResponse.mAnswered && aResponse.mWasSent ? 1 : 0;
    });
  }
  while (ended <= kBroken) {
    event_base_loop(base.get(), EVLOOP_ONCE);
  }
  BOOST_TEST(reached == 1);
  BOOST_TEST(server.Connections() == kBroken + 1);
}

// Guards against crashes of several processes in a row that are held against the next one.
BOOST_AUTO_TEST_CASE(processes_that_each_break_one_connection_lead_to_no_request_on_a_new_one)
{
  static constexpr int kProcesses = 5;
  RawServer server([](int aDescriptor, int aRequest) {
    auto process = std::to_string(std::min(aRequest, kProcesses));
    SendText(aDescriptor, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + process);
    return aRequest > kProcesses;
  });
  Base base(event_base_new());
  EventHttpClient client(base.get(), {});
  for (int process = 1; process <= kProcesses; ++process) {
    BOOST_TEST(!Call(base.get(), client, StartFor(AddressOf(server), process)).mAnswered);
  }
  // The last one has broken a connection too, and is still there.
  BOOST_TEST(Call(base.get(), client, StartFor(AddressOf(server), kProcesses)).mAnswered);
  BOOST_TEST(server.Connections() == kProcesses + 1);
}

// Guards against requests that go out on new connections for good once a few have been closed.
BOOST_AUTO_TEST_CASE(a_server_that_keeps_its_connections_again_is_held_to_its_process_again)
{
  constexpr int kClosed = 3;
  RawServer server([](int aDescriptor, int aRequest) {
    SendText(aDescriptor, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    return aRequest > kClosed;
  });
  Base base(event_base_new());
  EventHttpClient client(base.get(), {});
  auto request = StartFor(AddressOf(server), 1);
  for (int i = 0; i < kClosed; ++i) {
    Call(base.get(), client, request);
  }
  // Introduced on one connection, sent on another.
  BOOST_TEST(Call(base.get(), client, request).mWasSent);
  BOOST_TEST(server.Connections() == kClosed + 2);
  // That one is still open by now, and is introduced.
  std::this_thread::sleep_for(150ms);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Call(base.get(), client, request).mAnswered);
  }
  BOOST_TEST(server.Connections() == kClosed + 2);
  // Two requests on new connections, one more introduction, three requests.
  BOOST_TEST(server.Requests() == kClosed + 2 + 1 + 3);
}

// A machine that loses power closes no connection.
BOOST_AUTO_TEST_CASE(connections_of_a_former_process_are_not_used_for_the_next_one)
{
  RawServer former([](int aDescriptor, int aRequest) {
    // Names itself, answers one request, and is silent from then on.
    if (aRequest <= 2) {
      SendText(aDescriptor, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    }
    return true;
  });
  Base base(event_base_new());
  EventHttpClient client(base.get(), {});
  auto address = "127.0.0.1:" + std::to_string(former.Where().mPort);
  BOOST_TEST(Call(base.get(), client, StartFor(address, 1)).mWasSent);
  BOOST_TEST(former.Connections() == 1);
  Call(base.get(), client, StartFor(address, 2));
  BOOST_TEST(former.Connections() == 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_connection_until_its_time_is_up_was_not_sent)
{
  RawServer server([](int, int) { return true; });
  Base base(event_base_new());
  EventHttpClientSettings settings;
  settings.mMaxConnections = 1;
  EventHttpClient client(base.get(), settings);
  auto address = "127.0.0.1:" + std::to_string(server.Where().mPort);
  auto first = StartFor(address, 0);
  first.mTimeout = 2s;
  client.Call(first, [](const EventHttpResponse&) {});
  BOOST_TEST(!Call(base.get(), client, StartFor(address, 1)).mWasSent);
}

BOOST_AUTO_TEST_CASE(a_request_does_not_follow_an_introduction_that_took_long)
{
  RawServer server([](int aDescriptor, int) {
    std::this_thread::sleep_for(350ms);
    SendText(aDescriptor, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    return true;
  });
  Base base(event_base_new());
  EventHttpClient client(base.get(), {});
  auto address = "127.0.0.1:" + std::to_string(server.Where().mPort);
  auto late = Call(base.get(), client, StartFor(address, 1));
  BOOST_TEST(late.mAnswered);
  BOOST_TEST(!late.mWasSent);
  // Its connection is introduced now, and serves the next one.
  auto next = Call(base.get(), client, StartFor(address, 1));
  BOOST_TEST(next.mAnswered);
  BOOST_TEST(next.mWasSent);
  BOOST_TEST(server.Connections() == 1);
}

// The promise, with processes that restart between and during calls, over several connections.
RC_BOOST_PROP(a_request_for_one_process_reaches_that_process_or_none, ())
{
  Base base(event_base_new());
  auto address = FreeAddress();
  Processes processes(base.get(), address);
  EventHttpClient client(base.get(), {});
  auto rounds = *rc::gen::inRange(1, 12);
  auto known = processes.Current();
  auto wasCalm = false;
  for (int round = 0; round < rounds; ++round) {
    // The caller may not have heard of a restart.
    known = *rc::gen::arbitrary<bool>() ? processes.Current() : known;
    auto calls = *rc::gen::inRange(1, 7);
    int ended = 0;
    int reached = 0;
    for (int i = 0; i < calls; ++i) {
      client.Call(StartFor(address, known), [&](const EventHttpResponse& aResponse) {
        ++ended;
        reached += aResponse.mAnswered && aResponse.mWasSent ? 1 : 0;
      });
    }
    // So many steps of the calls pass before the restart.
    RunSteps(base.get(), *rc::gen::inRange(0, 6));
    auto restarts = *rc::gen::arbitrary<bool>();
    if (restarts) {
      processes.Restart();
    }
    while (ended < calls) {
      event_base_loop(base.get(), EVLOOP_ONCE);
    }
    // Connections that a restart has broken are given up one by one.
    auto isCalm = !restarts && round > 0 && wasCalm && known == processes.Current();
    RC_ASSERT(!isCalm || reached == calls);
    wasCalm = !restarts && known == processes.Current();
    RunSteps(base.get(), *rc::gen::inRange(0, 6));
  }
  CheckNoneWentAstray(processes);
}

BOOST_AUTO_TEST_SUITE_END()
