#include "Actions.h"
#include "LibSchedule/Shard.h"
#include "Plays.h"
#include "Steps.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::standin;

namespace {

constexpr Duration kStart = 1s;
constexpr Duration kDelay = 6s;
constexpr Duration kTimeToAnswer = 200ms;

// What callers are told by one host.
struct Told
{
  JobPhase mPhase = JobPhase::Pending;
  std::int64_t mPendingCount = 0;

  bool operator==(const Told&) const = default;
};

std::ostream&
operator<<(std::ostream& aStream, const Told& aTold)
{
  return aStream << "phase " << static_cast<int>(aTold.mPhase) << ", " << aTold.mPendingCount
                 << " pending";
}

Told
Ask(Simulation& aSimulation, int aHost, const JobId& aJob)
{
  aSimulation.AskState(aHost, aJob);
  aSimulation.AskCount(aHost);
  aSimulation.RunFor(kTimeToAnswer);
  return { aSimulation.PhaseAt(aJob), aSimulation.LastCount() };
}

constexpr Told kWaits{ JobPhase::Pending, 1 };
constexpr Told kRuns{ JobPhase::Running, 0 };
constexpr Told kIsCompleted{ JobPhase::Completed, 0 };

constexpr Now kNow{ Instant(100s), TimePoint(1000s) };
constexpr std::int64_t kEpoch = 7;
const JobId kJob("0000000000000001");
const ExecutorId kExecutor("x1");
const TaskRun kRun{ { kJob, 0, 0, 0 }, 1 };

JobDefinition
Definition()
{
  JobDefinition definition;
  definition.mQueue = QueueName("previews");
  definition.mService = ServiceName("studio");
  definition.mTenant = TenantName("weavers");
  definition.mSteps = { MakeStep(1, 1) };
  return definition;
}

// The progress of a job whose only task was placed on the executor.
JobProgress
PlacedProgress(JobPhase aPhase)
{
  TaskProgress task;
  task.mHighestRun = kRun.mRun;
  task.mExecutors = { { kExecutor, 0 } };
  return { aPhase, TenantHashOf(Definition().mTenant), {}, { task } };
}

// A shard that is taken over with one job, from an owner that had published nothing.
struct TakeOver
{
  Shard mShard = MakeShard(3, {}, kNow.mAt);
  Actions mActions;
  Duration mTime{ 0 };

  explicit TakeOver(JobPhase aPhase)
  {
    mShard.mPhase = ShardPhase::LoadingProgress;
    mShard.mEpoch = kEpoch;
    mShard.mStates.mEpoch = kEpoch;
    AnswerNewest(Stream::Progress, { { kJob.mValue, EncodeProgress(PlacedProgress(aPhase)), 0 } });
    AnswerNewest(Stream::Jobs, { { kJob.mValue, EncodeJob(Definition()), 0 } });
    Advance();
    AnswerPublication();
    AnswerWrite(CallResult::Done);
    Advance();
    AnswerNewest(Stream::JobStates, {});
  }

  [[nodiscard]] Now Time() const { return { kNow.mAt + mTime, kNow.mWall + mTime }; }

  void Advance()
  {
    mTime += 50ms;
    mActions.clear();
    ConfirmOwnership(mShard, Time().mAt);
    schedule::Advance(mShard, Time(), mActions);
  }

  void AnswerNewest(Stream aStream, std::vector<KeyedRecord> aRecords)
  {
    ReadNewestAnswer answer;
    answer.mCall.mStream = aStream;
    answer.mCall.mTicket = kEpoch;
    answer.mResult = CallResult::Done;
    answer.mEnd = static_cast<std::int64_t>(aRecords.size());
    answer.mRecords = std::move(aRecords);
    OnNewestAnswer(mShard, Time(), answer, mActions);
  }

  // Answers the append to the stream of states, and returns its records.
  std::vector<LogRecord> AnswerPublication()
  {
    for (const auto& call : Select<AppendCall>(mActions)) {
      if (call.mStream == Stream::JobStates) {
        AppendAnswer answer;
        answer.mCall = call;
        answer.mResult = CallResult::Done;
        OnAppendAnswer(mShard, Time(), answer, mActions);
        return call.mRecords;
      }
    }
    return {};
  }

