#include "Actions.h"
#include "LibSchedule/Shard.h"
#include "Steps.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Now kNow{ Instant(100s), TimePoint(1000s) };
constexpr std::int64_t kEpoch = 7;
constexpr int kMembers = 4;
const JobId kJob("0000000000000001");
const std::array kExecutors{ ExecutorId("x0"), ExecutorId("x1") };

TaskId
Member(int aIndex)
{
  return { kJob, 0, 0, aIndex };
}

JobDefinition
Definition(bool aIsGang)
{
  JobDefinition definition;
  definition.mQueue = QueueName("previews");
  definition.mService = ServiceName("studio");
  auto step = MakeStep(kMembers, 1);
  step.mGang = aIsGang;
  step.mCheckpoints = true;
  definition.mSteps = { step };
  return definition;
}

// The owner of a shard with two executors of two cores, each with two members of a gang of four.
struct Owner
{
  Shard mShard = MakeShard(3, {}, kNow.mAt);
  Actions mActions;
  Duration mTime{ 0 };
  std::array<std::int64_t, 2> mEndNumbers{ 0, 0 };

  explicit Owner(ShardPhase aPhase = ShardPhase::Active)
  {
    mShard.mPhase = aPhase;
    mShard.mEpoch = kEpoch;
    mShard.mStates.mEpoch = kEpoch;
    mShard.mJobsCurrentAsOf = kNow.mAt;
    mShard.mNextJobsOffset = 0;
    for (const auto& id : kExecutors) {
      ExecutorEntry entry;
      entry.mId = id;
      entry.mService = ServiceName("studio");
      entry.mAddress = id.mValue + ":80";
      entry.mCapacity = { 2000, 8000, 0 };
      entry.mIncarnation = 1;
      UpdateExecutor(mShard, Time(), entry);
      Answer(id, {}, {});
    }
  }

  [[nodiscard]] Now Time() const { return { kNow.mAt + mTime, kNow.mWall + mTime }; }

  void Submit(bool aIsGang)
  {
    schedule::detail::ApplyJobRecord(
      mShard, Time(), { kJob.mValue, EncodeJob(Definition(aIsGang)), 0 }, mActions);
  }

  // Lets the shard work until it has placed and stored all it can. Returns the starts.
  std::vector<StartCall> Start()
  {
    std::vector<StartCall> starts;
    for (int i = 0; i < 20; ++i) {
      mTime += 50ms;
      mShard.mJobsCurrentAsOf = Time().mAt;
      mActions.clear();
      ConfirmOwnership(mShard, Time().mAt);
      Advance(mShard, Time(), mActions);
      if (mShard.mWrite && mShard.mWrite->mInFlight) {
        AppendAnswer answer;
        answer.mCall = mShard.mWrite->mCall;
        answer.mResult = CallResult::Done;
        answer.mSentAt = Time().mAt;
        mActions.clear();
        OnAppendAnswer(mShard, Time(), answer, mActions);
      }
      for (const auto& call : Select<StartCall>(mActions)) {
        StartAnswer answer;
        answer.mCall = call;
        answer.mResult = CallResult::Done;
        Actions ignored;
        OnStartAnswer(mShard, Time(), answer, ignored);
        starts.push_back(call);
      }
    }
    return starts;
  }

  void Answer(const ExecutorId& aExecutor,
              std::vector<RunningTask> aRunning,
              std::vector<TaskEnd> aEnds)
  {
    auto& executor = mShard.mExecutors.at(aExecutor);
    HeartbeatAnswer answer;
    answer.mCall.mTo = { aExecutor, executor.mEntry.mAddress, 3, kEpoch };
    answer.mResult = CallResult::Done;
    answer.mIncarnation = 1;
    answer.mRunning = std::move(aRunning);
    for (auto& end : aEnds) {
      end.mNumber = ++mEndNumbers.at(aExecutor == kExecutors[0] ? 0 : 1);
    }
    answer.mEnds = std::move(aEnds);
    answer.mClock = ToMilliseconds(mTime) + 1000ms;
    answer.mSentAt = Time().mAt;
    OnHeartbeatAnswer(mShard, Time(), answer, mActions);
  }

