#include "Actions.h"
#include "LibSchedule/StatePublisher.h"
#include "LibSchedule/StatusView.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Now kNow{ Instant(100s), TimePoint(1000s) };
constexpr std::int64_t kEpoch = 7;
const JobId kFirst("0000000000000001");
const JobId kSecond("0000000000000002");
const QueueName kQueue("previews");

Now
After(Duration aTime)
{
  return { kNow.mAt + aTime, kNow.mWall + aTime };
}

struct Publisher
{
  StatePublisher mPublisher;
  Actions mActions;

  Publisher() { mPublisher.mEpoch = kEpoch; }

  void Advance(Duration aTime, const StateCoverage& aCoverage)
  {
    mActions.clear();
    AdvancePublisher(mPublisher, After(aTime), aCoverage, mActions);
  }

  PublishOutcome Acknowledge(Duration aTime, AppendRefusal aRefusal = AppendRefusal::None)
  {
    AppendAnswer answer;
    answer.mCall = Select<AppendCall>(mActions).at(0);
    answer.mRefusal = aRefusal;
    answer.mResult = aRefusal == AppendRefusal::None ? CallResult::Done : CallResult::Refused;
    return OnPublishAnswer(mPublisher, After(aTime), answer);
  }

  // Fences the stream and loads the coverage that the former owner left, if any.
  void TakeOver(const std::optional<StateCoverage>& aFormer)
  {
    Advance(0ms, {});
    BOOST_REQUIRE(Select<AppendCall>(mActions).size() == 1u);
    BOOST_TEST(Select<AppendCall>(mActions)[0].mRecords.empty());
    Acknowledge(5ms);
    Advance(5ms, {});
    ReadNewestAnswer answer;
    answer.mCall = Select<ReadNewestCall>(mActions).at(0);
    answer.mResult = CallResult::Done;
    if (aFormer) {
      answer.mRecords.push_back(
        { std::string(kStateCoverageKey), EncodeStateCoverage(*aFormer), 3 });
    }
    OnCoverageAnswer(mPublisher, After(10ms), answer, mActions);
  }
};

std::vector<std::string>
KeysOf(const AppendCall& aCall)
{
  std::vector<std::string> keys;
  for (const auto& record : aCall.mRecords) {
    keys.push_back(record.mKey);
  }
  return keys;
}

JobState
PendingState()
{
  return { JobPhase::Pending, kQueue };
}

KeyedRecord
StateRecord(const JobId& aJob, JobPhase aPhase, std::int64_t aOffset)
{
  return { aJob.mValue,
           EncodeJobState({ aPhase, aPhase == JobPhase::Pending ? kQueue : QueueName() }),
           aOffset };
}

KeyedRecord
CoverageRecord(std::int64_t aJobsEnd, std::int64_t aOffset)
{
  return { std::string(kStateCoverageKey), EncodeStateCoverage({ aJobsEnd, 0 }), aOffset };
}

KeyedRecord
JobRecord(const JobId& aJob, std::int64_t aOffset)
{
  JobDefinition definition;
  definition.mQueue = kQueue;
  definition.mService = ServiceName("studio");
  definition.mSteps = { Step() };
  return { aJob.mValue, EncodeJob(definition), aOffset };
}

struct View
{
  StatusView mView;
  Actions mActions;
  Duration mTime{ 0 };

  void Ask(const JobId& aJob, bool aIsCount = false)
  {
    StatusQuery query;
    query.mJob = aJob;
    query.mQueue = kQueue;
    query.mIsCountQuery = aIsCount;
    query.mReceivedAt = After(mTime).mAt;
    query.mDeadline = After(mTime + 3s).mAt;
    AddQuery(mView, query);
  }

  std::vector<ViewAnswer> Advance()
  {
    mActions.clear();
    return AdvanceView(mView, After(mTime), mActions);
  }

  void AnswerNewest(std::vector<KeyedRecord> aRecords, std::int64_t aEnd)
  {
    ReadNewestAnswer answer;
    answer.mCall = Select<ReadNewestCall>(mActions).at(0);
    answer.mResult = CallResult::Done;
    answer.mRecords = std::move(aRecords);
    answer.mEnd = aEnd;
    OnViewReadNewest(mView, After(mTime), answer);
  }

