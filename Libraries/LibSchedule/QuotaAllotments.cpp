#include "LibSchedule/QuotaAllotments.h"

#include <algorithm>
#include <tuple>

namespace sesameseam::schedule {

namespace {

// A shard that is taken over gets this share of an even share at once, so that a calm day needs no
// more appends. The rest is taken as it is needed.
constexpr int kInitialDivisor = 2;
// Beyond what it lacks a shard takes this part of the quota, so that it needs to ask less often.
constexpr int kHeadroomDivisor = 8;
// A shard wants no more than this part of a quota at once, unless one task or gang needs more.
constexpr int kMaxWantDivisor = 4;
// A want is withdrawn when nothing has lacked for so long.
constexpr Duration kWantTime = 500ms;
// Holders answer a want one after the other, so that their appends don't collide: those that hold
// the most first.
constexpr Duration kGiveInterval = 30ms;
constexpr int kMaxGiveRank = 8;

Resources
Most(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.mCpuMillicores, aRight.mCpuMillicores),
           std::max(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::max(aLeft.mGpus, aRight.mGpus) };
}

Resources
Least(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.mCpuMillicores, aRight.mCpuMillicores),
           std::min(aLeft.mMemoryMb, aRight.mMemoryMb),
           std::min(aLeft.mGpus, aRight.mGpus) };
}

// How much the first exceeds the second.
Resources
Excess(const Resources& aLeft, const Resources& aRight)
{
  return Most(aLeft - aRight, Resources());
}

Resources
Part(const Resources& aAmount, int aDivisor)
{
  return { aAmount.mCpuMillicores / aDivisor,
           aAmount.mMemoryMb / aDivisor,
           aAmount.mGpus / aDivisor };
}

// An even share, rounded up: a quota of one GPU has to be of use to some shard.
Resources
EvenShare(const Resources& aQuota, int aShards)
{
  auto more = aShards - 1;
  return Part(aQuota + LimitedPart({ more, more, more }, aQuota), std::max(1, aShards));
}

// The book with the changes decided so far.
struct Draft
{
  const QuotaState& mState;
  QuotaChanges mChanges;
  std::map<TenantName, Resources> mHeld;

  [[nodiscard]] Allotment Find(const AllotmentKey& aKey) const
  {
    auto found = mChanges.mAllotments.find(aKey);
    return found == mChanges.mAllotments.end() ? FindAllotment(*mState.mBook, aKey) : found->second;
  }

  [[nodiscard]] Resources HeldByAll(const TenantName& aTenant) const
  {
    auto changed = mHeld.find(aTenant);
    if (changed != mHeld.end()) {
      return changed->second;
    }
    auto found = mState.mBook->mTenants.find(aTenant);
    return found == mState.mBook->mTenants.end() ? Resources() : found->second.mHeld;
  }

  void Set(const AllotmentKey& aKey, const Allotment& aAllotment)
  {
    auto before = Find(aKey);
    if (before == aAllotment) {
      return;
    }
    mHeld[aKey.mTenant] = HeldByAll(aKey.mTenant) - before.mHeld + aAllotment.mHeld;
    mChanges.mAllotments[aKey] = aAllotment;
  }
};

const TenantUse&
UseOf(const QuotaUser& aUser, const TenantName& aTenant)
{
  static const TenantUse kNone;
  auto found = aUser.mUsage->mTenants.find(aTenant);
  return found == aUser.mUsage->mTenants.end() ? kNone : found->second;
}

bool
IsWithin(const Resources& aHeld, const Resources& aQuota)
{
  return Covers(aQuota, LimitedPart(aHeld, aQuota));
}

// A new owner uses what its shard holds from here on; the former one can change nothing any more.
void
Claim(Draft& aDraft, const QuotaUser& aUser)
{
  aDraft.mChanges.mClaims[aUser.mShard] = aUser.mEpoch;
  for (const auto& [tenant, quota] : *aDraft.mState.mQuotas) {
    AllotmentKey key{ aUser.mShard, tenant };
    auto allotment = aDraft.Find(key);
    auto running = LimitedPart(UseOf(aUser, tenant).mRunning, quota);
    allotment.mHeld = Most(allotment.mHeld, running);
    auto free = Excess(quota,
                       LimitedPart(aDraft.HeldByAll(tenant), quota) - aDraft.Find(key).mHeld +
                         allotment.mHeld);
    auto initial = Part(EvenShare(quota, aDraft.mState.mShards), kInitialDivisor);
    allotment.mHeld = allotment.mHeld + Least(Excess(initial, allotment.mHeld), free);
    allotment.mWanted = Resources();
    allotment.mWantedSince = 0;
    aDraft.Set(key, allotment);
  }
}

