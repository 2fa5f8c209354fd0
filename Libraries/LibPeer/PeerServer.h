#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/Address.h"
#include "LibPeer/Generated/peer_types.h"

#include <functional>
#include <memory>
#include <string>

namespace sesameseam {

struct PeerHandlers
{
  std::function<wire::Report(const wire::Report&)> mExchange;
  std::function<wire::CatchUpReply(const wire::CatchUpCall&)> mCatchUp;
  std::function<wire::ForwardReply(const wire::ForwardCall&)> mForward;
};

struct PeerServerSettings
{
  Address mListen;
  // Calls from other deployments fail with WrongDeployment.
  std::string mDeployment;
  int mMaxConnections = 512;
  // What all calls together may take that are being read or served. A call beyond it loses its
  // connection.
  std::size_t mMaxCallBytes = 64UL * 1024 * 1024;
  // Connections without a message for this long are closed, so that idle connections do not use up
  // mMaxConnections. Clients close idle connections earlier.
  Duration mIdleTimeout = 30s;
};

// Serves peers on background threads until Stop is called.
class PeerServer
{
public:
  PeerServer(PeerServerSettings aSettings, PeerHandlers aHandlers);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  absl::Status Start();
  void Stop();

private:
  struct Implementation;
  std::unique_ptr<Implementation> mImplementation;
};

}
