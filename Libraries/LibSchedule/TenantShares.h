#pragma once

#include "LibSchedule/Clock.h"
#include "LibSchedule/Model.h"

#include <map>
#include <set>
#include <vector>

// Weighted shares of a pool among tenants while there is not room for all. A share is the work that
// a tenant was served lately, divided by its weight; the tenant with the largest one yields first.
// Room that the others don't ask for is anybody's.
namespace sesameseam::schedule {

struct TenantShare
{
  double mWeight = 1.0;
  // The work started for the tenant, as an exponentially decaying sum.
  double mServed = 0;
  Instant mServedAt;
  // Jobs that the tenant may still send at present within its weight in jobs per second.
  double mAllowance = 0;
  TimePoint mAllowanceAt;
  // Work of the tenant waited in the last placement pass.
  bool mIsWaiting = false;
};

struct TenantShares
{
  std::map<TenantName, TenantShare> mTenants;

  // Without tenants in the manifest, all jobs count as one tenant's.
  bool IsEmpty() const { return mTenants.empty(); }
};

// Takes over the tenants of a new manifest; what was served to those that stay is kept.
void
UpdateTenants(TenantShares& aShares, const std::vector<Tenant>& aTenants);

// Counts a job that was accepted at aAcceptedAt. Returns whether it is within the tenant's weight
// in jobs per second. Jobs of tenants that the manifest doesn't have always are.
bool
CountArrival(TenantShares& aShares, const TenantName& aTenant, TimePoint aAcceptedAt);

void
RecordServed(TenantShares& aShares, const TenantName& aTenant, double aWork, Instant aNow);

// The work that was served to the tenant lately, divided by its weight.
double
ServedShare(const TenantShares& aShares, const TenantName& aTenant, Instant aNow);

double
WeightOf(const TenantShares& aShares, const TenantName& aTenant);

// To be called in each placement pass with the tenants whose work waits. A tenant that was idle
// starts level with the least served of those that were not, so that it has saved nothing up.
void
UpdateWaitingTenants(TenantShares& aShares, const std::set<TenantName>& aWaiting, Instant aNow);

}
