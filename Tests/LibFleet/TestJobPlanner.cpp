#include "LibFleet/Fold.h"
#include "LibFleet/JobPlanner.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;

namespace {

// A state with one pool of hosts, and records folded as the planner proposes them.
struct Fixture
{
  FleetState mState;
  JobPlannerMemory mMemory;
  JobPlannerSettings mSettings;
  std::vector<TaskReport> mReports;
  std::set<HostName> mLive;
  TimePoint mNow{ std::chrono::hours(1) };
  Offset mNextOffset = 0;

  explicit Fixture(int aHosts)
  {
    PoolDefined pool;
    pool.mPool = PoolName("archives");
    pool.mPresets.push_back({ PresetName("ordinary"), aHosts, 0, 0.5 });
    pool.mInForce = PresetName("ordinary");
    Fold(pool);
    for (int i = 1; i <= aHosts; ++i) {
      HostAdded host;
      host.mHost = HostName("h" + std::to_string(i));
      host.mPool = pool.mPool;
      host.mAddress = "10.0.0.1:80";
      Fold(host);
      mLive.insert(host.mHost);
    }
    mMemory.mLeadingSince = mNow;
  }

  Decision Fold(Change aChange)
  {
    Record record;
    record.mId = RecordId("r" + std::to_string(mNextOffset));
    record.mTime = mNow;
    record.mAuthor = "test";
    record.mChange = std::move(aChange);
    return Apply(mState, { mNextOffset++, EncodeRecord(record) });
  }

  void Accept(const std::string& aJob, const std::string& aKind = "export", double aSlots = 1.0)
  {
    JobAccepted job;
    job.mJob = JobId(aJob);
    job.mPool = PoolName("archives");
    job.mKind = aKind;
    job.mSlots = aSlots;
    Fold(job);
  }

  JobPlan PlanAndFold()
  {
    auto plan = PlanJobs(
      mState,
      mMemory,
      mSettings,
      mReports,
      mLive,
      [](const HostName&, Offset) { return true; },
      mNow);
    for (const auto& change : plan.mChanges) {
      Fold(change.mChange);
    }
    return plan;
  }

  // Plans, and lets every task that is started fail at once.
  void PlanAndFailAll()
  {
    auto plan = PlanAndFold();
    for (const auto& start : plan.mStarts) {
      mReports.push_back(
        { start.mWorker, start.mJob, start.mEpoch, TaskPhase::Failed, "", "failed", 0.0 });
    }
    mNow += 1s;
  }

  [[nodiscard]] const JobState& Job(const std::string& aJob) const
  {
    return mState.mJobs.mJobs.at(JobId(aJob));
  }
};

}

BOOST_AUTO_TEST_SUITE(TestJobPlanner)

BOOST_AUTO_TEST_CASE(AJobIsAssignedAndStartedAtItsEpoch)
{
  Fixture fixture(2);
  fixture.Accept("j1");
  fixture.PlanAndFold();
  BOOST_TEST((fixture.Job("j1").mPhase == JobPhase::Assigned));
  auto plan = fixture.PlanAndFold();
  BOOST_REQUIRE(plan.mStarts.size() == 1U);
  BOOST_TEST(plan.mStarts[0].mEpoch == 1);
}

BOOST_AUTO_TEST_CASE(ALateReportOfAnEarlierEpochDoesNotCount)
{
  Fixture fixture(2);
  fixture.Accept("j1");
  fixture.PlanAndFold();
  JobEnded released{ JobId("j1"), 1, JobEnd::Released, "500", "", 0.0 };
  BOOST_TEST(fixture.Fold(released).mAccepted);
  fixture.PlanAndFold();
  BOOST_TEST(fixture.Job("j1").mEpoch == 2);
  JobEnded late{ JobId("j1"), 1, JobEnd::Finished, "", "", 0.0 };
  BOOST_TEST(!fixture.Fold(late).mAccepted);
  BOOST_TEST(fixture.Job("j1").mCheckpoint == "500");
}

