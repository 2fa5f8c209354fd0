#pragma once

#include "LibSchedule/CallResult.h"
#include "LibSchedule/Clock.h"
#include "LibSchedule/Model.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The calls that the owner of a shard makes to executors, and their answers.
namespace sesameseam::schedule {

// The destination of a call to an executor. `mShard` and `mEpoch` identify the owner that decided
// on it.
struct ExecutorAddress
{
  ExecutorId mExecutor;
  std::string mAddress;
  int mShard = 0;
  std::int64_t mEpoch = 0;
  // Not 0 if this host makes the call for the owner on another host.
  std::int64_t mRelayTicket = 0;
  // The process of the executor that answered the owner last; 0 if none has. Starts, leases and
  // acknowledgements are for that process only: a later one under the same id must not get them.
  std::int64_t mIncarnation = 0;
};

// How long an executor may take for an answer, beyond the wait that it is asked for. Then the call
// is given up and its connection closed.
inline constexpr std::chrono::milliseconds kExecutorAnswerTimeout = 900ms;
// A relay that gets calls later than this does not make them: an executor that has restarted in the
// meantime knows no fencing token. An owner that is held up for some hundred milliseconds still
// gets its calls through.
inline constexpr std::chrono::milliseconds kRelayedCallLifetime = 500ms;

// The last moment at which a process that starts later than the call may still receive it.
inline Instant
LatestArrival(Instant aSentAt, std::chrono::milliseconds aWait)
{
  return aSentAt + kRelayedCallLifetime + aWait + kExecutorAnswerTimeout;
}

// Renews the leases on an executor, acknowledges ended runs, and lists the runs that are running or
// have ended.
struct HeartbeatCall
{
  ExecutorAddress mTo;
  std::int64_t mLastSeen = 0;
  // The new end of the leases by the executor's clock; 0 renews nothing.
  std::chrono::milliseconds mLeaseEnd{ 0 };
  std::chrono::milliseconds mWait{ 0 };
};

struct RunningTask
{
  TaskRun mRun;
  std::string mCheckpoint;
  int mPercent = 0;
  // The tail latency in milliseconds for a task that serves requests; otherwise the processor time
  // in use, in thousandths of a core.
  std::int64_t mLoad = 0;
};

enum class EndKind
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  // Another member of the gang ended.
  GangMemberEnded,
  // The other members of the gang did not start in time.
  GangIncomplete,
};

struct TaskEnd
{
  std::int64_t mNumber = 0;
  TaskRun mRun;
  EndKind mKind = EndKind::Failed;
  std::string mCheckpoint;
};

struct HeartbeatAnswer
{
  HeartbeatCall mCall;
  CallResult mResult = CallResult::Unanswered;
  bool mFenced = false;
  // Another executor answered at the address, which says nothing of the process of the one that was
  // called: it may run on where nobody reaches it.
  bool mIsFromAnother = false;
  // The connection was refused, which says nothing of the process: something in between may have
  // done that.
  bool mHasNoListener = false;
  std::int64_t mIncarnation = 0;
  std::chrono::milliseconds mClock{ 0 };
  std::vector<RunningTask> mRunning;
  std::vector<TaskEnd> mEnds;
  // The number of rows that could not be decoded and were skipped.
  int mUnreadable = 0;
  Instant mSentAt;
  // How long ago, at most, the answer arrived at the host that made the call.
  Duration mAge{ 0 };
  // No answer of the executor: the host that should make the call for this one has failed.
  bool mIsRelayFailure = false;
  // The call itself was not sent, only the heartbeat that introduces a connection.
  bool mIsOfIntroduction = false;
};

// What a heartbeat met that its executor did not answer with its lists.
enum class HeartbeatFailure
{
  None,
  NoAnswer,
  // It was answered without lists: the executor is unhealthy, or knows a later owner.
  Refused,
  // The connection was refused.
  NoListener,
  // Another executor has answered at the address.
  OtherExecutor,
  // The answer is of a process that started before the one that answered last, or of none that it
  // names.
  FormerProcess,
};

// Has the answer say that its call was not sent: no lease was asked for, no end acknowledged.
inline void
ReduceToIntroduction(HeartbeatAnswer& aAnswer)
{
  aAnswer.mIsOfIntroduction = true;
  aAnswer.mCall.mLeaseEnd = std::chrono::milliseconds(0);
  aAnswer.mCall.mLastSeen = 0;
  aAnswer.mCall.mWait = std::chrono::milliseconds(0);
}

struct StartCall
{
  ExecutorAddress mTo;
  TaskRun mRun;
  std::string mSpec;
  std::string mCheckpoint;
  std::chrono::milliseconds mLeaseEnd{ 0 };
};

enum class StartRefusal
{
  None,
  Fenced,
  // The executor has already had a run of the task with this number or a higher one.
  StaleRun,
  // The lease had expired by the executor's clock.
  LeaseExpired,
  InsufficientCapacity,
  Unhealthy,
  Invalid,
  // Another incarnation of the executor answered.
  OtherIncarnation,
  // The relay got the call too late and did not make it.
  NotSent,
  // Nothing listens at the executor's address. Only for heartbeats that a relay has made.
  NoListener,
  // The process that it is for did not answer in time on any connection, so that it was not sent.
  NotReached,
};

struct StartAnswer
{
  StartCall mCall;
  CallResult mResult = CallResult::Unanswered;
  StartRefusal mRefusal = StartRefusal::None;
  std::chrono::milliseconds mClock{ 0 };
  Instant mSentAt;
  // As in HeartbeatAnswer.
  bool mIsRelayFailure = false;
};

struct StopCall
{
  ExecutorAddress mTo;
  TaskRun mRun;
};

struct StopAnswer
{
  StopCall mCall;
  CallResult mResult = CallResult::Unanswered;
};

// Limits a task to a percentage of its speed.
struct ThrottleCall
{
  ExecutorAddress mTo;
  TaskRun mRun;
  int mPercent = 100;
};

struct ThrottleAnswer
{
  ThrottleCall mCall;
  CallResult mResult = CallResult::Unanswered;
};

using ExecutorCall = std::variant<HeartbeatCall, StartCall, StopCall, ThrottleCall>;
using ExecutorAnswer = std::variant<HeartbeatAnswer, StartAnswer, StopAnswer, ThrottleAnswer>;

}
