#pragma once

#include "LibSchedule/CallResult.h"
#include "LibSchedule/Clock.h"
#include "LibSchedule/Credential.h"
#include "LibSchedule/ExecutorCalls.h"
#include "LibSchedule/Model.h"
#include "LibSchedule/RelayMessages.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The calls that the scheduling logic makes to the outside, and their answers. An answer carries
// the call that it answers, so that no table of pending calls is needed.
namespace sesameseam::schedule {

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
  // What each shard holds of the tenants' quotas, written by shard owners.
  Quotas,
  // Where the jobs of each queue are stored.
  Queues,
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
    case Stream::Quotas:
      return "quotas";
    case Stream::Queues:
      return "queues";
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
  // The shard that made the call, if the partition isn't its own.
  std::optional<int> mShard;
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
  // Where it makes calls to executors for other hosts, as "IP:port"; empty if it makes none.
  std::string mRelayAddress;
};

struct OwnersAnswer
{
  OwnersCall mCall;
  CallResult mResult = CallResult::Unanswered;
  std::vector<GroupOwner> mOwners;
};

struct MachinesCall
{
  std::string mPage;
};

// A row of the list of machines. A row that is as in the last answer for the same page is the same
// object, so that it needn't be compared again.
using MachineRow = std::shared_ptr<const Machine>;

struct MachinesAnswer
{
  MachinesCall mCall;
  CallResult mResult = CallResult::Unanswered;
  std::vector<MachineRow> mMachines;
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
  // The request names no key of the manifest in force.
  Unauthorized,
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
  Credential mCredential;
  // When the host began to handle it; set by the host.
  Instant mArrivedAt;
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
  // The name of the tenant whose call or job it is.
  std::string mTenant;
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
                            RelayCall,
                            RelayReply,
                            MachinesCall,
                            MaintenanceCall,
                            MoveCall,
                            WaveStatusCall,
                            Reply,
                            LogEntry>;
using Actions = std::vector<Action>;

}
