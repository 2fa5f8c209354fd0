#include "Actions.h"
#include "LibSchedule/Node.h"
#include "LibStandIn/FakeStore.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

const TenantName kTenant("weavers");
constexpr Duration kStep = 10ms;
constexpr int kNobody = -1;

Resources
Cores(int aCores)
{
  return { std::int64_t(aCores) * 1000, std::int64_t(aCores) * 100, 0 };
}

// A host that owns, or believes that it owns, some shards.
struct Host
{
  QuotaKeeping mKeeping;
  std::map<int, Shard> mShards;
  Resources mQuota;
  std::vector<Event> mAnswers;
  bool mIsPaused = false;
  bool mAreReadsLost = false;
};

// Hosts that share one tenant's quota over a fake store. What runs is kept here, beside what the
// hosts believe.
struct World
{
  FakeStore mStore;
  std::vector<Host> mHosts;
  std::map<int, Resources> mRunning;
  std::map<int, int> mOwners;
  std::vector<AppendCall> mLate;
  std::vector<Resources> mInForce;
  Now mNow{ Instant(100s), TimePoint(1000s) };
  std::int64_t mNextEpoch = 1;
  std::int64_t mAppends = 0;
  int mLoss = 0;
  int mLateness = 0;
  bool mIsStoreDown = false;
  std::mt19937_64 mRandom;

  World(int aHosts, int aShards, Resources aQuota, std::uint64_t aSeed = 1)
    : mHosts(static_cast<std::size_t>(aHosts))
    , mRandom(aSeed)
  {
    for (int shard = 0; shard < aShards; ++shard) {
      mOwners[shard] = kNobody;
    }
    for (int host = 0; host < aHosts; ++host) {
      Publish(host, aQuota);
    }
    for (int shard = 0; shard < aShards; ++shard) {
      HandOver(shard, shard % aHosts);
    }
  }

  int Pick(int aBelow) { return static_cast<int>(mRandom() % static_cast<unsigned>(aBelow)); }
  Host& At(int aHost) { return mHosts[static_cast<std::size_t>(aHost)]; }
  Shard& ShardOf(int aShard) { return At(mOwners.at(aShard)).mShards.at(aShard); }
  TenantUse& UseOf(int aShard) { return ShardOf(aShard).mUsage.mTenants[kTenant]; }

  void Publish(int aHost, Resources aQuota)
  {
    Manifest manifest;
    Tenant tenant;
    tenant.mName = kTenant;
    tenant.mQuota = aQuota;
    manifest.mTenants.push_back(tenant);
    At(aHost).mQuota = aQuota;
    mInForce.push_back(aQuota);
    Actions actions;
    auto shards = static_cast<int>(mOwners.size());
    ApplyQuotas(At(aHost).mKeeping, manifest, shards, At(aHost).mShards, actions);
  }

  // The former owner keeps its state, as one that is paused does.
  void HandOver(int aShard, int aHost)
  {
    auto shard = MakeShard(aShard, {}, mNow.mAt);
    shard.mPhase = ShardPhase::Active;
    shard.mEpoch = mNextEpoch++;
    shard.mUsage.mTenants[kTenant].mRunning = mRunning[aShard];
    At(aHost).mShards.insert_or_assign(aShard, std::move(shard));
    mOwners[aShard] = aHost;
    // A node does so before any shard places tasks.
    UpdateQuotaLimits(At(aHost).mKeeping, At(aHost).mShards, mNow.mAt);
  }

  Resources Sum() const
  {
    Resources sum;
    for (const auto& [shard, running] : mRunning) {
      sum = sum + running;
    }
    return sum;
  }

  // Whether a start is within the largest quota that may be in force.
  [[nodiscard]] bool IsWithinBound() const
  {
    return std::any_of(mInForce.begin(), mInForce.end(), [&](const auto& aQuota) {
      return Covers(aQuota, LimitedPart(Sum(), aQuota));
    });
  }

  // A start is fenced, as by the progress stream: only the present owner's takes place.
  bool Start(int aShard, Resources aNeeds)
  {
    auto& host = At(mOwners.at(aShard));
    auto& shard = ShardOf(aShard);
    if (host.mIsPaused) {
      return false;
    }
    ClearLacking(shard.mUsage);
    if (!HasQuota(shard.mUsage, kTenant, aNeeds)) {
      AddLacking(shard.mUsage, kTenant, aNeeds, 1, mNow.mAt);
      return false;
    }
    auto& running = shard.mUsage.mTenants[kTenant].mRunning;
    running = running + aNeeds;
    mRunning[aShard] = mRunning[aShard] + aNeeds;
    return true;
  }