  // Lists the members that the executor was given as running, each with its own value.
  void List(const std::vector<StartCall>& aStarts,
            const ExecutorId& aExecutor,
            const std::function<std::string(int)>& aValue)
  {
    std::vector<RunningTask> running;
    for (const auto& start : aStarts) {
      if (start.mTo.mExecutor == aExecutor) {
        running.push_back({ start.mRun, aValue(start.mRun.mTask.mIndex), 100, 0 });
      }
    }
    Answer(aExecutor, std::move(running), {});
  }

  void End(const std::vector<StartCall>& aStarts,
           const ExecutorId& aExecutor,
           const std::string& aValue)
  {
    std::vector<TaskEnd> ends;
    for (const auto& start : aStarts) {
      if (start.mTo.mExecutor == aExecutor) {
        ends.push_back({ 0, start.mRun, EndKind::GangMemberEnded, aValue });
      }
    }
    Answer(aExecutor, {}, std::move(ends));
  }
};

// The value that all starts of a run carry.
std::string
CommonCheckpoint(const std::vector<StartCall>& aStarts)
{
  BOOST_REQUIRE(aStarts.size() == std::size_t(kMembers));
  for (const auto& start : aStarts) {
    BOOST_TEST(start.mCheckpoint == aStarts.front().mCheckpoint);
    BOOST_TEST(start.mRun.mRun == aStarts.front().mRun.mRun);
  }
  return aStarts.front().mCheckpoint;
}

TaskProgress
Row(int aIndex, int aRun, const std::string& aCheckpoint)
{
  TaskProgress row;
  row.mIndex = aIndex;
  row.mHighestRun = aRun;
  row.mCheckpoint = aCheckpoint;
  row.mCheckpointRun = aRun;
  return row;
}

}

BOOST_AUTO_TEST_SUITE(GangCheckpoints)

// Guards against a gang that is started with two checkpoints, for good, after one of its executors
// has crashed (GANG): its members wait for others with their value, and end alone.
BOOST_AUTO_TEST_CASE(a_gang_that_lost_an_executor_starts_again_with_one_checkpoint)
{
  Owner owner;
  owner.Submit(true);
  auto starts = owner.Start();
  BOOST_TEST(CommonCheckpoint(starts).empty());
  for (const auto& executor : kExecutors) {
    owner.List(starts, executor, [](int) { return "08"; });
  }
  // One executor has restarted with nothing, and the members on the other one have ended.
  owner.mTime += 1s;
  owner.Answer(kExecutors[0], {}, {});
  owner.End(starts, kExecutors[1], "0a");
  auto again = owner.Start();
  BOOST_TEST(CommonCheckpoint(again) == "0a");
  BOOST_TEST(again.front().mRun.mRun == 2);
}

BOOST_AUTO_TEST_CASE(members_that_report_different_values_in_one_list_start_again_with_one)
{
  Owner owner;
  owner.Submit(true);
  auto starts = owner.Start();
  for (const auto& executor : kExecutors) {
    owner.List(starts, executor, [](int aIndex) { return "0" + std::to_string(aIndex); });
  }
  owner.mTime += 1s;
  for (const auto& executor : kExecutors) {
    owner.Answer(executor, {}, {});
  }
  BOOST_TEST(!CommonCheckpoint(owner.Start()).empty());
}

// An executor that could not be reached lists the ends of a former run late.
BOOST_AUTO_TEST_CASE(a_value_of_a_former_run_does_not_replace_a_newer_one)
{
  for (bool isGang : { true, false }) {
    auto job = MakeJob(kJob, Definition(isGang), nullptr);
    KeepCheckpoint(job, { Member(0), 2 }, "0b");
    KeepCheckpoint(job, { Member(0), 1 }, "09");
    BOOST_TEST(CheckpointOf(job, Member(0)).mValue == "0b");
    KeepCheckpoint(job, { Member(0), 2 }, "");
    BOOST_TEST(CheckpointOf(job, Member(0)).mValue == "0b");
    KeepCheckpoint(job, { Member(0), 3 }, "0c");
    BOOST_TEST(CheckpointOf(job, Member(0)).mValue == "0c");
  }
}

BOOST_AUTO_TEST_CASE(tasks_that_are_no_gang_keep_a_checkpoint_each)
{
  auto job = MakeJob(kJob, Definition(false), nullptr);
  KeepCheckpoint(job, { Member(0), 1 }, "a");
  KeepCheckpoint(job, { Member(1), 1 }, "b");
  BOOST_TEST(CheckpointOf(job, Member(0)).mValue == "a");
  BOOST_TEST(CheckpointOf(job, Member(1)).mValue == "b");
  BOOST_TEST(CheckpointOf(job, Member(2)).mValue.empty());
}

