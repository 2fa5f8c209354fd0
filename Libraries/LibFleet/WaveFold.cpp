#include "LibFleet/WaveFold.h"

#include "LibFleet/Views.h"
#include "LibFleet/WaveBudget.h"

#include <algorithm>

namespace sesameseam {

namespace {

bool
IncludesHost(const MaintenanceState& aMaintenance, const HostName& aHost)
{
  const auto& hosts = aMaintenance.mDeclared.mHosts;
  return std::find(hosts.begin(), hosts.end(), aHost) != hosts.end();
}

bool
IsSettled(const FleetState& aState, const MaintenanceState& aMaintenance, const HostName& aHost)
{
  return aMaintenance.mFinished.contains(aHost) || aMaintenance.mNotReturned.contains(aHost) ||
         !aState.mHosts.contains(aHost);
}

std::string
EndReason(const MaintenanceState& aMaintenance)
{
  if (aMaintenance.mNotReturned.empty()) {
    return "all hosts are back in service";
  }
  std::string reason = "hosts that did not return:";
  for (const auto& host : aMaintenance.mNotReturned) {
    reason += " " + host.mValue;
  }
  return reason;
}

void
EndIfSettled(const FleetState& aState, MaintenanceState& aMaintenance)
{
  const auto& hosts = aMaintenance.mDeclared.mHosts;
  bool settled = std::all_of(hosts.begin(), hosts.end(), [&](const HostName& aHost) {
    return IsSettled(aState, aMaintenance, aHost);
  });
  if (settled && aMaintenance.mPhase == MaintenancePhase::Running) {
    aMaintenance.mPhase = MaintenancePhase::Done;
    aMaintenance.mReason = EndReason(aMaintenance);
  }
}

void
AddOutcome(MaintenanceState& aMaintenance, TimePoint aTime, bool aFailed)
{
  auto& outcomes = aMaintenance.mOutcomes;
  outcomes.push_back({ aTime, aFailed });
  while (outcomes.front().mTime + kOutcomeWindow < aTime) {
    outcomes.pop_front();
  }
}

bool
HasEnded(MaintenancePhase aPhase)
{
  return aPhase == MaintenancePhase::Done || aPhase == MaintenancePhase::Cancelled;
}

absl::Status
CheckEpoch(const FleetState& aState, std::int64_t aEpoch)
{
  if (aEpoch != aState.mLeader.mEpoch) {
    return MakeError(ErrorKind::StaleVersion,
                     "decided in epoch " + std::to_string(aEpoch) + ", but epoch " +
                       std::to_string(aState.mLeader.mEpoch) + " is in force");
  }
  return absl::OkStatus();
}

// The planner takes no host from a pool that has no more than its preset in force needs.
absl::Status
CheckPresetCapacity(const FleetState& aState, const HostState& aHost)
{
  const auto* preset = PresetInForce(aState.mPools.at(aHost.mPool));
  auto serving = std::count_if(aState.mHosts.begin(), aState.mHosts.end(), [&](const auto& aEntry) {
    const auto& host = aEntry.second;
    return host.mPool == aHost.mPool && host.mPhase == HostPhase::InService && !host.mFailure;
  });
  if (preset != nullptr && serving <= preset->mHosts) {
    return MakeError(ErrorKind::BadState,
                     "pool '" + aHost.mPool.mValue + "' needs its " +
                       std::to_string(preset->mHosts) + " hosts");
  }
  return absl::OkStatus();
}

}

absl::Status
CheckLeaving(const FleetState& aState, const HostState& aHost, const HostLeaving& aChange)
{
  bool discarded = aChange.mReason == LeaveReason::Removal && aHost.mPhase == HostPhase::Drained;
  if (aHost.mPhase != HostPhase::InService && !discarded) {
    return MakeError(ErrorKind::BadState,
                     "host '" + aHost.mHost.mValue + "' is " + std::string(EnumName(aHost.mPhase)));
  }
  if (!aChange.mEpoch) {
    return absl::OkStatus();
  }
  TRY(CheckEpoch(aState, *aChange.mEpoch));
  if (aChange.mReason == LeaveReason::Move) {
    return CheckPresetCapacity(aState, aHost);
  }
  if (aChange.mReason != LeaveReason::Maintenance) {
    return absl::OkStatus();
  }
  auto pool = aState.mPools.find(aHost.mPool);
  auto use = FindUnavailableHosts(aState, aHost.mPool);
  auto obstacle = FindBudgetObstacle(pool->second.mDefinition, use, aHost);
  if (obstacle) {
    return MakeError(ErrorKind::BadState, *obstacle);
  }
  return absl::OkStatus();
}

absl::Status
ApplyRebootRequested(FleetState& aState,
                     const Record& aRecord,
                     Offset aOffset,
                     const HostRebootRequested& aChange)
{
  TRY(CheckEpoch(aState, aChange.mEpoch));
  auto found = aState.mHosts.find(aChange.mHost);
  if (found == aState.mHosts.end()) {
    return MakeError(ErrorKind::UnknownHost, "no host '" + aChange.mHost.mValue + "'");
  }
  auto& host = found->second;
  if (host.mPhase != HostPhase::Drained || host.mReason != LeaveReason::Maintenance) {
    return MakeError(ErrorKind::BadState,
                     "host '" + aChange.mHost.mValue + "' is not drained for maintenance");
  }
  if (aRecord.mBasedOn && *aRecord.mBasedOn < host.mPhaseVersion) {
    return MakeError(ErrorKind::StaleVersion,
                     "host '" + aChange.mHost.mValue + "' changed at version " +
                       std::to_string(host.mPhaseVersion));
  }
  // A leave and its reboots are told apart by version, so that a race asks for one reboot.
  host.mPhaseVersion = aOffset;
  host.mRebootRequestedAt = aRecord.mTime;
  host.mRebootRequests += 1;
  // A second request keeps the count, since the first may yet take effect.
  if (host.mRebootRequests == 1) {
    host.mBootCountBeforeReboot = aChange.mBoots;
  }
  return absl::OkStatus();
}

absl::Status
ApplyHostFailed(FleetState& aState, const Record& aRecord, const HostFailed& aChange)
{
  // An old list of a former leader would report hosts that are well, and stop a wave.
  TRY(CheckEpoch(aState, aChange.mEpoch));
  auto found = aState.mHosts.find(aChange.mHost);
  if (found == aState.mHosts.end() || found->second.mFailure) {
    return MakeError(ErrorKind::BadState,
                     "host '" + aChange.mHost.mValue + "' is unknown or has failed already");
  }
  auto& host = found->second;
  if (aRecord.mBasedOn && *aRecord.mBasedOn < host.mPhaseVersion) {
    return MakeError(ErrorKind::StaleVersion, "host '" + aChange.mHost.mValue + "' has changed");
  }
  host.mFailure = aChange.mFailure;
  bool notReturned = aChange.mFailure == HostFailure::NotReturned;
  bool soonAfter = host.mMaintainedAt && aRecord.mTime - *host.mMaintainedAt <= kOutcomeWindow;
  for (auto& [id, maintenance] : aState.mMaintenances) {
    if (HasEnded(maintenance.mPhase) || !IncludesHost(maintenance, aChange.mHost)) {
      continue;
    }
    if (notReturned) {
      maintenance.mNotReturned.insert(aChange.mHost);
    }
    if (notReturned || (soonAfter && maintenance.mFinished.contains(aChange.mHost))) {
      AddOutcome(maintenance, aRecord.mTime, true);
    }
    EndIfSettled(aState, maintenance);
  }
  return absl::OkStatus();
}

absl::Status
ApplyHostRecovered(FleetState& aState, const HostRecovered& aChange)
{
  auto found = aState.mHosts.find(aChange.mHost);
  if (found == aState.mHosts.end() || found->second.mFailure != HostFailure::Lost) {
    return MakeError(ErrorKind::BadState, "host '" + aChange.mHost.mValue + "' is not lost");
  }
  found->second.mFailure.reset();
  return absl::OkStatus();
}

absl::Status
ApplyPhaseChange(FleetState& aState,
                 const Record& aRecord,
                 Offset aOffset,
                 const MaintenancePhaseChanged& aChange)
{
  auto found = aState.mMaintenances.find(aChange.mMaintenance);
  if (found == aState.mMaintenances.end()) {
    return MakeError(ErrorKind::UnknownMaintenance,
                     "no maintenance '" + aChange.mMaintenance.mValue + "'");
  }
  auto& maintenance = found->second;
  if (aRecord.mBasedOn && *aRecord.mBasedOn < maintenance.mVersion) {
    return MakeError(ErrorKind::StaleVersion,
                     "maintenance '" + aChange.mMaintenance.mValue + "' changed at version " +
                       std::to_string(maintenance.mVersion));
  }
  if (HasEnded(maintenance.mPhase)) {
    return MakeError(ErrorKind::BadState,
                     "maintenance '" + aChange.mMaintenance.mValue + "' is " +
                       std::string(EnumName(maintenance.mPhase)));
  }
  // Who resumes a stopped wave has looked at its failures; they do not stop it again.
  if (maintenance.mPhase == MaintenancePhase::Stopped) {
    maintenance.mOutcomes.clear();
  }
  maintenance.mPhase = aChange.mPhase;
  maintenance.mReason = aChange.mReason;
  maintenance.mVersion = aOffset;
  EndIfSettled(aState, maintenance);
  return absl::OkStatus();
}

void
MarkReturned(FleetState& aState, HostState& aHost, TimePoint aTime)
{
  if (aHost.mReason != LeaveReason::Maintenance || !aHost.mRebootRequestedAt) {
    return;
  }
  aHost.mMaintainedAt = aTime;
  for (auto& [id, maintenance] : aState.mMaintenances) {
    if (!IncludesHost(maintenance, aHost.mHost) || maintenance.mFinished.contains(aHost.mHost)) {
      continue;
    }
    maintenance.mFinished.insert(aHost.mHost);
    maintenance.mNotReturned.erase(aHost.mHost);
    AddOutcome(maintenance, aTime, false);
    EndIfSettled(aState, maintenance);
  }
}

void
RemoveHost(FleetState& aState, const HostName& aHost)
{
  aState.mHosts.erase(aHost);
  for (auto& [id, maintenance] : aState.mMaintenances) {
    EndIfSettled(aState, maintenance);
  }
}

bool
NeedsMaintenanceReboot(const FleetState& aState, const HostName& aHost)
{
  return std::any_of(
    aState.mMaintenances.begin(), aState.mMaintenances.end(), [&](const auto& aEntry) {
      const auto& maintenance = aEntry.second;
      bool mayGoOn = maintenance.mPhase == MaintenancePhase::Running ||
                     maintenance.mPhase == MaintenancePhase::Paused;
      return mayGoOn && IncludesHost(maintenance, aHost) && !maintenance.mFinished.contains(aHost);
    });
}

}
