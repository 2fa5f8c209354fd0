#pragma once

#include "LibSchedule/Clock.h"
#include "LibSchedule/Model.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The calls that the scheduling logic makes to the outside, and their answers. An answer carries
// the call that it answers, so that no table of pending calls is needed.
namespace sesameseam::schedule {

enum class CallResult
{
  Done,
  // The callee answered that it did nothing.
  Refused,
  // No answer arrived: the call may have been executed, or may still be executed later.
  Unanswered,
};

inline std::string
NameOf(CallResult aResult)
{
  if (aResult == CallResult::Done) {
    return "done";
  }
  return aResult == CallResult::Refused ? "refused" : "unanswered";
}

// Streams of the platform's log. The entry hosts write all but the first two.
enum class Stream
{
  // The operator's manifest and maintenance waves.
  Operator,
  // The list of executors.
  Executors,
  // Jobs and cancellations, written by the host that accepted them. Each shard has one partition.
  Jobs,
  // The state of the jobs, written by the owner of the shard.
  Progress,
  // The phase of each job, written by the owner of the shard after Progress. Callers' queries are
  // answered from it.
  JobStates,
  // One record per change of a shard's owner. Its offset is the fencing token.
  Owners,
  // Records that shard owners exchange about hosts: maintenance, moves and demand.
  Fleet,
  // Status reports for the operator.
  Status,
};

inline std::string
NameOf(Stream aStream)
{
  switch (aStream) {
    case Stream::Operator:
      return "operator";
    case Stream::Executors:
      return "executors";
    case Stream::Jobs:
      return "jobs";
    case Stream::Progress:
      return "progress";
    case Stream::JobStates:
      return "job-states";
    case Stream::Owners:
      return "owners";
    case Stream::Fleet:
      return "fleet";
    case Stream::Status:
      return "status";
  }
  return "unknown";
}

struct LogRecord
{
  std::string mKey;
  // An empty value removes the key.
  std::string mValue;
};

struct KeyedRecord
{
  std::string mKey;
  std::string mValue;
  std::int64_t mOffset = 0;
};

// The component of an entry host that requested a read.
enum class Reader
{
  Owner,
  View,
  Follower,
};

// The epoch and sequence number of an append. The log refuses the append if another owner has
// written with a higher epoch, or if the sequence number is not the next one.
struct AppendFence
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
};

struct AppendCall
{
  Stream mStream = Stream::Jobs;
  int mPartition = 0;
  std::vector<LogRecord> mRecords;
  std::optional<AppendFence> mFence;
  // If set, the append is refused unless the partition ends at this offset.
  std::optional<std::int64_t> mExpectedEnd;
  // Distinguishes the calls of one caller.
  std::int64_t mTicket = 0;
};

enum class AppendRefusal
{
  None,
  // Another owner has written with a higher epoch.
  Fenced,
  // The sequence number does not follow the previous one.
  Sequence,
  // The partition does not end at the expected offset.
  EndMismatch,
  // The store is overloaded or unavailable, and did nothing.
  Unavailable,
};

struct AppendAnswer
{
  AppendCall mCall;
  CallResult mResult = CallResult::Unanswered;
  AppendRefusal mRefusal = AppendRefusal::None;
  std::int64_t mOffset = 0;
  std::int64_t mEnd = 0;
  std::int64_t mExpectedSequence = 0;
  Instant mSentAt;
};

struct ReadCall
{
  Stream mStream = Stream::Jobs;
  int mPartition = 0;
  Reader mReader = Reader::Follower;
  std::int64_t mFrom = 0;
  std::chrono::milliseconds mWait{ 0 };
  // How long the answer may take beyond the wait; 0 for the sender's default.
  std::chrono::milliseconds mAnswerTimeout{ 0 };
  // The maximum size of the answer; 0 for the store's own limit.
  int mMaxKilobytes = 0;
  std::int64_t mTicket = 0;
};

// Decoded records that entry hosts do not write: the manifest and waves of Stream::Operator, and
// the entries of Stream::Executors. An entry whose record was removed has the state Gone.
struct ExternalRecords
{
  std::vector<Manifest> mManifests;
  std::vector<Wave> mWaves;
  std::vector<ExecutorEntry> mExecutors;
  // The keys of records that could not be decoded and were skipped.
  std::vector<std::string> mUnreadable;
};

struct ReadAnswer
{
  ReadCall mCall;
  CallResult mResult = CallResult::Unanswered;
  // The log no longer retains the records from mFrom on.
  bool mTrimmed = false;
  std::vector<KeyedRecord> mRecords;
  ExternalRecords mExternalRecords;
  // The offset after the last record of the partition.
  std::int64_t mEnd = 0;
  Instant mSentAt;
};

// Reads the newest record of each key, in pages.
struct ReadNewestCall
{
  Stream mStream = Stream::Jobs;
  int mPartition = 0;
  Reader mReader = Reader::Follower;
  std::string mAfterKey;
  // How long the answer may take; 0 for the sender's default.
  std::chrono::milliseconds mAnswerTimeout{ 0 };
  std::int64_t mTicket = 0;
};

struct ReadNewestAnswer
{
  ReadNewestCall mCall;
  CallResult mResult = CallResult::Unanswered;
  std::vector<KeyedRecord> mRecords;
  ExternalRecords mExternalRecords;
  bool mHasMore = false;
  std::int64_t mEnd = 0;
};

