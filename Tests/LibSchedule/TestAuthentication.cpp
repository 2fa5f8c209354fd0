#include "LibSchedule/CallTimes.h"
#include "LibSchedule/CallerRequests.h"
#include "LibStandIn/FakeStore.h"

#include <boost/test/unit_test.hpp>
#include <ctime>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr const char* kGoodKey = "good-key";

Credential
Bearer(std::string aKey)
{
  return { CredentialKind::Bearer, std::move(aKey), {} };
}

// Every version has the good key, and a key of its own that the next one withdraws.
std::string
KeyOfVersion(std::int64_t aVersion)
{
  return "key-" + std::to_string(aVersion);
}

Manifest
ManifestOf(std::int64_t aVersion)
{
  Manifest manifest;
  manifest.mVersion = aVersion;
  Tenant tenant;
  tenant.mName = TenantName("weavers");
  tenant.mKeys = { kGoodKey, KeyOfVersion(aVersion) };
  manifest.mTenants = { tenant };
  Route route;
  route.mQueue = QueueName("prints");
  route.mHost = "h";
  route.mPrefix = "/prints/";
  route.mService = ServiceName("s");
  auto open = route;
  open.mPrefix = "/open/";
  open.mIsPublic = true;
  manifest.mRoutes = { route, open };
  return manifest;
}

NodeSettings
StrictSettings()
{
  NodeSettings settings;
  settings.mFollower.mManifestDeadline = 3000ms;
  settings.mFollower.mRevocationDeadline = 5000ms;
  return settings;
}

Node
NodeWith(const Manifest& aManifest, Instant aProvenAt)
{
  auto node = MakeNode(StrictSettings());
  node.mFollower.mManifest = aManifest;
  node.mFollower.mKeys = MakeKeyIndex(aManifest);
  node.mFollower.mOperator.mProvenAt = aProvenAt;
  // The homes of the queues are known.
  node.mQueues.mLoaded = true;
  node.mQueues.mServices = { ServiceName("s") };
  for (const auto& route : aManifest.mRoutes) {
    node.mQueues.mHomes[QueueKey(route)] = route.mService;
  }
  return node;
}

struct Answered
{
  std::optional<Reply> mReply;
  std::vector<LogEntry> mLines;
};

Answered
Call(Node& aNode,
     Instant aNow,
     const Credential& aCredential,
     RequestKind aKind = RequestKind::Submit,
     const std::string& aPath = "/prints/00000000000000ab")
{
  CallerRequest request;
  request.mKind = aKind;
  request.mHost = "h";
  request.mPath = aPath;
  request.mCredential = aCredential;
  request.mJob = JobDefinition();
  request.mJob->mSteps.emplace_back();
  Actions actions;
  OnCallerRequest(aNode, { aNow, TimePoint(1000s) }, request, actions);
  Answered answered;
  for (auto& action : actions) {
    if (auto* reply = std::get_if<Reply>(&action)) {
      answered.mReply = *reply;
    } else if (auto* line = std::get_if<LogEntry>(&action)) {
      answered.mLines.push_back(*line);
    }
  }
  return answered;
}

bool
IsRefusedWith(const Answered& aAnswered, ReplyKind aKind)
{
  return aAnswered.mReply && aAnswered.mReply->mKind == aKind;
}

std::string
TextOf(const Answered& aAnswered)
{
  auto text = aAnswered.mReply ? aAnswered.mReply->mReason : std::string();
  for (const auto& line : aAnswered.mLines) {
    text += line.mSubject + line.mOutcome + line.mReason + line.mJob + line.mTenant;
  }
  return text;
}

// Asks as the first tenant, at a host that has read the job's state after the call.
ReplyKind
AskFor(RequestKind aKind,
       const JobState& aState,
       const std::string& aPath = "/prints/00000000000000ab",
       bool aHasNoTenants = false)
{
  auto manifest = ManifestOf(1);
  if (aHasNoTenants) {
    manifest.mTenants.clear();
  }
  auto node = NodeWith(manifest, Instant(100s));
  Call(node, Instant(101s), Bearer(kGoodKey), aKind, aPath);
  auto& view = ViewOf(node, PartitionOf(ServiceName("s"), node.mSettings.mPartitions));
  view.mJobs[JobId("00000000000000ab")] = aState;
  view.mStates.mLoaded = true;
  view.mStates.mCurrentAsOf = Instant(102s);
  Actions actions;
  AnswerQueries(node, { Instant(102s), TimePoint(1000s) }, actions);
  for (const auto& action : actions) {
    if (const auto* reply = std::get_if<Reply>(&action)) {
      return reply->mKind;
    }
  }
  // A cancellation waits for its record.
  return ReplyKind::Accepted;
}

