#include "ShardOwner.h"

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

std::vector<AppendCall>
WritesOfProgress(const Actions& aActions)
{
  auto calls = Select<AppendCall>(aActions);
  std::erase_if(calls, [](const AppendCall& aCall) { return aCall.mStream != Stream::Progress; });
  return calls;
}

}

BOOST_AUTO_TEST_SUITE(TheRunsOfAShard)

BOOST_AUTO_TEST_CASE(ends_are_acknowledged_to_an_executor_that_has_just_answered)
{
  Owner owner;
  owner.TheExecutor().mProcess.mRecordedEnds = 5;
  owner.TheExecutor().mProcess.mProcessedEnds = 5;
  owner.Advance(Later(20ms));
  BOOST_TEST(owner.OnlyHeartbeat().mLastSeen == 5);
}

// While a write of progress took a second, an executor restarted, ran two tasks and numbered their
// ends from 1 again. The owner acknowledged the ends of the former incarnation, and with them those
// two, which nobody had processed. The tasks ran twice.
BOOST_AUTO_TEST_CASE(ends_are_not_acknowledged_to_an_executor_that_may_have_restarted)
{
  Owner owner;
  owner.TheExecutor().mProcess.mRecordedEnds = 5;
  owner.TheExecutor().mProcess.mProcessedEnds = 5;
  owner.Advance(Later(1s));
  auto call = owner.OnlyHeartbeat();
  BOOST_TEST(call.mLastSeen == 0);
  BOOST_TEST(call.mWait.count() == 0);
  // It is the same incarnation.
  owner.Answer(Later(1s), { 0, kIncarnation, {} });
  owner.Advance(Later(1s));
  BOOST_TEST(owner.OnlyHeartbeat().mLastSeen == 5);
}

BOOST_AUTO_TEST_CASE(ends_of_a_former_incarnation_are_never_acknowledged)
{
  Owner owner;
  owner.TheExecutor().mProcess.mRecordedEnds = 5;
  owner.TheExecutor().mProcess.mProcessedEnds = 5;
  auto entry = owner.TheExecutor().mEntry;
  ++entry.mIncarnation;
  UpdateExecutor(owner.mShard, Later(10ms), entry);
  owner.Advance(Later(20ms));
  BOOST_TEST(owner.OnlyHeartbeat().mLastSeen == 0);
  TaskEnd end;
  end.mNumber = 1;
  end.mRun = { { JobId("0000000000000009"), 0, 0, 0 }, 1 };
  owner.Answer(Later(30ms), { 0, entry.mIncarnation, { end } });
  BOOST_TEST(owner.TheExecutor().mProcess.mRecordedEnds == 0);
  BOOST_TEST(owner.TheExecutor().mProcess.mProcessedEnds == 1);
}

BOOST_AUTO_TEST_CASE(an_owner_with_recent_news_of_the_jobs_places_tasks)
{
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(2s));
  BOOST_TEST(owner.HasPlaced());
}

