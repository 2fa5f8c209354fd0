#pragma once

#include "LibFleet/Fold.h"
#include "LibFleet/JobPlanner.h"
#include "LibServe/PoolEvents.h"

#include <string>
#include <variant>
#include <vector>

// What happens to the control part of an entry host, and what it wants done.
namespace sesameseam {

// The answer to a read of the log.
struct LogRead
{
  // When the read was sent: the state that it gives is at least as new as this.
  TimePoint mSentAt;
  std::vector<LogEntry> mEntries;
  // The offset that the next record will get.
  Offset mEnd = 0;
  // The first offset that is still kept.
  Offset mFirst = 0;
};

struct LogReadFailed
{};

enum class AppendEnd
{
  Appended,
  // The log did not take the records.
  NotAppended,
  // The log may have taken the records.
  Lost,
};

struct AppendEnded
{
  AppendEnd mEnd = AppendEnd::Lost;
};

// What one entry host tells another, several times a second.
struct PeerReport
{
  std::string mDeployment;
  MemberName mMember;
  std::string mIncarnation;
  Offset mApplied = kNoOffset;
  Offset mVersion = kNoOffset;
  std::map<PoolName, PeerLoadReported> mLoads;
};

// A report of a peer, as the answer to a report that was sent at this time.
struct PeerAnswered
{
  TimePoint mSentAt;
  PeerReport mReport;
};

// The loads of this entry host's own pools.
struct OwnLoads
{
  std::map<PoolName, PeerLoadReported> mLoads;
};

struct ClaimRequested
{
  Claim mClaim;
};

struct ClaimEnded
{
  ClaimResult mResult;
};

// Operators' changes carry an id of the caller's, so that the decision finds its way back.
struct ChangeRequested
{
  Record mRecord;
};

// The platform's list of hosts, which lags.
struct HostsListed
{
  // Live hosts by the count of their boots.
  std::map<HostName, std::int64_t> mBoots;
};

// The entry host stops: it leaves the member set and joins no more.
struct LeaveRequested
{};

// The platform's reports about tasks, which lag.
struct TasksListed
{
  std::vector<TaskReport> mReports;
};

struct ControlTick
{};

// What a peer knows beyond this entry host's offset.
struct PeerStateReceived
{
  std::string mDeployment;
  Offset mApplied = kNoOffset;
  // The records from the offset that was asked for, or else the text of the whole state.
  std::vector<LogEntry> mEntries;
  std::string mState;
  std::string mHash;
};

// The member's address refuses connections: its machine is there, but no process listens.
struct PeerConnectionRefused
{
  MemberName mMember;
};

using ControlEvent = std::variant<LogRead,
                                  LogReadFailed,
                                  AppendEnded,
                                  PeerAnswered,
                                  OwnLoads,
                                  ClaimRequested,
                                  ClaimEnded,
                                  ChangeRequested,
                                  HostsListed,
                                  TasksListed,
                                  LeaveRequested,
                                  ControlTick,
                                  PeerStateReceived,
                                  PeerConnectionRefused>;

// Append the records in this order, all or none. AppendEnded is due in return.
struct AppendRecords
{
  std::vector<std::string> mRecords;
};

struct PublishView
{
  PoolView mView;
};

struct PublishConfirmation
{
  TimePoint mAt;
};

struct PublishLoad
{
  PoolName mPool;
  PeerLoadReported mLoad;
};

struct PublishClaimDecision
{
  PoolName mPool;
  ClaimDecided mDecided;
};

// The fold has decided a change that was asked for here.
struct ChangeDecided
{
  Decision mDecision;
};

struct RebootHost
{
  HostName mHost;
};

// Ask the member for what it knows from this offset on. PeerStateReceived is due in return.
struct FetchFromPeer
{
  MemberName mMember;
  Offset mFrom = kNoOffset;
};

using ControlAction = std::variant<AppendRecords,
                                   PublishView,
                                   PublishConfirmation,
                                   PublishLoad,
                                   PublishClaimDecision,
                                   ChangeDecided,
                                   RebootHost,
                                   StartTask,
                                   StopTask,
                                   FetchFromPeer>;

}
