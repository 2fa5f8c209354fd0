#include "LibSchedule/CallerRequests.h"
#include "Plays.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Duration kStart = 1s;
constexpr Duration kTimeToAnswer = 300ms;
// After this time a change of the manifest is in force at every host.
constexpr Duration kManifestDeadline = 2s;
constexpr char kFormer[] = "previews";
constexpr char kPresent[] = "archives";
constexpr int kHosts = 3;

SimulationSettings
TwoPools()
{
  SimulationSettings settings;
  settings.mOtherExecutors = 4;
  return settings;
}

ReplyKind
Ask(Simulation& aSimulation, int aHost, const JobId& aJob)
{
  aSimulation.AskState(aHost, aJob);
  aSimulation.RunFor(kTimeToAnswer);
  return aSimulation.LastReply(aJob);
}

std::int64_t
CountPending(Simulation& aSimulation, int aHost)
{
  aSimulation.AskCount(aHost);
  aSimulation.RunFor(kTimeToAnswer);
  return aSimulation.LastCount();
}

// On how many executors of the service a task of the job runs.
int
RunsOn(const Simulation& aSimulation, const JobId& aJob, std::string_view aService)
{
  int runs = 0;
  for (const auto& executor : aSimulation.mExecutors) {
    for (const auto& [run, state] : executor.mRuns) {
      auto isThere = executor.mEntry.mService.mValue == aService && run.mTask.mJob == aJob;
      runs += isThere && !state.mStoppedAt ? 1 : 0;
    }
  }
  return runs;
}

std::int64_t
StoredRecords(const Simulation& aSimulation, Stream aStream, const JobId& aJob)
{
  std::int64_t count = 0;
  for (const auto& [key, partition] : aSimulation.mStore.mPartitions) {
    count += key.mStream == aStream && partition.mNewest.contains(aJob.mValue) ? 1 : 0;
  }
  return count;
}

}

BOOST_AUTO_TEST_SUITE(MovedQueues)

// Guards against a 410 for an accepted job, and a second run of its tasks, once the route of its
// queue has come back with another service (LOST, TWICE).
BOOST_AUTO_TEST_CASE(a_running_job_stays_one_job_when_its_queue_comes_back_with_another_service)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(3, 1) }, "15000");
  simulation.RunFor(1s);
  BOOST_TEST(RunsOn(simulation, job, kFormer) == 3);
  simulation.MoveQueue("");
  simulation.RunFor(1s);
  simulation.MoveQueue(kPresent);
  simulation.RunFor(kManifestDeadline);
  for (int host = 0; host < kHosts; ++host) {
    BOOST_TEST((Ask(simulation, host, job) == ReplyKind::State));
    BOOST_TEST((simulation.PhaseAt(job) == JobPhase::Running));
    simulation.Repeat(host, job);
    simulation.RunFor(kTimeToAnswer);
    BOOST_TEST((simulation.LastReply(job) == ReplyKind::Accepted));
  }
  BOOST_TEST(simulation.CountRuns(job) == 3);
  simulation.RunFor(20s);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(a_job_that_waits_and_one_that_has_ended_are_known_after_their_queue_moves)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  auto ended = simulation.Submit(0, { MakeStep(1, 1) }, "100");
  simulation.RunFor(1s);
  auto waits = simulation.Submit(0, { MakeStep(1, 100) }, "100");
  simulation.RunFor(kTimeToAnswer);
  simulation.MoveQueue(kPresent);
  simulation.RunFor(kManifestDeadline);
  for (int host = 0; host < kHosts; ++host) {
    BOOST_TEST((Ask(simulation, host, ended) == ReplyKind::State));
    BOOST_TEST((simulation.PhaseAt(ended) == JobPhase::Completed));
    BOOST_TEST((Ask(simulation, host, waits) == ReplyKind::State));
    BOOST_TEST((simulation.PhaseAt(waits) == JobPhase::Pending));
    BOOST_TEST(CountPending(simulation, host) == 1);
  }
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(a_cancellation_stops_the_tasks_that_run_on_the_former_service)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(3, 1) }, "60000");
  simulation.RunFor(1s);
  simulation.MoveQueue(kPresent);
  simulation.RunFor(kManifestDeadline);
  simulation.Cancel(1, job);
  simulation.RunFor(3s);
  BOOST_TEST((simulation.LastReply(job) == ReplyKind::Cancelled));
  BOOST_TEST(RunsOn(simulation, job, kFormer) == 0);
  BOOST_TEST((Ask(simulation, 2, job) == ReplyKind::State));
  BOOST_TEST((simulation.PhaseAt(job) == JobPhase::Cancelled));
  CheckInvariants(simulation);
}