// A host that follows the manifest over a connection that is subject to faults, with a clock that
// is 2% slow, and callers that use keys of all versions.
struct GuardedHost
{
  struct Withdrawn
  {
    std::string mKey;
    Instant mAt;
  };

  struct InFlight
  {
    std::optional<ReadCall> mRead;
    std::optional<ReadNewestCall> mNewest;
    Instant mDueAt;
    Instant mLostAt;
  };

  standin::FakeStore mStore;
  Node mNode = MakeNode(StrictSettings());
  Instant mNow{ 100s };
  std::int64_t mVersion = 0;
  Instant mVersionAt;
  std::vector<Withdrawn> mWithdrawn;
  std::optional<InFlight> mInFlight;
  Duration mLatency = 10ms;
  bool mCut = false;
  Instant mDisturbedUntil{ 100s };

  [[nodiscard]] Now HostNow() const
  {
    return { Instant(mNow.time_since_epoch() * 98 / 100), TimePoint(1000s) };
  }

  void Apply()
  {
    if (mVersion > 0) {
      mWithdrawn.push_back({ KeyOfVersion(mVersion), mNow });
    }
    ++mVersion;
    mVersionAt = mNow;
    AppendCall call;
    call.mStream = Stream::Operator;
    call.mRecords = { { "config", std::to_string(mVersion) } };
    standin::Append(mStore, call);
  }

  static ExternalRecords Decode(const std::vector<KeyedRecord>& aRecords)
  {
    ExternalRecords decoded;
    for (const auto& record : aRecords) {
      decoded.mManifests.push_back(ManifestOf(std::stoll(record.mValue)));
    }
    return decoded;
  }

  // What an answer holds is decided when the store makes it, not when it arrives.
  void Answer()
  {
    auto call = *std::exchange(mInFlight, std::nullopt);
    auto isLost = mNow >= call.mLostAt || mCut;
    Actions actions;
    if (call.mNewest) {
      auto answer = standin::Newest(mStore, *call.mNewest);
      answer.mResult = isLost ? CallResult::Unanswered : CallResult::Done;
      answer.mExternalRecords = isLost ? ExternalRecords() : Decode(answer.mRecords);
      OnFollowerReadNewest(mNode.mFollower, HostNow(), answer, actions);
      return;
    }
    auto answer = standin::Read(mStore, *call.mRead);
    answer.mResult = isLost ? CallResult::Unanswered : CallResult::Done;
    answer.mTrimmed = answer.mTrimmed && !isLost;
    answer.mExternalRecords = isLost ? ExternalRecords() : Decode(answer.mRecords);
    OnFollowerRead(mNode.mFollower, HostNow(), answer, actions);
  }

  void Tick()
  {
    if (mCut) {
      mDisturbedUntil = mNow;
    }
    if (mInFlight && mNow >= mInFlight->mDueAt) {
      Answer();
    }
    Actions actions;
    AdvanceFollower(mNode.mFollower, HostNow(), mNode.mSettings.mFollower, false, actions);
    for (const auto& action : actions) {
      if (const auto* read = std::get_if<ReadCall>(&action)) {
        auto wait = Duration(read->mWait);
        mInFlight = InFlight{ *read, std::nullopt, mNow + wait + mLatency, mNow + wait + 1500ms };
      } else if (const auto* newest = std::get_if<ReadNewestCall>(&action)) {
        mInFlight = InFlight{ std::nullopt, *newest, mNow + mLatency, mNow + 1500ms };
      }
    }
  }

  // The first thing that a resumed process does is to handle a caller's call that was waiting.
  void Suspend(Duration aTime)
  {
    mNow += aTime;
    mDisturbedUntil = mNow;
    Check();
  }

  void Restart()
  {
    mNode = MakeNode(StrictSettings());
    mInFlight.reset();
    mDisturbedUntil = mNow;
  }