  // Answers the read of aStream, which must be the only one in flight.
  void AnswerRead(Stream aStream, std::vector<KeyedRecord> aRecords, std::int64_t aEnd)
  {
    auto reads = Select<ReadCall>(mActions);
    BOOST_REQUIRE(reads.size() == 1u);
    BOOST_REQUIRE((reads[0].mStream == aStream));
    ReadAnswer answer;
    answer.mCall = reads[0];
    answer.mResult = CallResult::Done;
    answer.mRecords = std::move(aRecords);
    answer.mEnd = aEnd;
    answer.mSentAt = After(mTime).mAt;
    OnViewRead(mView, After(mTime), answer);
  }

  void AnswerTrimmed()
  {
    ReadAnswer answer;
    answer.mCall = Select<ReadCall>(mActions).at(0);
    answer.mResult = CallResult::Refused;
    answer.mTrimmed = true;
    OnViewRead(mView, After(mTime), answer);
  }

  // Loads the states, which are then followed from aEnd on.
  void Load(std::vector<KeyedRecord> aStates, std::int64_t aEnd)
  {
    Ask(kFirst);
    Advance();
    AnswerNewest(std::move(aStates), aEnd);
    mView.mQueries.clear();
  }
};

}

BOOST_AUTO_TEST_SUITE(JobStates)

BOOST_AUTO_TEST_CASE(states_that_change_together_share_an_append_and_the_coverage_comes_last)
{
  Publisher publisher;
  publisher.TakeOver(StateCoverage{ 10, 20 });
  AddState(publisher.mPublisher, kSecond, JobState{ JobPhase::Running, {} });
  AddState(publisher.mPublisher, kFirst, PendingState());
  AddState(publisher.mPublisher, kFirst, JobState{ JobPhase::Completed, {} });
  publisher.Advance(10ms, { 11, 25 });
  auto appends = Select<AppendCall>(publisher.mActions);
  BOOST_REQUIRE(appends.size() == 1u);
  std::vector<std::string> expected{ kFirst.mValue,
                                     kSecond.mValue,
                                     std::string(kStateCoverageKey) };
  BOOST_TEST(KeysOf(appends[0]) == expected);
  BOOST_TEST((DecodeJobState(appends[0].mRecords[0].mValue)->mPhase == JobPhase::Completed));
  auto coverage = DecodeStateCoverage(appends[0].mRecords[2].mValue);
  BOOST_TEST((*coverage == StateCoverage{ 11, 25 }));
  // No second append is sent beside the first.
  AddState(publisher.mPublisher, kSecond, JobState{ JobPhase::Completed, {} });
  publisher.Advance(11ms, { 11, 26 });
  BOOST_TEST(publisher.mActions.empty());
}

BOOST_AUTO_TEST_CASE(a_new_owner_publishes_only_what_the_former_one_has_not)
{
  Publisher publisher;
  auto add = [&](const JobId& aJob, StateSource aSource, std::int64_t aOffset) {
    AddLoadedState(publisher.mPublisher, { aJob, PendingState(), aSource, aOffset });
  };
  add(kFirst, StateSource::Jobs, 9);
  add(kSecond, StateSource::Jobs, 10);
  add(JobId("0000000000000003"), StateSource::Progress, 19);
  add(JobId("0000000000000004"), StateSource::Progress, 20);
  publisher.TakeOver(StateCoverage{ 10, 20 });
  publisher.Advance(10ms, { 12, 22 });
  auto appends = Select<AppendCall>(publisher.mActions);
  BOOST_REQUIRE(appends.size() == 1u);
  std::vector<std::string> expected{ kSecond.mValue,
                                     "0000000000000004",
                                     std::string(kStateCoverageKey) };
  BOOST_TEST(KeysOf(appends[0]) == expected);
}

