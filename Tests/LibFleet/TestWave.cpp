#include "LibExperiment/PlannerRun.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

const MaintenanceId kKernel("kernel");

PoolDefined
MakePool(const std::string& aName, int aMaxUnavailable, int aRacks = 1, int aZones = 1)
{
  PoolDefined pool;
  pool.mPool = PoolName(aName);
  pool.mPresets = { { PresetName("ordinary"), 1, 0, 0.5 } };
  pool.mInForce = PresetName("ordinary");
  pool.mMaxUnavailable = aMaxUnavailable;
  pool.mMaxUnavailableRacks = aRacks;
  pool.mMaxUnavailableZones = aZones;
  return pool;
}

void
StartWithPool(PlannerRun& aRun,
              const PlannerRunSettings& aSettings,
              int aMaxUnavailable,
              int aHosts)
{
  StartPlannerRun(aRun, aSettings);
  AddPoolTo(aRun, MakePool("previews", aMaxUnavailable), aHosts);
  DeclareAll(aRun, kKernel);
}

void
RunFor(PlannerRun& aRun, Duration aTime)
{
  auto end = aRun.mNow + aTime;
  while (aRun.mNow < end) {
    StepRun(aRun);
  }
}

MaintenancePhase
PhaseOf(const PlannerRun& aRun)
{
  return aRun.mFleet.mMaintenances.at(kKernel).mPhase;
}

Decision
SetMaintenancePhase(PlannerRun& aRun, MaintenancePhase aPhase)
{
  return AppendTo(
    aRun, "operator test", std::nullopt, MaintenancePhaseChanged{ kKernel, aPhase, "by operator" });
}

int
CountPhase(const PlannerRun& aRun, HostPhase aPhase)
{
  int count = 0;
  for (const auto& [name, host] : aRun.mFleet.mHosts) {
    count += host.mPhase == aPhase ? 1 : 0;
  }
  return count;
}

int
DrawInt(int aMin, int aMax)
{
  return *rc::gen::inRange(aMin, aMax + 1);
}

// A fleet of a few pools, with failures, lost requests and lost leaders.
void
DrawRun(PlannerRun& aRun)
{
  PlannerRunSettings settings;
  settings.mSeed = static_cast<std::uint64_t>(DrawInt(1, 1000000));
  settings.mListLag = std::chrono::seconds(DrawInt(0, 25));
  settings.mNoReturn = DrawInt(0, 5) / 100.0;
  settings.mFailuresPerDay = DrawInt(0, 40);
  settings.mLeaderLoss = DrawInt(0, 10) / 100.0;
  settings.mRebootUnsent = DrawInt(0, 20) / 100.0;
  settings.mFormerLeader = DrawInt(0, 30) / 100.0;
  StartPlannerRun(aRun, settings);
  int pools = DrawInt(1, 4);
  for (int i = 0; i < pools; ++i) {
    auto pool = MakePool("p" + std::to_string(i), DrawInt(1, 5), DrawInt(1, 2), DrawInt(1, 2));
    AddPoolTo(aRun, pool, DrawInt(2, 14));
  }
  DeclareAll(aRun, kKernel);
}

// Every host that the maintenance has not finished is in work or waits for a reason that is told.
bool
ExplainsEveryWait(const PlannerRun& aRun)
{
  std::set<HostName> told;
  for (const auto& wait : aRun.mWaits) {
    if (!wait.mReason.empty()) {
      told.insert(wait.mHost);
    }
  }
  const auto& maintenance = aRun.mFleet.mMaintenances.at(kKernel);
  return std::all_of(maintenance.mDeclared.mHosts.begin(),
                     maintenance.mDeclared.mHosts.end(),
                     [&](const HostName& aHost) {
                       return maintenance.mFinished.contains(aHost) || told.contains(aHost) ||
                              aRun.mFleet.mHosts.at(aHost).mPhase != HostPhase::InService;
                     });
}

}

BOOST_AUTO_TEST_SUITE(TestWave)

BOOST_AUTO_TEST_CASE(NoActOfThePlannerBreaksABudget)
{
  BOOST_TEST(rc::check("budgets hold under failures, races and lost leaders", [] {
    PlannerRun run;
    DrawRun(run);
    RunMaintenance(run, kKernel, std::chrono::hours(6));
    RC_ASSERT(run.mFigures.mBudgetViolations == 0);
    RC_ASSERT(run.mFigures.mCut == 0);
  }));
}

BOOST_AUTO_TEST_CASE(EveryWaveEndsOrTellsWhyItWaits)
{
  BOOST_TEST(rc::check("a wave ends, or each host that waits has a reason", [] {
    PlannerRun run;
    DrawRun(run);
    RunMaintenance(run, kKernel, std::chrono::hours(12));
    StepRun(run);
    RC_ASSERT(PhaseOf(run) != MaintenancePhase::Running || ExplainsEveryWait(run));
  }));
}