  void Run(Duration aTime)
  {
    for (auto end = mNow + aTime; mNow < end; mNow += 20ms) {
      Tick();
      Check();
    }
  }

  ReplyKind Ask(const std::string& aKey, const std::string& aPath = "/prints/00000000000000ab")
  {
    auto answered = Call(mNode, HostNow().mAt, Bearer(aKey), RequestKind::State, aPath);
    return answered.mReply ? answered.mReply->mKind : ReplyKind::Accepted;
  }

  void Check()
  {
    mNode.mViews.clear();
    for (const auto& withdrawn : mWithdrawn) {
      auto isOver = mNow > withdrawn.mAt + *mNode.mSettings.mFollower.mRevocationDeadline;
      RC_ASSERT(!isOver || Ask(withdrawn.mKey) != ReplyKind::Accepted);
    }
    // A key that no manifest ever held, which some hosts cannot tell from one that is new.
    RC_ASSERT(Ask("no-key") != ReplyKind::Accepted);
    auto deadline = mNode.mSettings.mFollower.mManifestDeadline;
    if (mNow > mVersionAt + deadline) {
      RC_ASSERT(Ask(KeyOfVersion(mVersion)) != ReplyKind::Unauthorized);
    }
    if (mNow > std::max(mVersionAt, mDisturbedUntil) + deadline) {
      RC_ASSERT(Ask(KeyOfVersion(mVersion)) == ReplyKind::Accepted);
      RC_ASSERT(Ask(kGoodKey) == ReplyKind::Accepted);
    }
    RC_ASSERT(!mNode.mFollower.mManifest ||
              Ask("", "/open/00000000000000ab") == ReplyKind::Accepted);
  }
};

}

BOOST_AUTO_TEST_SUITE(TheAuthentication)

BOOST_AUTO_TEST_CASE(every_kind_of_call_needs_a_key_unless_its_queue_is_public)
{
  auto node = NodeWith(ManifestOf(1), Instant(100s));
  auto now = Instant(101s);
  std::vector<Credential> bad = {
    {}, Bearer("other-key"), Bearer(""), { CredentialKind::Malformed, {}, "two headers" }
  };
  for (auto kind : { RequestKind::Submit, RequestKind::State, RequestKind::Cancel }) {
    for (const auto& credential : bad) {
      BOOST_TEST(IsRefusedWith(Call(node, now, credential, kind), ReplyKind::Unauthorized));
      BOOST_TEST(!Call(node, now, credential, kind, "/open/00000000000000ab").mReply);
    }
    BOOST_TEST(!Call(node, now, Bearer(kGoodKey), kind).mReply);
  }
  BOOST_TEST(
    IsRefusedWith(Call(node, now, {}, RequestKind::State, "/prints/"), ReplyKind::Unauthorized));
  BOOST_TEST(!Call(node, now, Bearer(kGoodKey), RequestKind::State, "/prints/").mReply);
  // An unknown queue is unknown whatever the key.
  BOOST_TEST(IsRefusedWith(Call(node, now, {}, RequestKind::State, "/x/"), ReplyKind::NoQueue));
  BOOST_TEST(node.mCounters.mUnauthorized == 3 * 4 + 1);
}

BOOST_AUTO_TEST_CASE(a_manifest_without_tenants_asks_for_no_key)
{
  auto manifest = ManifestOf(1);
  manifest.mTenants.clear();
  auto node = NodeWith(manifest, Instant(100s));
  BOOST_TEST(!Call(node, Instant(900s), {}).mReply);
  // Tenants that cannot be read do not let calls pass without a key.
  manifest.mHasUnreadableTenants = true;
  node = NodeWith(manifest, Instant(100s));
  BOOST_TEST(IsRefusedWith(Call(node, Instant(101s), {}), ReplyKind::Unauthorized));
}

BOOST_AUTO_TEST_CASE(a_job_is_stored_with_its_tenant)
{
  auto node = NodeWith(ManifestOf(1), Instant(100s));
  Call(node, Instant(101s), Bearer(kGoodKey));
  Call(node, Instant(101s), Bearer(kGoodKey), RequestKind::Submit, "/open/00000000000000ac");
  auto partition = PartitionOf(ServiceName("s"), node.mSettings.mPartitions);
  const auto& records = node.mIntake.mPartitions.at(partition).mPendingBatch.mRecords;
  BOOST_REQUIRE(records.size() == 2u);
  BOOST_TEST(DecodeJob(records[0].mValue)->mTenant.mValue == "weavers");
  BOOST_TEST(DecodeJob(records[1].mValue)->mTenant.mValue == "");
}