  // Answers the append to the progress stream that was sent last.
  void AnswerWrite(CallResult aResult)
  {
    for (const auto& call : Select<AppendCall>(mActions)) {
      if (call.mStream == Stream::Progress) {
        AppendAnswer answer;
        answer.mCall = call;
        answer.mResult = aResult;
        answer.mSentAt = Time().mAt;
        OnAppendAnswer(mShard, Time(), answer, mActions);
      }
    }
  }

  // Whether the job is counted and logged as completed.
  [[nodiscard]] bool IsReportedAsCompleted() const
  {
    auto entries = Select<LogEntry>(mActions);
    auto isLogged = std::any_of(entries.begin(), entries.end(), [](const LogEntry& aEntry) {
      return aEntry.mEvent == "job-finished" && aEntry.mOutcome == "completed";
    });
    BOOST_TEST(isLogged == (mShard.mCounters.mJobsCompleted == 1));
    return isLogged;
  }

  // The state of the job that is published next, if any.
  std::optional<JobState> NextState()
  {
    Advance();
    for (const auto& record : AnswerPublication()) {
      if (record.mKey == kJob.mValue) {
        return *DecodeJobState(record.mValue);
      }
    }
    return std::nullopt;
  }

  void AnswerHeartbeat(std::vector<RunningTask> aRunning, std::vector<TaskEnd> aEnds)
  {
    HeartbeatAnswer answer;
    answer.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
    answer.mResult = CallResult::Done;
    answer.mIncarnation = 1;
    answer.mRunning = std::move(aRunning);
    answer.mEnds = std::move(aEnds);
    answer.mSentAt = Time().mAt;
    OnHeartbeatAnswer(mShard, Time(), answer, mActions);
  }
};

}

BOOST_AUTO_TEST_SUITE(ThePhasesOfJobs)

// Guards against a pending count that leaves out jobs whose starts are still on the way (MIXED): a
// job counted as running as soon as it was placed.
BOOST_AUTO_TEST_CASE(a_job_waits_while_the_starts_of_its_tasks_are_on_the_way)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  simulation.DelayStarts({ .mRequest = kDelay });
  auto job = simulation.Submit(0, { MakeStep(2, 1) }, "300");
  simulation.RunFor(kTimeToAnswer);
  for (int round = 0; round < 8; ++round) {
    for (int host = 0; host < 3; ++host) {
      BOOST_TEST(Ask(simulation, host, job) == kWaits);
    }
  }
  simulation.DelayStarts({});
  simulation.RunFor(4s);
  BOOST_TEST(Ask(simulation, 1, job) == kIsCompleted);
  CheckInvariants(simulation);
}

// Guards against a job that is said to wait until it has ended, since the answers to its starts
// were lost: the executor's list shows that it runs.
BOOST_AUTO_TEST_CASE(a_job_runs_once_its_executor_lists_it_whatever_became_of_the_answer)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  simulation.DelayStarts({ .mAnswer = kDelay });
  auto job = simulation.Submit(0, { MakeStep(2, 1) }, "6000");
  simulation.RunFor(500ms);
  BOOST_TEST(Ask(simulation, 1, job) == kWaits);
  simulation.RunFor(3s);
  BOOST_TEST(Ask(simulation, 1, job) == kRuns);
  simulation.RunFor(4s);
  BOOST_TEST(Ask(simulation, 1, job) == kIsCompleted);
  CheckInvariants(simulation);
}

// Guards against a new owner that takes the placements of the former one for begun tasks.
BOOST_AUTO_TEST_CASE(a_job_that_was_placed_by_a_former_owner_waits_until_it_begins)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  simulation.DelayStarts({ .mRequest = kDelay });
  auto job = simulation.Submit(0, { MakeStep(1, 1) }, "300");
  simulation.RunFor(kTimeToAnswer);
  auto former = OwnerOf(simulation);
  BOOST_REQUIRE(former >= 0);
  simulation.Kill(former);
  for (int round = 0; round < 20; ++round) {
    BOOST_TEST(Ask(simulation, (former + 1) % 3, job) == kWaits);
  }
  BOOST_TEST(OwnerOf(simulation) >= 0);
  simulation.DelayStarts({});
  simulation.RunFor(6s);
  BOOST_TEST(Ask(simulation, (former + 1) % 3, job) == kIsCompleted);
  CheckInvariants(simulation);
}

