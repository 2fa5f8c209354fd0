#include "LibFleet/Wave.h"

#include "LibFleet/WaveFold.h"

#include <algorithm>
#include <tuple>

namespace sesameseam {

namespace {

// The failures of late, over all maintenance that runs.
struct RecentOutcomes
{
  int mTotal = 0;
  int mFailed = 0;
};

RecentOutcomes
CountOutcomes(const FleetState& aState, TimePoint aNow)
{
  RecentOutcomes recent;
  for (const auto& [id, maintenance] : aState.mMaintenances) {
    if (maintenance.mPhase != MaintenancePhase::Running) {
      continue;
    }
    for (const auto& outcome : maintenance.mOutcomes) {
      bool counts = outcome.mTime + kOutcomeWindow >= aNow;
      recent.mTotal += counts ? 1 : 0;
      recent.mFailed += counts && outcome.mFailed ? 1 : 0;
    }
  }
  return recent;
}

bool
FailuresCorrelate(const PlannerSettings& aSettings, const RecentOutcomes& aRecent)
{
  return aRecent.mFailed >= aSettings.mStopFailureCount &&
         aRecent.mFailed >= aSettings.mStopFailureShare * aRecent.mTotal;
}

void
StopAllMaintenance(const FleetState& aState, const RecentOutcomes& aRecent, WaveStep& aStep)
{
  for (const auto& [id, maintenance] : aState.mMaintenances) {
    if (maintenance.mPhase != MaintenancePhase::Running) {
      continue;
    }
    MaintenancePhaseChanged stop;
    stop.mMaintenance = id;
    stop.mPhase = MaintenancePhase::Stopped;
    stop.mReason = std::to_string(aRecent.mFailed) + " of the " + std::to_string(aRecent.mTotal) +
                   " hosts of the last hour failed";
    aStep.mProposals.push_back({ "stop " + id.mValue, maintenance.mVersion, stop });
  }
}

// Why a host that is not in service is not through yet.
std::string
DescribeOutOfService(const HostState& aHost)
{
  if (aHost.mPhase == HostPhase::Leaving) {
    return "drains for " + std::string(EnumName(*aHost.mReason));
  }
  if (aHost.mFailure) {
    return "did not come back after its reboot";
  }
  if (aHost.mReason == LeaveReason::Move) {
    return "moves to another pool";
  }
  return aHost.mRebootRequestedAt ? "reboots" : "is drained and will reboot";
}

std::optional<std::string>
FindPhaseObstacle(const MaintenanceState& aMaintenance)
{
  if (aMaintenance.mPhase == MaintenancePhase::Running) {
    return std::nullopt;
  }
  auto reason = "the maintenance is " + std::string(EnumName(aMaintenance.mPhase));
  return aMaintenance.mReason.empty() ? reason : reason + ": " + aMaintenance.mReason;
}

struct Candidate
{
  const HostState* mHost = nullptr;
  MaintenanceId mMaintenance;
  // A smaller rank is taken first.
  std::tuple<bool, ZoneName, RackName, HostName> mRank;
};

class WavePlanner
{
public:
  WavePlanner(const PlannerSettings& aSettings,
              const FleetState& aState,
              const FleetLoad& aLoad,
              const FleetView& aView,
              TimePoint aNow)
    : mState(aState)
    , mLoad(aLoad)
    , mListIsStale(aNow - aLoad.mListedAt > aSettings.mHostListStaleAfter)
  {
    for (const auto& [name, pool] : aView.mPools) {
      mUnavailable.emplace(name, pool.mUnavailable);
      for (const auto& [rack, hosts] : pool.mUnavailable.mRacks) {
        mAffectedRacks.insert(rack);
      }
    }
  }

  void CollectCandidates(const MaintenanceState& aMaintenance)
  {
    auto obstacle = FindPhaseObstacle(aMaintenance);
    for (const auto& name : aMaintenance.mDeclared.mHosts) {
      auto host = mState.mHosts.find(name);
      if (aMaintenance.mFinished.contains(name) || host == mState.mHosts.end()) {
        continue;
      }
      CollectCandidates(aMaintenance.mDeclared.mMaintenance, host->second, obstacle);
    }
  }

  void Select()
  {
    std::sort(mCandidates.begin(), mCandidates.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mRank < aRight.mRank;
    });
    for (const auto& candidate : mCandidates) {
      Select(candidate);
    }
  }

  WaveStep TakeStep() { return std::move(mStep); }

private:
  void AddWait(const MaintenanceId& aId, const HostState& aHost, std::string aReason)
  {
    mStep.mWaits.push_back({ aId, aHost.mHost, std::move(aReason) });
  }

  void CollectCandidates(const MaintenanceId& aId,
                         const HostState& aHost,
                         const std::optional<std::string>& aObstacle)
  {
    if (aHost.mPhase != HostPhase::InService) {
      AddWait(aId, aHost, DescribeOutOfService(aHost));
    } else if (aObstacle) {
      AddWait(aId, aHost, *aObstacle);
    } else if (mListIsStale) {
      AddWait(aId, aHost, "the platform's list of live hosts is too old");
    } else if (aHost.mFailure || !IsListed(mLoad, aHost.mHost)) {
      AddWait(aId, aHost, "the platform does not list the host as live");
    } else {
      bool closed = !mAffectedRacks.contains(aHost.mRack);
      mCandidates.push_back({ &aHost, aId, { closed, aHost.mZone, aHost.mRack, aHost.mHost } });
    }
  }

  void Select(const Candidate& aCandidate)
  {
    const auto& host = *aCandidate.mHost;
    if (mStep.mSelected.contains(host.mHost)) {
      return;
    }
    auto& unavailable = mUnavailable.at(host.mPool);
    auto obstacle = FindBudgetObstacle(mState.mPools.at(host.mPool).mDefinition, unavailable, host);
    if (obstacle) {
      AddWait(aCandidate.mMaintenance, host, *obstacle);
      return;
    }
    AddUnavailable(unavailable, host);
    mStep.mSelected.emplace(host.mHost, aCandidate.mMaintenance);
    HostLeaving leaving;
    leaving.mHost = host.mHost;
    leaving.mReason = LeaveReason::Maintenance;
    leaving.mEpoch = mState.mLeader.mEpoch;
    leaving.mExplanation = "maintenance " + aCandidate.mMaintenance.mValue;
    mStep.mProposals.push_back({ "maintain " + host.mHost.mValue, host.mPhaseVersion, leaving });
  }

  const FleetState& mState;
  const FleetLoad& mLoad;
  bool mListIsStale;
  std::map<PoolName, UnavailableHosts> mUnavailable;
  std::set<RackName> mAffectedRacks;
  std::vector<Candidate> mCandidates;
  WaveStep mStep;
};

bool
IsOpen(MaintenancePhase aPhase)
{
  return aPhase != MaintenancePhase::Done && aPhase != MaintenancePhase::Cancelled;
}

}

WaveStep
PlanWave(const PlannerSettings& aSettings,
         const FleetState& aState,
         const FleetLoad& aLoad,
         const FleetView& aView,
         TimePoint aNow)
{
  auto recent = CountOutcomes(aState, aNow);
  if (FailuresCorrelate(aSettings, recent)) {
    WaveStep step;
    StopAllMaintenance(aState, recent, step);
    return step;
  }
  WavePlanner planner(aSettings, aState, aLoad, aView, aNow);
  for (const auto& [id, maintenance] : aState.mMaintenances) {
    if (IsOpen(maintenance.mPhase)) {
      planner.CollectCandidates(maintenance);
    }
  }
  planner.Select();
  return planner.TakeStep();
}

}