// A later owner, and one of the version before, load the same value for all members.
BOOST_AUTO_TEST_CASE(the_checkpoint_of_a_gang_is_stored_and_loaded_as_one)
{
  auto job = MakeJob(kJob, Definition(true), nullptr);
  for (int index = 0; index < kMembers; ++index) {
    FindTask(job, Member(index))->mHighestRun = 3;
  }
  KeepCheckpoint(job, { Member(2), 2 }, "0a");
  auto progress = DecodeProgress(EncodeProgress(ProgressOf(job)));
  BOOST_REQUIRE(progress.ok());
  BOOST_REQUIRE(progress->mTasks.size() == std::size_t(kMembers));
  for (const auto& row : progress->mTasks) {
    BOOST_TEST(row.mCheckpoint == "0a");
    BOOST_TEST(row.mCheckpointRun == 2);
  }
  auto again = MakeJob(kJob, Definition(true), &*progress);
  BOOST_TEST(CheckpointOf(again, Member(0)).mValue == "0a");
  BOOST_TEST(CheckpointOf(again, Member(0)).mRun == 2);
}

// The version before stored a value for each member.
BOOST_AUTO_TEST_CASE(progress_with_two_checkpoints_is_mended_when_it_is_loaded)
{
  JobProgress progress;
  progress.mPhase = JobPhase::Running;
  progress.mTasks = { Row(0, 2, "08"), Row(1, 2, "08"), Row(2, 2, "0a"), Row(3, 2, "0a") };
  auto loaded = DecodeProgress(EncodeProgress(progress));
  BOOST_REQUIRE(loaded.ok());
  auto job = MakeJob(kJob, Definition(true), &*loaded);
  auto value = CheckpointOf(job, Member(0)).mValue;
  BOOST_TEST((value == "08" || value == "0a"));
  for (int index = 0; index < kMembers; ++index) {
    BOOST_TEST(CheckpointOf(job, Member(index)).mValue == value);
  }
}

BOOST_AUTO_TEST_CASE(an_owner_that_takes_a_gang_over_starts_it_with_one_checkpoint)
{
  Owner owner(ShardPhase::LoadingJobs);
  JobProgress progress;
  progress.mPhase = JobPhase::Running;
  progress.mTasks = { Row(0, 2, "08"), Row(1, 2, ""), Row(2, 2, "0a"), Row(3, 1, "07") };
  owner.mShard.mLoadedProgress[kJob] = progress;
  owner.Submit(true);
  owner.mShard.mPhase = ShardPhase::Active;
  auto starts = owner.Start();
  auto value = CommonCheckpoint(starts);
  BOOST_TEST((value == "08" || value == "0a"));
  BOOST_TEST(starts.front().mRun.mRun == 3);
}

// Whatever members report, in whatever order, and whoever loads it: a gang has one value.
BOOST_AUTO_TEST_CASE(all_members_of_a_gang_always_have_the_same_checkpoint)
{
  rc::check("a gang has one checkpoint, from the last run that has reported one", [] {
    auto job = MakeJob(kJob, Definition(true), nullptr);
    int lastRun = 0;
    auto reports = *rc::gen::inRange(0, 20);
    for (int i = 0; i < reports; ++i) {
      auto index = *rc::gen::inRange(0, kMembers);
      auto run = *rc::gen::inRange(1, 4);
      auto value = *rc::gen::element<std::string>("", "a", "b", "c");
      auto* task = FindTask(job, Member(index));
      task->mHighestRun = std::max(task->mHighestRun, run);
      KeepCheckpoint(job, { Member(index), run }, value);
      lastRun = value.empty() ? lastRun : std::max(lastRun, run);
      if (*rc::gen::inRange(0, 4) == 0) {
        auto progress = DecodeProgress(EncodeProgress(ProgressOf(job)));
        RC_ASSERT(progress.ok());
        job = MakeJob(kJob, Definition(true), &*progress);
      }
      for (int member = 0; member < kMembers; ++member) {
        RC_ASSERT(CheckpointOf(job, Member(member)).mValue == CheckpointOf(job, Member(0)).mValue);
      }
      RC_ASSERT(CheckpointOf(job, Member(0)).mRun == lastRun);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