// The shards that want more of the tenant's quota, those first that have waited the longest.
std::vector<int>
WantingShards(const Draft& aDraft, const TenantName& aTenant)
{
  std::vector<std::pair<std::int64_t, int>> wanting;
  auto found = aDraft.mState.mBook->mTenants.find(aTenant);
  if (found == aDraft.mState.mBook->mTenants.end()) {
    return {};
  }
  for (const auto& [shard, stored] : found->second.mShards) {
    auto allotment = aDraft.Find({ shard, aTenant });
    if (allotment.mWanted != Resources()) {
      wanting.emplace_back(allotment.mWantedSince, shard);
    }
  }
  std::sort(wanting.begin(), wanting.end());
  std::vector<int> shards;
  shards.reserve(wanting.size());
  for (const auto& [since, shard] : wanting) {
    shards.push_back(shard);
  }
  return shards;
}

// How many shards hold more than this one.
int
GiveRank(const Draft& aDraft, const AllotmentKey& aKey)
{
  auto found = aDraft.mState.mBook->mTenants.find(aKey.mTenant);
  if (found == aDraft.mState.mBook->mTenants.end()) {
    return 0;
  }
  auto order = [](int aShard, const Allotment& aAllotment) {
    const auto& held = aAllotment.mHeld;
    return std::tuple(-held.mCpuMillicores, -held.mMemoryMb, -held.mGpus, aShard);
  };
  const auto& shards = found->second.mShards;
  auto own = order(aKey.mShard, FindAllotment(*aDraft.mState.mBook, aKey));
  auto rank = std::count_if(shards.begin(), shards.end(), [&](const auto& aEntry) {
    return order(aEntry.first, aEntry.second) < own;
  });
  return std::min(static_cast<int>(rank), kMaxGiveRank);
}

bool
IsTurnToGive(const Draft& aDraft, const AllotmentKey& aKey, Instant aNow)
{
  auto since = aDraft.mState.mWantedSince->find(aKey.mTenant);
  return since != aDraft.mState.mWantedSince->end() &&
         aNow - since->second >= kGiveInterval * GiveRank(aDraft, aKey);
}

// What runs, and what the next placement pass will start with what was granted since the last one.
Resources
AmountToKeep(const TenantUse& aUse, const Resources& aQuota)
{
  auto running = LimitedPart(aUse.mRunning, aQuota);
  auto next = running + LimitedPart(aUse.mFirstLacking, aQuota);
  return Covers(aUse.mLimit, next) ? next : running;
}

// Gives what the shard does not use to those that wait for it. One that waits itself gives only to
// those that have waited longer, so that two gangs don't each keep half of what one needs.
void
Give(Draft& aDraft, const AllotmentKey& aKey, const Resources& aKept, Instant aNow)
{
  if (!IsTurnToGive(aDraft, aKey, aNow)) {
    return;
  }
  for (auto shard : WantingShards(aDraft, aKey.mTenant)) {
    if (shard == aKey.mShard) {
      return;
    }
    AllotmentKey to{ shard, aKey.mTenant };
    auto own = aDraft.Find(aKey);
    auto other = aDraft.Find(to);
    auto given = Least(Excess(own.mHeld, aKept), other.mWanted);
    if (given == Resources()) {
      continue;
    }
    own.mHeld = own.mHeld - given;
    other.mHeld = other.mHeld + given;
    other.mWanted = other.mWanted - given;
    other.mWantedSince = other.mWanted == Resources() ? 0 : other.mWantedSince;
    aDraft.Set(aKey, own);
    aDraft.Set(to, other);
  }
}