// The manifest says who runs a job, wherever it is stored.
BOOST_AUTO_TEST_CASE(a_job_that_comes_after_the_move_runs_on_the_present_service)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  simulation.Submit(0, { MakeStep(1, 1) }, "100");
  simulation.RunFor(1s);
  simulation.MoveQueue(kPresent);
  simulation.RunFor(kManifestDeadline);
  auto job = simulation.Submit(1, { MakeStep(3, 1) }, "2000");
  simulation.RunFor(500ms);
  BOOST_TEST((simulation.LastReply(job) == ReplyKind::Accepted));
  BOOST_TEST(RunsOn(simulation, job, kPresent) == 3);
  for (int host = 0; host < kHosts; ++host) {
    simulation.Repeat(host, job);
    BOOST_TEST((Ask(simulation, host, job) == ReplyKind::State));
    BOOST_TEST((simulation.PhaseAt(job) == JobPhase::Running));
  }
  simulation.RunFor(4s);
  BOOST_TEST((Ask(simulation, 0, job) == ReplyKind::State));
  BOOST_TEST((simulation.PhaseAt(job) == JobPhase::Completed));
  BOOST_TEST(simulation.CountRuns(job) == 3);
  // Its definition is removed from both partitions once it has ended.
  BOOST_TEST(StoredRecords(simulation, Stream::Jobs, job) == 0);
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(jobs_that_wait_for_the_present_service_are_counted_and_cancelled)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  simulation.MoveQueue(kPresent);
  simulation.RunFor(kManifestDeadline);
  auto job = simulation.Submit(1, { MakeStep(1, 100) }, "100");
  auto other = simulation.Submit(2, { MakeStep(1, 100) }, "100");
  simulation.RunFor(500ms);
  for (int host = 0; host < kHosts; ++host) {
    BOOST_TEST(CountPending(simulation, host) == 2);
  }
  simulation.Cancel(0, job);
  simulation.RunFor(1s);
  BOOST_TEST((simulation.LastReply(job) == ReplyKind::Cancelled));
  BOOST_TEST((Ask(simulation, 2, job) == ReplyKind::State));
  BOOST_TEST((simulation.PhaseAt(job) == JobPhase::Cancelled));
  BOOST_TEST((Ask(simulation, 2, other) == ReplyKind::State));
  BOOST_TEST(CountPending(simulation, 0) == 1);
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(one_job_that_is_handed_in_by_two_manifests_remains_one_job)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  // Host 2 is cut off, so that it goes on by the former manifest for a moment.
  simulation.CutFromStore(2, true);
  simulation.MoveQueue(kPresent);
  simulation.RunFor(1s);
  auto job = simulation.Submit(1, { MakeStep(3, 1) }, "3000");
  simulation.Repeat(2, job);
  simulation.CutFromStore(2, false);
  simulation.RunFor(500ms);
  simulation.Repeat(2, job);
  simulation.RunFor(6s);
  BOOST_TEST(simulation.CountRuns(job) == 3);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(hosts_that_never_saw_the_former_manifest_know_its_jobs)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  auto former = simulation.Submit(0, { MakeStep(2, 1) }, "20000");
  simulation.RunFor(1s);
  simulation.MoveQueue(kPresent);
  simulation.RunFor(kManifestDeadline);
  auto present = simulation.Submit(0, { MakeStep(2, 1) }, "20000");
  simulation.RunFor(1s);
  for (int host = 0; host < kHosts; ++host) {
    simulation.Kill(host);
  }
  for (int host = 0; host < kHosts; ++host) {
    simulation.Revive(host);
  }
  simulation.RunFor(3s);
  for (const auto& job : { former, present }) {
    simulation.Repeat(1, job);
    for (int host = 0; host < kHosts; ++host) {
      BOOST_TEST((Ask(simulation, host, job) == ReplyKind::State));
      BOOST_TEST((simulation.PhaseAt(job) == JobPhase::Running));
    }
    BOOST_TEST(simulation.CountRuns(job) == 2);
  }
  simulation.RunFor(20s);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(a_queue_that_gets_its_first_service_back_keeps_all_its_jobs)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  auto first = simulation.Submit(0, { MakeStep(1, 1) }, "15000");
  simulation.RunFor(500ms);
  simulation.MoveQueue(kPresent);
  simulation.RunFor(kManifestDeadline);
  auto second = simulation.Submit(1, { MakeStep(1, 1) }, "15000");
  simulation.RunFor(500ms);
  simulation.MoveQueue(kFormer);
  simulation.RunFor(kManifestDeadline);
  auto third = simulation.Submit(2, { MakeStep(1, 1) }, "5000");
  simulation.RunFor(500ms);
  BOOST_TEST(RunsOn(simulation, first, kFormer) == 1);
  BOOST_TEST(RunsOn(simulation, second, kPresent) == 1);
  BOOST_TEST(RunsOn(simulation, third, kFormer) == 1);
  for (const auto& job : { first, second, third }) {
    simulation.Repeat(0, job);
    simulation.RunFor(kTimeToAnswer);
    BOOST_TEST((simulation.LastReply(job) == ReplyKind::Accepted));
    BOOST_TEST((Ask(simulation, 0, job) == ReplyKind::State));
  }
  simulation.RunFor(20s);
  BOOST_TEST(simulation.AllEnded());
  CheckInvariants(simulation);
}

