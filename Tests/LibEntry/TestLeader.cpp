#include "LibEntry/Leader.h"
#include "LibEntry/Membership.h"
#include "LibExperiment/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

const PoolName kPreviews("previews");
const PoolName kOffice("office");
const MaintenanceId kKernel("kernel");

int
DrawInt(int aMin, int aMax)
{
  return *rc::gen::inRange(aMin, aMax + 1);
}

Request
RequestFor(const Deployment& aDeployment, const PoolName& aPool, Duration aRunTime)
{
  Request request;
  request.mPool = aPool;
  request.mKind = "sheet";
  request.mDeadline = aDeployment.mNow + 10s;
  request.mBody = std::to_string(aRunTime.count());
  return request;
}

std::optional<std::size_t>
LeaderOf(const Deployment& aDeployment)
{
  for (std::size_t i = 0; i < aDeployment.mNodes.size(); ++i) {
    if (aDeployment.mNodes[i].mAlive && IsLeader(aDeployment.mNodes[i].mHost.mControl)) {
      return i;
    }
  }
  return std::nullopt;
}

void
Start(Deployment& aDeployment, std::uint64_t aSeed)
{
  DeploymentSettings settings;
  settings.mSeed = aSeed;
  settings.mRebootTime = 3s;
  StartDeployment(aDeployment, settings);
  AddPool(aDeployment, kPreviews, 6, 2s);
  AddPool(aDeployment, kOffice, 4, 2s);
  RunUntil(aDeployment, aDeployment.mNow + 8s);
}

// Sends a request to every pool in each step, through the nodes by turns.
void
RunUnderLoad(Deployment& aDeployment, Duration aTime, const std::function<void()>& aEachStep)
{
  constexpr Duration kStep = 50ms;
  std::size_t turn = 0;
  auto end = aDeployment.mNow + aTime;
  while (aDeployment.mNow < end) {
    for (const auto& pool : { kPreviews, kOffice }) {
      turn += 1;
      auto request = RequestFor(aDeployment, pool, 10ms * static_cast<int>(turn % 50));
      Submit(aDeployment, turn % aDeployment.mNodes.size(), std::move(request));
    }
    aEachStep();
    RunUntil(aDeployment, aDeployment.mNow + kStep);
  }
}

// The pools for which some entry host can start work on the host, or has work on it.
std::map<HostName, std::set<PoolName>>
PoolsInUse(const Deployment& aDeployment)
{
  std::map<HostName, std::set<PoolName>> pools;
  for (const auto& node : aDeployment.mNodes) {
    if (!node.mAlive) {
      continue;
    }
    for (const auto& [name, pool] : node.mHost.mPools) {
      bool fresh = aDeployment.mNow - pool.mViewConfirmed <= pool.mSettings.mViewStaleAfter;
      for (const auto& target : pool.mView.mTargets) {
        if (fresh) {
          pools[target.mHost].insert(name);
        }
      }
      for (const auto& [id, attempt] : pool.mAttempts) {
        if (attempt.mSlot) {
          pools[attempt.mSlot->mHost].insert(name);
        }
      }
    }
  }
  return pools;
}

bool
EachInOnePool(const Deployment& aDeployment)
{
  auto pools = PoolsInUse(aDeployment);
  return std::all_of(
    pools.begin(), pools.end(), [](const auto& aEntry) { return aEntry.second.size() <= 1; });
}

void
MoveHost(Deployment& aDeployment, const HostName& aHost, const PoolName& aPool)
{
  HostLeaving leaving;
  leaving.mHost = aHost;
  leaving.mDestination = aPool;
  ChangeBy(aDeployment, 0, "test", std::nullopt, leaving);
}

