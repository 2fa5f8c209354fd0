#pragma once

#include "LibSchedule/QuotaLog.h"
#include "LibSchedule/TenantUsage.h"

// Decides how the owners of shards share the quotas of tenants. Pure functions: the caller stores
// the changes, all or none, on condition that the book was the newest.
namespace sesameseam::schedule {

using Quotas = std::map<TenantName, Resources>;

// A shard that this host owns, and what its tenants use.
struct QuotaUser
{
  int mShard = 0;
  std::int64_t mEpoch = 0;
  const TenantUsage* mUsage = nullptr;
};

struct QuotaState
{
  const QuotaBook* mBook = nullptr;
  const Quotas* mQuotas = nullptr;
  // How many shards share each quota.
  int mShards = 1;
  // The end of the log.
  std::int64_t mEnd = 0;
  // Since when this host knows that a shard wants more of a tenant's quota.
  const std::map<TenantName, Instant>* mWantedSince = nullptr;
};

// Whether more of the tenant's quota is held than there is, as after it was lowered.
bool
IsOverallotted(const QuotaBook& aBook, const TenantName& aTenant, const Resources& aQuota);

// What the shard may have running of the tenant, of the amount that it certainly holds. A shard
// that holds more than an even share starts nothing beyond that while another that holds less wants
// more.
Resources
UsableAllotment(const QuotaState& aState,
                const AllotmentKey& aKey,
                const Resources& aCertainlyHeld);

// The changes that the owner of the shards wants stored, in one append: claims of shards that it
// has taken over, amounts taken or given, and wants.
QuotaChanges
DecideAllotments(const QuotaState& aState, const std::vector<QuotaUser>& aUsers, Instant aNow);

}
