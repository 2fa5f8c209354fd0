#include "LibSchedule/CallTimes.h"
#include "LibSchedule/Follower.h"
#include "LibStandIn/FakeStore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr Duration kTick = 10ms;
constexpr Duration kLatency = 10ms;
// What the sender of calls allows for an answer if a call has no limit of its own.
constexpr Duration kDefaultAnswerTimeout = 1500ms;
constexpr std::size_t kPageSize = 2;

// A follower of the operator's stream, whose only connection to the store is subject to faults.
struct FollowedStore
{
  struct InFlight
  {
    std::optional<ReadCall> mRead;
    std::optional<ReadNewestCall> mNewest;
    Instant mSentAt;
    Duration mLatency{ 0 };
    bool mIsLost = false;
  };

  struct Stored
  {
    std::int64_t mVersion = 0;
    Instant mAt;
  };

  standin::FakeStore mStore;
  Follower mFollower;
  FollowerSettings mSettings;
  Instant mNow{ 100s };
  std::optional<InFlight> mInFlight;
  std::vector<Stored> mStored;
  Duration mLatency = kLatency;
  bool mRefuses = false;
  Instant mDisturbedUntil{ 100s };
  std::int64_t mInForce = 0;
  // The first promise that was broken.
  std::string mProblem;

  FollowedStore()
  {
    mStore.mPageSize = kPageSize;
    for (const auto* key : { "a", "b", "wave/1", "wave/2", "wave/3" }) {
      AppendRecord(key, "x");
    }
    Apply(1);
  }

  void AppendRecord(const std::string& aKey, const std::string& aValue)
  {
    AppendCall call;
    call.mStream = Stream::Operator;
    call.mRecords = { { aKey, aValue } };
    standin::Append(mStore, call);
  }

  void Apply(std::int64_t aVersion)
  {
    AppendRecord("config", std::to_string(aVersion));
    mStored.push_back({ aVersion, mNow });
  }

  void Silence()
  {
    mDisturbedUntil = std::max(mDisturbedUntil, mNow);
    if (mInFlight) {
      mInFlight->mIsLost = true;
    }
  }

  // Advances the time, and checks after each tick.
  void Run(Duration aTime)
  {
    for (auto end = mNow + aTime; mNow < end; mNow += kTick) {
      Tick();
      Check();
    }
  }

  void Tick()
  {
    if (mInFlight) {
      Answer();
    }
    if (mLatency > kLatency || mRefuses) {
      mDisturbedUntil = mNow;
    }
    Actions actions;
    AdvanceFollower(mFollower, { mNow, TimePoint(1000s) }, mSettings, false, actions);
    for (const auto& action : actions) {
      if (const auto* read = std::get_if<ReadCall>(&action)) {
        mInFlight = InFlight{ *read, std::nullopt, mNow, mLatency, false };
      } else if (const auto* newest = std::get_if<ReadNewestCall>(&action)) {
        mInFlight = InFlight{ std::nullopt, *newest, mNow, mLatency, false };
      }
    }
  }

  void Answer()
  {
    auto call = *mInFlight;
    auto elapsed = mNow - call.mSentAt;
    auto limit = call.mRead ? call.mRead->mAnswerTimeout : call.mNewest->mAnswerTimeout;
    auto wait = call.mRead ? Duration(call.mRead->mWait) : Duration(0);
    auto timeout = (limit.count() > 0 ? Duration(limit) : kDefaultAnswerTimeout) + wait;
    auto isTimedOut = elapsed >= timeout;
    auto isDue = !call.mIsLost && elapsed >= call.mLatency;
    if (!isDue && !isTimedOut) {
      return;
    }
    auto result = !isDue     ? CallResult::Unanswered
                  : mRefuses ? CallResult::Refused
                             : CallResult::Done;
    if (call.mNewest) {
      AnswerNewest(*call.mNewest, result);
      return;
    }
    auto answer = standin::Read(mStore, *call.mRead);
    auto isOver = elapsed >= wait + call.mLatency;
    if (result == CallResult::Done && answer.mRecords.empty() && !answer.mTrimmed && !isOver) {
      return;
    }
    AnswerRead(std::move(answer), result);
  }

