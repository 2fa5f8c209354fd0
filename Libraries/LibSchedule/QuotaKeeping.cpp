#include "LibSchedule/QuotaKeeping.h"

#include <algorithm>
#include <utility>

namespace sesameseam::schedule {

namespace {

// The check walks over all tenants, so that it is not made on every event.
constexpr Duration kCheckInterval = 10ms;

QuotaState
StateOf(const QuotaKeeping& aKeeping)
{
  return { &aKeeping.mLog.mBook,
           &aKeeping.mQuotas,
           aKeeping.mShards,
           aKeeping.mLog.mPosition,
           &aKeeping.mWantedSince };
}

void
SetLimit(const QuotaKeeping& aKeeping, Shard& aShard, const TenantName& aTenant)
{
  auto& tenants = aShard.mUsage.mTenants;
  auto quota = aKeeping.mQuotas.find(aTenant);
  if (quota == aKeeping.mQuotas.end()) {
    auto found = tenants.find(aTenant);
    if (found != tenants.end()) {
      found->second.mQuota.reset();
      found->second.mIsFrozen = false;
    }
    return;
  }
  auto& use = tenants[aTenant];
  auto limitBefore = use.mLimit;
  auto wasFrozen = use.mIsFrozen;
  use.mQuota = quota->second;
  use.mLimit = Resources();
  use.mIsFrozen = false;
  const auto& book = aKeeping.mLog.mBook;
  auto claim = book.mClaims.find(aShard.mPartition);
  if (claim == book.mClaims.end() || claim->second != aShard.mEpoch) {
    return;
  }
  AllotmentKey key{ aShard.mPartition, aTenant };
  auto held = CertainlyHeld(aKeeping.mLog, key);
  // Where nothing runs, a gang that is wider than an even share may take its turn.
  auto isIdle = LimitedPart(use.mRunning, quota->second) == Resources();
  use.mLimit = isIdle ? held : UsableAllotment(StateOf(aKeeping), key, held);
  use.mIsFrozen = IsOverallotted(book, aTenant, quota->second);
  aShard.mNeedsPlacementPass |= use.mLimit != limitBefore || use.mIsFrozen != wasFrozen;
}

std::string
TextOf(const Resources& aAmount)
{
  return std::to_string(aAmount.mCpuMillicores) + " millicores, " +
         std::to_string(aAmount.mMemoryMb) + " MB, " + std::to_string(aAmount.mGpus) + " GPUs";
}

std::string_view
EventOf(const Allotment& aBefore, const Allotment& aAfter)
{
  if (aAfter.mHeld == aBefore.mHeld) {
    return "quota-wanted";
  }
  return Covers(aAfter.mHeld, aBefore.mHeld) ? "quota-granted" : "quota-returned";
}

// One line for each tenant and shard would be too much where a shard is claimed for all tenants.
void
LogChanges(const QuotaKeeping& aKeeping, const QuotaChanges& aChanges, Actions& aActions)
{
  for (const auto& [shard, epoch] : aChanges.mClaims) {
    LogEntry entry{ LogLevel::Info, "quota-claimed", {}, std::to_string(shard) };
    entry.mVersion = epoch;
    aActions.emplace_back(std::move(entry));
  }
  for (const auto& [key, allotment] : aChanges.mAllotments) {
    auto before = FindAllotment(aKeeping.mLog.mBook, key);
    if (aChanges.mClaims.contains(key.mShard)) {
      continue;
    }
    LogEntry entry{ LogLevel::Info, EventOf(before, allotment), {}, std::to_string(key.mShard) };
    entry.mTenant = key.mTenant.mValue;
    entry.mOutcome = "holds " + TextOf(allotment.mHeld);
    if (allotment.mWanted != Resources()) {
      entry.mReason = "lacks " + TextOf(allotment.mWanted);
    }
    aActions.emplace_back(std::move(entry));
  }
}

void
Add(TenantReport& aSum, const TenantReport& aPart)
{
  aSum.mRunning = aSum.mRunning + aPart.mRunning;
  aSum.mAllotted = aSum.mAllotted + aPart.mAllotted;
  aSum.mWanted = aSum.mWanted + aPart.mWanted;
  aSum.mHeldBack = aSum.mHeldBack + aPart.mHeldBack;
}

void
NoteWants(QuotaKeeping& aKeeping, Instant aNow)
{
  std::erase_if(aKeeping.mWantedSince, [&](const auto& aEntry) {
    return !aKeeping.mLog.mBook.mWanted.contains(aEntry.first);
  });
  for (const auto& tenant : aKeeping.mLog.mBook.mWanted) {
    aKeeping.mWantedSince.try_emplace(tenant, aNow);
  }
}

}

void
ApplyQuotas(QuotaKeeping& aKeeping,
            const Manifest& aManifest,
            int aPartitionsInUse,
            std::map<int, Shard>& aShards,
            Actions& aActions)
{
  Quotas quotas;
  for (const auto& tenant : aManifest.mTenants) {
    if (tenant.mQuota != Resources()) {
      quotas[tenant.mName] = tenant.mQuota;
    }
  }
  auto shards = std::max(1, aPartitionsInUse);
  for (const auto& [tenant, quota] : quotas) {
    auto before = aKeeping.mQuotas.find(tenant);
    if (before != aKeeping.mQuotas.end() && !Covers(quota, before->second)) {
      LogEntry entry{ LogLevel::Info, "quota-lowered" };
      entry.mTenant = tenant.mValue;
      entry.mOutcome = TextOf(quota);
      entry.mVersion = aManifest.mVersion;
      aActions.emplace_back(std::move(entry));
    }
  }
  if (quotas == aKeeping.mQuotas && shards == aKeeping.mShards) {
    return;
  }
  auto former = std::exchange(aKeeping.mQuotas, std::move(quotas));
  aKeeping.mShards = shards;
  aKeeping.mInformed.clear();
  for (auto& [partition, shard] : aShards) {
    for (const auto& [tenant, quota] : former) {
      SetLimit(aKeeping, shard, tenant);
    }
  }
}

void
UpdateQuotaLimits(QuotaKeeping& aKeeping, std::map<int, Shard>& aShards, Instant aNow)
{
  if (aKeeping.mQuotas.empty()) {
    return;
  }
  NoteWants(aKeeping, aNow);
  auto changed = std::exchange(aKeeping.mLog.mChanged, {});
  changed.insert(aKeeping.mLog.mBook.mWanted.begin(), aKeeping.mLog.mBook.mWanted.end());
  for (auto& [partition, shard] : aShards) {
    auto& informed = aKeeping.mInformed[partition];
    if (informed != shard.mEpoch || shard.mEpoch == 0) {
      for (const auto& [tenant, quota] : aKeeping.mQuotas) {
        SetLimit(aKeeping, shard, tenant);
      }
      informed = shard.mEpoch;
      continue;
    }
    for (const auto& tenant : changed) {
      SetLimit(aKeeping, shard, tenant);
    }
  }
}

void
AdvanceQuotas(QuotaKeeping& aKeeping,
              const Now& aNow,
              const std::map<int, Shard>& aShards,
              Actions& aActions)
{
  if (aKeeping.mQuotas.empty() || aShards.empty()) {
    return;
  }
  AdvanceQuotaLog(aKeeping.mLog, aNow, aActions);
  if (!MayAppend(aKeeping.mLog, aNow.mAt)) {
    return;
  }
  std::vector<QuotaUser> users;
  for (const auto& [partition, shard] : aShards) {
    if (detail::MayActAsOwner(shard, aNow.mAt)) {
      users.push_back({ partition, shard.mEpoch, &shard.mUsage });
    }
  }
  auto changes = DecideAllotments(StateOf(aKeeping), users, aNow.mAt);
  if (changes.mClaims.empty() && changes.mAllotments.empty()) {
    aKeeping.mLog.mNextAppendAt = aNow.mAt + kCheckInterval;
    return;
  }
  LogChanges(aKeeping, changes, aActions);
  AppendChanges(aKeeping.mLog, aNow, changes, aActions);
}

std::vector<TenantReport>
ReportTenants(const QuotaKeeping& aKeeping, const std::map<int, Shard>& aShards, std::size_t aMost)
{
  std::vector<TenantReport> reports;
  reports.reserve(aKeeping.mQuotas.size());
  for (const auto& [tenant, quota] : aKeeping.mQuotas) {
    TenantReport report{ tenant, {}, {}, {}, {} };
    for (const auto& [partition, shard] : aShards) {
      auto use = shard.mUsage.mTenants.find(tenant);
      if (use == shard.mUsage.mTenants.end()) {
        continue;
      }
      auto allotment = FindAllotment(aKeeping.mLog.mBook, { partition, tenant });
      Add(report,
          { {}, use->second.mRunning, allotment.mHeld, allotment.mWanted, use->second.mLacking });
    }
    reports.push_back(std::move(report));
  }
  std::stable_sort(reports.begin(), reports.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mRunning.mCpuMillicores > aRight.mRunning.mCpuMillicores;
  });
  if (reports.size() > aMost) {
    TenantReport others;
    for (std::size_t i = aMost; i < reports.size(); ++i) {
      Add(others, reports[i]);
    }
    reports.resize(aMost);
    reports.push_back(std::move(others));
  }
  return reports;
}

}