// Moves a host and pauses, cuts off or blinds a node at the drawn times.
void
DrawTroubles(Deployment& aDeployment)
{
  auto at = [&] { return aDeployment.mNow + 100ms * DrawInt(1, 120); };
  for (int i = 0; i < 4; ++i) {
    HostName host("previews-h" + std::to_string(DrawInt(1, 6)));
    auto pool = DrawInt(0, 1) == 0 ? kOffice : kPreviews;
    Schedule(aDeployment, at(), [&aDeployment, host, pool] { MoveHost(aDeployment, host, pool); });
  }
  for (int i = 0; i < 2; ++i) {
    auto node = static_cast<std::size_t>(DrawInt(0, 2));
    auto pause = 100ms * DrawInt(1, 70);
    Schedule(
      aDeployment, at(), [&aDeployment, node, pause] { PauseNode(aDeployment, node, pause); });
  }
  auto cut = static_cast<std::size_t>(DrawInt(0, 2));
  auto from = at();
  auto to = from + 100ms * DrawInt(1, 70);
  bool blind = DrawInt(0, 1) == 1;
  aDeployment.mIsCut = [&aDeployment, cut, from, to](std::size_t aFrom, std::size_t aTo) {
    bool concerned = aFrom == cut || aTo == cut;
    return concerned && aDeployment.mNow >= from && aDeployment.mNow < to;
  };
  if (blind) {
    Schedule(aDeployment, from, [&aDeployment, cut] { aDeployment.mNodes[cut].mReadsLog = false; });
    Schedule(aDeployment, to, [&aDeployment, cut] { aDeployment.mNodes[cut].mReadsLog = true; });
  }
}

void
DeclareAll(Deployment& aDeployment)
{
  MaintenanceDeclared declared;
  declared.mMaintenance = kKernel;
  for (const auto& [name, executor] : aDeployment.mExecutors) {
    declared.mHosts.push_back(name);
  }
  ChangeBy(aDeployment, 1, "test", std::nullopt, declared);
}

// The control of the only member but one, which has not confirmed the leave of a host yet.
struct TwoMembers
{
  TwoMembers()
  {
    ControlSettings settings;
    settings.mDeployment = "test";
    settings.mSelf = MemberName("e1");
    settings.mIncarnation = "1";
    mControl = MakeControl(settings, mNow);
    Fold(MemberJoined{ MemberName("e1"), {}, "127.0.0.1:1", "1" });
    Fold(MemberJoined{ MemberName("e2"), {}, "127.0.0.1:2", "1" });
    Fold(LeaderElected{ MemberName("e1"), 1 });
    PoolDefined pool;
    pool.mPool = kPreviews;
    pool.mPresets = { { PresetName("ordinary"), 1, 0, 0.5 } };
    pool.mInForce = PresetName("ordinary");
    Fold(pool);
    Fold(HostAdded{ HostName("h1"), kPreviews, {}, {}, "10.0.0.1:80", 8 });
    HostLeaving leaving;
    leaving.mHost = HostName("h1");
    leaving.mReason = LeaveReason::Removal;
    Fold(leaving);
  }

  void Fold(Change aChange)
  {
    Record record;
    record.mId = RecordId(std::to_string(mEnd));
    record.mTime = mNow;
    record.mAuthor = "e1#1";
    record.mChange = std::move(aChange);
    LogRead read;
    read.mSentAt = mNow;
    read.mEntries.push_back({ mEnd++, EncodeRecord(record) });
    read.mEnd = mEnd;
    Step(mControl, mNow, read);
  }

  // One tick after reports of both members; the peer's loads carry the given version.
  bool ProposesDrained(Offset aVersionOfLoads)
  {
    mNow += 1s;
    LogRead read;
    read.mSentAt = mNow;
    read.mEnd = mEnd;
    Step(mControl, mNow, read);
    PeerReport report;
    report.mDeployment = "test";
    report.mMember = MemberName("e2");
    report.mVersion = mControl.mFleet.mVersion;
    report.mApplied = report.mVersion;
    report.mLoads[kPreviews].mVersion = aVersionOfLoads;
    Step(mControl, mNow, PeerAnswered{ mNow, report });
    OwnLoads own;
    own.mLoads[kPreviews].mVersion = mControl.mFleet.mVersion;
    Step(mControl, mNow, own);
    Step(mControl, mNow, ControlTick{});
    return mControl.mProposed.contains("drained h1");
  }

