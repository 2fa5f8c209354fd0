#pragma once

#include "LibSchedule/Calls.h"

#include <map>
#include <optional>
#include <set>

// The log of what each shard holds of the tenants' quotas. Owners change it only by appends on
// condition that they know every record before, so that all shards together never hold more than a
// quota allows. Docs: docs/design/quotas.md.
namespace sesameseam::schedule {

// What a shard holds of a tenant's quota.
struct Allotment
{
  Resources mHeld;
  // What it lacks beyond that; others give what they don't use.
  Resources mWanted;
  // The end of the log when it began to want more: the oldest want is met first.
  std::int64_t mWantedSince = 0;

  bool operator==(const Allotment&) const = default;
};

struct TenantAllotments
{
  std::map<int, Allotment> mShards;
  // The sum over all shards.
  Resources mHeld;
};

struct AllotmentKey
{
  int mShard = 0;
  TenantName mTenant;

  auto operator<=>(const AllotmentKey&) const = default;
};

struct QuotaBook
{
  std::map<TenantName, TenantAllotments> mTenants;
  // The epoch of the owner that uses a shard's allotments.
  std::map<int, std::int64_t> mClaims;
  // Tenants of which a shard wants more.
  std::set<TenantName> mWanted;
};

// Returns a shard's allotment; empty if it has none.
Allotment
FindAllotment(const QuotaBook& aBook, const AllotmentKey& aKey);
void
SetAllotment(QuotaBook& aBook, const AllotmentKey& aKey, const Allotment& aAllotment);

struct QuotaLog
{
  QuotaBook mBook;
  // Filled page by page, and then put in the place of mBook.
  QuotaBook mLoading;
  bool mLoaded = false;
  bool mReadPending = false;
  bool mCatchUpPending = false;
  // An append was refused or not answered: what is stored must be read at once.
  bool mNeedsCatchUp = false;
  Instant mNextReadAt;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
  std::int64_t mPosition = 0;

  bool mAppendPending = false;
  Instant mNextAppendAt;
  // Appends on condition that the log ends there were sent, and one may still be stored. Until
  // mPosition is beyond it, a shard uses no more than the least that one of them would leave it.
  std::int64_t mUnsettledEnd = -1;
  std::map<AllotmentKey, Resources> mFloors;
  // Tenants whose allotments have changed.
  std::set<TenantName> mChanged;
  std::int64_t mAppends = 0;
  std::int64_t mRefused = 0;
};

// Changes that are stored together or not at all.
struct QuotaChanges
{
  std::map<int, std::int64_t> mClaims;
  std::map<AllotmentKey, Allotment> mAllotments;
};

void
OnQuotaRead(QuotaLog& aLog, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
void
OnQuotaNewest(QuotaLog& aLog, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions);
void
OnQuotaAppend(QuotaLog& aLog, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions);

// Sends the reads that are due.
void
AdvanceQuotaLog(QuotaLog& aLog, const Now& aNow, Actions& aActions);

bool
MayAppend(const QuotaLog& aLog, Instant aNow);
void
AppendChanges(QuotaLog& aLog, const Now& aNow, const QuotaChanges& aChanges, Actions& aActions);

// What the shard holds for certain, whichever of its appends are stored.
Resources
CertainlyHeld(const QuotaLog& aLog, const AllotmentKey& aKey);

// Applies a record; returns an error if it can't be decoded.
absl::Status
ApplyQuotaRecord(QuotaBook& aBook, std::string_view aKey, std::string_view aValue);

}