  void End(int aShard, Resources aNeeds)
  {
    mRunning[aShard] = mRunning[aShard] - aNeeds;
    UseOf(aShard).mRunning = mRunning[aShard];
    ClearLacking(ShardOf(aShard).mUsage);
  }

  // Performs the calls of a host. Answers arrive with the next step.
  void Perform(Host& aHost, const Actions& aActions)
  {
    for (const auto& call : Select<AppendCall>(aActions)) {
      ++mAppends;
      AppendAnswer lost;
      lost.mCall = call;
      auto isLost = mIsStoreDown || Pick(100) < mLoss;
      if (isLost && !mIsStoreDown && Pick(100) < mLateness) {
        mLate.push_back(call);
      }
      auto isStored = !isLost || (!mIsStoreDown && Pick(2) == 0);
      auto answer = isStored ? Append(mStore, call) : lost;
      aHost.mAnswers.emplace_back(isLost ? lost : answer);
    }
    for (const auto& call : Select<ReadCall>(aActions)) {
      ReadAnswer lost;
      lost.mCall = call;
      auto isLost = mIsStoreDown || aHost.mAreReadsLost || Pick(100) < mLoss;
      aHost.mAnswers.emplace_back(isLost ? lost : Read(mStore, call));
    }
    for (const auto& call : Select<ReadNewestCall>(aActions)) {
      ReadNewestAnswer lost;
      lost.mCall = call;
      aHost.mAnswers.emplace_back(mIsStoreDown || Pick(100) < mLoss ? lost : Newest(mStore, call));
    }
  }

  void Advance(Host& aHost)
  {
    Actions actions;
    auto& log = aHost.mKeeping.mLog;
    for (const auto& event : std::exchange(aHost.mAnswers, {})) {
      if (const auto* append = std::get_if<AppendAnswer>(&event)) {
        OnQuotaAppend(log, mNow, *append, actions);
      } else if (const auto* read = std::get_if<ReadAnswer>(&event)) {
        OnQuotaRead(log, mNow, *read, actions);
      } else if (const auto* newest = std::get_if<ReadNewestAnswer>(&event)) {
        OnQuotaNewest(log, mNow, *newest, actions);
      }
    }
    UpdateQuotaLimits(aHost.mKeeping, aHost.mShards, mNow.mAt);
    for (auto& [partition, shard] : aHost.mShards) {
      ConfirmOwnership(shard, mNow.mAt);
    }
    AdvanceQuotas(aHost.mKeeping, mNow, aHost.mShards, actions);
    Perform(aHost, actions);
  }

  // An older quota is in force until every host knows the new one and all that was stored before.
  void SettleQuotas()
  {
    auto end = Newest(mStore, { Stream::Quotas, 0 }).mEnd;
    const auto& newest = mHosts.front().mQuota;
    auto isKnown = std::all_of(mHosts.begin(), mHosts.end(), [&](const Host& aHost) {
      return aHost.mQuota == newest && aHost.mKeeping.mLog.mLoaded &&
             aHost.mKeeping.mLog.mPosition == end;
    });
    // A late append whose condition no longer holds does nothing.
    auto canBeStored = std::any_of(mLate.begin(), mLate.end(), [&](const AppendCall& aCall) {
      return aCall.mExpectedEnd == end;
    });
    if (isKnown && !canBeStored) {
      mInForce = { newest };
    }
  }

  void RunFor(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      mNow = { mNow.mAt + kStep, mNow.mWall + kStep };
      for (auto& host : mHosts) {
        if (!host.mIsPaused) {
          Advance(host);
        }
      }
      SettleQuotas();
    }
  }

  // The time until a start is allowed, or no value after a second.
  std::optional<Duration> TimeToStart(int aShard, Resources aNeeds)
  {
    for (Duration passed{ 0 }; passed < 1s; passed += kStep) {
      if (Start(aShard, aNeeds)) {
        return passed;
      }
      RunFor(kStep);
    }
    return std::nullopt;
  }
};

bool
IsEmpty(const Resources& aAmount)
{
  return aAmount == Resources();
}