BOOST_AUTO_TEST_CASE(a_manifest_that_may_be_too_old_decides_nothing)
{
  auto node = NodeWith(ManifestOf(1), Instant(100s));
  auto isServed = [&](Duration aAge) {
    return !Call(node, Instant(100s) + aAge, Bearer(kGoodKey)).mReply;
  };
  BOOST_TEST(isServed(4800ms));
  BOOST_TEST(!isServed(4801ms));
  auto late = Call(node, Instant(105s), Bearer(kGoodKey));
  BOOST_TEST(IsRefusedWith(late, ReplyKind::Refused));
  BOOST_TEST(late.mReply->mRetryAfter.count() > 0);
  BOOST_TEST(late.mLines.front().mTenant == "weavers");
  // A key that is unknown may be newer than the manifest.
  BOOST_TEST(IsRefusedWith(Call(node, Instant(103s), Bearer("new")), ReplyKind::Refused));
  BOOST_TEST(!Call(node, Instant(900s), {}, RequestKind::State, "/open/").mReply);
  // Where revocation has no deadline, known keys are served on.
  node.mSettings.mFollower.mRevocationDeadline.reset();
  BOOST_TEST(isServed(900s));
  // A manifest of a load that is not complete is not known to be the newest.
  node = NodeWith(ManifestOf(1), Instant());
  BOOST_TEST(!isServed(1s));
}