// So it is where an earlier version of the program, which has no job states, owned the shard.
BOOST_AUTO_TEST_CASE(a_new_owner_publishes_everything_where_nothing_was_published)
{
  Publisher publisher;
  AddLoadedState(publisher.mPublisher, { kFirst, PendingState(), StateSource::Jobs, 0 });
  AddLoadedState(publisher.mPublisher,
                 { kSecond, { JobPhase::Completed, {} }, StateSource::Progress, 0 });
  publisher.TakeOver(std::nullopt);
  publisher.Advance(10ms, { 1, 1 });
  auto appends = Select<AppendCall>(publisher.mActions);
  BOOST_REQUIRE(appends.size() == 1u);
  BOOST_TEST(appends[0].mRecords.size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_state_that_changes_during_the_take_over_is_not_published_as_it_was)
{
  Publisher publisher;
  AddLoadedState(publisher.mPublisher, { kFirst, PendingState(), StateSource::Jobs, 5 });
  AddState(publisher.mPublisher, kFirst, JobState{ JobPhase::Completed, {} });
  publisher.TakeOver(std::nullopt);
  publisher.Advance(10ms, { 6, 1 });
  auto append = Select<AppendCall>(publisher.mActions).at(0);
  BOOST_TEST((DecodeJobState(append.mRecords[0].mValue)->mPhase == JobPhase::Completed));
}

BOOST_AUTO_TEST_CASE(an_append_that_fails_is_repeated_as_it_was)
{
  Publisher publisher;
  publisher.TakeOver(StateCoverage{});
  AddState(publisher.mPublisher, kFirst, JobState{ JobPhase::Running, {} });
  publisher.Advance(10ms, {});
  auto first = Select<AppendCall>(publisher.mActions).at(0);
  BOOST_TEST((publisher.Acknowledge(20ms, AppendRefusal::Unavailable) == PublishOutcome::Continue));
  AddState(publisher.mPublisher, kFirst, JobState{ JobPhase::Completed, {} });
  publisher.Advance(200ms, {});
  auto second = Select<AppendCall>(publisher.mActions).at(0);
  BOOST_TEST(second.mRecords[0].mValue == first.mRecords[0].mValue);
  BOOST_TEST(second.mFence->mSequence == first.mFence->mSequence);
  publisher.Acknowledge(205ms);
  publisher.Advance(300ms, {});
  auto third = Select<AppendCall>(publisher.mActions).at(0);
  BOOST_TEST((DecodeJobState(third.mRecords[0].mValue)->mPhase == JobPhase::Completed));
  BOOST_TEST(third.mFence->mSequence == first.mFence->mSequence + 1);
}

BOOST_AUTO_TEST_CASE(an_owner_that_is_fenced_off_learns_of_it)
{
  Publisher publisher;
  publisher.TakeOver(StateCoverage{});
  AddState(publisher.mPublisher, kFirst, JobState{ JobPhase::Running, {} });
  publisher.Advance(10ms, {});
  BOOST_TEST((publisher.Acknowledge(20ms, AppendRefusal::Fenced) == PublishOutcome::Fenced));
}

BOOST_AUTO_TEST_CASE(a_published_job_is_answered_from_its_state_alone)
{
  View view;
  view.Load({ CoverageRecord(5, 1), StateRecord(kFirst, JobPhase::Running, 0) }, 2);
  view.Ask(kFirst);
  BOOST_TEST(view.Advance().empty());
  view.AnswerRead(Stream::JobStates, {}, 2);
  auto answers = view.Advance();
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].mPhase == JobPhase::Running));
  BOOST_TEST(view.mActions.empty());
}

// The owner of the shard may be away, so that nobody publishes the jobs that hosts accept.
BOOST_AUTO_TEST_CASE(a_job_that_its_owner_has_not_published_is_pending)
{
  View view;
  view.Load({ CoverageRecord(5, 1) }, 2);
  view.Ask(kFirst);
  view.Advance();
  view.AnswerRead(Stream::JobStates, {}, 2);
  BOOST_TEST(view.Advance().empty());
  BOOST_TEST(Select<ReadCall>(view.mActions).at(0).mFrom == 5);
  view.AnswerRead(Stream::Jobs, { JobRecord(kFirst, 5) }, 6);
  auto answers = view.Advance();
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].mPhase == JobPhase::Pending));
}

