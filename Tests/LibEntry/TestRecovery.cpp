#include "LibExperiment/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

const PoolName kPool("previews");

void
Start(Deployment& aDeployment, std::uint64_t aSeed, std::size_t aRetained)
{
  DeploymentSettings settings;
  settings.mSeed = aSeed;
  aDeployment.mLog.mRetained = aRetained;
  StartDeployment(aDeployment, settings);
  AddPool(aDeployment, kPool, 2);
  RunUntil(aDeployment, aDeployment.mNow + 10s);
}

// Operators' changes through a node, far enough apart that each is a record of its own append.
void
SetQuotas(Deployment& aDeployment, std::size_t aNode, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    QuotaSet quota{ kPool, TeamName("t" + std::to_string(i)), 1.0 + i };
    ChangeBy(aDeployment, aNode, "sari", std::nullopt, quota);
    RunUntil(aDeployment, aDeployment.mNow + 200ms);
  }
}

const FleetState&
FleetOf(const Deployment& aDeployment, std::size_t aNode)
{
  return aDeployment.mNodes[aNode].mHost.mControl.mFleet;
}

void
CutNode(Deployment& aDeployment, std::size_t aNode)
{
  aDeployment.mIsCut = [aNode](std::size_t aFrom, std::size_t aTo) {
    return aFrom == aNode || aTo == aNode;
  };
  for (std::size_t i = 0; i < aDeployment.mNodes.size(); ++i) {
    aDeployment.mNodes[i].mReadsLog = i == aNode;
  }
}

void
Ask(Deployment& aDeployment, std::size_t aNode, const Record& aRecord)
{
  auto actions =
    Step(aDeployment.mNodes[aNode].mHost, aDeployment.mNow, ControlEvent(ChangeAsked{ aRecord }));
  for (const auto& action : actions) {
    if (const auto* decided = std::get_if<ChangeDecided>(&action)) {
      aDeployment.mDecisions.push_back(decided->mDecision);
    } else if (const auto* append = std::get_if<AppendRecords>(&action)) {
      for (const auto& text : append->mRecords) {
        aDeployment.mLog.mEntries.push_back({ aDeployment.mLog.mEnd++, text });
      }
      Step(aDeployment.mNodes[aNode].mHost,
           aDeployment.mNow,
           ControlEvent(AppendEnded{ AppendEnd::Taken }));
    }
  }
}

void
RestartAll(Deployment& aDeployment)
{
  for (std::size_t i = 0; i < aDeployment.mNodes.size(); ++i) {
    KillNode(aDeployment, i);
  }
  RunUntil(aDeployment, aDeployment.mNow + 1s);
  for (std::size_t i = 0; i < aDeployment.mNodes.size(); ++i) {
    RestartNode(aDeployment, i);
  }
}

}

BOOST_AUTO_TEST_SUITE(TestRecovery)

// A reader that falls behind retention must not take the rest of the log for the whole.
BOOST_AUTO_TEST_CASE(AReaderBehindRetentionMissesNothing)
{
  Deployment deployment;
  Start(deployment, 1, 60);
  deployment.mNodes[2].mReadsLog = false;
  deployment.mIsCut = [](std::size_t aFrom, std::size_t aTo) { return aFrom == 2 || aTo == 2; };
  SetQuotas(deployment, 0, 150);
  deployment.mNodes[2].mReadsLog = true;
  RunUntil(deployment, deployment.mNow + 5s);
  BOOST_TEST(FleetOf(deployment, 2).mPools.at(kPool).mQuotas.size() == 150);
  BOOST_TEST(FleetOf(deployment, 0).mApplied == FleetOf(deployment, 2).mApplied);
  BOOST_TEST(EncodeState(FleetOf(deployment, 0)) == EncodeState(FleetOf(deployment, 2)));
}

BOOST_AUTO_TEST_CASE(AllHostsStartAnewFromTheCheckpointInTheLog)
{
  Deployment deployment;
  Start(deployment, 2, 60);
  SetQuotas(deployment, 0, 150);
  RestartAll(deployment);
  RunUntil(deployment, deployment.mNow + 20s);
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_REQUIRE(FleetOf(deployment, i).mPools.contains(kPool));
    BOOST_TEST(FleetOf(deployment, i).mPools.at(kPool).mQuotas.size() == 150);
    BOOST_TEST(IsMember(deployment.mNodes[i].mHost.mControl));
  }
}