// Joins the group of entry hosts, or renews the membership.
struct JoinCall
{
  std::int64_t mGeneration = 0;
  // How long the answer may take.
  std::chrono::milliseconds mAnswerTimeout{ 1000 };
};

struct JoinAnswer
{
  JoinCall mCall;
  CallResult mResult = CallResult::Unanswered;
  std::int64_t mGeneration = 0;
  std::vector<int> mPartitions;
  Instant mSentAt;
};

struct LeaveCall
{};

// Queries which hosts own partitions of the group.
struct OwnersCall
{};

struct GroupOwner
{
  std::string mHost;
  int mCapacityMillicores = 0;
};

struct OwnersAnswer
{
  OwnersCall mCall;
  CallResult mResult = CallResult::Unanswered;
  std::vector<GroupOwner> mOwners;
};

// The destination of a call to an executor. `mShard` and `mEpoch` identify the owner that makes it.
struct ExecutorAddress
{
  ExecutorId mExecutor;
  std::string mAddress;
  int mShard = 0;
  std::int64_t mEpoch = 0;
};

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
  std::int64_t mIncarnation = 0;
  std::chrono::milliseconds mClock{ 0 };
  std::vector<RunningTask> mRunning;
  std::vector<TaskEnd> mEnds;
  // The number of rows that could not be decoded and were skipped.
  int mUnreadable = 0;
  Instant mSentAt;
};

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
};

struct StartAnswer
{
  StartCall mCall;
  CallResult mResult = CallResult::Unanswered;
  StartRefusal mRefusal = StartRefusal::None;
  std::chrono::milliseconds mClock{ 0 };
  Instant mSentAt;
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

struct MachinesCall
{
  std::string mPage;
};

struct MachinesAnswer
{
  MachinesCall mCall;
  CallResult mResult = CallResult::Unanswered;
  std::vector<Machine> mMachines;
  std::string mNextPage;
};

// Orders the maintenance of a host for a wave.
struct MaintenanceCall
{
  MachineId mMachine;
  std::int64_t mWave = 0;
  // Fencing token, which increases with each order for the machine.
  std::int64_t mFence = 0;
  int mShard = 0;
};

enum class MaintenanceRefusal
{
  None,
  Busy,
  NotInWave,
  Fenced,
  Other,
};

struct MaintenanceAnswer
{
  MaintenanceCall mCall;
  CallResult mResult = CallResult::Unanswered;
  MaintenanceRefusal mRefusal = MaintenanceRefusal::None;
};

// Moves a machine to another pool.
struct MoveCall
{
  MachineId mMachine;
  ServiceName mTo;
  std::int64_t mFence = 0;
};

struct MoveAnswer
{
  MoveCall mCall;
  CallResult mResult = CallResult::Unanswered;
};

// Reports the progress of a wave to the operator.
struct WaveStatusCall
{
  std::int64_t mWave = 0;
  bool mCompleted = false;
};

struct WaveStatusAnswer
{
  WaveStatusCall mCall;
  CallResult mResult = CallResult::Unanswered;
};

// Identifies a caller's request until it is answered.
using RequestTicket = std::int64_t;

enum class ReplyKind
{
  Accepted,
  State,
  Count,
  Cancelled,
  // The job does not exist.
  Gone,
  NoQueue,
  BadRequest,
  TooLarge,
  // The request was not accepted and never will be; the caller may retry after mRetryAfter.
  Refused,
  // It is unknown whether the job was stored.
  Unknown,
};

struct Reply
{
  RequestTicket mTicket = 0;
  ReplyKind mKind = ReplyKind::Refused;
  JobPhase mPhase = JobPhase::Pending;
  std::int64_t mCount = 0;
  std::chrono::seconds mRetryAfter{ 0 };
  std::string mReason;
};

enum class RequestKind
{
  Submit,
  State,
  Cancel,
};

// A caller's request. The end of the path is the job's id. A State request without an id asks for
// the number of pending jobs of the queue.
struct CallerRequest
{
  RequestTicket mTicket = 0;
  RequestKind mKind = RequestKind::State;
  std::string mHost;
  std::string mPath;
  // Only the spec, the steps and the times are set. Empty if the body could not be parsed; mProblem
  // then says why.
  std::optional<JobDefinition> mJob;
  std::string mProblem;
  std::chrono::milliseconds mTimeout{ 0 };
};

enum class LogLevel
{
  Debug,
  Info,
  Warning,
};

// A structured log line. Empty fields are omitted.
struct LogEntry
{
  LogLevel mLevel = LogLevel::Info;
  std::string_view mEvent;
  std::string mJob;
  std::string mSubject;
  std::string mOutcome;
  std::string mReason;
  std::optional<std::int64_t> mVersion;
  std::optional<std::chrono::milliseconds> mAge;
};

using Action = std::variant<AppendCall,
                            ReadCall,
                            ReadNewestCall,
                            JoinCall,
                            LeaveCall,
                            OwnersCall,
                            HeartbeatCall,
                            StartCall,
                            StopCall,
                            ThrottleCall,
                            MachinesCall,
                            MaintenanceCall,
                            MoveCall,
                            WaveStatusCall,
                            Reply,
                            LogEntry>;
using Actions = std::vector<Action>;

}
