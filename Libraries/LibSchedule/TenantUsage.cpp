#include "LibSchedule/TenantUsage.h"

namespace sesameseam::schedule {

namespace {

const TenantUse*
FindLimited(const TenantUsage& aUsage, const TenantName& aTenant)
{
  if (aTenant.mValue.empty()) {
    return nullptr;
  }
  auto found = aUsage.mTenants.find(aTenant);
  return found == aUsage.mTenants.end() || !found->second.mQuota ? nullptr : &found->second;
}

}

Resources
LimitedPart(const Resources& aAmount, const Resources& aQuota)
{
  return { aQuota.mCpuMillicores == 0 ? 0 : aAmount.mCpuMillicores,
           aQuota.mMemoryMb == 0 ? 0 : aAmount.mMemoryMb,
           aQuota.mGpus == 0 ? 0 : aAmount.mGpus };
}

bool
HasQuota(const TenantUsage& aUsage, const TenantName& aTenant, const Resources& aMore)
{
  const auto* use = FindLimited(aUsage, aTenant);
  if (use == nullptr) {
    return true;
  }
  if (use->mIsFrozen) {
    return false;
  }
  auto running = LimitedPart(use->mRunning, *use->mQuota);
  if (Covers(use->mLimit, running + LimitedPart(aMore, *use->mQuota))) {
    return true;
  }
  return running == Resources() && !Covers(*use->mQuota, LimitedPart(aMore, *use->mQuota)) &&
         Covers(use->mLimit, *use->mQuota);
}

bool
IsFrozen(const TenantUsage& aUsage, const TenantName& aTenant)
{
  const auto* use = FindLimited(aUsage, aTenant);
  return use != nullptr && use->mIsFrozen;
}

void
ClearLacking(TenantUsage& aUsage)
{
  for (const auto& tenant : aUsage.mLacking) {
    auto& use = aUsage.mTenants[tenant];
    use.mLacking = Resources();
    use.mFirstLacking = Resources();
  }
  aUsage.mLacking.clear();
}

void
AddLacking(TenantUsage& aUsage,
           const TenantName& aTenant,
           const Resources& aEach,
           int aCount,
           Instant aNow)
{
  auto& use = aUsage.mTenants[aTenant];
  if (aUsage.mLacking.insert(aTenant).second) {
    use.mFirstLacking = aEach;
  }
  use.mLacking = use.mLacking + Times(aEach, aCount);
  use.mLastLackingAt = aNow;
}

bool
LacksEnough(const TenantUsage& aUsage, const TenantName& aTenant)
{
  const auto* use = FindLimited(aUsage, aTenant);
  if (use == nullptr || !aUsage.mLacking.contains(aTenant)) {
    return false;
  }
  auto reaches = [](std::int64_t aLacking, std::int64_t aQuota) {
    return aQuota != 0 && aLacking >= aQuota;
  };
  const auto& lacking = use->mLacking;
  const auto& quota = *use->mQuota;
  return reaches(lacking.mCpuMillicores, quota.mCpuMillicores) ||
         reaches(lacking.mMemoryMb, quota.mMemoryMb) || reaches(lacking.mGpus, quota.mGpus);
}

void
AddRun(TenantUsage& aUsage, Executor& aExecutor, const TaskRun& aName, const PlacedRun& aRun)
{
  ++aUsage.mRunChanges;
  if (aExecutor.mRuns.emplace(aName, aRun).second && !aRun.mTenant.mValue.empty()) {
    auto& running = aUsage.mTenants[aRun.mTenant].mRunning;
    running = running + aRun.mCounted;
  }
}

void
RemoveRun(TenantUsage& aUsage, Executor& aExecutor, const TaskRun& aName)
{
  auto found = aExecutor.mRuns.find(aName);
  if (found == aExecutor.mRuns.end()) {
    return;
  }
  if (!found->second.mTenant.mValue.empty()) {
    auto& running = aUsage.mTenants[found->second.mTenant].mRunning;
    running = running - found->second.mCounted;
  }
  aExecutor.mRuns.erase(found);
  ++aUsage.mRunChanges;
}

}
