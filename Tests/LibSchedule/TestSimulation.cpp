#include "Plays.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Duration kStart = 1s;

JobPhase
QueryPhase(Simulation& aSimulation, int aHost, const JobId& aJob)
{
  aSimulation.AskState(aHost, aJob);
  aSimulation.RunFor(200ms);
  return aSimulation.PhaseAt(aJob);
}

}

BOOST_AUTO_TEST_SUITE(TheSimulation)

BOOST_AUTO_TEST_CASE(a_job_is_accepted_run_and_shown_as_completed_at_every_host)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(3, 1), After(MakeStep(2, 2), { 0 }) }, "100");
  simulation.RunFor(1s);
  BOOST_TEST(simulation.CountRuns(job) == 5);
  for (int host = 0; host < 3; ++host) {
    BOOST_TEST((QueryPhase(simulation, host, job) == JobPhase::Completed));
  }
  CheckInvariants(simulation);
}

// Callers ask every entry host for the states of all jobs while these run. When each host read the
// placements of all tasks to answer them, the traffic of a host grew with the work of the pool, and
// slow links had no room left for anything else.
BOOST_AUTO_TEST_CASE(queries_cost_a_host_a_few_bytes_a_job_however_many_tasks_it_has)
{
  constexpr int kHosts = 6;
  constexpr int kJobs = 24;
  constexpr std::int64_t kMaxBytesPerJob = 200;
  Simulation simulation({ .mHosts = kHosts, .mExecutors = 8 });
  simulation.RunFor(kStart);
  std::vector<JobId> jobs;
  jobs.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(
      simulation.Submit(i % kHosts, { MakeStep(12, 1), After(MakeStep(12, 1), { 0 }) }, "300"));
  }
  for (int round = 0; round < 60; ++round) {
    for (int host = 0; host < kHosts; ++host) {
      simulation.AskState(host, jobs[static_cast<std::size_t>(round % kJobs)]);
    }
    simulation.RunFor(100ms);
  }
  BOOST_TEST(simulation.AllEnded());
  BOOST_TEST(simulation.QueryBytes() / (kHosts * kJobs) < kMaxBytesPerJob);
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(a_job_that_nobody_handed_in_is_not_known)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  JobId nobody("00000000000000ff");
  simulation.AskState(1, nobody);
  simulation.RunFor(200ms);
  BOOST_TEST((simulation.LastReply(nobody) == ReplyKind::Gone));
}

BOOST_AUTO_TEST_CASE(a_job_fails_after_as_many_failed_runs_as_its_queue_allows)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(1, 1) }, "fails");
  simulation.RunFor(6s);
  BOOST_TEST(simulation.CountRuns(job) == 3);
  BOOST_TEST((QueryPhase(simulation, 1, job) == JobPhase::Failed));
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_stops_and_starts_nothing_more)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(2, 1, 1) }, "lasts");
  simulation.RunFor(1s);
  simulation.Cancel(2, job);
  simulation.RunFor(2s);
  for (const auto& executor : simulation.mExecutors) {
    BOOST_TEST(executor.mRuns.empty());
  }
  BOOST_TEST((QueryPhase(simulation, 1, job) == JobPhase::Cancelled));
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(another_host_takes_over_from_a_killed_owner)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(4, 1), After(MakeStep(4, 1), { 0 }) }, "1500");
  simulation.RunFor(500ms);
  auto owner = OwnerOf(simulation);
  BOOST_REQUIRE(owner >= 0);
  simulation.Kill(owner);
  simulation.RunFor(6s);
  BOOST_TEST(simulation.AllEnded());
  // The new owner took over the running tasks and did not start them again.
  BOOST_TEST(simulation.CountRuns(job) == 8);
  CheckInvariants(simulation);
}

// An owner on a host with a tenth of a core falls behind in a burst.
BOOST_AUTO_TEST_CASE(the_largest_hosts_own_shards_and_small_ones_only_without_them)
{
  Simulation simulation({ .mHosts = 4, .mSmallHosts = 3 });
  simulation.RunFor(4s);
  BOOST_TEST(OwnerOf(simulation) == 3);
  simulation.Kill(3);
  simulation.RunFor(5s);
  auto small = OwnerOf(simulation);
  BOOST_TEST(small >= 0);
  BOOST_TEST(small < 3);
  auto job = simulation.Submit(small, { MakeStep(3, 1) }, "1000");
  simulation.RunFor(300ms);
  simulation.Revive(3);
  simulation.RunFor(8s);
  BOOST_TEST(OwnerOf(simulation) == 3);
  BOOST_TEST(simulation.CountRuns(job) == 3);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_no_task)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(4, 1) }, "2000");
  simulation.RunFor(500ms);
  simulation.StopGracefully(OwnerOf(simulation));
  simulation.RunFor(4s);
  BOOST_TEST(simulation.CountRuns(job) == 4);
  BOOST_TEST(simulation.AllEnded());
}

BOOST_AUTO_TEST_CASE(all_hosts_at_once_may_die_right_after_an_acknowledgement)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(4, 1) }, "500");
  simulation.RunFor(12ms);
  BOOST_REQUIRE(simulation.mJobs.at(job).mAccepted);
  for (int host = 0; host < 3; ++host) {
    simulation.Kill(host);
  }
  simulation.RunFor(2s);
  for (int host = 0; host < 3; ++host) {
    simulation.Revive(host);
  }
  simulation.RunFor(5s);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(an_owner_that_is_cut_off_from_the_log_stops_placing_work)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto owner = OwnerOf(simulation);
  simulation.CutFromStore(owner, true);
  simulation.RunFor(4s);
  auto other = OwnerOf(simulation) == owner ? (owner + 1) % 3 : OwnerOf(simulation);
  auto job = simulation.Submit((owner + 1) % 3, { MakeStep(2, 1) }, "100");
  simulation.RunFor(2s);
  BOOST_TEST(simulation.CountRuns(job) == 2);
  BOOST_TEST(other != owner);
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(long_running_tasks_outlive_an_outage_of_the_log)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(3, 1, 0) }, "lasts");
  simulation.RunFor(1s);
  simulation.StoreDown(true);
  simulation.RunFor(6s);
  simulation.StoreDown(false);
  simulation.RunFor(4s);
  BOOST_TEST(simulation.CountRuns(job) == 3);
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(callers_are_refused_at_once_while_the_log_is_away)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  simulation.StoreDown(true);
  simulation.RunFor(2s);
  auto first = simulation.Submit(0, { MakeStep(1, 1) }, "100");
  auto second = simulation.Submit(0, { MakeStep(1, 1) }, "100");
  simulation.RunFor(5s);
  // The first record was sent, so its outcome is unknown. The second was never sent.
  BOOST_TEST((simulation.LastReply(first) == ReplyKind::Unknown));
  BOOST_TEST((simulation.LastReply(second) == ReplyKind::Refused));
  simulation.StoreDown(false);
  simulation.RunFor(5s);
  BOOST_TEST(simulation.CountRuns(second) == 0);
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(a_forgotten_history_loses_no_job)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  simulation.Submit(0, { MakeStep(2, 1) }, "300");
  simulation.RunFor(100ms);
  TrimHistory(simulation.mStore);
  simulation.Submit(1, { MakeStep(2, 1) }, "300");
  simulation.RunFor(4s);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_SUITE_END()
