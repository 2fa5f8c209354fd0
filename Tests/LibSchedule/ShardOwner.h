#pragma once

#include "Actions.h"
#include "LibSchedule/Shard.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

// The owner of a shard with one executor, to which tests give the answers that they play.
namespace sesameseam::schedule {

inline constexpr Now kNow{ Instant(100s), TimePoint(1000s) };
inline constexpr std::int64_t kEpoch = 7;
inline constexpr std::int64_t kIncarnation = 11;
inline const ExecutorId kExecutor("x1");

inline Now
Later(Duration aTime)
{
  return { kNow.mAt + aTime, kNow.mWall + aTime };
}

// The owner of a shard with one executor.
struct Owner
{
  Shard mShard = MakeShard(3, {}, kNow.mAt);
  Actions mActions;

  Owner()
  {
    mShard.mPhase = ShardPhase::Active;
    mShard.mEpoch = kEpoch;
    mShard.mJobsCurrentAsOf = kNow.mAt;
    mShard.mNextJobsOffset = 0;
    ExecutorEntry entry;
    entry.mId = kExecutor;
    entry.mService = ServiceName("studio");
    entry.mAddress = "10.0.0.1:80";
    entry.mCapacity = { 8000, 8000, 0 };
    entry.mIncarnation = kIncarnation;
    UpdateExecutor(mShard, kNow, entry);
    Answer(kNow, { 0, kIncarnation, {} });
  }

  Executor& TheExecutor() { return mShard.mExecutors.at(kExecutor); }

  void Advance(const Now& aNow)
  {
    mActions.clear();
    ConfirmOwnership(mShard, aNow.mAt);
    schedule::Advance(mShard, aNow, mActions);
  }

  struct Listed
  {
    std::int64_t mLastSeen = 0;
    std::int64_t mIncarnation = 0;
    std::vector<TaskEnd> mEnds;
  };

  void Answer(const Now& aNow, const Listed& aListed)
  {
    HeartbeatAnswer answer;
    answer.mCall.mTo = { kExecutor, "10.0.0.1:80", 3, kEpoch };
    answer.mCall.mLastSeen = aListed.mLastSeen;
    answer.mResult = CallResult::Done;
    answer.mIncarnation = aListed.mIncarnation;
    answer.mEnds = aListed.mEnds;
    answer.mClock = std::chrono::milliseconds(1000);
    answer.mSentAt = aNow.mAt;
    OnHeartbeatAnswer(mShard, aNow, answer, mActions);
  }

  HeartbeatCall OnlyHeartbeat()
  {
    auto calls = Select<HeartbeatCall>(mActions);
    BOOST_REQUIRE(calls.size() == 1u);
    return calls[0];
  }

  void AddJob(const Now& aNow, const std::string& aId = "0000000000000001")
  {
    JobDefinition definition;
    definition.mQueue = QueueName("previews");
    definition.mService = ServiceName("studio");
    definition.mSteps = { MakeStep(1, 1) };
    detail::ApplyJobRecord(mShard, aNow, { aId, EncodeJob(definition), 0 }, mActions);
  }

  bool HasPlaced() { return !TheExecutor().mRuns.empty(); }
};

}
