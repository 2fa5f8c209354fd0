#pragma once

#include "LibSchedule/QuotaAllotments.h"
#include "LibSchedule/Shard.h"

// Keeps what the tenants of an entry host's shards have running within their quotas: follows the
// log of allotments, tells the shards what they may use, and stores what it decides to change.
namespace sesameseam::schedule {

struct QuotaKeeping
{
  QuotaLog mLog;
  // The quotas of the manifest in force; tenants without one are left out.
  Quotas mQuotas;
  int mShards = 1;
  std::map<TenantName, Instant> mWantedSince;
  // The shards that know their limits, and with which epoch.
  std::map<int, std::int64_t> mInformed;
};

// Takes the quotas of a manifest into force.
void
ApplyQuotas(QuotaKeeping& aKeeping,
            const Manifest& aManifest,
            int aPartitionsInUse,
            std::map<int, Shard>& aShards,
            Actions& aActions);

// Tells the shards what they may use. To be called before they place tasks.
void
UpdateQuotaLimits(QuotaKeeping& aKeeping, std::map<int, Shard>& aShards, Instant aNow);

// Stores the changes that are due. To be called after the shards have placed tasks.
void
AdvanceQuotas(QuotaKeeping& aKeeping,
              const Now& aNow,
              const std::map<int, Shard>& aShards,
              Actions& aActions);

// What a host's shards use of a tenant's quota, for operators.
struct TenantReport
{
  // Empty for the sum over all tenants that have no report of their own.
  TenantName mTenant;
  Resources mRunning;
  Resources mAllotted;
  Resources mWanted;
  // What the last placement passes held back for want of quota.
  Resources mHeldBack;
};

// The tenants with quotas that have the most running, aMost of them, and the sum of the others.
std::vector<TenantReport>
ReportTenants(const QuotaKeeping& aKeeping, const std::map<int, Shard>& aShards, std::size_t aMost);

}
