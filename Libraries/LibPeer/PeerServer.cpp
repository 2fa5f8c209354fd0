#include "LibPeer/PeerServer.h"

#include "LibPeer/BoundedProtocol.h"
#include "LibPeer/Generated/Peer.h"

#include <absl/cleanup/cleanup.h>
#include <future>
#include <glog/logging.h>
#include <thread>
#include <thrift/TOutput.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

namespace sesameseam {

namespace {

// Limits the memory that a peer's message can make the receiver allocate.
constexpr int kMaxMessageBytes = 16 * 1024 * 1024;

class PeerServiceHandler : public wire::PeerIf
{
public:
  PeerServiceHandler(std::string aDeployment,
                     PeerHandlers aHandlers,
                     std::shared_ptr<CallBytes> aBytes)
    : mDeployment(std::move(aDeployment))
    , mHandlers(std::move(aHandlers))
    , mBytes(std::move(aBytes))
  {
  }

  void exchange(wire::Report& aReturn, const wire::Report& aReport) override
  {
    CheckDeployment(aReport.deployment);
    aReturn = mHandlers.mExchange(aReport);
  }

  void catchUp(wire::CatchUpReply& aReturn, const wire::CatchUpCall& aCall) override
  {
    CheckDeployment(aCall.deployment);
    aReturn = mHandlers.mCatchUp(aCall);
  }

  void forward(wire::ForwardReply& aReturn, const wire::ForwardCall& aCall) override
  {
    CheckDeployment(aCall.deployment);
    mBytes->Take(aCall.body.size());
    const absl::Cleanup give = [&] { mBytes->Give(aCall.body.size()); };
    aReturn = mHandlers.mForward(aCall);
  }

private:
  void CheckDeployment(const std::string& aDeployment) const
  {
    if (aDeployment != mDeployment) {
      wire::WrongDeployment error;
      error.deployment = mDeployment;
      throw error;
    }
  }

  std::string mDeployment;
  PeerHandlers mHandlers;
  std::shared_ptr<CallBytes> mBytes;
};

// Signals when the server has started to listen.
class ListeningNotifier : public apache::thrift::server::TServerEventHandler
{
public:
  void preServe() override { mListening.set_value(); }
  std::promise<void> mListening;
};

class BoundedProtocolFactory : public apache::thrift::protocol::TProtocolFactory
{
public:
  explicit BoundedProtocolFactory(std::shared_ptr<CallBytes> aBytes)
    : mBytes(std::move(aBytes))
  {
  }

  std::shared_ptr<apache::thrift::protocol::TProtocol> getProtocol(
    std::shared_ptr<apache::thrift::protocol::TTransport> aTransport) override
  {
    return std::make_shared<BoundedProtocol>(
      std::move(aTransport), kMaxMessageBytes, kMaxMessageBytes / 16, mBytes);
  }

private:
  std::shared_ptr<CallBytes> mBytes;
};

}

struct PeerServer::Implementation
{
  PeerServerSettings mSettings;
  std::shared_ptr<CallBytes> mBytes;
  std::shared_ptr<PeerServiceHandler> mHandler;
  std::unique_ptr<apache::thrift::server::TThreadedServer> mServer;
  std::thread mThread;
};

PeerServer::PeerServer(PeerServerSettings aSettings, PeerHandlers aHandlers)
  : mImplementation(std::make_unique<Implementation>())
{
  mImplementation->mBytes = std::make_shared<CallBytes>(aSettings.mMaxCallBytes);
  mImplementation->mHandler = std::make_shared<PeerServiceHandler>(
    aSettings.mDeployment, std::move(aHandlers), mImplementation->mBytes);
  mImplementation->mSettings = std::move(aSettings);
}

PeerServer::~PeerServer()
{
  Stop();
}

absl::Status
PeerServer::Start()
{
  auto& self = *mImplementation;
  // Thrift prints a line for each failed call. This is disabled, because the daemon logs changes of
  // reachability instead.
  apache::thrift::GlobalOutput.setOutputFunction([](const char*) {});
  auto socket = std::make_shared<apache::thrift::transport::TServerSocket>(
    self.mSettings.mListen.mHost, self.mSettings.mListen.mPort);
  auto idleTimeout = static_cast<int>(ToMilliseconds(self.mSettings.mIdleTimeout).count());
  socket->setRecvTimeout(idleTimeout);
  socket->setSendTimeout(idleTimeout);
  self.mServer = std::make_unique<apache::thrift::server::TThreadedServer>(
    std::make_shared<wire::PeerProcessor>(self.mHandler),
    socket,
    std::make_shared<apache::thrift::transport::TBufferedTransportFactory>(),
    std::make_shared<BoundedProtocolFactory>(self.mBytes));
  self.mServer->setConcurrentClientLimit(self.mSettings.mMaxConnections);
  auto ready = std::make_shared<ListeningNotifier>();
  auto listening = ready->mListening.get_future();
  self.mServer->setServerEventHandler(ready);
  auto failure = std::make_shared<std::promise<std::string>>();
  auto failed = failure->get_future();
  self.mThread = std::thread([&self, failure] {
    try {
      self.mServer->serve();
    } catch (const std::exception& error) {
      failure->set_value(error.what());
    }
  });
  while (listening.wait_for(std::chrono::milliseconds(10)) != std::future_status::ready) {
    if (failed.wait_for(std::chrono::milliseconds(0)) == std::future_status::ready) {
      return MakeError(ErrorKind::BadSettings, failed.get());
    }
  }
  return absl::OkStatus();
}

void
PeerServer::Stop()
{
  auto& self = *mImplementation;
  if (!self.mThread.joinable()) {
    return;
  }
  self.mServer->stop();
  self.mThread.join();
}

}
