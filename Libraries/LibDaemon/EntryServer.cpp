#include "LibDaemon/EntryServer.h"

#include "LibDaemon/CallerApi.h"
#include "LibDaemon/JobApi.h"
#include "LibDaemon/LoadApi.h"
#include "LibDaemon/MaintenanceApi.h"
#include "LibDaemon/MetricsPage.h"
#include "LibDaemon/OperatorApi.h"
#include "LibPeer/WireConversion.h"

#include <algorithm>
#include <glog/logging.h>
#include <sys/resource.h>

namespace sesameseam {

namespace {

constexpr int kOperatorThreads = 16;

// The part of the descriptors that the process may open which connections of other entry hosts may
// take.
constexpr std::size_t kPeerShare = 4;
constexpr std::size_t kFewestConnections = 16;
// What is held for calls of other entry hosts, in bodies of the largest size.
constexpr std::size_t kPeerBodies = 64;

std::size_t
MaxDescriptors()
{
  constexpr std::size_t kUsual = 1024;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    PLOG(WARNING) << "the number of descriptors is taken for " << kUsual;
    return kUsual;
  }
  return limit.rlim_cur;
}

absl::StatusOr<std::unique_ptr<HttpServer>>
MakeHttpServer(const std::string& aAddress, int aThreads, std::int64_t aMaxBodyBytes)
{
  HttpServerSettings settings;
  settings.mListen = TRY(ParseAddress(aAddress));
  settings.mMaxThreads = aThreads;
  settings.mMaxBodyBytes = static_cast<std::size_t>(aMaxBodyBytes);
  return std::make_unique<HttpServer>(settings);
}

}

EntryServer::EntryServer(Daemon& aDaemon, std::string aOperatorToken)
  : mDaemon(aDaemon)
  , mOperatorToken(std::move(aOperatorToken))
{
}

absl::Status
EntryServer::Start()
{
  const auto& settings = mDaemon.ActiveSettings();
  mCallerServer =
    TRY(MakeHttpServer(settings.mCallerAddress, settings.mMaxRequests, settings.mMaxBodyBytes));
  mCallerServer->AddPath("/request",
                         [this](const auto& aMessage) { return ServeCaller(mDaemon, aMessage); });
  mCallerServer->AddPath("/job",
                         [this](const auto& aMessage) { return ServeJob(mDaemon, aMessage); });
  mCallerServer->AddPath(
    "/ready", [this](const auto&) { return JsonReply(mDaemon.IsReady() ? 200 : 503, "{}"); });

  mOperatorServer =
    TRY(MakeHttpServer(settings.mOperatorAddress, kOperatorThreads, settings.mMaxBodyBytes));
  mOperatorServer->AddPath("/change", [this](const auto& aMessage) {
    return ServeChange(mDaemon, mOperatorToken, aMessage);
  });
  mOperatorServer->AddPath("/status",
                           [this](const auto& aMessage) { return ServeStatus(mDaemon, aMessage); });
  mOperatorServer->AddPath("/audit",
                           [this](const auto& aMessage) { return ServeAudit(mDaemon, aMessage); });
  mOperatorServer->AddPath(
    "/maintenance", [this](const auto& aMessage) { return ServeMaintenance(mDaemon, aMessage); });
  mOperatorServer->AddPath("/load", [this](const auto&) { return ServeLoad(mDaemon); });
  mOperatorServer->AddPath("/metrics", [this](const auto&) { return ServeMetrics(mDaemon); });

  PeerServerSettings peerSettings;
  peerSettings.mListen = TRY(ParseAddress(settings.mPeerAddress));
  peerSettings.mDeployment = settings.mDeployment;
  peerSettings.mMaxConnections =
    std::min(peerSettings.mMaxConnections,
             static_cast<int>(std::max(MaxDescriptors() / kPeerShare, kFewestConnections)));
  peerSettings.mMaxCallBytes = kPeerBodies * static_cast<std::size_t>(settings.mMaxBodyBytes);
  PeerHandlers handlers;
  handlers.mExchange = [this](const wire::Report& aReport) {
    return ToWire(mDaemon.ExchangeReports(FromWire(aReport, mDaemon.Now())));
  };
  handlers.mCatchUp = [this](const wire::CatchUpCall& aCall) {
    return ToWire(mDaemon.StateFor(aCall.first));
  };
  handlers.mForward = [this](const wire::ForwardCall& aCall) {
    return ServeForwardedRequest(aCall);
  };
  mPeerServer = std::make_unique<PeerServer>(peerSettings, handlers);

  TRY(mPeerServer->Start());
  TRY(mOperatorServer->Start());
  return mCallerServer->Start();
}

void
EntryServer::Stop()
{
  mCallerServer->Stop();
  mOperatorServer->Stop();
  mPeerServer->Stop();
}

wire::ForwardReply
EntryServer::ServeForwardedRequest(const wire::ForwardCall& aCall)
{
  auto request = FromWire(aCall, mDaemon.Now());
  if (!request.ok()) {
    Outcome refusal;
    refusal.mReason = OutcomeReason::NoTarget;
    return ToWire(refusal, aCall.requestId);
  }
  // The sender may forward the same request again while the first is in flight, so each call gets
  // an id of its own.
  request->mId = RequestId(mDaemon.NewId());
  return ToWire(mDaemon.Serve(std::move(*request)), aCall.requestId);
}

}