// Returns what is wrong; empty if nothing is.
std::string
PlayQuotas(std::uint64_t aSeed)
{
  World world(4, 5, Cores(24), aSeed);
  world.mLoss = 20;
  world.mLateness = 50;
  auto hasChanges = aSeed % 2 == 0;
  for (int round = 0; round < 400; ++round) {
    auto shard = world.Pick(5);
    auto host = world.Pick(4);
    switch (world.Pick(24)) {
      case 0:
        // The newest manifest is that of the first host; the others learn it later.
        if (hasChanges && world.Pick(4) == 0) {
          world.Publish(0, Cores(4 + world.Pick(30)));
        }
        break;
      case 1:
      case 2:
        for (int other = 1; other < 4 && !world.At(other).mIsPaused; ++other) {
          world.Publish(other, world.At(0).mQuota);
        }
        break;
      case 3:
        world.At(host).mIsPaused = !world.At(host).mIsPaused && world.Pick(2) == 0;
        break;
      case 4:
        world.HandOver(shard, host);
        break;
      case 5:
        world.mIsStoreDown = world.Pick(4) == 0;
        break;
      case 6:
        TrimHistory(world.mStore);
        break;
      case 7:
      case 8:
        for (const auto& call : std::exchange(world.mLate, {})) {
          Append(world.mStore, call);
        }
        break;
      case 9:
      case 10:
      case 11:
        if (!IsEmpty(world.mRunning[shard])) {
          world.End(shard, Cores(1));
        }
        break;
      default:
        if (world.Start(shard, Cores(1 + world.Pick(4))) && !world.IsWithinBound()) {
          return "a start in round " + std::to_string(round) + " went above the quota";
        }
    }
    world.RunFor(kStep * world.Pick(4));
  }
  world.mLoss = 0;
  world.mIsStoreDown = false;
  world.mLate.clear();
  for (int host = 0; host < 4; ++host) {
    world.At(host).mIsPaused = false;
    world.Publish(host, Cores(24));
  }
  for (int shard = 0; shard < 5; ++shard) {
    world.End(shard, world.mRunning[shard]);
    ConfirmOwnership(world.ShardOf(shard), world.mNow.mAt);
  }
  world.RunFor(1s);
  // Nothing runs and nobody else wants it, so that the whole quota is to be had, wherever it is
  // held.
  auto shard = world.Pick(5);
  for (int i = 0; i < 6; ++i) {
    if (!world.TimeToStart(shard, Cores(4))) {
      return "a start under the quota waited for a second";
    }
  }
  world.RunFor(1s);
  return world.Start(shard, Cores(1)) ? "a start beyond the whole quota was allowed" : "";
}

}

BOOST_AUTO_TEST_SUITE(Quotas)

BOOST_AUTO_TEST_CASE(no_fault_brings_a_tenant_above_its_quota_or_keeps_it_from_it)
{
  rc::check("quota", [] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    auto wrong = PlayQuotas(seed);
    if (!wrong.empty()) {
      RC_FAIL(wrong);
    }
  });
  BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(a_shard_that_is_hot_takes_what_is_idle_elsewhere_within_a_second)
{
  World world(3, 3, Cores(24));
  world.RunFor(200ms);
  for (int shard = 0; shard < 2; ++shard) {
    // Each in its turn holds nearly all.
    for (int i = 0; i < 24; ++i) {
      BOOST_REQUIRE(world.TimeToStart(shard, Cores(1)).has_value());
    }
    BOOST_TEST(!world.Start(shard, Cores(1)));
    world.End(shard, Cores(24));
  }
}

BOOST_AUTO_TEST_CASE(a_grant_between_owners_takes_two_appends)
{
  World world(2, 2, Cores(16));
  world.RunFor(200ms);
  while (world.Start(0, Cores(1))) {
    world.RunFor(100ms);
  }
  for (int i = 0; i < 16; ++i) {
    static_cast<void>(world.TimeToStart(0, Cores(1)));
  }
  BOOST_TEST((world.Sum() == Cores(16)));
  world.RunFor(1s);
  world.End(0, Cores(16));
  world.RunFor(1s);
  auto before = world.mAppends;
  auto held = world.UseOf(1).mLimit;
  BOOST_REQUIRE(world.TimeToStart(1, held + Cores(1)).has_value());
  BOOST_TEST(world.mAppends - before <= 2);
}

