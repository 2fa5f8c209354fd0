#include "LibHttp/EventHttpServer.h"
#include "platform/CallSender.h"
#include "platform/WireNames.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Guards against starts, leases and acknowledgements that a later process under the same id carries
// out (TWICE): which process a call is for is checked on its connection before it is sent.

using namespace sesameseam;
using namespace sesameseam::platform;

namespace {

struct BaseDeleter
{
  void operator()(event_base* aBase) const { event_base_free(aBase); }
};

// An executor that answers everything, as the process with a number.
class AnsweringExecutor
{
public:
  AnsweringExecutor(event_base* aBase, int aPort)
    : mAddress("127.0.0.1:" + std::to_string(aPort))
  {
    EventHttpServerSettings settings;
    settings.mAddress = mAddress;
    mServer = std::make_unique<EventHttpServer>(
      aBase, settings, [this](const EventHttpIncoming& aIncoming) {
        mReceived.push_back(aIncoming);
        auto body = R"({"clockMs":1000,"born":)" + std::to_string(mProcess) +
                    R"(,"running":[],"finished":[]})";
        mServer->Reply(aIncoming.mTicket, { mStatus, "application/json", body });
      });
  }

  std::string mAddress;
  std::int64_t mProcess = 1;
  int mStatus = 200;
  std::unique_ptr<EventHttpServer> mServer;
  std::vector<EventHttpIncoming> mReceived;
};

class Sender
{
public:
  Sender()
    : mBase(event_base_new())
    , mSender(
        mBase.get(),
        Settings{},
        [this](schedule::Event aEvent) {
          mAnswer = std::move(aEvent);
          event_base_loopbreak(mBase.get());
        },
        [](const schedule::LogEntry&) {})
  {
    for (int port = kFirstPort; mExecutor == nullptr; ++port) {
      auto executor = std::make_unique<AnsweringExecutor>(mBase.get(), port);
      if (executor->mServer->Start().ok()) {
        mExecutor = std::move(executor);
      }
    }
  }

  [[nodiscard]] schedule::ExecutorAddress Process(std::int64_t aIncarnation) const
  {
    schedule::ExecutorAddress to{ schedule::ExecutorId("i-1"), mExecutor->mAddress, 3, 17 };
    to.mIncarnation = aIncarnation;
    return to;
  }

  schedule::StartAnswer Start(std::int64_t aProcess)
  {
    schedule::StartCall call;
    call.mTo = Process(aProcess);
    call.mRun = { { JobId("00000000000000aa"), 0, 0, 0 }, 1 };
    call.mLeaseEnd = 6s;
    mSender.Send(call);
    event_base_dispatch(mBase.get());
    return std::get<schedule::StartAnswer>(*mAnswer);
  }

  schedule::HeartbeatAnswer Heartbeat(std::int64_t aProcess)
  {
    schedule::HeartbeatCall call;
    call.mTo = Process(aProcess);
    call.mLeaseEnd = 6s;
    call.mLastSeen = 5;
    mSender.Send(call);
    event_base_dispatch(mBase.get());
    return std::get<schedule::HeartbeatAnswer>(*mAnswer);
  }

  [[nodiscard]] const std::vector<EventHttpIncoming>& Received() const
  {
    return mExecutor->mReceived;
  }
  AnsweringExecutor& Executor() { return *mExecutor; }

private:
  static constexpr int kFirstPort = 21700;

  std::unique_ptr<event_base, BaseDeleter> mBase;
  std::unique_ptr<AnsweringExecutor> mExecutor;
  std::optional<schedule::Event> mAnswer;
  CallSender mSender;
};

bool
AsksForSomething(const EventHttpIncoming& aRequest)
{
  return aRequest.mPath != kHeartbeatPath ||
         aRequest.mBody.find("deadlineMs") != std::string::npos ||
         aRequest.mBody.find("\"lastSeen\":0") == std::string::npos;
}

}

BOOST_AUTO_TEST_SUITE(TestCallSender)

BOOST_AUTO_TEST_CASE(a_start_follows_once_its_process_has_named_itself)
{
  Sender sender;
  auto answer = sender.Start(1);
  BOOST_TEST((answer.mResult == schedule::CallResult::Done));
  BOOST_REQUIRE(sender.Received().size() == 2u);
  BOOST_TEST(!AsksForSomething(sender.Received()[0]));
  BOOST_TEST(sender.Received()[1].mPath == kStartPath);
}

BOOST_AUTO_TEST_CASE(a_start_for_a_former_process_is_not_sent)
{
  Sender sender;
  sender.Executor().mProcess = 2;
  auto answer = sender.Start(1);
  BOOST_TEST((answer.mResult == schedule::CallResult::Refused));
  BOOST_TEST((answer.mRefusal == schedule::StartRefusal::OtherIncarnation));
  BOOST_REQUIRE(sender.Received().size() == 1u);
  BOOST_TEST(!AsksForSomething(sender.Received()[0]));
}

BOOST_AUTO_TEST_CASE(a_heartbeat_for_a_former_process_renews_and_acknowledges_nothing)
{
  Sender sender;
  sender.Executor().mProcess = 2;
  auto answer = sender.Heartbeat(1);
  BOOST_TEST((answer.mResult == schedule::CallResult::Done));
  BOOST_TEST(answer.mIncarnation == 2);
  BOOST_TEST(answer.mIsOfIntroduction);
  BOOST_TEST((answer.mCall.mLeaseEnd == 0ms && answer.mCall.mLastSeen == 0));
  BOOST_REQUIRE(sender.Received().size() == 1u);
  BOOST_TEST(!AsksForSomething(sender.Received()[0]));
}

BOOST_AUTO_TEST_CASE(an_executor_that_refuses_the_introduction_says_why)
{
  Sender sender;
  sender.Executor().mStatus = 503;
  auto answer = sender.Start(1);
  BOOST_TEST((answer.mResult == schedule::CallResult::Refused));
  BOOST_TEST((answer.mRefusal == schedule::StartRefusal::Unhealthy));
}

BOOST_AUTO_TEST_CASE(the_answer_to_a_heartbeat_introduces_its_connection)
{
  Sender sender;
  BOOST_TEST(sender.Heartbeat(0).mIncarnation == 1);
  sender.Heartbeat(1);
  BOOST_TEST(sender.Received().size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