// In a pool with hundreds of jobs, each of thousands of ends a second caused a pass over all jobs.
BOOST_AUTO_TEST_CASE(passes_over_many_jobs_are_spaced)
{
  Owner owner;
  owner.AddJob(Later(0ms));
  owner.Advance(Later(0ms));
  owner.mShard.mNeedsPlacementPass = true;
  owner.Advance(Later(1ms));
  BOOST_TEST(!owner.mShard.mNeedsPlacementPass);
  for (int i = 2; i < 500; ++i) {
    owner.AddJob(Later(1ms), "00000000000" + std::to_string(10'000 + i));
  }
  owner.mShard.mHasUnplacedTasks = false;
  owner.Advance(Later(2ms));
  BOOST_TEST(owner.mShard.mNeedsPlacementPass);
  owner.Advance(Later(7ms));
  BOOST_TEST(!owner.mShard.mNeedsPlacementPass);
}

// While its reads of the jobs stream were lost, an owner whose progress was stored did not learn of
// a cancellation, and started the job's next step three seconds after its caller had been told.
BOOST_AUTO_TEST_CASE(an_owner_without_news_of_the_jobs_places_nothing)
{
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(2600ms));
  BOOST_TEST(!owner.HasPlaced());
  // An empty answer of a read that waited shows that nothing was stored meanwhile.
  ReadAnswer answer;
  answer.mCall.mStream = Stream::Jobs;
  answer.mCall.mWait = 1s;
  answer.mCall.mTicket = kEpoch;
  answer.mResult = CallResult::Done;
  answer.mSentAt = Later(1600ms).mAt;
  OnReadAnswer(owner.mShard, Later(2610ms), answer, owner.mActions);
  owner.Advance(Later(2620ms));
  BOOST_TEST(owner.HasPlaced());
}

// An owner that was suspended sent starts that it had prepared before. The executor had just
// restarted and knew no fencing token, and the task had ended under another owner meanwhile.
BOOST_AUTO_TEST_CASE(an_owner_that_was_suspended_confirms_its_ownership_before_it_starts_tasks)
{
  for (auto answeredAfter : { 20ms, 1100ms }) {
    Owner owner;
    owner.AddJob(Later(10ms));
    owner.Advance(Later(10ms));
    AppendAnswer answer;
    for (const auto& call : Select<AppendCall>(owner.mActions)) {
      if (call.mStream == Stream::Progress) {
        answer.mCall = call;
      }
    }
    answer.mResult = CallResult::Done;
    answer.mSentAt = Later(10ms).mAt;
    owner.mActions.clear();
    OnAppendAnswer(owner.mShard, Later(answeredAfter), answer, owner.mActions);
    auto starts = Select<StartCall>(owner.mActions).size();
    BOOST_TEST(starts == (answeredAfter < 1s ? 1u : 0u));
    // It is placed again.
    BOOST_TEST(owner.HasPlaced() == (answeredAfter < 1s));
  }
}

// Guards against a start that brings an executor over its room (LIMIT): it was placed before the
// room shrank, and sent once the placement was stored.
BOOST_AUTO_TEST_CASE(a_start_that_no_longer_fits_a_shrunk_executor_is_not_sent)
{
  for (auto cores : { 1, 2 }) {
    Owner owner;
    owner.AddJob(Later(10ms));
    owner.AddJob(Later(10ms), "0000000000000002");
    owner.Advance(Later(10ms));
    AppendAnswer answer;
    for (const auto& call : Select<AppendCall>(owner.mActions)) {
      if (call.mStream == Stream::Progress) {
        answer.mCall = call;
      }
    }
    auto entry = owner.TheExecutor().mEntry;
    entry.mCapacity.mCpuMillicores = cores * 1000;
    UpdateExecutor(owner.mShard, Later(20ms), entry);
    answer.mResult = CallResult::Done;
    answer.mSentAt = Later(10ms).mAt;
    owner.mActions.clear();
    OnAppendAnswer(owner.mShard, Later(20ms), answer, owner.mActions);
    BOOST_TEST(Select<StartCall>(owner.mActions).size() == static_cast<std::size_t>(cores));
    BOOST_TEST(owner.TheExecutor().mRuns.size() == static_cast<std::size_t>(cores));
  }
}

// Records that do not reach the end of the stream leave out later cancellations.
BOOST_AUTO_TEST_CASE(news_of_the_jobs_counts_only_once_the_end_of_the_stream_is_reached)
{
  Owner owner;
  ReadAnswer answer;
  answer.mCall.mStream = Stream::Jobs;
  answer.mCall.mTicket = kEpoch;
  answer.mResult = CallResult::Done;
  answer.mSentAt = Later(2s).mAt;
  answer.mEnd = 2;
  answer.mRecords.push_back({ "x0000000000000001", "c", 0 });
  OnReadAnswer(owner.mShard, Later(2s), answer, owner.mActions);
  BOOST_TEST((owner.mShard.mJobsCurrentAsOf == kNow.mAt));
  answer.mRecords = { { "x0000000000000002", "c", 1 } };
  OnReadAnswer(owner.mShard, Later(2s), answer, owner.mActions);
  BOOST_TEST((owner.mShard.mJobsCurrentAsOf == Later(2s).mAt));
}

// Guards against a start, a lease or an acknowledgement that a later process under the same id
// carries out (TWICE): each call says which process it is for.
BOOST_AUTO_TEST_CASE(each_call_names_the_process_that_answered_last)
{
  Owner owner;
  owner.TheExecutor().mProcess.mIncarnation = 77;
  owner.TheExecutor().mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] =
    schedule::detail::MakeRun({}, MakeLongRunningStep(2, 1, 1), RunState::Running, kNow.mAt);
  owner.Advance(Later(20ms));
  BOOST_TEST(owner.OnlyHeartbeat().mTo.mIncarnation == 77);
}

