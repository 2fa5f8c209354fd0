#include "LibPeer/PeerClient.h"

#include "LibPeer/Generated/Peer.h"

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

namespace sesameseam {

namespace {

constexpr std::size_t kMaxIdleConnections = 64;
constexpr Duration kConnectTimeout = 500ms;

// Well below the server's idle timeout (PeerServerSettings::mIdleTimeout), so that no call is sent
// on a connection that the server is closing.
constexpr Duration kMaxIdleTime = 10s;

int
ToThriftTimeout(Duration aTimeout)
{
  return static_cast<int>(std::max<std::int64_t>(ToMilliseconds(aTimeout).count(), 1));
}

}

struct PeerClient::Connection
{
  std::chrono::steady_clock::time_point mIdleSince;
  std::shared_ptr<apache::thrift::transport::TSocket> mSocket;
  std::unique_ptr<wire::PeerClient> mClient;
};

PeerClient::PeerClient(Address aAddress)
  : mAddress(std::move(aAddress))
{
}

PeerClient::~PeerClient() = default;

absl::StatusOr<PeerClient::ConnectionPointer>
PeerClient::AcquireConnection(Duration aTimeout)
{
  {
    std::lock_guard lock(mMutex);
    // The most recently used connection is last. If it has been idle for too long, so have all.
    if (!mIdleConnections.empty() &&
        std::chrono::steady_clock::now() - mIdleConnections.back()->mIdleSince > kMaxIdleTime) {
      mIdleConnections.clear();
    }
    if (!mIdleConnections.empty()) {
      auto connection = std::move(mIdleConnections.back());
      mIdleConnections.pop_back();
      connection->mSocket->setRecvTimeout(ToThriftTimeout(aTimeout));
      return connection;
    }
  }
  auto connection = std::make_unique<Connection>();
  connection->mSocket =
    std::make_shared<apache::thrift::transport::TSocket>(mAddress.mHost, mAddress.mPort);
  connection->mSocket->setConnTimeout(ToThriftTimeout(std::min(aTimeout, kConnectTimeout)));
  connection->mSocket->setRecvTimeout(ToThriftTimeout(aTimeout));
  connection->mSocket->setSendTimeout(ToThriftTimeout(aTimeout));
  auto transport =
    std::make_shared<apache::thrift::transport::TBufferedTransport>(connection->mSocket);
  auto protocol = std::make_shared<apache::thrift::protocol::TBinaryProtocol>(transport);
  connection->mClient = std::make_unique<wire::PeerClient>(protocol);
  try {
    transport->open();
  } catch (const apache::thrift::TException& error) {
    return MakeError(ErrorKind::ConnectionRefused, error.what());
  }
  return connection;
}

void
PeerClient::ReleaseConnection(ConnectionPointer aConnection)
{
  aConnection->mIdleSince = std::chrono::steady_clock::now();
  std::lock_guard lock(mMutex);
  if (mIdleConnections.size() < kMaxIdleConnections) {
    mIdleConnections.push_back(std::move(aConnection));
  }
}

absl::StatusOr<wire::Report>
PeerClient::Exchange(const wire::Report& aReport, Duration aTimeout)
{
  auto connection = TRY(AcquireConnection(aTimeout));
  wire::Report answer;
  try {
    connection->mClient->exchange(answer, aReport);
  } catch (const wire::WrongDeployment& error) {
    return MakeError(ErrorKind::WrongDeployment, error.deployment);
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::ConnectionBroken, error.what());
  }
  ReleaseConnection(std::move(connection));
  return answer;
}

absl::StatusOr<wire::CatchUpReply>
PeerClient::CatchUp(const wire::CatchUpCall& aCall, Duration aTimeout)
{
  auto connection = TRY(AcquireConnection(aTimeout));
  wire::CatchUpReply reply;
  try {
    connection->mClient->catchUp(reply, aCall);
  } catch (const wire::WrongDeployment& error) {
    return MakeError(ErrorKind::WrongDeployment, error.deployment);
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::ConnectionBroken, error.what());
  }
  ReleaseConnection(std::move(connection));
  return reply;
}

absl::StatusOr<wire::ForwardReply>
PeerClient::Forward(const wire::ForwardCall& aCall, Duration aTimeout)
{
  auto connection = TRY(AcquireConnection(aTimeout));
  wire::ForwardReply reply;
  try {
    connection->mClient->forward(reply, aCall);
  } catch (const wire::WrongDeployment& error) {
    return MakeError(ErrorKind::WrongDeployment, error.deployment);
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::ConnectionBroken, error.what());
  }
  if (reply.requestId != aCall.requestId) {
    return MakeError(ErrorKind::ConnectionBroken, "the reply belongs to another request");
  }
  ReleaseConnection(std::move(connection));
  return reply;
}

}