BOOST_AUTO_TEST_CASE(the_jobs_of_a_service_that_no_manifest_names_any_more_end)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeStep(2, 1) }, "8000");
  simulation.RunFor(1s);
  simulation.MoveQueue(kPresent);
  simulation.RemoveService(kFormer);
  simulation.RunFor(kManifestDeadline);
  for (int host = 0; host < kHosts; ++host) {
    simulation.Kill(host);
    simulation.Revive(host);
  }
  simulation.RunFor(3s);
  BOOST_TEST((Ask(simulation, 1, job) == ReplyKind::State));
  BOOST_TEST((simulation.PhaseAt(job) == JobPhase::Running));
  simulation.RunFor(10s);
  BOOST_TEST((Ask(simulation, 1, job) == ReplyKind::State));
  BOOST_TEST((simulation.PhaseAt(job) == JobPhase::Completed));
  BOOST_TEST(simulation.CountRuns(job) == 2);
  CheckInvariants(simulation);
}

// A queue that keeps its service costs no call more.
BOOST_AUTO_TEST_CASE(a_request_of_a_queue_that_never_moved_makes_no_call_to_find_its_home)
{
  Simulation simulation(TwoPools());
  simulation.RunFor(kStart);
  simulation.Submit(0, { MakeStep(1, 1) }, "100");
  simulation.RunFor(1s);
  auto& node = simulation.mHosts[0].mNode;
  const auto& queues = node.mQueues;
  CallerRequest request;
  request.mTicket = 1'000'000;
  request.mKind = RequestKind::Submit;
  request.mHost = "studio.example";
  request.mPath = "/previews/00000000000000aa";
  request.mJob = JobDefinition{ .mSteps = { MakeStep(1, 1) } };
  auto actions = Handle(node, simulation.Time(), request);
  request.mKind = RequestKind::State;
  request.mPath = "/previews/00000000000000ab";
  auto more = Handle(node, simulation.Time(), request);
  actions.insert(actions.end(), more.begin(), more.end());
  BOOST_TEST(queues.mWaiting.empty());
  for (const auto& action : actions) {
    const auto* read = std::get_if<ReadCall>(&action);
    const auto* append = std::get_if<AppendCall>(&action);
    BOOST_TEST((read == nullptr || read->mStream != Stream::Queues));
    BOOST_TEST((append == nullptr || append->mStream != Stream::Queues));
  }
}

BOOST_AUTO_TEST_SUITE_END()