// Guards against tasks that wait for the end of a lease that no process was asked for, and against
// starts there again and again while the executor can't be reached.
BOOST_AUTO_TEST_CASE(a_start_that_was_not_sent_frees_its_task_and_spares_its_executor)
{
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(10ms));
  auto& executor = owner.TheExecutor();
  BOOST_REQUIRE(executor.mRuns.size() == 1u);
  auto& [name, run] = *executor.mRuns.begin();
  run.mState = RunState::Starting;
  run.mEpoch = kEpoch;
  auto leases = executor.mAllLeasesExpiredAt;
  StartAnswer answer;
  answer.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
  answer.mCall.mRun = name;
  answer.mCall.mLeaseEnd = 6000ms;
  answer.mResult = CallResult::Refused;
  answer.mRefusal = StartRefusal::NotReached;
  answer.mSentAt = Later(12ms).mAt;
  OnStartAnswer(owner.mShard, Later(900ms), answer, owner.mActions);
  BOOST_TEST(executor.mRuns.empty());
  BOOST_TEST((executor.mAllLeasesExpiredAt == leases));
  BOOST_TEST(!IsSchedulable(executor, Later(901ms).mAt));
}

// Guards against leases that lapse (AVAIL, LOST) because the failure of the host that calls an
// executor was taken for the executor's silence.
BOOST_AUTO_TEST_CASE(the_failure_of_a_relay_is_no_silence_of_its_executors)
{
  Owner owner;
  owner.TheExecutor().mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] =
    schedule::detail::MakeRun({}, MakeLongRunningStep(2, 1, 1), RunState::Running, kNow.mAt);
  owner.Advance(Later(20ms));
  HeartbeatAnswer answer;
  answer.mCall = owner.OnlyHeartbeat();
  answer.mSentAt = Later(20ms).mAt;
  answer.mIsRelayFailure = true;
  OnHeartbeatAnswer(owner.mShard, Later(1s), answer, owner.mActions);
  BOOST_TEST(owner.TheExecutor().mUnansweredCalls == 0);
  BOOST_TEST(owner.mShard.mResponsivenessToRecord.empty());
  owner.Advance(Later(1s));
  BOOST_TEST(owner.OnlyHeartbeat().mLeaseEnd.count() != 0);
  // Its own silence counts.
  answer.mIsRelayFailure = false;
  OnHeartbeatAnswer(owner.mShard, Later(2s), answer, owner.mActions);
  BOOST_TEST(owner.TheExecutor().mUnansweredCalls == 1);
}

// As above, where it is a start that the host failed to bring there.
BOOST_AUTO_TEST_CASE(a_start_that_a_relay_failed_to_make_renews_leases_all_the_same)
{
  for (auto isRelayFailure : { true, false }) {
    Owner owner;
    TaskRun run{ { JobId("j"), 0, 0, 0 }, 1 };
    owner.TheExecutor().mRuns[run] =
      schedule::detail::MakeRun({}, MakeLongRunningStep(2, 1, 1), RunState::Starting, kNow.mAt);
    StartAnswer answer;
    answer.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
    answer.mCall.mRun = run;
    answer.mIsRelayFailure = isRelayFailure;
    OnStartAnswer(owner.mShard, Later(1s), answer, owner.mActions);
    BOOST_TEST((owner.TheExecutor().mRuns.at(run).mState == RunState::Uncertain));
    owner.Advance(Later(1s));
    // Whether an executor that is silent itself has restarted is asked before a lease is renewed.
    BOOST_TEST((owner.OnlyHeartbeat().mLeaseEnd.count() != 0) == isRelayFailure);
  }
}

// Guards against two runs of a task (TWICE): while the owner was suspended, a start that it had
// sent stayed on its way.
BOOST_AUTO_TEST_CASE(a_start_that_was_given_up_late_may_have_arrived_until_then)
{
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(10ms));
  auto run = owner.TheExecutor().mRuns.begin()->first;
  owner.TheExecutor().mRuns.at(run).mState = RunState::Starting;
  StartAnswer answer;
  answer.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
  answer.mCall.mRun = run;
  answer.mCall.mLeaseEnd = 6700ms;
  answer.mSentAt = Later(20ms).mAt;
  OnStartAnswer(owner.mShard, Later(9s), answer, owner.mActions);
  BOOST_TEST((owner.TheExecutor().mAllLeasesExpiredAt > Later(15s).mAt));
}

