#include "ShardOwner.h"

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

const JobId kJob("0000000000000001");

// What a heartbeat meets that does not reach its executor.
enum class Sign
{
  Silence,
  RefusedConnection,
  OtherExecutor,
};

constexpr Sign kSigns[] = { Sign::Silence, Sign::RefusedConnection, Sign::OtherExecutor };

// An owner whose executor has begun the only task, as its process has listed it.
struct OwnerOfRun : Owner
{
  TaskRun mRun;

  OwnerOfRun()
  {
    AddJob(Later(10ms), kJob.mValue);
    Advance(Later(10ms));
    BOOST_REQUIRE(TheExecutor().mRuns.size() == 1u);
    mRun = TheExecutor().mRuns.begin()->first;
    auto& run = TheExecutor().mRuns.begin()->second;
    run.mState = RunState::Running;
    run.mEpoch = kEpoch;
    run.mIncarnation = kIncarnation;
    run.mKnownIn = kIncarnation;
    run.mBeganAt = Later(10ms).mAt;
    run.mStateSince = Later(10ms).mAt;
    Advance(Later(20ms));
  }

  void Meet(const Now& aNow, Sign aSign)
  {
    HeartbeatAnswer answer;
    answer.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
    answer.mSentAt = aNow.mAt - 1ms;
    answer.mHasNoListener = aSign == Sign::RefusedConnection;
    answer.mIsFromAnother = aSign == Sign::OtherExecutor;
    if (answer.mIsFromAnother) {
      answer.mResult = CallResult::Refused;
    }
    OnHeartbeatAnswer(mShard, aNow, answer, mActions);
  }

  // Its process answers with the runs that it has.
  void AnswerAs(std::int64_t aIncarnation, const Now& aNow, const std::vector<TaskRun>& aRunning)
  {
    HeartbeatAnswer answer;
    answer.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
    answer.mResult = CallResult::Done;
    answer.mIncarnation = aIncarnation;
    answer.mClock = 2000ms;
    answer.mSentAt = aNow.mAt - 1ms;
    for (const auto& run : aRunning) {
      answer.mRunning.push_back({ run });
    }
    OnHeartbeatAnswer(mShard, aNow, answer, mActions);
  }

  // Meets the sign every 100 ms.
  void KeepsItsRunUntilTheLeaseIsOver(Sign aSign)
  {
    auto expiry = LeaseExpiryOf(TheExecutor(), TheExecutor().mRuns.at(mRun));
    BOOST_REQUIRE((expiry > Later(5s).mAt));
    for (auto now = Later(100ms); now.mAt <= expiry; now.mAt += 100ms, now.mWall += 100ms) {
      Meet(now, aSign);
      Advance(now);
      BOOST_REQUIRE(TheExecutor().mRuns.size() == 1u);
      BOOST_REQUIRE(!IsSchedulable(TheExecutor(), now.mAt));
    }
    Now after{ expiry + 20ms, kNow.mWall + (expiry - kNow.mAt) + 20ms };
    Meet(after, aSign);
    Advance(after);
    BOOST_TEST(TheExecutor().mRuns.empty());
    BOOST_TEST(mShard.mCounters.mTasksLost == 1);
  }

  std::vector<LogEntry> Lines(std::string_view aEvent) const
  {
    auto lines = Select<LogEntry>(mActions);
    std::erase_if(lines, [&](const LogEntry& aLine) { return aLine.mEvent != aEvent; });
    return lines;
  }
};

}

BOOST_AUTO_TEST_SUITE(SignsOfAnEnd)

// Guards against two runs of a task (TWICE): a refused connection was taken for the end of the
// executor's process, which ran on (issues 63, 66). Nor is it held against the task.
BOOST_AUTO_TEST_CASE(no_run_ends_before_its_lease_because_connections_are_refused)
{
  OwnerOfRun owner;
  owner.KeepsItsRunUntilTheLeaseIsOver(Sign::RefusedConnection);
  BOOST_TEST(owner.mShard.mCounters.mTasksCrashed == 0);
}

// The same for a start that was not answered, which may reach the next process at the address.
BOOST_AUTO_TEST_CASE(no_start_without_an_answer_is_given_up_because_connections_are_refused)
{
  OwnerOfRun owner;
  auto& run = owner.TheExecutor().mRuns.at(owner.mRun);
  run.mState = RunState::Uncertain;
  run.mKnownIn = 0;
  run.mBeganAt.reset();
  owner.KeepsItsRunUntilTheLeaseIsOver(Sign::RefusedConnection);
  BOOST_TEST(owner.mShard.mCounters.mTasksCrashed == 0);
}

// Guards against two runs of a task (TWICE): another executor's answer at the address was taken for
// the end of the executor's process, which ran on (issues 63, 66).
BOOST_AUTO_TEST_CASE(no_run_ends_before_its_lease_because_another_executor_answers)
{
  for (auto state : { ExecutorState::Ready, ExecutorState::Draining, ExecutorState::Gone }) {
    OwnerOfRun owner;
    owner.TheExecutor().mEntry.mState = state;
    owner.KeepsItsRunUntilTheLeaseIsOver(Sign::OtherExecutor);
    BOOST_TEST(owner.mShard.mCounters.mTasksCrashed == (state == ExecutorState::Gone ? 1 : 0));
  }
}

