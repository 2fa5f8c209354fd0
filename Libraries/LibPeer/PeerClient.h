#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/Address.h"
#include "LibPeer/Generated/peer_types.h"

#include <memory>
#include <mutex>
#include <vector>

namespace sesameseam {

// Calls one peer. Connections are kept, and used by one call at a time.
class PeerClient
{
public:
  explicit PeerClient(Address aAddress);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  absl::StatusOr<wire::Report> Exchange(const wire::Report& aReport, Duration aTimeout);

  absl::StatusOr<wire::CatchUpReply> CatchUp(const wire::CatchUpCall& aCall, Duration aTimeout);

  // ConnectionRefused says that the peer received nothing.
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