// Guards against a job that is given up after three starts that never reached an executor (LOST):
// their executors had ended before, and were still listed.
BOOST_AUTO_TEST_CASE(a_run_that_never_began_is_not_counted_as_a_crash)
{
  for (auto isAnswered : { false, true }) {
    Owner owner;
    owner.AddJob(Later(10ms));
    owner.Advance(Later(10ms));
    auto& executor = owner.TheExecutor();
    BOOST_REQUIRE(executor.mRuns.size() == 1u);
    auto& [name, run] = *executor.mRuns.begin();
    run.mState = RunState::Starting;
    run.mEpoch = kEpoch;
    run.mStateSince = Later(12ms).mAt;
    StartAnswer start;
    start.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
    start.mCall.mRun = name;
    start.mResult = isAnswered ? CallResult::Done : CallResult::Unanswered;
    start.mSentAt = Later(12ms).mAt;
    OnStartAnswer(owner.mShard, Later(20ms), start, owner.mActions);
    auto entry = executor.mEntry;
    entry.mState = ExecutorState::Gone;
    UpdateExecutor(owner.mShard, Later(30ms), entry);
    owner.Advance(Later(LeaseExpiryOf(executor, run) - kNow.mAt + 20ms));
    BOOST_TEST(executor.mRuns.empty());
    BOOST_TEST(owner.mShard.mCounters.mTasksCrashed == (isAnswered ? 1 : 0));
  }
}

// Guards against a crash of which the log doesn't tell what speaks against the task: whether the
// run had begun, by which sign the end was seen, and how many others ended with it (LOST).
BOOST_AUTO_TEST_CASE(the_log_tells_what_is_known_of_the_end_of_an_executor)
{
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(10ms));
  auto& run = owner.TheExecutor().mRuns.begin()->second;
  run.mState = RunState::Running;
  run.mBeganAt = Later(20ms).mAt;
  ExecutorEntry other;
  other.mService = ServiceName("studio");
  for (auto name : { "x2", "x3" }) {
    other.mId = ExecutorId(name);
    UpdateExecutor(owner.mShard, Later(20ms), other);
    PlacedRun beside;
    beside.mState = RunState::Running;
    owner.mShard.mExecutors.at(other.mId).mRuns[{ { JobId("2"), 0, 0, 0 }, 1 }] = beside;
  }
  HeartbeatAnswer broken;
  broken.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
  broken.mCall.mWait = 2s;
  broken.mSentAt = Later(30ms).mAt;
  OnHeartbeatAnswer(owner.mShard, Later(520ms), broken, owner.mActions);
  broken.mCall.mTo = { ExecutorId("x3"), "", 3, kEpoch };
  OnHeartbeatAnswer(owner.mShard, Later(600ms), broken, owner.mActions);
  owner.Answer(Later(701ms), { 0, kIncarnation + 1, {} });
  auto lines = Select<LogEntry>(owner.mActions);
  auto crash = std::find_if(lines.begin(), lines.end(), [](const LogEntry& aLine) {
    return aLine.mEvent == "executor-crashed";
  });
  BOOST_REQUIRE((crash != lines.end()));
  BOOST_TEST(
    crash->mReason ==
    "1 executors have crashed under the task: it has restarted, begun 500 ms before, 1 of 2 "
    "others at work ended then");
}

// Guards against runs that are started again while they go on (TWICE), because an executor that has
// another address by now was taken for replaced.
BOOST_AUTO_TEST_CASE(an_answer_at_a_former_address_ends_no_runs)
{
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(10ms));
  auto& executor = owner.TheExecutor();
  BOOST_REQUIRE(executor.mRuns.size() == 1u);
  executor.mRuns.begin()->second.mState = RunState::Running;
  executor.mEntry.mAddress = "10.0.0.2:80";
  HeartbeatAnswer answer;
  answer.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
  answer.mResult = CallResult::Refused;
  answer.mIsFromAnother = true;
  answer.mSentAt = Later(20ms).mAt;
  OnHeartbeatAnswer(owner.mShard, Later(40ms), answer, owner.mActions);
  BOOST_TEST(executor.mRuns.size() == 1u);
}

