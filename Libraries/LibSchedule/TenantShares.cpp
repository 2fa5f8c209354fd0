#include "LibSchedule/TenantShares.h"

#include "LibBase/Decay.h"

#include <algorithm>
#include <optional>

namespace sesameseam::schedule {

namespace {

// What was served counts half after this time.
constexpr Duration kHalfLife = 2s;
// Callers of a tenant don't send at even intervals: it may send as many jobs at once as are due to
// it in this time.
constexpr Duration kBurst = 2s;
// A tenant whose weight is missing or unusable still gets some room.
constexpr double kMinWeight = 0.01;
// Of tenants that the manifest doesn't have.
constexpr double kDefaultWeight = 1.0;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// At least one job, whatever the weight.
double
MaxAllowance(const TenantShare& aShare)
{
  return std::max(1.0, aShare.mWeight * Seconds(kBurst));
}

double
ServedBy(const TenantShare& aShare, Instant aNow)
{
  return aShare.mServed * DecayOver(aNow - aShare.mServedAt, kHalfLife);
}

}

void
UpdateTenants(TenantShares& aShares, const std::vector<Tenant>& aTenants)
{
  std::map<TenantName, TenantShare> tenants;
  for (const auto& tenant : aTenants) {
    auto known = aShares.mTenants.find(tenant.mName);
    auto isKnown = known != aShares.mTenants.end();
    auto& share = tenants[tenant.mName];
    share = isKnown ? known->second : TenantShare();
    share.mWeight = std::max(kMinWeight, tenant.mWeight);
    share.mAllowance = isKnown ? share.mAllowance : MaxAllowance(share);
  }
  aShares.mTenants = std::move(tenants);
}

bool
CountArrival(TenantShares& aShares, const TenantName& aTenant, TimePoint aAcceptedAt)
{
  auto found = aShares.mTenants.find(aTenant);
  if (found == aShares.mTenants.end()) {
    return true;
  }
  auto& share = found->second;
  // Jobs from hosts whose clocks differ don't arrive in the order of their times.
  auto elapsed = std::max(Duration::zero(), aAcceptedAt - share.mAllowanceAt);
  share.mAllowance =
    std::min(MaxAllowance(share), share.mAllowance + share.mWeight * Seconds(elapsed));
  share.mAllowanceAt = std::max(share.mAllowanceAt, aAcceptedAt);
  if (share.mAllowance < 1.0) {
    return false;
  }
  share.mAllowance -= 1.0;
  return true;
}

void
RecordServed(TenantShares& aShares, const TenantName& aTenant, double aWork, Instant aNow)
{
  auto found = aShares.mTenants.find(aTenant);
  if (found == aShares.mTenants.end()) {
    return;
  }
  auto& share = found->second;
  share.mServed = ServedBy(share, aNow) + aWork;
  share.mServedAt = aNow;
}

double
WeightOf(const TenantShares& aShares, const TenantName& aTenant)
{
  auto found = aShares.mTenants.find(aTenant);
  return found == aShares.mTenants.end() ? kDefaultWeight : found->second.mWeight;
}

double
ServedShare(const TenantShares& aShares, const TenantName& aTenant, Instant aNow)
{
  auto found = aShares.mTenants.find(aTenant);
  return found == aShares.mTenants.end() ? 0.0
                                         : ServedBy(found->second, aNow) / found->second.mWeight;
}

void
UpdateWaitingTenants(TenantShares& aShares, const std::set<TenantName>& aWaiting, Instant aNow)
{
  std::optional<double> least;
  for (const auto& [name, share] : aShares.mTenants) {
    if (share.mIsWaiting && aWaiting.contains(name)) {
      auto served = ServedBy(share, aNow) / share.mWeight;
      least = std::min(least.value_or(served), served);
    }
  }
  for (auto& [name, share] : aShares.mTenants) {
    auto isWaiting = aWaiting.contains(name);
    if (isWaiting && !share.mIsWaiting && least) {
      share.mServed = std::max(ServedBy(share, aNow), *least * share.mWeight);
      share.mServedAt = aNow;
    }
    share.mIsWaiting = isWaiting;
  }
}

}
