#include "LibFleet/WaveReturn.h"

#include "LibFleet/WaveFold.h"

namespace sesameseam {

namespace {

Proposal
MakeJoinProposal(const HostState& aHost)
{
  HostJoined joined{ aHost.mHost, aHost.mDestination.value_or(aHost.mPool) };
  return { "join " + aHost.mHost.mValue, aHost.mPhaseVersion, joined };
}

Proposal
MakeFailureProposal(const FleetState& aState, const HostState& aHost, HostFailure aFailure)
{
  return { "failed " + aHost.mHost.mValue,
           aHost.mPhaseVersion,
           HostFailed{ aHost.mHost, aFailure, aState.mLeader.mEpoch } };
}

Proposal
MakeRebootProposal(const FleetState& aState, const HostState& aHost, std::int64_t aBoots)
{
  return { "reboot " + aHost.mHost.mValue,
           aHost.mPhaseVersion,
           HostRebootRequested{ aHost.mHost, aBoots, aState.mLeader.mEpoch } };
}

// A host that is overdue since the given time, if that is not known yet.
std::optional<Proposal>
ProposeFailureIfOverdue(const PlannerSettings& aSettings,
                        const FleetState& aState,
                        const HostState& aHost,
                        TimePoint aSince,
                        TimePoint aNow)
{
  if (aHost.mFailure || aNow - aSince < aSettings.mReturnTimeout) {
    return std::nullopt;
  }
  return MakeFailureProposal(aState, aHost, HostFailure::NotReturned);
}

std::optional<Proposal>
StepBeforeReboot(const PlannerSettings& aSettings,
                 const FleetState& aState,
                 const FleetLoad& aLoad,
                 const HostState& aHost,
                 TimePoint aNow)
{
  auto boots = aLoad.mBoots.find(aHost.mHost);
  if (boots == aLoad.mBoots.end()) {
    return ProposeFailureIfOverdue(aSettings, aState, aHost, aHost.mPhaseSince, aNow);
  }
  if (!NeedsMaintenanceReboot(aState, aHost.mHost)) {
    return MakeJoinProposal(aHost);
  }
  return MakeRebootProposal(aState, aHost, boots->second);
}

std::optional<Proposal>
StepAfterReboot(const PlannerSettings& aSettings,
                const FleetState& aState,
                const FleetLoad& aLoad,
                const HostState& aHost,
                TimePoint aNow)
{
  auto boots = aLoad.mBoots.find(aHost.mHost);
  bool listed = boots != aLoad.mBoots.end();
  if (listed && boots->second > aHost.mBootCountBeforeReboot) {
    return MakeJoinProposal(aHost);
  }
  bool mayRetry = aHost.mRebootRequests < aSettings.mMaxRebootRequests;
  if (listed && mayRetry && aNow - *aHost.mRebootRequestedAt >= aSettings.mRebootRetryDelay) {
    return MakeRebootProposal(aState, aHost, boots->second);
  }
  return ProposeFailureIfOverdue(aSettings, aState, aHost, *aHost.mRebootRequestedAt, aNow);
}

std::optional<Proposal>
NextStep(const PlannerSettings& aSettings,
         const FleetState& aState,
         const FleetLoad& aLoad,
         const HostState& aHost,
         TimePoint aNow)
{
  if (aHost.mReason != LeaveReason::Maintenance) {
    return MakeJoinProposal(aHost);
  }
  if (aHost.mRebootRequestedAt) {
    return StepAfterReboot(aSettings, aState, aLoad, aHost, aNow);
  }
  return StepBeforeReboot(aSettings, aState, aLoad, aHost, aNow);
}

}

std::vector<Proposal>
PlanReturns(const PlannerSettings& aSettings,
            const FleetState& aState,
            const FleetLoad& aLoad,
            TimePoint aNow)
{
  std::vector<Proposal> proposals;
  // An old list may show a host as it was before its reboot.
  bool listIsStale = aNow - aLoad.mListedAt > aSettings.mHostListStaleAfter;
  for (const auto& [name, host] : aState.mHosts) {
    bool needsList = host.mReason == LeaveReason::Maintenance;
    if (host.mPhase != HostPhase::Drained || (needsList && listIsStale)) {
      continue;
    }
    auto step = NextStep(aSettings, aState, aLoad, host, aNow);
    if (step) {
      proposals.push_back(std::move(*step));
    }
  }
  return proposals;
}

std::vector<Proposal>
PlanFailures(const PlannerSettings& aSettings,
             const FleetState& aState,
             const FleetLoad& aLoad,
             TimePoint aNow,
             PlannerMemory& aMemory)
{
  std::vector<Proposal> proposals;
  if (aNow - aLoad.mListedAt > aSettings.mHostListStaleAfter) {
    aMemory.mMissingSince.clear();
    return proposals;
  }
  for (const auto& [name, host] : aState.mHosts) {
    bool listed = IsListed(aLoad, name);
    if (listed || host.mPhase != HostPhase::InService) {
      aMemory.mMissingSince.erase(name);
    }
    if (host.mPhase != HostPhase::InService) {
      continue;
    }
    if (listed && host.mFailure) {
      proposals.push_back(
        { "recovered " + name.mValue, host.mPhaseVersion, HostRecovered{ name } });
    } else if (!listed && !host.mFailure) {
      auto since = aMemory.mMissingSince.try_emplace(name, aNow).first->second;
      if (aNow - since >= aSettings.mLostTimeout) {
        proposals.push_back(MakeFailureProposal(aState, host, HostFailure::Lost));
      }
    }
  }
  return proposals;
}

}