BOOST_AUTO_TEST_CASE(a_job_is_unknown_only_after_both_streams_were_read_to_their_ends)
{
  View view;
  view.Load({ CoverageRecord(5, 1) }, 2);
  view.Ask(kFirst);
  view.Advance();
  view.AnswerRead(Stream::JobStates, { StateRecord(kSecond, JobPhase::Running, 2) }, 4);
  // The answer was cut off before the end of the stream.
  BOOST_TEST(view.Advance().empty());
  view.AnswerRead(Stream::JobStates, { CoverageRecord(6, 3) }, 4);
  BOOST_TEST(view.Advance().empty());
  view.AnswerRead(Stream::Jobs, { JobRecord(kSecond, 6) }, 8);
  BOOST_TEST(view.Advance().empty());
  view.AnswerRead(Stream::Jobs, { JobRecord(JobId("0000000000000003"), 7) }, 8);
  // The job may have left the jobs stream since the states were read.
  view.mTime += 10ms;
  BOOST_TEST(view.Advance().empty());
  view.AnswerRead(Stream::JobStates, {}, 4);
  auto answers = view.Advance();
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST(!answers[0].mPhase);
  BOOST_TEST(!answers[0].mTimedOut);
}

BOOST_AUTO_TEST_CASE(jobs_that_become_published_are_neither_read_nor_counted_twice)
{
  View view;
  view.Load({ CoverageRecord(5, 1), StateRecord(kFirst, JobPhase::Pending, 0) }, 2);
  auto count = [&](std::vector<KeyedRecord> aStates, std::int64_t aStatesEnd, auto aJobs) {
    view.mTime += 100ms;
    view.Ask({}, true);
    view.Advance();
    view.AnswerRead(Stream::JobStates, std::move(aStates), aStatesEnd);
    view.Advance();
    view.AnswerRead(Stream::Jobs, aJobs, 6);
    return view.Advance().at(0).mCount;
  };
  BOOST_TEST(count({}, 2, std::vector{ JobRecord(kSecond, 5) }) == 2);
  BOOST_TEST(count({ StateRecord(kSecond, JobPhase::Pending, 2), CoverageRecord(6, 3) },
                   4,
                   std::vector<KeyedRecord>()) == 2);
  BOOST_TEST(view.mView.mUncoveredJobs.empty());
  BOOST_TEST(count({ StateRecord(kFirst, JobPhase::Running, 4) }, 5, std::vector<KeyedRecord>()) ==
             1);
}

BOOST_AUTO_TEST_CASE(a_final_state_is_never_taken_back)
{
  View view;
  view.Load({ StateRecord(kFirst, JobPhase::Completed, 9) }, 8);
  view.Ask(kSecond);
  view.Advance();
  // Records from before the page that showed the job as completed.
  view.AnswerRead(Stream::JobStates, { StateRecord(kFirst, JobPhase::Running, 8) }, 10);
  view.Ask(kFirst);
  auto answers = view.Advance();
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].mPhase == JobPhase::Completed));
}

BOOST_AUTO_TEST_CASE(all_jobs_are_read_only_if_the_states_do_not_cover_those_that_are_gone)
{
  View view;
  view.Load({ CoverageRecord(5, 1) }, 2);
  view.Ask(kFirst);
  view.Advance();
  view.AnswerRead(Stream::JobStates, {}, 2);
  view.Advance();
  view.AnswerTrimmed();
  view.mTime += 10ms;
  view.Advance();
  view.AnswerRead(Stream::JobStates, {}, 2);
  view.Advance();
  BOOST_TEST(Select<ReadCall>(view.mActions).at(0).mFrom == 5);
  view.AnswerTrimmed();
  view.Advance();
  view.AnswerNewest({ JobRecord(kFirst, 5) }, 6);
  auto answers = view.Advance();
  BOOST_REQUIRE(answers.size() == 1u);
  BOOST_TEST((answers[0].mPhase == JobPhase::Pending));
}

BOOST_AUTO_TEST_SUITE_END()
