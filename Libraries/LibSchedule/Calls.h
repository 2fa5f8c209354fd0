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

// What the decisions ask of the outside, and what comes back. An answer carries the call that it
// answers, so that no table of pending calls is needed.
namespace sesameseam::schedule {

enum class CallResult
{
  Done,
  // The other side answered that it did nothing.
  Refused,
  // There is no answer: the call may have been carried out, or may be later.
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

// Streams of the platform's log. Except for the first two, the entry hosts write them.
enum class Stream
{
  // What the operator writes: the manifest and waves.
  Operator,
  // The list of executors.
  Executors,
  // Jobs and cancellations, written by the host that accepted them; a partition a shard.
  Jobs,
  // What has become of the jobs, written by the owner of the shard.
  Progress,
  // A record for each change of a shard's owner. Its offset is the fencing token.
  Owners,
  // What owners tell one another of hosts: upkeep, moves and demands.
  Fleet,
  // What the operator reads.
  Status,
};

struct LogRecord
{
  std::string mKey;
  // Empty removes the key.
  std::string mValue;
};

struct KeyedRecord
{
  std::string mKey;
  std::string mValue;
  std::int64_t mOffset = 0;
};

// Which part of a host asked for a read.
enum class Reader
{
  Owner,
  View,
  Follower,
};

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
  // The append is refused unless the partition ends at this offset.
  std::optional<std::int64_t> mExpectedEnd;
  // Tells calls of one caller apart.
  std::int64_t mTicket = 0;
};

enum class AppendRefusal
{
  None,
  // Another owner has written with a higher epoch.
  Fenced,
  // The sequence number doesn't follow the last one.
  Sequence,
  // The partition ends elsewhere.
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
  std::int64_t mTicket = 0;
};

// Records that others write, decoded: the manifest and waves of Stream::Operator, the entries of
// Stream::Executors. An entry whose record was removed has the state Gone.
struct ExternalRecords
{
  std::vector<Manifest> mManifests;
  std::vector<Wave> mWaves;
  std::vector<ExecutorEntry> mExecutors;
  // The keys of records that could not be read and are left out.
  std::vector<std::string> mUnreadable;
};

struct ReadAnswer
{
  ReadCall mCall;
  CallResult mResult = CallResult::Unanswered;
  // Records from mFrom on are no longer kept.
  bool mTrimmed = false;
  std::vector<KeyedRecord> mRecords;
  ExternalRecords mExternalRecords;
  // The offset after the last record of the partition.
  std::int64_t mEnd = 0;
  Instant mSentAt;
};

// Reads the newest record of each key, page by page.
struct ReadNewestCall
{
  Stream mStream = Stream::Jobs;
  int mPartition = 0;
  Reader mReader = Reader::Follower;
  std::string mAfterKey;
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

// Joins the group of entry hosts, or stays in it.
struct JoinCall
{
  std::int64_t mGeneration = 0;
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

// Asks who holds partitions of the group.
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

// The addressee of a call to an executor. `mShard` and `mEpoch` say on whose behalf it is made.
struct ExecutorAddress
{
  ExecutorId mExecutor;
  std::string mAddress;
  int mShard = 0;
  std::int64_t mEpoch = 0;
};

// Renews the leases on an executor, acknowledges ends, and lists what runs and what has ended.
struct HeartbeatCall
{
  ExecutorAddress mTo;
  std::int64_t mLastSeen = 0;
  // On the executor's clock; 0 renews nothing.
  std::chrono::milliseconds mLeaseEnd{ 0 };
  std::chrono::milliseconds mWait{ 0 };
};

struct RunningTask
{
  TaskRun mRun;
  std::string mCheckpoint;
  int mPercent = 0;
  // For a task that serves, the tail of its response times in milliseconds; else the processor
  // time in use in thousandths of a core.
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
  // The other members of the gang did not come in time.
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
  // Rows that could not be read and are left out.
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
  // A run with this number or a higher one has been there.
  StaleRun,
  // The lease had ended by the executor's clock.
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

// Lets a task work at a share of its speed.
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

struct MaintenanceCall
{
  MachineId mMachine;
  std::int64_t mWave = 0;
  // Rises with each order for the machine.
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

// Tells the operator how far a wave is.
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

// Names a caller's request until it is answered.
using RequestTicket = std::int64_t;

enum class ReplyKind
{
  Accepted,
  State,
  Count,
  Cancelled,
  // There is no such job.
  Gone,
  NoQueue,
  BadRequest,
  TooLarge,
  // Not accepted, and never will be; come back after mRetryAfter.
  Refused,
  // It is not known whether the job was stored.
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

// A caller's request. The path's end names the job; a State request without it asks for the
// number of waiting jobs.
struct CallerRequest
{
  RequestTicket mTicket = 0;
  RequestKind mKind = RequestKind::State;
  std::string mHost;
  std::string mPath;
  // Only spec, steps and the times are filled in; empty where the body could not be read.
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

// A line for those who look into a failure later. Empty fields are left out.
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