  void AnswerRead(ReadAnswer aAnswer, CallResult aResult)
  {
    mInFlight.reset();
    if (aResult != CallResult::Done) {
      auto call = aAnswer.mCall;
      aAnswer = {};
      aAnswer.mCall = call;
      aAnswer.mResult = aResult;
    }
    // The store may return fewer records than there are.
    if (aAnswer.mRecords.size() > 1) {
      aAnswer.mRecords.resize(1);
    }
    aAnswer.mExternalRecords = Decode(aAnswer.mRecords);
    Actions actions;
    OnFollowerRead(mFollower, { mNow, TimePoint(1000s) }, aAnswer, actions);
  }

  void AnswerNewest(const ReadNewestCall& aCall, CallResult aResult)
  {
    mInFlight.reset();
    ReadNewestAnswer answer;
    answer.mCall = aCall;
    if (aResult == CallResult::Done) {
      answer = standin::Newest(mStore, aCall);
      answer.mExternalRecords = Decode(answer.mRecords);
    }
    answer.mResult = aResult;
    Actions actions;
    OnFollowerReadNewest(mFollower, { mNow, TimePoint(1000s) }, answer, actions);
  }

  static ExternalRecords Decode(const std::vector<KeyedRecord>& aRecords)
  {
    ExternalRecords decoded;
    for (const auto& record : aRecords) {
      if (record.mKey == "config") {
        Manifest manifest;
        manifest.mVersion = std::stoll(record.mValue);
        decoded.mManifests.push_back(manifest);
      }
    }
    return decoded;
  }

  void CheckInForce(const Stored& aStored)
  {
    if (mInForce < aStored.mVersion && mProblem.empty()) {
      mProblem = "version " + std::to_string(aStored.mVersion) + " is late";
    }
  }

  void Check()
  {
    auto inForce = mFollower.mManifest ? mFollower.mManifest->mVersion : 0;
    if (inForce < mInForce) {
      mProblem = "version " + std::to_string(mInForce) + " reverts to " + std::to_string(inForce);
    }
    mInForce = inForce;
    for (const auto& stored : mStored) {
      auto dueAt = std::max(stored.mAt, mDisturbedUntil) + mSettings.mManifestDeadline;
      if (mNow >= dueAt) {
        CheckInForce(stored);
      }
    }
  }
};

}

BOOST_AUTO_TEST_SUITE(TheFollower)

// A read waited 1.5 s for news and 1.5 s more for its answer, so that one connection that had gone
// silent cost more than the 2 s in which a change must be in force.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_in_time_after_the_connection_has_gone_silent)
{
  FollowedStore store;
  store.Run(3s);
  store.Apply(2);
  store.Run(20ms);
  store.Silence();
  store.Apply(3);
  store.Run(5s);
  BOOST_TEST(store.mProblem == "");
  BOOST_TEST(store.mInForce == 3);
}

// The history was dropped at the same time, so that a load follows the read that was lost.
BOOST_AUTO_TEST_CASE(a_change_is_in_force_in_time_if_the_history_is_dropped_as_well)
{
  FollowedStore store;
  store.Run(3s);
  store.Apply(2);
  store.Run(20ms);
  store.Silence();
  store.Apply(3);
  standin::TrimHistory(store.mStore);
  store.Run(5s);
  BOOST_TEST(store.mProblem == "");
  BOOST_TEST(store.mInForce == 3);
}

// The second page of a load has version 3; the records after the first page begin with version 2.
BOOST_AUTO_TEST_CASE(a_version_that_a_page_has_shown_is_not_followed_by_an_older_one)
{
  FollowedStore store;
  store.mLatency = 100ms;
  store.Run(150ms);
  store.Apply(2);
  store.Apply(3);
  store.Run(5s);
  BOOST_TEST(store.mProblem == "");
  BOOST_TEST(store.mInForce == 3);
}

// With a limit that does not grow, a store that answers later than that would never be read.
BOOST_AUTO_TEST_CASE(a_store_that_takes_longer_than_the_first_limit_is_read_all_the_same)
{
  FollowedStore store;
  store.mLatency = 1400ms;
  store.Run(8s);
  BOOST_TEST(store.mInForce == 1);
  store.Apply(2);
  store.Run(8s);
  BOOST_TEST(store.mProblem == "");
  BOOST_TEST(store.mInForce == 2);
}