// Guards against two runs of a task (TWICE): the log took its time to fence the former owner off,
// and had confirmed it until then.
BOOST_AUTO_TEST_CASE(leases_of_a_former_owner_are_counted_from_the_moment_at_which_it_is_fenced_off)
{
  auto shard = MakeShard(3, {}, kNow.mAt);
  Actions actions;
  ExecutorEntry entry;
  entry.mId = kExecutor;
  UpdateExecutor(shard, kNow, entry);
  AppendAnswer claim;
  claim.mCall.mStream = Stream::Owners;
  claim.mResult = CallResult::Done;
  claim.mOffset = kEpoch - 1;
  OnAppendAnswer(shard, Later(100ms), claim, actions);
  AppendAnswer fence;
  fence.mCall.mStream = Stream::Progress;
  fence.mCall.mTicket = kEpoch;
  fence.mResult = CallResult::Done;
  OnAppendAnswer(shard, Later(3s), fence, actions);
  auto expiry = shard.mExecutors.at(kExecutor).mAllLeasesExpiredAt;
  BOOST_TEST((expiry >= LeaseExpiryOfOwner({}, Later(3s).mAt)));
}

// Guards against two runs of a task (TWICE): the log answers a repeated append as it answered the
// first one, so that an owner which has been fenced off since would take itself for confirmed.
BOOST_AUTO_TEST_CASE(a_repeated_append_confirms_its_owner_only_from_the_first_sending_on)
{
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(10ms));
  auto writes = WritesOfProgress(owner.mActions);
  BOOST_REQUIRE(writes.size() == 1u);
  owner.mShard.mConfirmedAt = kNow.mAt;
  AppendAnswer answer{ writes[0] };
  answer.mSentAt = Later(10ms).mAt;
  OnAppendAnswer(owner.mShard, Later(1s), answer, owner.mActions);
  owner.mActions.clear();
  schedule::Advance(owner.mShard, Later(2s), owner.mActions);
  BOOST_REQUIRE(WritesOfProgress(owner.mActions).size() == 1u);
  answer.mResult = CallResult::Done;
  answer.mSentAt = Later(2s).mAt;
  OnAppendAnswer(owner.mShard, Later(2010ms), answer, owner.mActions);
  BOOST_TEST((owner.mShard.mConfirmedAt == Later(10ms).mAt));
}

// Guards against tasks of a cancelled job that run on (UNASKED) because its end can't be stored.
BOOST_AUTO_TEST_CASE(the_runs_of_an_ended_job_are_stopped_before_its_end_is_stored)
{
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(10ms));
  auto& run = owner.TheExecutor().mRuns.begin()->second;
  run.mState = RunState::Running;
  auto& job = owner.mShard.mJobs.begin()->second;
  schedule::detail::FinishJob(owner.mShard, job, JobPhase::Cancelled, "cancelled by its caller");
  owner.Advance(Later(20ms));
  BOOST_TEST(run.mStopPending);
}

// Guards against an owner that cannot ask an executor that is no longer listed (LOST), and against
// addresses that stay in the log for ever.
BOOST_AUTO_TEST_CASE(the_addresses_of_executors_with_runs_are_kept_in_the_log)
{
  auto addressRecords = [](const Actions& aActions) {
    std::vector<LogRecord> records;
    for (const auto& call : Select<AppendCall>(aActions)) {
      std::copy_if(call.mRecords.begin(),
                   call.mRecords.end(),
                   std::back_inserter(records),
                   [](const LogRecord& aRecord) { return IsExecutorAddressKey(aRecord.mKey); });
    }
    return records;
  };
  Owner owner;
  owner.AddJob(Later(10ms));
  owner.Advance(Later(10ms));
  auto added = addressRecords(owner.mActions);
  BOOST_REQUIRE(added.size() == 1u);
  BOOST_TEST(added[0].mKey == ExecutorAddressKey(kExecutor));
  BOOST_TEST(added[0].mValue == "10.0.0.1:80");
  // It is removed once the executor is gone and has no runs.
  auto entry = owner.TheExecutor().mEntry;
  entry.mState = ExecutorState::Gone;
  owner.mShard.mWrite.reset();
  UpdateExecutor(owner.mShard, Later(20ms), entry);
  owner.AddJob(Later(30ms), "0000000000000002");
  auto* job = schedule::detail::FindJob(owner.mShard, JobId("0000000000000002"));
  schedule::detail::MarkDirty(owner.mShard, *job);
  owner.Advance(Later(30ms));
  BOOST_TEST(addressRecords(owner.mActions).empty());
  owner.TheExecutor().mRuns.clear();
  owner.mShard.mWrite.reset();
  schedule::detail::MarkDirty(owner.mShard, *job);
  owner.Advance(Later(50ms));
  auto removed = addressRecords(owner.mActions);
  BOOST_REQUIRE(removed.size() == 1u);
  BOOST_TEST(removed[0].mValue.empty());
}

BOOST_AUTO_TEST_SUITE_END()