BOOST_AUTO_TEST_CASE(keys_that_cannot_be_used_are_named_by_their_tenant_only)
{
  auto manifest = ManifestOf(1);
  Tenant second;
  second.mName = TenantName("dyers");
  second.mKeys = { kGoodKey, "", "has space", std::string("nul\0", 4), "own" };
  manifest.mTenants.push_back(second);
  auto index = MakeKeyIndex(manifest);
  BOOST_TEST(index.mProblems.size() == 4u);
  BOOST_TEST(FindTenant(index, kGoodKey)->mValue == "weavers");
  BOOST_TEST(FindTenant(index, "own")->mValue == "dyers");
  BOOST_TEST((FindTenant(index, "") == nullptr));
  for (const auto& problem : index.mProblems) {
    BOOST_TEST(problem.mTenant.mValue == "dyers");
    BOOST_TEST(problem.mReason.find(kGoodKey) == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_lookup_takes_less_than_a_microsecond_at_680_tenants)
{
  constexpr int kTenants = 680;
  constexpr int kKeys = 5;
  Manifest manifest;
  std::vector<std::string> keys;
  for (int i = 0; i < kTenants; ++i) {
    Tenant tenant;
    tenant.mName = TenantName("tenant-" + std::to_string(i));
    for (int k = 0; k < kKeys; ++k) {
      keys.push_back("x6pwawxdmdej-" + std::to_string(i * kKeys + k));
      tenant.mKeys.push_back(keys.back());
    }
    manifest.mTenants.push_back(tenant);
  }
  auto index = MakeKeyIndex(manifest);
  constexpr int kRounds = 100;
  std::size_t found = 0;
  auto begin = std::clock();
  for (int round = 0; round < kRounds; ++round) {
    for (const auto& key : keys) {
      found += FindTenant(index, key) != nullptr ? 1 : 0;
    }
  }
  auto seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  auto lookups = static_cast<double>(keys.size()) * kRounds;
  BOOST_TEST(found == keys.size() * kRounds);
  BOOST_TEST_MESSAGE("nanoseconds a lookup: " << seconds / lookups * 1e9);
  BOOST_TEST(seconds / lookups < 1e-6);
}

// A job is shown to its tenant only; to others it is as one that does not exist.
BOOST_AUTO_TEST_CASE(a_job_of_another_tenant_does_not_exist_for_the_caller)
{
  auto weavers = TenantHashOf(TenantName("weavers"));
  auto dyers = TenantHashOf(TenantName("dyers"));
  for (auto phase : { JobPhase::Pending, JobPhase::Running, JobPhase::Completed }) {
    for (auto kind : { RequestKind::State, RequestKind::Cancel }) {
      BOOST_TEST((AskFor(kind, { phase, {}, dyers }) == ReplyKind::Gone));
      BOOST_TEST((AskFor(kind, { phase, {}, weavers }) != ReplyKind::Gone));
      // Of a version without tenants.
      BOOST_TEST((AskFor(kind, { phase, {}, 0 }) != ReplyKind::Gone));
    }
  }
  auto kind = RequestKind::State;
  JobState job{ JobPhase::Completed, {}, dyers };
  // A caller of a public queue has no tenant; without tenants all may ask.
  BOOST_TEST((AskFor(kind, job, "/open/00000000000000ab") == ReplyKind::Gone));
  BOOST_TEST((AskFor(kind, job, "/prints/00000000000000ab", true) == ReplyKind::State));
}

// A new owner, which may know a job from its progress alone, still says whose it is.
BOOST_AUTO_TEST_CASE(the_tenant_stays_with_the_progress_and_the_state_of_a_job)
{
  JobDefinition definition;
  definition.mTenant = TenantName("weavers");
  definition.mSteps.emplace_back();
  auto tag = TenantHashOf(definition.mTenant);
  for (auto phase : { JobPhase::Running, JobPhase::Completed }) {
    auto job = MakeJob(JobId("00000000000000ab"), definition, nullptr);
    job.mPhase = phase;
    BOOST_TEST(DecodeProgress(EncodeProgress(ProgressOf(job)))->mTenantHash == tag);
  }
  BOOST_TEST(DecodeJobState(EncodeJobState({ JobPhase::Running, {}, tag }))->mTenantHash == tag);
  BOOST_TEST(DecodeJobState(EncodeJobState({ JobPhase::Running, {}, 0 }))->mTenantHash == 0);
  auto bytes = EncodeJobState({ JobPhase::Running, {}, tag }).size() -
               EncodeJobState({ JobPhase::Running, {}, 0 }).size();
  BOOST_TEST(bytes <= 6u);
}

// A restarted host knows nothing of before and reads the newest manifest only.
BOOST_AUTO_TEST_CASE(a_withdrawn_key_is_not_in_use_again_after_a_restart)
{
  GuardedHost host;
  host.Apply();
  host.Run(2s);
  BOOST_TEST((host.Ask(KeyOfVersion(1)) == ReplyKind::Accepted));
  host.Apply();
  host.Run(4s);
  BOOST_TEST((host.Ask(KeyOfVersion(1)) == ReplyKind::Unauthorized));
  host.Restart();
  standin::TrimHistory(host.mStore);
  host.Run(2s);
  BOOST_TEST((host.Ask(KeyOfVersion(1)) == ReplyKind::Unauthorized));
  BOOST_TEST((host.Ask(KeyOfVersion(2)) == ReplyKind::Accepted));
}

// Whatever the way to the store does and however long the process is suspended: no call is served
// with a key that was withdrawn longer ago than the deadline; nobody is told that a key is unknown
// that was added longer ago than changes take; public queues are served on.
BOOST_AUTO_TEST_CASE(no_fault_keeps_a_withdrawn_key_in_use_or_refuses_a_good_one)
{
  auto holds = rc::check([] {
    GuardedHost host;
    host.Apply();
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
    for (auto step : steps) {
      switch (step) {
        case 0:
        case 1:
          host.mCut = !host.mCut;
          break;
        case 2:
          host.Suspend(std::chrono::milliseconds(*rc::gen::inRange(0, 9000)));
          break;
        case 3:
          host.mLatency = std::chrono::milliseconds(*rc::gen::inRange(10, 400));
          break;
        case 4:
          standin::TrimHistory(host.mStore);
          break;
        case 5:
          host.Restart();
          break;
        default:
          host.Apply();
          break;
      }
      host.Run(std::chrono::milliseconds(*rc::gen::inRange(0, 40) * 100));
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(no_answer_and_no_line_names_a_key)
{
  auto holds = rc::check([] {
    auto secret = "secret-" + *rc::gen::string<std::string>();
    auto node = NodeWith(ManifestOf(1), Instant(100s));
    auto age = std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
    auto answered = Call(node, Instant(100s) + age, Bearer(secret));
    RC_ASSERT(answered.mReply.has_value());
    RC_ASSERT(TextOf(answered).find("secret-") == std::string::npos);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