BOOST_AUTO_TEST_CASE(a_lost_read_and_its_repetition_fit_into_the_deadline)
{
  for (auto deadline : { 500ms, 1000ms, 2000ms, 4000ms, 8000ms }) {
    auto first = PlanCall(deadline, 0);
    BOOST_TEST((first.mWait + first.mAnswerTimeout <= deadline / 2));
    BOOST_TEST((first.mAnswerTimeout > 0ms));
    BOOST_TEST((PlanCall(deadline, 1).mWait == 0ms));
    BOOST_TEST((PlanCall(deadline, 100).mAnswerTimeout >= first.mAnswerTimeout));
  }
}

// The log tells an operator that a host may serve with an old manifest, once.
BOOST_AUTO_TEST_CASE(a_manifest_that_is_not_confirmed_in_time_is_reported)
{
  Follower follower;
  follower.mManifest = Manifest{ 7, {}, {} };
  follower.mOperator.mCurrentAsOf = Instant(100s);
  follower.mOperator.mInFlight = true;
  auto events = [&](Instant aNow) {
    Actions actions;
    AdvanceFollower(follower, { aNow, TimePoint(1000s) }, {}, false, actions);
    std::vector<std::string> names;
    for (const auto& action : actions) {
      const auto& entry = std::get<LogEntry>(action);
      names.push_back(std::string(entry.mEvent) + " " + std::to_string(entry.mAge->count()));
    }
    return names;
  };
  BOOST_TEST(events(Instant(101s)).empty());
  BOOST_TEST((events(Instant(103s)) == std::vector<std::string>{ "manifest-unconfirmed 3000" }));
  BOOST_TEST(events(Instant(104s)).empty());
  follower.mOperator.mCurrentAsOf = Instant(104s);
  BOOST_TEST((events(Instant(104s)) == std::vector<std::string>{ "manifest-confirmed 0" }));
}

// Whatever the answers: a version is in force within the deadline of its storing, or of the end of
// the last fault, and is never followed by an older one. Loads read pages while versions change.
BOOST_AUTO_TEST_CASE(an_unreadable_record_is_counted_each_time_and_logged_once)
{
  Follower follower;
  ReadAnswer answer;
  answer.mCall.mStream = Stream::Executors;
  answer.mResult = CallResult::Done;
  answer.mExternalRecords.mUnreadable = { "i-1" };
  Actions actions;
  auto logged = [&] {
    return std::count_if(actions.begin(), actions.end(), [](const Action& aAction) {
      const auto* entry = std::get_if<LogEntry>(&aAction);
      return entry != nullptr && entry->mEvent == "record-unreadable";
    });
  };
  for (int i = 0; i < 5; ++i) {
    OnFollowerRead(follower, {}, answer, actions);
  }
  BOOST_TEST(follower.mUnreadableRecords == 5);
  BOOST_TEST(logged() == 1);
  // Sound in between, so that it is news again.
  ReadAnswer sound = answer;
  sound.mExternalRecords.mUnreadable.clear();
  sound.mExternalRecords.mExecutors = { { .mId = ExecutorId("i-1") } };
  OnFollowerRead(follower, {}, sound, actions);
  OnFollowerRead(follower, {}, answer, actions);
  BOOST_TEST(logged() == 2);
}

BOOST_AUTO_TEST_CASE(no_fault_keeps_an_old_manifest_in_force_or_brings_one_back)
{
  auto holds = rc::check([] {
    FollowedStore store;
    std::int64_t version = 1;
    auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (auto step : steps) {
      switch (step) {
        case 0:
        case 1:
          store.Silence();
          break;
        case 2:
        case 3:
          standin::TrimHistory(store.mStore);
          break;
        case 4:
          store.mLatency = std::chrono::milliseconds(*rc::gen::inRange(20, 1400));
          break;
        case 5:
          store.mLatency = kLatency;
          break;
        case 6:
          store.mRefuses = !store.mRefuses;
          break;
        default:
          version += *rc::gen::inRange(1, 4);
          store.Apply(version);
          break;
      }
      store.Run(std::chrono::milliseconds(*rc::gen::inRange(0, 60) * 10));
    }
    store.mLatency = kLatency;
    store.mRefuses = false;
    store.Run(6s);
    RC_ASSERT(store.mProblem == "");
    RC_ASSERT(store.mInForce == version);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
