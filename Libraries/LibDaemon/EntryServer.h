#pragma once

#include "LibDaemon/Daemon.h"
#include "LibHttp/HttpServer.h"
#include "LibPeer/PeerServer.h"

#include <memory>
#include <string>

namespace sesameseam {

// The servers of an entry host for callers, operators and peers, each on its own address.
class EntryServer
{
public:
  EntryServer(Daemon& aDaemon, std::string aOperatorToken);

  absl::Status Start();

  // To be called after Daemon::Stop, so that no request in flight loses its connection.
  void Stop();

private:
  wire::ForwardReply ServeForwardedRequest(const wire::ForwardCall& aCall);

  Daemon& mDaemon;
  std::string mOperatorToken;
  std::unique_ptr<HttpServer> mCallerServer;
  std::unique_ptr<HttpServer> mOperatorServer;
  std::unique_ptr<PeerServer> mPeerServer;
};

}
