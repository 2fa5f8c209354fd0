#include "LibDaemon/Daemon.h"

#include "LibPeer/WireConversion.h"

#include <glog/logging.h>

// Peer connections of the daemon: report exchange, and catching up on missing log records.
namespace sesameseam {

namespace {

constexpr Duration kExchangeTimeout = 500ms;
constexpr Duration kCatchUpTimeout = 5s;

}

void
Daemon::RunFetches()
{
  while (!mEnd) {
    FetchFromPeer fetch;
    {
      std::unique_lock lock(mFetchMutex);
      mFetchQueued.wait(lock, [this] { return mPendingFetch.has_value() || mEnd; });
      if (!mPendingFetch) {
        return;
      }
      fetch = *mPendingFetch;
      mPendingFetch.reset();
    }
    auto client = FindPeerClient(fetch.mMember);
    if (!client) {
      continue;
    }
    wire::CatchUpCall call;
    call.deployment = mSettings.mDeployment;
    call.first = fetch.mFrom;
    auto reply = client->CatchUp(call, kCatchUpTimeout);
    if (reply.ok()) {
      StepControl(FromWire(*reply));
    }
  }
}

void
Daemon::ExchangeWith(const MemberName& aMember, PeerThread& aPeer)
{
  bool reachable = true;
  while (!mEnd && !aPeer.mEnd) {
    auto sentAt = Now();
    auto report = ReadControl([](const auto& aControl) { return ReportOf(aControl); });
    auto answer = aPeer.mClient->Exchange(ToWire(report), kExchangeTimeout);
    if (answer.ok()) {
      {
        std::lock_guard lock(mPeersMutex);
        aPeer.mReportedName = MemberName(answer->member);
      }
      StepControl(PeerAnswered{ sentAt, FromWire(*answer, Now()) });
    } else if (KindOf(answer.status()) == ErrorKind::ConnectionRefused &&
               answer.status().message().find("refused") != std::string_view::npos) {
      StepControl(PeerConnectionRefused{ aMember });
    }
    if (answer.ok() != reachable) {
      reachable = answer.ok();
      LOG(INFO) << "peer " << aMember << " is " << (reachable ? "reachable" : "unreachable");
    }
    Sleep(mSettings.mReportInterval);
  }
  aPeer.mEnded = true;
}

// Joins only threads that have ended. Others may be blocked on an unresponsive peer, and this is
// called from the tick thread, which must not block.
void
Daemon::JoinEndedPeers()
{
  std::erase_if(mEndingPeers, [](auto& aPeer) {
    bool ended = aPeer->mEnded;
    if (ended) {
      aPeer->mThread.join();
    }
    return ended;
  });
}

// Returns all other members. Until this entry host has joined, the peer addresses from its settings
// are included.
std::map<MemberName, std::string>
Daemon::DesiredPeers()
{
  std::map<MemberName, std::string> wanted;
  bool isMember = ReadControl([&](const auto& aControl) {
    for (const auto& [name, member] : aControl.mFleet.mMembers) {
      if (name != aControl.mSettings.mSelf) {
        wanted.emplace(name, member.mJoined.mPeerAddress);
      }
    }
    return IsMember(aControl);
  });
  for (const auto& address : mSettings.mPeers) {
    if (!isMember && address != mSettings.mPeerAddress) {
      wanted.emplace(MemberName("at " + address), address);
    }
  }
  return wanted;
}

void
Daemon::ReconcilePeers()
{
  auto wanted = DesiredPeers();
  std::lock_guard lock(mPeersMutex);
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    auto found = wanted.find(it->first);
    if (found != wanted.end() && found->second == it->second->mAddress) {
      ++it;
      continue;
    }
    it->second->mEnd = true;
    mEndingPeers.push_back(std::move(it->second));
    it = mPeers.erase(it);
  }
  JoinEndedPeers();
  for (const auto& [name, text] : wanted) {
    auto address = ParseAddress(text);
    if (mPeers.contains(name) || !address.ok()) {
      continue;
    }
    auto peer = std::make_unique<PeerThread>();
    peer->mAddress = text;
    peer->mClient = std::make_shared<PeerClient>(*address);
    auto& started = *mPeers.emplace(name, std::move(peer)).first->second;
    started.mThread = std::thread([this, name = name, &started] { ExchangeWith(name, started); });
  }
}

std::shared_ptr<PeerClient>
Daemon::FindPeerClient(const MemberName& aMember)
{
  std::lock_guard lock(mPeersMutex);
  auto found = mPeers.find(aMember);
  if (found != mPeers.end()) {
    return found->second->mClient;
  }
  for (const auto& [name, peer] : mPeers) {
    if (peer->mReportedName == aMember) {
      return peer->mClient;
    }
  }
  return nullptr;
}

}