  TimePoint mNow{ std::chrono::hours(1) };
  Offset mEnd = 0;
  Control mControl;
};

}

BOOST_AUTO_TEST_SUITE(TestLeader)

BOOST_AUTO_TEST_CASE(ADrainEndsOnlyOnLoadsThatKnowOfTheLeave)
{
  TwoMembers members;
  // Past the time for which the attempts of removed members are waited for.
  members.mNow += 60s;
  auto version = members.mControl.mFleet.mVersion;
  BOOST_TEST(!members.ProposesDrained(version - 1));
  BOOST_TEST(members.ProposesDrained(version));
}

BOOST_AUTO_TEST_CASE(ARebootIsAskedForByItsAuthorAndWithoutDelay)
{
  TwoMembers members;
  HostRebootRequested reboot{ HostName("h1"), 1, 1 };
  Record record;
  record.mTime = members.mNow;
  record.mAuthor = "e1#1";
  ControlActions actions;
  RebootIfOurs(members.mControl, members.mNow + 60s, record, reboot, actions);
  BOOST_TEST(actions.empty());
  record.mAuthor = "e1#0";
  RebootIfOurs(members.mControl, members.mNow, record, reboot, actions);
  BOOST_TEST(actions.empty());
  record.mAuthor = "e1#1";
  RebootIfOurs(members.mControl, members.mNow, record, reboot, actions);
  BOOST_TEST(actions.size() == 1u);
}

BOOST_AUTO_TEST_CASE(AHostIsInOnePoolForAllThatCanPlaceWork)
{
  BOOST_TEST(rc::check("a host is in one pool, also while nodes are paused or cut off", [] {
    Deployment deployment;
    Start(deployment, static_cast<std::uint64_t>(DrawInt(1, 1000000)));
    DrawTroubles(deployment);
    RunUnderLoad(deployment, 16s, [&] { RC_ASSERT(EachInOnePool(deployment)); });
    for (const auto& [name, executor] : deployment.mExecutors) {
      RC_ASSERT(executor.mOvercommits == 0);
    }
  }));
}

BOOST_AUTO_TEST_CASE(AWaveCutsNoAnswerThoughItsLeaderIsKilled)
{
  BOOST_TEST(rc::check("no answer cut, one reboot for each host", [] {
    Deployment deployment;
    Start(deployment, static_cast<std::uint64_t>(DrawInt(1, 1000000)));
    deployment.mLog.mLoseAnswers = DrawInt(0, 10) / 100.0;
    DeclareAll(deployment);
    auto killAt = deployment.mNow + 100ms * DrawInt(1, 150);
    bool killed = false;
    RunUnderLoad(deployment, 70s, [&] {
      auto leader = LeaderOf(deployment);
      if (!killed && leader && deployment.mNow >= killAt) {
        KillNode(deployment, *leader);
        killed = true;
      }
    });
    RunUntil(deployment, deployment.mNow + 20s);
    const auto& fleet = deployment.mNodes[LeaderOf(deployment).value()].mHost.mControl.mFleet;
    RC_ASSERT(fleet.mMaintenances.at(kKernel).mPhase == MaintenancePhase::Done);
    for (const auto& [name, executor] : deployment.mExecutors) {
      RC_ASSERT(executor.mReboots == 1);
      RC_ASSERT(executor.mCut == 0);
    }
    std::size_t answered = 0;
    for (const auto& [id, answer] : deployment.mAnswers) {
      RC_ASSERT(answer.mCount == 1);
      RC_ASSERT(answer.mOutcome.mKind != OutcomeKind::Unknown);
      answered += answer.mOutcome.mKind == OutcomeKind::Answered ? 1 : 0;
    }
    RC_ASSERT(answered * 10 >= deployment.mAnswers.size() * 9);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