// Takes what the shard lacks of what nobody holds, or records that it wants that.
void
TakeOrWant(Draft& aDraft,
           const AllotmentKey& aKey,
           const TenantUse& aUse,
           const Resources& aQuota,
           Instant aNow)
{
  auto allotment = aDraft.Find(aKey);
  auto running = LimitedPart(aUse.mRunning, aQuota);
  // A single task that is larger than the quota needs all of it.
  auto first = Least(running + LimitedPart(aUse.mFirstLacking, aQuota), aQuota);
  auto needed = Excess(first, allotment.mHeld);
  if (needed == Resources()) {
    auto isOver = aUse.mLacking == Resources() && aNow - aUse.mLastLackingAt >= kWantTime;
    if (allotment.mWanted != Resources() && (isOver || aUse.mLacking != Resources())) {
      allotment.mWanted = Resources();
      allotment.mWantedSince = 0;
      aDraft.Set(aKey, allotment);
    }
    return;
  }
  auto lacking =
    Most(needed, Excess(running + LimitedPart(aUse.mLacking, aQuota), allotment.mHeld));
  auto free = Excess(aQuota, LimitedPart(aDraft.HeldByAll(aKey.mTenant), aQuota));
  if (Covers(free, needed)) {
    auto taken = Least(lacking + Part(aQuota, kHeadroomDivisor), free);
    allotment.mHeld = allotment.mHeld + taken;
    allotment.mWanted = Resources();
    allotment.mWantedSince = 0;
  } else if (!Covers(allotment.mWanted, Excess(needed, free))) {
    allotment.mWantedSince =
      allotment.mWanted == Resources() ? aDraft.mState.mEnd : allotment.mWantedSince;
    allotment.mWanted = Most(needed, Least(lacking, Part(aQuota, kMaxWantDivisor)));
  }
  aDraft.Set(aKey, allotment);
}

void
Adjust(Draft& aDraft, const QuotaUser& aUser, const TenantName& aTenant, Instant aNow)
{
  auto found = aDraft.mState.mQuotas->find(aTenant);
  if (found == aDraft.mState.mQuotas->end()) {
    return;
  }
  const auto& quota = found->second;
  AllotmentKey key{ aUser.mShard, aTenant };
  const auto& use = UseOf(aUser, aTenant);
  // A single task that is larger than the quota holds all of it, no more.
  auto running = Least(LimitedPart(use.mRunning, quota), quota);
  auto allotment = aDraft.Find(key);
  // A tenant may have become limited while its tasks ran.
  allotment.mHeld = Most(LimitedPart(allotment.mHeld, quota), running);
  if (!IsWithin(aDraft.HeldByAll(aTenant), quota)) {
    allotment = { running, {}, 0 };
    aDraft.Set(key, allotment);
    return;
  }
  aDraft.Set(key, allotment);
  Give(aDraft, key, AmountToKeep(use, quota), aNow);
  TakeOrWant(aDraft, key, use, quota, aNow);
}

// The tenants of which something may have to change.
std::set<TenantName>
TenantsToAdjust(const Draft& aDraft, const QuotaUser& aUser)
{
  auto tenants = aDraft.mState.mBook->mWanted;
  tenants.insert(aUser.mUsage->mLacking.begin(), aUser.mUsage->mLacking.end());
  for (const auto& [tenant, use] : aUser.mUsage->mTenants) {
    if (use.mIsFrozen) {
      tenants.insert(tenant);
    }
  }
  return tenants;
}

}

bool
IsOverallotted(const QuotaBook& aBook, const TenantName& aTenant, const Resources& aQuota)
{
  auto found = aBook.mTenants.find(aTenant);
  return found != aBook.mTenants.end() && !IsWithin(found->second.mHeld, aQuota);
}

Resources
UsableAllotment(const QuotaState& aState, const AllotmentKey& aKey, const Resources& aCertainlyHeld)
{
  auto tenant = aState.mBook->mTenants.find(aKey.mTenant);
  if (tenant == aState.mBook->mTenants.end() || !aState.mBook->mWanted.contains(aKey.mTenant)) {
    return aCertainlyHeld;
  }
  auto share = EvenShare(aState.mQuotas->at(aKey.mTenant), aState.mShards);
  const auto& shards = tenant->second.mShards;
  auto isOwed = std::any_of(shards.begin(), shards.end(), [&](const auto& aEntry) {
    const auto& [shard, allotment] = aEntry;
    return shard != aKey.mShard &&
           Least(allotment.mWanted, Excess(share, allotment.mHeld)) != Resources();
  });
  return isOwed ? Least(aCertainlyHeld, share) : aCertainlyHeld;
}

QuotaChanges
DecideAllotments(const QuotaState& aState, const std::vector<QuotaUser>& aUsers, Instant aNow)
{
  Draft draft{ aState, {}, {} };
  for (const auto& user : aUsers) {
    auto claim = aState.mBook->mClaims.find(user.mShard);
    auto epoch = claim == aState.mBook->mClaims.end() ? 0 : claim->second;
    if (epoch > user.mEpoch) {
      // Another owner has taken the shard over.
      continue;
    }
    if (epoch < user.mEpoch) {
      Claim(draft, user);
      continue;
    }
    for (const auto& tenant : TenantsToAdjust(draft, user)) {
      Adjust(draft, user, tenant, aNow);
    }
  }
  return std::move(draft.mChanges);
}

}