BOOST_AUTO_TEST_CASE(ACorruptCheckpointIsPassedOver)
{
  Deployment deployment;
  Start(deployment, 3, 90);
  SetQuotas(deployment, 0, 200);
  std::size_t corrupted = 0;
  for (auto& entry : deployment.mLog.mEntries) {
    // The newest checkpoint is spoiled, the one before it is left.
    auto mark = entry.mText.find("\"applied\\\":");
    if (entry.mOffset > deployment.mLog.mEnd - 22 && mark != std::string::npos) {
      entry.mText[mark + 1] = 'x';
      corrupted += 1;
    }
  }
  BOOST_TEST(corrupted > 0);
  RestartAll(deployment);
  RunUntil(deployment, deployment.mNow + 20s);
  BOOST_REQUIRE(FleetOf(deployment, 1).mPools.contains(kPool));
  BOOST_TEST(FleetOf(deployment, 1).mPools.at(kPool).mQuotas.size() == 200);
}

// The log is out for hours; one host is replaced in that time, and the last change is known
// to one other host only.
BOOST_AUTO_TEST_CASE(InAnOutageTheStateComesFromThePeerThatIsAhead)
{
  Deployment deployment;
  Start(deployment, 4, 0);
  deployment.mNodes[1].mReadsLog = false;
  deployment.mNodes[2].mReadsLog = false;
  ChangeBy(deployment, 0, "sari", std::nullopt, QuotaSet{ kPool, TeamName("late"), 3.0 });
  RunUntil(deployment, deployment.mNow + 50ms);
  deployment.mLog.mOutage = true;
  KillNode(deployment, 2);
  RunUntil(deployment, deployment.mNow + 1s);
  RestartNode(deployment, 2);
  RunUntil(deployment, deployment.mNow + std::chrono::hours(2));
  auto applied = FleetOf(deployment, 0).mApplied;
  BOOST_TEST(FleetOf(deployment, 1).mApplied == applied);
  BOOST_TEST(FleetOf(deployment, 2).mApplied == applied);
  BOOST_REQUIRE(FleetOf(deployment, 2).mPools.contains(kPool));
  BOOST_TEST(FleetOf(deployment, 2).mPools.at(kPool).mQuotas.contains(TeamName("late")));
  // All that can still hear a majority go on working.
  auto silent = deployment.mNow - ConfirmedAt(deployment.mNodes[1].mHost.mControl);
  BOOST_TEST((silent <= 2s));
}

// The machines of the old processes refuse connections, so that no majority has to be heard.
BOOST_AUTO_TEST_CASE(AllHostsReplacedUnderNewNamesGetToWork)
{
  Deployment deployment;
  Start(deployment, 5, 0);
  for (std::size_t i = 0; i < 3; ++i) {
    KillNode(deployment, i);
    EntryNode replacement;
    replacement.mName = MemberName("new" + std::to_string(i));
    replacement.mAlive = false;
    deployment.mNodes.push_back(std::move(replacement));
  }
  for (std::size_t i = 3; i < 6; ++i) {
    RestartNode(deployment, i);
  }
  RunUntil(deployment, deployment.mNow + 20s);
  BOOST_TEST(FleetOf(deployment, 3).mMembers.size() == 3);
  BOOST_TEST(!FleetOf(deployment, 3).mMembers.contains(MemberName("e1")));
}

BOOST_AUTO_TEST_CASE(OldMembersThatAreOnlySilentStayWithoutAMajority)
{
  Deployment deployment;
  Start(deployment, 5, 0);
  CutNode(deployment, 0);
  RunUntil(deployment, deployment.mNow + 30s);
  BOOST_TEST(FleetOf(deployment, 0).mMembers.contains(MemberName("e2")));
}

// An operator's second try through another entry host gets the answer of the first.
BOOST_AUTO_TEST_CASE(ARepeatedChangeIsAnsweredWithItsFirstDecision)
{
  Deployment deployment;
  Start(deployment, 6, 0);
  Record record;
  record.mId = RecordId("cli-1");
  record.mAuthor = "operator sari";
  record.mChange = QuotaSet{ kPool, TeamName("t"), 2.0 };
  for (std::size_t node : { 0, 1, 1 }) {
    Ask(deployment, node, record);
    RunUntil(deployment, deployment.mNow + 1s);
  }
  auto& decisions = deployment.mDecisions;
  BOOST_REQUIRE(decisions.size() >= 3);
  for (auto it = decisions.end() - 3; it != decisions.end(); ++it) {
    BOOST_TEST(it->mAccepted);
    BOOST_TEST(it->mId.mValue == "cli-1");
    BOOST_TEST(it->mOffset == (decisions.end() - 1)->mOffset);
  }
}

