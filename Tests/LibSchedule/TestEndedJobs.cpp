#include "LibSchedule/EndedJobs.h"
#include "LibSchedule/JobRecords.h"
#include "LibStandIn/Simulation.h"
#include "Steps.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Instant kStart{ 100s };
const JobId kJob("0000000000000001");

std::vector<std::string>
Removed(const Actions& aActions)
{
  std::vector<std::string> keys;
  for (const auto& action : aActions) {
    const auto& call = std::get<AppendCall>(action);
    for (const auto& record : call.mRecords) {
      BOOST_TEST(record.mValue.empty());
      keys.push_back(record.mKey);
    }
  }
  return keys;
}

struct Jobs
{
  EndedJobs mJobs;
  Actions mActions;

  std::vector<std::string> Advance(Duration aTime)
  {
    mActions.clear();
    AdvanceRemoval(mJobs, kStart + aTime, 3, 7, mActions);
    return Removed(mActions);
  }

  void Answer(Duration aTime, CallResult aResult)
  {
    AppendAnswer answer;
    answer.mResult = aResult;
    OnRemovalAnswer(mJobs, kStart + aTime, answer);
  }
};

void
AddPublished(EndedJobs& aJobs, const JobId& aId)
{
  AddEndedJob(aJobs, aId);
  OnStatesPublished(aJobs, { { aId.mValue, EncodeJobState({ JobPhase::Completed, {} }) } });
}

// The number of definitions in the jobs stream.
std::size_t
CountDefinitions(const Simulation& aSimulation)
{
  std::size_t count = 0;
  for (const auto& [key, partition] : aSimulation.mStore.mPartitions) {
    count += key.mStream == Stream::Jobs ? partition.mNewest.size() : 0;
  }
  return count;
}

}

BOOST_AUTO_TEST_SUITE(TheEndedJobs)

BOOST_AUTO_TEST_CASE(jobs_that_end_together_are_removed_together)
{
  Jobs jobs;
  AddPublished(jobs.mJobs, kJob);
  AddPublished(jobs.mJobs, JobId("0000000000000002"));
  std::vector<std::string> both{ kJob.mValue, "0000000000000002" };
  BOOST_TEST(jobs.Advance(0s) == both);
  AddPublished(jobs.mJobs, JobId("0000000000000003"));
  BOOST_TEST(jobs.Advance(2s).empty());
  jobs.Answer(2s, CallResult::Done);
  BOOST_TEST(jobs.Advance(2s).size() == 1u);
}

// An entry host that lacks a job's state looks for the job in the jobs stream.
BOOST_AUTO_TEST_CASE(a_definition_stays_until_the_final_state_is_published)
{
  Jobs jobs;
  AddEndedJob(jobs.mJobs, kJob);
  AddEndedJobRecord(jobs.mJobs, kJob, CancellationKey(kJob));
  OnStatesPublished(jobs.mJobs, { { kJob.mValue, EncodeJobState({ JobPhase::Running, {} }) } });
  BOOST_TEST(jobs.Advance(0s).empty());
  OnStatesPublished(jobs.mJobs, { { kJob.mValue, EncodeJobState({ JobPhase::Cancelled, {} }) } });
  BOOST_TEST(jobs.Advance(1s).size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_removal_that_fails_is_repeated)
{
  Jobs jobs;
  AddPublished(jobs.mJobs, kJob);
  jobs.Advance(0s);
  jobs.Answer(1s, CallResult::Unanswered);
  BOOST_TEST(jobs.Advance(2s).size() == 1u);
}

// Without its progress a definition would be taken for a new job.
BOOST_AUTO_TEST_CASE(progress_expires_only_after_the_definition_is_removed)
{
  Jobs jobs;
  AddPublished(jobs.mJobs, kJob);
  jobs.Advance(0s);
  BOOST_TEST(!HasExpired(jobs.mJobs, kStart + 700s));
  jobs.Answer(700s, CallResult::Done);
  BOOST_TEST(!HasExpired(jobs.mJobs, kStart + 701s));
  BOOST_TEST(TakeExpired(jobs.mJobs, kStart + 1301s, 10).size() == 1u);
  BOOST_TEST(!jobs.mJobs.mIds.contains(kJob));
}

BOOST_AUTO_TEST_CASE(a_job_that_is_handed_in_again_is_removed_again_before_it_expires)
{
  Jobs jobs;
  AddPublished(jobs.mJobs, kJob);
  jobs.Advance(0s);
  jobs.Answer(0s, CallResult::Done);
  AddEndedJobRecord(jobs.mJobs, kJob, kJob.mValue);
  BOOST_TEST(TakeExpired(jobs.mJobs, kStart + 601s, 10).empty());
  BOOST_TEST(jobs.Advance(602s).size() == 1u);
  jobs.Answer(602s, CallResult::Done);
  BOOST_TEST(TakeExpired(jobs.mJobs, kStart + 1203s, 10).size() == 1u);
}

// A host with a link of 2 Mbit/s that took over a shard loaded the definitions of all jobs that had
// ever run, and did not get one page of them within the timeout of a call.
BOOST_AUTO_TEST_CASE(a_new_owner_loads_only_jobs_that_are_under_way)
{
  Simulation simulation({});
  simulation.RunFor(1s);
  for (int i = 0; i < 20; ++i) {
    simulation.Submit(i % 3, { MakeStep(1, 1) }, "50");
  }
  auto lasting = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  simulation.RunFor(4s);
  BOOST_TEST(CountDefinitions(simulation) == 1u);
  simulation.Cancel(0, lasting);
  simulation.RunFor(4s);
  BOOST_TEST(CountDefinitions(simulation) == 0u);
  BOOST_TEST(simulation.Violations().empty());
}

// Progress was removed ten minutes after a job's end while its definition stayed, so that the next
// owner ran the job again.
BOOST_AUTO_TEST_CASE(a_job_does_not_run_again_once_its_outcome_has_expired)
{
  Simulation simulation({});
  simulation.RunFor(1s);
  auto job = simulation.Submit(0, { MakeStep(2, 1) }, "50");
  simulation.RunFor(620s);
  for (int host = 0; host < 3; ++host) {
    simulation.Kill(host);
    simulation.Revive(host);
  }
  simulation.RunFor(20s);
  BOOST_TEST(simulation.CountRuns(job) == 2);
  BOOST_TEST(simulation.Violations().empty());
  simulation.AskState(1, job);
  simulation.RunFor(1s);
  BOOST_TEST((simulation.LastReply(job) == ReplyKind::Gone));
}

BOOST_AUTO_TEST_SUITE_END()