BOOST_AUTO_TEST_CASE(EveryHostIsRebootedOnceThoughLeadersAreLost)
{
  BOOST_TEST(rc::check("one reboot for each host", [] {
    PlannerRun run;
    PlannerRunSettings settings;
    settings.mSeed = static_cast<std::uint64_t>(DrawInt(1, 1000000));
    settings.mLeaderLoss = DrawInt(0, 20) / 100.0;
    settings.mFormerLeader = 0.3;
    StartWithPool(run, settings, DrawInt(1, 4), DrawInt(2, 12));
    RunMaintenance(run, kKernel, std::chrono::hours(12));
    RC_ASSERT(PhaseOf(run) == MaintenancePhase::Done);
    for (const auto& [name, host] : run.mHosts) {
      RC_ASSERT(host.mReboots == 1);
    }
  }));
}

BOOST_AUTO_TEST_CASE(ARebootThatWasNotSentIsAskedForAgain)
{
  PlannerRun run;
  PlannerRunSettings settings;
  settings.mRebootUnsent = 0.4;
  StartWithPool(run, settings, 2, 8);
  RunMaintenance(run, kKernel, std::chrono::hours(12));
  BOOST_TEST((PhaseOf(run) == MaintenancePhase::Done));
  BOOST_TEST(run.mFleet.mMaintenances.at(kKernel).mFinished.size() == 8u);
}

BOOST_AUTO_TEST_CASE(AWholeRackIsTakenWhereTheBudgetAllows)
{
  PlannerRun run;
  StartWithPool(run, {}, 4, 12);
  StepRun(run);
  BOOST_TEST(CountPhase(run, HostPhase::Leaving) == 4);
  std::set<RackName> racks;
  for (const auto& [name, host] : run.mFleet.mHosts) {
    if (host.mPhase == HostPhase::Leaving) {
      racks.insert(host.mRack);
    }
  }
  BOOST_TEST(racks.size() == 1u);
}

BOOST_AUTO_TEST_CASE(ADeadHostCountsAgainstTheBudget)
{
  PlannerRun run;
  StartWithPool(run, {}, 1, 4);
  FailHost(run, HostName("previews-h3"), std::chrono::hours(2));
  RunFor(run, std::chrono::minutes(30));
  BOOST_TEST(run.mFigures.mReboots == 0);
  BOOST_TEST(run.mWaits.size() == 4u);
  RunMaintenance(run, kKernel, std::chrono::hours(6));
  BOOST_TEST((PhaseOf(run) == MaintenancePhase::Done));
}

BOOST_AUTO_TEST_CASE(TheFoldRefusesWhatTwoLeadersWouldBreakTogether)
{
  PlannerRun run;
  StartWithPool(run, {}, 1, 4);
  HostLeaving leaving{ HostName("previews-h1"), LeaveReason::Maintenance, {}, false, 1, "" };
  BOOST_TEST(AppendTo(run, "leader", std::nullopt, leaving).mAccepted);
  leaving.mHost = HostName("previews-h2");
  BOOST_TEST(!AppendTo(run, "leader", std::nullopt, leaving).mAccepted);
  AppendTo(run, "members", std::nullopt, LeaderElected{ MemberName("e2"), 2 });
  HostRebootRequested reboot{ HostName("previews-h1"), 1, 1 };
  AppendTo(run, "leader", std::nullopt, HostDrained{ HostName("previews-h1") });
  BOOST_TEST(!AppendTo(run, "former leader", std::nullopt, reboot).mAccepted);
}

BOOST_AUTO_TEST_CASE(OfTwoRequestsForARebootOneIsMade)
{
  PlannerRun run;
  StartWithPool(run, {}, 1, 4);
  HostName host("previews-h1");
  AppendTo(
    run, "leader", std::nullopt, HostLeaving{ host, LeaveReason::Maintenance, {}, false, 1, "" });
  AppendTo(run, "leader", std::nullopt, HostDrained{ host });
  auto version = run.mFleet.mHosts.at(host).mPhaseVersion;
  BOOST_TEST(AppendTo(run, "leader", version, HostRebootRequested{ host, 1, 1 }).mAccepted);
  BOOST_TEST(!AppendTo(run, "leader", version, HostRebootRequested{ host, 1, 1 }).mAccepted);
}

BOOST_AUTO_TEST_CASE(AFormerLeaderReportsNoFailures)
{
  PlannerRun run;
  StartWithPool(run, {}, 1, 4);
  HostFailed failed{ HostName("previews-h1"), HostFailure::Lost, 0 };
  BOOST_TEST(!AppendTo(run, "former leader", std::nullopt, failed).mAccepted);
}