// Guards against a job that is shown as pending again after its owner was lost: the progress of a
// job whose first task runs holds no more than its placement.
BOOST_AUTO_TEST_CASE(a_job_that_has_begun_is_shown_as_running_by_each_later_owner)
{
  Simulation simulation({});
  simulation.RunFor(kStart);
  auto job = simulation.Submit(0, { MakeLongRunningStep(1, 1, 0) }, "lasts");
  simulation.RunFor(500ms);
  for (int round = 0; round < 3; ++round) {
    auto former = OwnerOf(simulation);
    BOOST_REQUIRE(former >= 0);
    simulation.Kill(former);
    for (int i = 0; i < 15; ++i) {
      BOOST_TEST(Ask(simulation, (former + 1) % 3, job) == kRuns);
    }
    simulation.Revive(former);
    simulation.RunFor(kStart);
    BOOST_TEST(Ask(simulation, former, job) == kRuns);
  }
  CheckInvariants(simulation);
}

// Guards against a job that drops out of the pending count when its shard changes hands: its
// progress, which a new owner publishes from, does not name its queue.
BOOST_AUTO_TEST_CASE(a_placed_job_is_published_as_pending_in_its_queue_by_a_new_owner)
{
  TakeOver owner(JobPhase::Pending);
  auto state = owner.NextState();
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST((state->mPhase == JobPhase::Pending));
  BOOST_TEST((state->mPendingIn == Definition().mQueue));
  BOOST_TEST(state->mTenantHash == TenantHashOf(Definition().mTenant));
  // It is told once.
  BOOST_TEST(!owner.NextState().has_value());
}

// Guards against a job that is said to wait although its executor has it in a list, and against a
// state without its tenant, which anybody may ask for.
BOOST_AUTO_TEST_CASE(a_listed_run_shows_a_new_owner_that_its_job_has_begun)
{
  TakeOver owner(JobPhase::Pending);
  owner.NextState();
  RunningTask running;
  running.mRun = kRun;
  owner.AnswerHeartbeat({ running }, {});
  auto state = owner.NextState();
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST((state->mPhase == JobPhase::Running));
  BOOST_TEST(state->mPendingIn.IsEmpty());
  BOOST_TEST(state->mTenantHash == TenantHashOf(Definition().mTenant));
  owner.AnswerHeartbeat({ running }, {});
  BOOST_TEST(!owner.NextState().has_value());
}

// Guards against a job that waits for ever in the eyes of callers: its run began and failed before
// any answer about it came.
BOOST_AUTO_TEST_CASE(an_end_shows_that_its_job_has_begun)
{
  TakeOver owner(JobPhase::Pending);
  owner.NextState();
  TaskEnd end;
  end.mNumber = 1;
  end.mRun = kRun;
  end.mKind = EndKind::LeaseExpired;
  owner.AnswerHeartbeat({}, { end });
  auto state = owner.NextState();
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST((state->mPhase == JobPhase::Running));
}

// Guards against a begun job that is shown as pending by a new owner, or by one that takes over
// from a program that stored the phase with the placement.
BOOST_AUTO_TEST_CASE(a_job_that_is_stored_as_running_is_published_as_running)
{
  TakeOver owner(JobPhase::Running);
  auto state = owner.NextState();
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST((state->mPhase == JobPhase::Running));
  BOOST_TEST(state->mTenantHash == TenantHashOf(Definition().mTenant));
}

// Guards against jobs that operators see as completed, and see twice where the owner is lost before
// that is stored: the end was logged and counted when it came.
BOOST_AUTO_TEST_CASE(a_job_is_reported_as_completed_once_that_is_stored)
{
  TakeOver owner(JobPhase::Running);
  TaskEnd end;
  end.mNumber = 1;
  end.mRun = kRun;
  end.mKind = EndKind::Done;
  owner.AnswerHeartbeat({}, { end });
  BOOST_TEST(!owner.IsReportedAsCompleted());
  owner.Advance();
  owner.AnswerWrite(CallResult::Unanswered);
  BOOST_TEST(!owner.IsReportedAsCompleted());
  owner.Advance();
  owner.Advance();
  owner.AnswerWrite(CallResult::Done);
  BOOST_TEST(owner.IsReportedAsCompleted());
}

BOOST_AUTO_TEST_SUITE_END()
