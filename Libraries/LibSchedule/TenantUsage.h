#pragma once

#include "LibSchedule/Executor.h"

#include <map>
#include <optional>
#include <set>

// What the tenants of a shard have running there, and how much of their quotas they may use there.
// The amounts are kept at each change of a run, so that no event walks over all runs.
namespace sesameseam::schedule {

struct TenantUse
{
  // Every run that may exist: also one that is not sent yet, is being stopped, or is on a silent
  // executor whose leases may not have ended.
  Resources mRunning;
  // Unset for a tenant without a quota. An amount of 0 is no limit.
  std::optional<Resources> mQuota;
  // How much of the quota this shard may have running.
  Resources mLimit;
  // The quota was lowered below what is allotted to all shards: nothing starts until it fits again.
  bool mIsFrozen = false;
  // What tasks need that the last placement pass held back for want of quota though there was room.
  Resources mLacking;
  // The need of the first of them.
  Resources mFirstLacking;
  Instant mLastLackingAt;
};

struct TenantUsage
{
  std::map<TenantName, TenantUse> mTenants;
  // The tenants for which the last placement pass held tasks back.
  std::set<TenantName> mLacking;
  // How often a run was added or removed.
  std::int64_t mRunChanges = 0;
};

// The part of an amount for which the quota sets a limit.
Resources
LimitedPart(const Resources& aAmount, const Resources& aQuota);

// Whether the tenant may have aMore running beside what it has. A single task that is larger than
// the whole quota may run alone.
bool
HasQuota(const TenantUsage& aUsage, const TenantName& aTenant, const Resources& aMore);

// Whether starts of the tenant must wait, also those that were placed before its quota was lowered.
bool
IsFrozen(const TenantUsage& aUsage, const TenantName& aTenant);

// Forgets what the last placement pass held back.
void
ClearLacking(TenantUsage& aUsage);

// Notes that aEach is needed aCount times and was held back.
void
AddLacking(TenantUsage& aUsage,
           const TenantName& aTenant,
           const Resources& aEach,
           int aCount,
           Instant aNow);

// Whether enough is noted as lacking for the tenant, so that it is needless to note more.
bool
LacksEnough(const TenantUsage& aUsage, const TenantName& aTenant);

// Adds a run to its executor and to what its tenant has running, unless it is there already.
void
AddRun(TenantUsage& aUsage, Executor& aExecutor, const TaskRun& aName, const PlacedRun& aRun);
void
RemoveRun(TenantUsage& aUsage, Executor& aExecutor, const TaskRun& aName);

}
