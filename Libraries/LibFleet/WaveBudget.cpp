#include "LibFleet/WaveBudget.h"

namespace sesameseam {

namespace {

template<typename Domain>
bool
ExceedsLimit(const std::map<Domain, int>& aOpen, const Domain& aDomain, int aLimit)
{
  auto open = std::ssize(aOpen) + (aOpen.contains(aDomain) ? 0 : 1);
  return open > aLimit;
}

template<typename Domain>
std::string
JoinNames(const std::map<Domain, int>& aOpen)
{
  std::string names;
  for (const auto& [name, hosts] : aOpen) {
    names += (names.empty() ? "" : ", ") + name.mValue;
  }
  return names;
}

std::string
JoinNames(const std::set<HostName>& aHosts)
{
  constexpr int kMaxNames = 8;
  std::string names;
  int count = 0;
  for (const auto& host : aHosts) {
    if (++count > kMaxNames) {
      return names + ", ...";
    }
    names += (names.empty() ? "" : ", ") + host.mValue;
  }
  return names;
}

}

void
AddUnavailable(UnavailableHosts& aUnavailable, const HostState& aHost)
{
  if (aUnavailable.mHosts.insert(aHost.mHost).second) {
    aUnavailable.mRacks[aHost.mRack] += 1;
    aUnavailable.mZones[aHost.mZone] += 1;
  }
}

bool
IsOutOfServiceByLog(const HostState& aHost)
{
  if (aHost.mPhase == HostPhase::InService) {
    return aHost.mFailure.has_value();
  }
  return aHost.mReason != LeaveReason::Move;
}

UnavailableHosts
FindUnavailableHosts(const FleetState& aState, const PoolName& aPool)
{
  UnavailableHosts unavailable;
  for (const auto& [name, host] : aState.mHosts) {
    if (host.mPool == aPool && IsOutOfServiceByLog(host)) {
      AddUnavailable(unavailable, host);
    }
  }
  return unavailable;
}

std::optional<std::string>
FindBudgetObstacle(const PoolDefined& aPool,
                   const UnavailableHosts& aUnavailable,
                   const HostState& aHost)
{
  auto subject = "pool " + aPool.mPool.mValue;
  if (std::ssize(aUnavailable.mHosts) >= aPool.mMaxUnavailable) {
    return subject + " has " + std::to_string(aUnavailable.mHosts.size()) + " of at most " +
           std::to_string(aPool.mMaxUnavailable) +
           " hosts out of service: " + JoinNames(aUnavailable.mHosts);
  }
  if (ExceedsLimit(aUnavailable.mRacks, aHost.mRack, aPool.mMaxUnavailableRacks)) {
    return subject + " has hosts out of service in rack " + JoinNames(aUnavailable.mRacks) +
           ", and at most " + std::to_string(aPool.mMaxUnavailableRacks) + " rack may be affected";
  }
  if (ExceedsLimit(aUnavailable.mZones, aHost.mZone, aPool.mMaxUnavailableZones)) {
    return subject + " has hosts out of service in zone " + JoinNames(aUnavailable.mZones) +
           ", and at most " + std::to_string(aPool.mMaxUnavailableZones) + " zone may be affected";
  }
  return std::nullopt;
}

}
