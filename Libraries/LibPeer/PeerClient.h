#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/Address.h"
#include "LibPeer/Generated/peer_types.h"

#include <memory>
#include <mutex>
#include <vector>

namespace sesameseam {

// Client of one peer with a pool of connections. Each connection serves one call at a time.
class PeerClient
{
public:
  explicit PeerClient(Address aAddress);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  absl::StatusOr<wire::Report> Exchange(const wire::Report& aReport, Duration aTimeout);

  absl::StatusOr<wire::CatchUpReply> CatchUp(const wire::CatchUpCall& aCall, Duration aTimeout);

  // ConnectionRefused guarantees that the peer did not receive the request.
  absl::StatusOr<wire::ForwardReply> Forward(const wire::ForwardCall& aCall, Duration aTimeout);

private:
  struct Connection;
  using ConnectionPointer = std::unique_ptr<Connection>;

  absl::StatusOr<ConnectionPointer> AcquireConnection(Duration aTimeout);
  void ReleaseConnection(ConnectionPointer aConnection);

  Address mAddress;
  std::mutex mMutex;
  std::vector<ConnectionPointer> mIdleConnections;
};

}