BOOST_AUTO_TEST_CASE(TheLogSaysWhenAVersionWasInForceOnEachMember)
{
  Deployment deployment;
  Start(deployment, 7, 0);
  SetQuotas(deployment, 1, 1);
  auto changed = deployment.mNow;
  RunUntil(deployment, changed + 5s);
  const auto& fleet = FleetOf(deployment, 2);
  BOOST_REQUIRE(!fleet.mInForce.empty());
  const auto& newest = fleet.mInForce.back();
  BOOST_TEST(newest.mVersion == fleet.mVersion);
  BOOST_TEST(newest.mSince.size() == 3);
  for (const auto& [member, since] : newest.mSince) {
    BOOST_TEST((since <= changed + 2s));
  }
}

BOOST_AUTO_TEST_CASE(StateOfAnotherDeploymentOrWithAWrongHashIsRefused)
{
  auto control = MakeControl(ControlSettings(), TimePoint(std::chrono::hours(1)));
  FleetState other;
  other.mApplied = 7;
  PeerStateReceived received;
  received.mDeployment = "other";
  received.mApplied = 7;
  received.mState = EncodeState(other);
  received.mHash = HashText(received.mState);
  Step(control, control.mStarted, received);
  BOOST_TEST(control.mFleet.mApplied == kNoOffset);
  received.mDeployment.clear();
  auto broken = received;
  broken.mState[10] ^= 1;
  Step(control, control.mStarted, broken);
  BOOST_TEST(control.mFleet.mApplied == kNoOffset);
  Step(control, control.mStarted, received);
  BOOST_TEST(control.mFleet.mApplied == 7);
  other.mApplied = 5;
  received.mState = EncodeState(other);
  received.mHash = HashText(received.mState);
  Step(control, control.mStarted, received);
  BOOST_TEST(control.mFleet.mApplied == 7);
}

// At the same offset every host holds the same state, and no version ever goes back, whatever
// is paused, killed, cut off or lost in between.
BOOST_AUTO_TEST_CASE(TheSameOffsetIsTheSameStateAndNoVersionGoesBack)
{
  BOOST_TEST(rc::check("same offset, same state", [] {
    Deployment deployment;
    Start(deployment, *rc::gen::inRange<std::uint64_t>(1, 1000), *rc::gen::element(0U, 40U, 80U));
    std::map<Offset, std::string> states;
    std::vector<std::pair<int, Offset>> versions(3, { 0, kNoOffset });
    auto steps = *rc::gen::inRange(1, 25);
    for (int step = 0; step < steps; ++step) {
      auto node = *rc::gen::inRange<std::size_t>(0, 3);
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          PauseNode(deployment, node, *rc::gen::inRange(1, 9) * 1s);
          break;
        case 1:
          deployment.mNodes[node].mAlive ? KillNode(deployment, node)
                                         : RestartNode(deployment, node);
          break;
        case 2:
          deployment.mLog.mOutage = !deployment.mLog.mOutage;
          break;
        case 3:
          deployment.mLog.mLoseAnswers = *rc::gen::element(0.0, 0.5);
          break;
        case 4:
          deployment.mNodes[node].mReadsLog = !deployment.mNodes[node].mReadsLog;
          break;
        default:
          SetQuotas(deployment, node, *rc::gen::inRange(1, 20));
      }
      RunUntil(deployment, deployment.mNow + *rc::gen::inRange(1, 30) * 100ms);
      for (std::size_t i = 0; i < 3; ++i) {
        const auto& fleet = FleetOf(deployment, i);
        auto text = EncodeState(fleet);
        RC_ASSERT(states.try_emplace(fleet.mApplied, text).first->second == text);
        auto& [incarnation, version] = versions[i];
        bool same = incarnation == deployment.mNodes[i].mIncarnation;
        RC_ASSERT(!same || fleet.mVersion >= version);
        versions[i] = { deployment.mNodes[i].mIncarnation, fleet.mVersion };
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