BOOST_AUTO_TEST_CASE(nothing_starts_after_a_quota_was_lowered_below_what_runs_and_nothing_is_taken)
{
  World world(2, 2, Cores(16));
  for (int i = 0; i < 6; ++i) {
    BOOST_REQUIRE(world.TimeToStart(0, Cores(1)).has_value());
    BOOST_REQUIRE(world.TimeToStart(1, Cores(1)).has_value());
  }
  for (int host = 0; host < 2; ++host) {
    world.Publish(host, Cores(8));
  }
  world.RunFor(1s);
  BOOST_TEST(!world.Start(0, Cores(1)));
  BOOST_TEST((world.Sum() == Cores(12)));
  world.End(0, Cores(6));
  BOOST_TEST(world.TimeToStart(1, Cores(1)).has_value());
  BOOST_TEST(world.TimeToStart(0, Cores(1)).has_value());
  BOOST_TEST(!world.TimeToStart(0, Cores(1)).has_value());
}

BOOST_AUTO_TEST_CASE(a_successor_starts_nothing_beyond_its_allotment_and_stops_nothing)
{
  World world(2, 2, Cores(8));
  world.RunFor(200ms);
  // The tenant had no quota while these started.
  world.mRunning[0] = Cores(12);
  world.HandOver(0, 1);
  world.RunFor(500ms);
  BOOST_TEST(!world.Start(0, Cores(1)));
  BOOST_TEST(!world.Start(1, Cores(1)));
  BOOST_TEST((world.UseOf(0).mRunning == Cores(12)));
  world.End(0, Cores(10));
  BOOST_TEST(world.TimeToStart(1, Cores(1)).has_value());
}

BOOST_AUTO_TEST_CASE(a_paused_owner_gives_back_nothing_that_its_successor_uses)
{
  World world(2, 2, Cores(8));
  for (int i = 0; i < 6; ++i) {
    BOOST_REQUIRE(world.TimeToStart(0, Cores(1)).has_value());
  }
  world.End(0, Cores(6));
  world.At(0).mIsPaused = true;
  world.HandOver(0, 1);
  for (int i = 0; i < 6; ++i) {
    BOOST_REQUIRE(world.TimeToStart(0, Cores(1)).has_value());
  }
  // The former owner of shard 0 wakes up, believes that nothing runs there, and sees the want.
  world.At(0).mIsPaused = false;
  for (int i = 0; i < 4; ++i) {
    static_cast<void>(world.TimeToStart(1, Cores(1)));
  }
  BOOST_TEST(Covers(Cores(8), world.Sum()));
}

BOOST_AUTO_TEST_CASE(while_the_store_is_away_only_what_is_allotted_is_used)
{
  World world(2, 2, Cores(16));
  world.RunFor(200ms);
  world.mIsStoreDown = true;
  auto held = world.UseOf(0).mLimit;
  BOOST_TEST((held != Resources()));
  BOOST_TEST(world.Start(0, held));
  BOOST_TEST(!world.TimeToStart(0, Cores(1)).has_value());
  world.mIsStoreDown = false;
  BOOST_TEST(world.TimeToStart(0, Cores(1)).has_value());
}

BOOST_AUTO_TEST_CASE(an_owner_takes_nothing_that_it_cannot_know_to_be_free)
{
  World world(2, 2, Cores(16));
  world.RunFor(200ms);
  world.At(1).mAreReadsLost = true;
  while (world.TimeToStart(0, Cores(1))) {
  }
  BOOST_TEST(world.UseOf(1).mLimit.mCpuMillicores > 0);
  while (world.TimeToStart(1, Cores(1))) {
  }
  BOOST_TEST(Covers(Cores(16), world.Sum()));
  world.At(1).mAreReadsLost = false;
  while (world.TimeToStart(1, Cores(1))) {
  }
  BOOST_TEST((world.Sum() == Cores(16)));
}