// Guards against two runs of a task (TWICE): the late list of a former process, or one that names
// no process, was taken for that of the next one, and dropped the runs of the present one.
BOOST_AUTO_TEST_CASE(no_run_ends_because_a_former_process_does_not_list_it)
{
  for (auto former : { kIncarnation - 1, std::int64_t(0) }) {
    OwnerOfRun owner;
    owner.AnswerAs(former, Later(100ms), {});
    BOOST_TEST(owner.TheExecutor().mRuns.contains(owner.mRun));
    BOOST_TEST(owner.TheExecutor().mProcess.mIncarnation == kIncarnation);
    owner.AnswerAs(kIncarnation, Later(200ms), { owner.mRun });
    BOOST_TEST(owner.TheExecutor().mRuns.contains(owner.mRun));
    BOOST_TEST(owner.mShard.mCounters.mTasksLost == 0);
  }
}

// The same for a next owner, which knows the process only by the runs that the former one has
// placed.
BOOST_AUTO_TEST_CASE(a_next_owner_believes_no_process_before_the_one_that_runs_were_placed_on)
{
  for (auto former : { kIncarnation - 1, std::int64_t(0) }) {
    OwnerOfRun owner;
    auto& executor = owner.TheExecutor();
    executor.mProcess = {};
    executor.mHasAnsweredHeartbeat = false;
    auto& run = executor.mRuns.at(owner.mRun);
    run.mState = RunState::Uncertain;
    run.mEpoch = 0;
    run.mKnownIn = 0;
    executor.mAllLeasesExpiredAt = Later(7s).mAt;
    owner.AnswerAs(former, Later(100ms), {});
    BOOST_TEST(executor.mRuns.contains(owner.mRun));
    owner.AnswerAs(kIncarnation, Later(200ms), { owner.mRun });
    BOOST_TEST(executor.mRuns.contains(owner.mRun));
    BOOST_TEST(executor.mProcess.mIncarnation == kIncarnation);
  }
}

// The opposite error: an executor whose clock was set back when it started again is never used
// again.
BOOST_AUTO_TEST_CASE(a_process_that_names_an_earlier_start_is_believed_once_no_lease_is_left)
{
  OwnerOfRun owner;
  auto entry = owner.TheExecutor().mEntry;
  entry.mIncarnation = kIncarnation - 1;
  UpdateExecutor(owner.mShard, Later(100ms), entry);
  for (auto now = Later(100ms); now.mAt < Later(9s).mAt; now.mAt += 100ms, now.mWall += 100ms) {
    owner.AnswerAs(kIncarnation - 1, now, {});
    owner.Advance(now);
  }
  BOOST_TEST(owner.TheExecutor().mProcess.mIncarnation == kIncarnation - 1);
  BOOST_TEST(owner.mShard.mCounters.mTasksLost == 1);
  BOOST_TEST(IsSchedulable(owner.TheExecutor(), Later(9s).mAt));
}

// Guards against a sound job that is shown as failed (LOST): executors that were out of reach, and
// left the list for that, were counted as crashed under its tasks although they came back.
BOOST_AUTO_TEST_CASE(an_executor_that_answers_again_is_not_held_against_its_tasks)
{
  for (auto next : { kIncarnation, kIncarnation + 1 }) {
    OwnerOfRun owner;
    auto entry = owner.TheExecutor().mEntry;
    entry.mState = ExecutorState::Gone;
    UpdateExecutor(owner.mShard, Later(4500ms), entry);
    auto expiry = LeaseExpiryOf(owner.TheExecutor(), owner.TheExecutor().mRuns.at(owner.mRun));
    auto after = Later(expiry - kNow.mAt + 20ms);
    owner.Meet(after, Sign::Silence);
    owner.Advance(after);
    const auto* task = FindTask(owner.mShard.mJobs.at(kJob), owner.mRun.mTask);
    BOOST_REQUIRE(task->mCrashes == 1);
    owner.AnswerAs(next, Later(9s), {});
    BOOST_TEST(task->mCrashes == (next == kIncarnation ? 0 : 1));
    BOOST_TEST(owner.Lines("crash-withdrawn").size() == (next == kIncarnation ? 1u : 0u));
  }
}

// Guards against an incident whose log doesn't tell what an owner met where its executor had been.
BOOST_AUTO_TEST_CASE(the_log_tells_each_change_of_what_heartbeats_meet)
{
  OwnerOfRun owner;
  owner.mActions.clear();
  owner.Meet(Later(100ms), Sign::Silence);
  owner.Meet(Later(200ms), Sign::RefusedConnection);
  owner.Meet(Later(300ms), Sign::RefusedConnection);
  owner.Meet(Later(400ms), Sign::OtherExecutor);
  auto lines = owner.Lines("executor-silent");
  BOOST_REQUIRE(lines.size() == 3u);
  BOOST_TEST(lines[0].mReason == "no answer; process 11 answered last");
  BOOST_TEST(lines[1].mReason == "its address refuses connections; process 11 answered last");
  BOOST_TEST(lines[2].mReason ==
             "another executor has answered at its address; process 11 answered last");
}

// Guards against an owner that takes a run for ended while it goes on, and whose log says nothing
// of it when the run shows up again (TWICE).
BOOST_AUTO_TEST_CASE(the_log_tells_that_a_run_which_was_given_up_is_at_work)
{
  OwnerOfRun owner;
  schedule::detail::DropRun(owner.mShard, owner.TheExecutor(), owner.mRun);
  owner.mActions.clear();
  owner.AnswerAs(kIncarnation, Later(100ms), { owner.mRun });
  auto lines = owner.Lines("run-returned");
  BOOST_REQUIRE(lines.size() == 1u);
  BOOST_TEST(lines[0].mReason ==
             "listed as at work in process 11; the highest run of its task is 1");
  BOOST_TEST(owner.mShard.mCounters.mRunsReturned == 1);
  owner.AnswerAs(kIncarnation, Later(200ms), { owner.mRun });
  BOOST_TEST(owner.Lines("run-returned").size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
