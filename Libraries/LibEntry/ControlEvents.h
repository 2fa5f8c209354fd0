#pragma once

#include "LibFleet/Fold.h"
#include "LibFleet/JobPlanner.h"
#include "LibServe/PoolEvents.h"

#include <string>
#include <variant>
#include <vector>

// Input events and output actions of the control plane of an entry host.
namespace sesameseam {

// The response to a read of the log.
struct LogRead
{
  // When the read was sent; the state after folding the entries is at least as recent as this.
  TimePoint mSentAt;
  std::vector<LogEntry> mEntries;
  // The offset that the next record will get.
  Offset mEnd = 0;
  // The first offset that the log still retains.
  Offset mFirst = 0;
};

struct LogReadFailed
{};

enum class AppendEnd
{
  Appended,
  // The log did not append the records.
  NotAppended,
  // The log may have appended the records.
  Lost,
};

struct AppendEnded
{
  AppendEnd mEnd = AppendEnd::Lost;
};

// The report that entry hosts send each other several times a second.
struct PeerReport
{
  std::string mDeployment;
  MemberName mMember;
  std::string mIncarnation;
  Offset mApplied = kNoOffset;
  Offset mVersion = kNoOffset;
  std::map<PoolName, PeerLoadReported> mLoads;
};

// A peer's report, received in response to a report that was sent at mSentAt.
struct PeerAnswered
{
  TimePoint mSentAt;
  PeerReport mReport;
};

// The loads of the pools of this entry host.
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

// A change by an operator. Its record id is chosen by the caller, so that the decision can be
// matched to the request.
struct ChangeRequested
{
  Record mRecord;
};

// The platform's list of hosts, which may lag behind.
struct HostsListed
{
  // The number of boots of each live host.
  std::map<HostName, std::int64_t> mBoots;
};

// The entry host is stopping: it leaves the member set and does not join again.
struct LeaveRequested
{};

// The platform's task reports, which may lag behind.
struct TasksListed
{
  std::vector<TaskReport> mReports;
};

struct ControlTick
{};

// The part of a peer's state beyond the offset of this entry host.
struct PeerStateReceived
{
  std::string mDeployment;
  Offset mApplied = kNoOffset;
  // Either the records from the requested offset on, or the encoded complete state.
  std::vector<LogEntry> mEntries;
  std::string mState;
  std::string mHash;
};

// The member's address refuses connections: the machine is up, but no process listens.
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

// Appends the records in this order, all or none. The control plane expects an AppendEnded in
// response.
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

// A change requested at this entry host was decided.
struct ChangeDecided
{
  Decision mDecision;
};

struct RebootHost
{
  HostName mHost;
};

// Fetches the state from this offset on from the member. The control plane expects a
// PeerStateReceived in response.
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