BOOST_AUTO_TEST_CASE(CorrelatedFailuresStopTheWave)
{
  PlannerRun run;
  PlannerRunSettings settings;
  settings.mNoReturn = 1.0;
  settings.mMaxDrain = 5s;
  StartWithPool(run, settings, 4, 40);
  RunMaintenance(run, kKernel, std::chrono::hours(6));
  BOOST_TEST((PhaseOf(run) == MaintenancePhase::Stopped));
  BOOST_TEST(run.mFigures.mReboots == 4);
  BOOST_TEST(run.mFleet.mMaintenances.at(kKernel).mNotReturned.size() >= 3u);
  for (auto& [name, host] : run.mHosts) {
    host.mBackAt = std::min(host.mBackAt, run.mNow);
  }
  run.mSettings.mNoReturn = 0.0;
  BOOST_TEST(SetMaintenancePhase(run, MaintenancePhase::Running).mAccepted);
  RunMaintenance(run, kKernel, std::chrono::hours(12));
  BOOST_TEST((PhaseOf(run) == MaintenancePhase::Done));
  BOOST_TEST(run.mFleet.mMaintenances.at(kKernel).mFinished.size() == 40u);
}

BOOST_AUTO_TEST_CASE(HostsThatFailSoonAfterTheirReturnStopTheWave)
{
  PlannerRun run;
  StartWithPool(run, {}, 1, 12);
  run.mSettings.mTune = [&run](const FleetState&, FleetPlan& aPlan) {
    for (const auto& proposal : aPlan.mProposals) {
      if (const auto* joined = std::get_if<HostJoined>(&proposal.mChange)) {
        FailHost(run, joined->mHost, std::chrono::minutes(5));
      }
    }
  };
  RunMaintenance(run, kKernel, std::chrono::hours(6));
  BOOST_TEST((PhaseOf(run) == MaintenancePhase::Stopped));
}

BOOST_AUTO_TEST_CASE(AHostThatStaysAwayIsReportedAndTheRestGoesOn)
{
  PlannerRun run;
  StartWithPool(run, {}, 2, 8);
  run.mSettings.mTune = [&run](const FleetState&, FleetPlan&) {
    auto& host = run.mHosts.at(HostName("previews-h2"));
    host.mBackAt = host.mReboots > 0 ? TimePoint::max() : host.mBackAt;
  };
  RunMaintenance(run, kKernel, std::chrono::hours(6));
  const auto& maintenance = run.mFleet.mMaintenances.at(kKernel);
  BOOST_TEST((run.mFleet.mHosts.at(HostName("previews-h2")).mFailure == HostFailure::NotReturned));
  BOOST_TEST(maintenance.mNotReturned.size() == 1u);
  // The rest of its own rack is done; other racks wait, since one rack may be affected.
  BOOST_TEST(maintenance.mFinished.size() == 3u);
  AppendTo(run,
           "operator test",
           std::nullopt,
           HostLeaving{ HostName("previews-h2"), LeaveReason::Removal, {}, false, {}, "" });
  RunMaintenance(run, kKernel, std::chrono::hours(6));
  BOOST_TEST((PhaseOf(run) == MaintenancePhase::Done));
  BOOST_TEST(!run.mFleet.mHosts.contains(HostName("previews-h2")));
}

BOOST_AUTO_TEST_CASE(APausedWaveStartsNoHostAndGoesOnWhenResumed)
{
  PlannerRun run;
  StartWithPool(run, {}, 2, 8);
  RunFor(run, std::chrono::minutes(1));
  BOOST_TEST(SetMaintenancePhase(run, MaintenancePhase::Paused).mAccepted);
  RunFor(run, std::chrono::minutes(30));
  BOOST_TEST(CountPhase(run, HostPhase::InService) == 8);
  auto reboots = run.mFigures.mReboots;
  RunFor(run, std::chrono::minutes(30));
  BOOST_TEST(run.mFigures.mReboots == reboots);
  BOOST_TEST(ExplainsEveryWait(run));
  SetMaintenancePhase(run, MaintenancePhase::Running);
  RunMaintenance(run, kKernel, std::chrono::hours(6));
  BOOST_TEST((PhaseOf(run) == MaintenancePhase::Done));
}

BOOST_AUTO_TEST_CASE(ACancelledWaveGivesItsHostsBackAndCannotBeResumed)
{
  PlannerRun run;
  PlannerRunSettings settings;
  settings.mMinDrain = 60s;
  StartWithPool(run, settings, 2, 8);
  StepRun(run);
  BOOST_TEST(SetMaintenancePhase(run, MaintenancePhase::Cancelled).mAccepted);
  RunFor(run, std::chrono::minutes(30));
  BOOST_TEST(CountPhase(run, HostPhase::InService) == 8);
  BOOST_TEST(run.mFigures.mReboots == 0);
  BOOST_TEST(!SetMaintenancePhase(run, MaintenancePhase::Running).mAccepted);
}

BOOST_AUTO_TEST_CASE(NothingIsTakenOutOnAnOldListOfHosts)
{
  PlannerRun run;
  StartWithPool(run, {}, 2, 8);
  PlannerMemory memory;
  FleetLoad load;
  load.mListedAt = run.mNow - 60s;
  auto plan = PlanFleet({}, run.mFleet, load, memory, run.mNow);
  BOOST_TEST(plan.mProposals.empty());
  BOOST_TEST(plan.mWaits.size() == 8u);
}

BOOST_AUTO_TEST_SUITE_END()
