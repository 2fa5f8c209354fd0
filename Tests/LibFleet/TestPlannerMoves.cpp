#include "LibExperiment/PlannerRun.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

const PoolName kPreviews("previews");
constexpr int kSlots = 8;

PoolDefined
MakePool(const std::string& aName, int aHosts, int aBuffer, bool aSpare)
{
  PoolDefined pool;
  pool.mPool = PoolName(aName);
  pool.mSpare = aSpare;
  pool.mPresets = { { PresetName("ordinary"), aHosts, aBuffer, 0.5 },
                    { PresetName("peak"), 2 * aHosts, aBuffer, 0.5 } };
  pool.mInForce = PresetName("ordinary");
  return pool;
}

void
StartWithSpare(PlannerRun& aRun, const PlannerRunSettings& aSettings)
{
  StartPlannerRun(aRun, aSettings);
  AddPoolTo(aRun, MakePool("previews", 4, 2, false), 6);
  AddPoolTo(aRun, MakePool("office", 3, 1, true), 10);
}

void
RunFor(PlannerRun& aRun, Duration aTime)
{
  auto end = aRun.mNow + aTime;
  while (aRun.mNow < end) {
    StepRun(aRun);
  }
}

int
HostsIn(const PlannerRun& aRun, const PoolName& aPool)
{
  int hosts = 0;
  for (const auto& [name, host] : aRun.mFleet.mHosts) {
    hosts += host.mPool == aPool && host.mPhase == HostPhase::InService ? 1 : 0;
  }
  return hosts;
}

bool
AllInHomePools(const PlannerRun& aRun)
{
  return std::all_of(aRun.mFleet.mHosts.begin(), aRun.mFleet.mHosts.end(), [](const auto& aEntry) {
    return aEntry.second.mPool == aEntry.second.mHomePool &&
           aEntry.second.mPhase == HostPhase::InService;
  });
}

}

BOOST_AUTO_TEST_SUITE(TestPlannerMoves)

BOOST_AUTO_TEST_CASE(BurstsOfSecondsMoveNoHosts)
{
  BOOST_TEST(rc::check("bursts move no hosts", [] {
    PlannerRun run;
    PlannerRunSettings settings;
    settings.mStep = 1s;
    auto burst = std::chrono::seconds(*rc::gen::inRange(2, 40));
    auto period = 5 * burst;
    StartWithSpare(run, settings);
    // All slots are busy in a burst, which is five times the mean, and a twentieth in between.
    run.mBusySlots = [burst, period](const PoolName& aPool, TimePoint aNow) {
      auto phase = aNow.time_since_epoch() % std::chrono::duration_cast<Duration>(period);
      return aPool != kPreviews ? kSlots : phase < burst ? 6 * kSlots : 1;
    };
    RunFor(run, std::chrono::minutes(40));
    RC_ASSERT(run.mFigures.mMoves == 0);
  }));
}

BOOST_AUTO_TEST_CASE(SustainedLoadBorrowsHostsAndTheyReturn)
{
  BOOST_TEST(rc::check("moves return", [] {
    PlannerRun run;
    PlannerRunSettings settings;
    settings.mSeed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    settings.mLeaderLoss = *rc::gen::inRange(0, 3) / 100.0;
    settings.mFormerLeader = *rc::gen::inRange(0, 20) / 100.0;
    StartWithSpare(run, settings);
    auto rise = run.mNow + std::chrono::minutes(30);
    auto fall = run.mNow + std::chrono::hours(3);
    run.mBusySlots = [rise, fall](const PoolName& aPool, TimePoint aNow) {
      bool high = aPool == kPreviews && aNow >= rise && aNow < fall;
      return high ? 6 * kSlots : kSlots;
    };
    RunFor(run, std::chrono::minutes(30));
    RC_ASSERT(run.mFigures.mMoves == 0);
    RunFor(run, std::chrono::minutes(150));
    RC_ASSERT(HostsIn(run, kPreviews) > 6);
    RC_ASSERT(HostsIn(run, PoolName("office")) >= 3);
    RunFor(run, std::chrono::hours(6));
    RC_ASSERT(AllInHomePools(run));
  }));
}

BOOST_AUTO_TEST_CASE(APresetThatNeedsMoreHostsGetsThemWithinMinutes)
{
  PlannerRun run;
  StartWithSpare(run, {});
  AppendTo(run, "operator test", std::nullopt, PresetChosen{ kPreviews, PresetName("peak") });
  RunFor(run, std::chrono::minutes(5));
  BOOST_TEST(HostsIn(run, kPreviews) == 8);
  AppendTo(run, "operator test", std::nullopt, PresetChosen{ kPreviews, PresetName("ordinary") });
  RunFor(run, std::chrono::hours(2));
  BOOST_TEST(AllInHomePools(run));
  BOOST_TEST(run.mFigures.mMoves == 4);
}

BOOST_AUTO_TEST_CASE(TheSparePoolKeepsWhatItsPresetNeeds)
{
  PlannerRun run;
  StartWithSpare(run, {});
  auto greedy = MakePool("previews", 30, 0, false);
  AppendTo(run, "operator test", std::nullopt, greedy);
  RunFor(run, std::chrono::hours(2));
  BOOST_TEST(HostsIn(run, PoolName("office")) == 3);
  BOOST_TEST(HostsIn(run, kPreviews) == 13);
}

BOOST_AUTO_TEST_CASE(ALostRackIsMadeUpFromTheSparePool)
{
  PlannerRun run;
  StartWithSpare(run, {});
  run.mBusySlots = [](const PoolName&, TimePoint) { return 2 * kSlots; };
  RunFor(run, std::chrono::minutes(10));
  for (int i = 1; i <= 4; ++i) {
    FailHost(run, HostName("previews-h" + std::to_string(i)), std::chrono::hours(4));
  }
  RunFor(run, std::chrono::minutes(20));
  BOOST_TEST(HostsIn(run, kPreviews) >= 4 + 4);
  RunFor(run, std::chrono::hours(8));
  BOOST_TEST(AllInHomePools(run));
}

BOOST_AUTO_TEST_CASE(AHostUnderMaintenanceIsNotMoved)
{
  PlannerRun run;
  StartWithSpare(run, {});
  MaintenanceDeclared declared{ MaintenanceId("kernel"), { HostName("office-h1") } };
  AppendTo(run, "operator test", std::nullopt, declared);
  StepRun(run);
  AppendTo(run, "operator test", std::nullopt, PresetChosen{ kPreviews, PresetName("peak") });
  run.mSettings.mTune = [](const FleetState& aState, FleetPlan& aPlan) {
    for (const auto& proposal : aPlan.mProposals) {
      const auto* leaving = std::get_if<HostLeaving>(&proposal.mChange);
      if (leaving != nullptr && leaving->mReason == LeaveReason::Move) {
        BOOST_TEST((aState.mHosts.at(leaving->mHost).mPhase == HostPhase::InService));
      }
    }
  };
  RunFor(run, std::chrono::minutes(30));
  BOOST_TEST(HostsIn(run, kPreviews) == 8);
}

BOOST_AUTO_TEST_SUITE_END()