BOOST_AUTO_TEST_CASE(AJobOnAnUnreachableWorkerWaitsForTheEndOfTheLease)
{
  Fixture fixture(2);
  fixture.Accept("j1");
  fixture.PlanAndFold();
  fixture.PlanAndFold();
  auto worker = fixture.Job("j1").mWorker;
  fixture.mLive.erase(worker);
  auto bound = fixture.mSettings.mLease + fixture.mSettings.mLeaseMargin;
  fixture.mNow += bound;
  fixture.PlanAndFold();
  BOOST_TEST(fixture.Job("j1").mEpoch == 1);
  fixture.mNow += 1s;
  fixture.PlanAndFold();
  fixture.PlanAndFold();
  BOOST_TEST(fixture.Job("j1").mEpoch == 2);
  BOOST_TEST(fixture.Job("j1").mWorker.mValue != worker.mValue);
}

BOOST_AUTO_TEST_CASE(AJobThatFailsOnHealthyWorkersIsReported)
{
  Fixture fixture(4);
  fixture.Accept("bad");
  for (int i = 0; i < 12; ++i) {
    fixture.PlanAndFailAll();
  }
  BOOST_TEST((fixture.Job("bad").mPhase == JobPhase::Unrunnable));
  BOOST_TEST(fixture.Job("bad").mFailedOn.size() == kMaxFailedWorkers);
}

BOOST_AUTO_TEST_CASE(AWorkerThatFailsEverythingIsQuarantinedAndItsJobsRunElsewhere)
{
  Fixture fixture(3);
  for (int i = 0; i < 9; ++i) {
    fixture.Accept("j" + std::to_string(i));
  }
  HostName bad("h1");
  for (int round = 0; round < 30; ++round) {
    auto plan = fixture.PlanAndFold();
    for (const auto& start : plan.mStarts) {
      auto phase = start.mWorker == bad ? TaskPhase::Failed : TaskPhase::Finished;
      fixture.mReports.push_back({ start.mWorker, start.mJob, start.mEpoch, phase, "", "", 1.0 });
    }
    fixture.mNow += 1s;
  }
  BOOST_TEST(fixture.mState.mJobs.mWorkers.at(bad).mQuarantined);
  BOOST_TEST(fixture.mState.mJobs.mOpen.empty());
  for (const auto& [id, job] : fixture.mState.mJobs.mJobs) {
    BOOST_TEST((job.mPhase == JobPhase::Finished), id.mValue);
  }
}

BOOST_AUTO_TEST_CASE(ObservedSizesReplaceDeclaredOnes)
{
  Fixture fixture(2);
  for (int i = 0; i < 3; ++i) {
    auto id = "j" + std::to_string(i);
    fixture.Accept(id, "rebuild", 1.0);
    fixture.PlanAndFold();
    JobEnded ended{ JobId(id), 1, JobEnd::Finished, "", "", 3.0 };
    BOOST_TEST(fixture.Fold(ended).mAccepted);
  }
  JobAccepted next;
  next.mKind = "rebuild";
  next.mSlots = 1.0;
  BOOST_TEST(RequiredSlots(fixture.mState.mJobs, next) == 3);
}

BOOST_AUTO_TEST_CASE(AWaveOfCancellationsCostsOneRecordAndStopsTheTasks)
{
  Fixture fixture(10);
  JobsCancelled cancelled;
  for (int i = 0; i < 30; ++i) {
    fixture.Accept("j" + std::to_string(i));
    cancelled.mJobs.emplace_back("j" + std::to_string(i));
  }
  fixture.PlanAndFold();
  auto plan = fixture.PlanAndFold();
  for (const auto& start : plan.mStarts) {
    fixture.mReports.push_back(
      { start.mWorker, start.mJob, start.mEpoch, TaskPhase::Running, "", "", 1.0 });
  }
  BOOST_TEST(fixture.Fold(cancelled).mAccepted);
  BOOST_TEST(fixture.PlanAndFold().mStops.size() == plan.mStarts.size());
  BOOST_TEST(fixture.mState.mJobs.mOpen.empty());
}

BOOST_AUTO_TEST_SUITE_END()