BOOST_AUTO_TEST_CASE(what_an_unanswered_append_may_have_given_away_is_not_used)
{
  QuotaLog log;
  AllotmentKey key{ 0, kTenant };
  SetAllotment(log.mBook, key, { Cores(8), {}, 0 });
  log.mLoaded = true;
  log.mPosition = 5;
  Now now{ Instant(100s), TimePoint(1000s) };
  Actions actions;
  AppendChanges(log, now, { {}, { { key, { Cores(2), {}, 0 } } } }, actions);
  BOOST_TEST((CertainlyHeld(log, key) == Cores(2)));
  AppendAnswer lost;
  lost.mCall = Select<AppendCall>(actions).front();
  OnQuotaAppend(log, now, lost, actions);
  BOOST_TEST((CertainlyHeld(log, key) == Cores(2)));
  BOOST_TEST(!MayAppend(log, now.mAt + 1s));
  // Another record at that offset shows that it was never stored.
  ReadAnswer read;
  read.mCall.mReader = Reader::Owner;
  read.mResult = CallResult::Done;
  read.mEnd = 6;
  read.mRecords.push_back({ "1/other", {}, 5 });
  OnQuotaRead(log, now, read, actions);
  BOOST_TEST((CertainlyHeld(log, key) == Cores(8)));
  BOOST_TEST(MayAppend(log, now.mAt + 1s));
}

BOOST_AUTO_TEST_CASE(a_successor_uses_its_allotment_only_once_its_claim_is_stored)
{
  World world(2, 2, Cores(16));
  world.RunFor(200ms);
  world.mIsStoreDown = true;
  world.HandOver(0, 1);
  BOOST_TEST(!world.TimeToStart(0, Cores(1)).has_value());
  world.mIsStoreDown = false;
  BOOST_TEST(world.TimeToStart(0, Cores(1)).has_value());
}

BOOST_AUTO_TEST_CASE(two_gangs_that_need_most_of_the_quota_start_one_after_the_other)
{
  World world(2, 2, Cores(16));
  for (int i = 0; i < 8; ++i) {
    BOOST_REQUIRE(world.TimeToStart(0, Cores(1)).has_value());
    BOOST_REQUIRE(world.TimeToStart(1, Cores(1)).has_value());
  }
  world.End(0, Cores(8));
  world.End(1, Cores(8));
  int first = kNobody;
  for (int i = 0; i < 100 && first == kNobody; ++i) {
    for (int shard = 0; shard < 2 && first == kNobody; ++shard) {
      first = world.Start(shard, Cores(12)) ? shard : kNobody;
    }
    world.RunFor(kStep);
  }
  BOOST_REQUIRE(first != kNobody);
  BOOST_TEST(!world.TimeToStart(1 - first, Cores(12)).has_value());
  world.End(first, Cores(12));
  BOOST_TEST(world.TimeToStart(1 - first, Cores(12)).has_value());
}

BOOST_AUTO_TEST_CASE(a_task_that_is_larger_than_the_quota_runs_alone)
{
  World world(2, 2, Cores(4));
  world.RunFor(200ms);
  BOOST_TEST(world.TimeToStart(0, Cores(6)).has_value());
  BOOST_TEST(!world.TimeToStart(1, Cores(1)).has_value());
}

BOOST_AUTO_TEST_CASE(a_limit_of_one_resource_leaves_the_others_free)
{
  World world(2, 2, Resources{ 0, 0, 2 });
  world.RunFor(200ms);
  BOOST_TEST(world.Start(0, Cores(100)));
  BOOST_TEST(world.TimeToStart(1, Resources{ 1000, 100, 2 }).has_value());
  BOOST_TEST(!world.TimeToStart(0, Resources{ 1000, 100, 1 }).has_value());
  BOOST_TEST(world.Start(0, Cores(100)));
}

BOOST_AUTO_TEST_CASE(without_quotas_nothing_is_read_or_stored)
{
  World world(2, 2, Resources());
  world.RunFor(2s);
  BOOST_TEST(world.Start(0, Cores(100)));
  BOOST_TEST(world.mAppends == 0);
  BOOST_TEST(world.mStore.mPartitions.empty());
  BOOST_TEST(!world.At(0).mKeeping.mLog.mLoaded);
}

BOOST_AUTO_TEST_CASE(an_unreadable_record_is_left_out)
{
  QuotaBook book;
  BOOST_TEST(!ApplyQuotaRecord(book, "", "x").ok());
  BOOST_TEST(!ApplyQuotaRecord(book, "-1", "x").ok());
  BOOST_TEST(!ApplyQuotaRecord(book, "3/", "x").ok());
  BOOST_TEST(!ApplyQuotaRecord(book, "3", "\xff\xff").ok());
  BOOST_TEST(!ApplyQuotaRecord(book, "3/weavers", "\xff\xff").ok());
  BOOST_TEST(book.mTenants.empty());
}

BOOST_AUTO_TEST_SUITE_END()
