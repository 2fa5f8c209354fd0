#pragma once

#include "LibEntry/ControlEvents.h"
#include "LibEntry/Recovery.h"
#include "LibFleet/PlannerTypes.h"

#include <deque>
#include <random>
#include <set>

// The control plane of one entry host: configuration, member set, claims and leadership. Its state
// is a fold over the records of the log.
namespace sesameseam {

struct ControlSettings
{
  std::string mDeployment;
  MemberName mSelf;
  std::string mIncarnation;
  ZoneName mZone;
  std::string mPeerAddress;
  // A claim that the log has not confirmed within this time is given up.
  Duration mClaimTimeout = 700ms;
  // A member that has not answered for this long is removed from the member set.
  Duration mMemberTimeout = 5s;
  // Used instead of mMemberTimeout while fewer than a majority of the members respond.
  Duration mMinorityMemberTimeout = std::chrono::minutes(10);
  // A member that cannot confirm its configuration for this long starts no more work.
  Duration mViewStaleAfter = 2s;
  // Minimum time between two appends; an append carries all records that were queued since the
  // last.
  Duration mAppendInterval = 10ms;
  Duration mJobPlanInterval = 200ms;
  JobPlannerSettings mJobs;
  std::uint64_t mSeed = 1;
  PlannerSettings mPlanner;
};

enum class ClaimPhase
{
  // Waiting for the next append.
  Queued,
  // Sent to the log, which may have appended it.
  Sent,
  // Another try holds the key.
  Waiting,
};

struct PendingClaim
{
  Claim mClaim;
  ClaimPhase mPhase = ClaimPhase::Queued;
  TimePoint mSince;
};

struct PeerState
{
  PeerReport mReport;
  // Send time of the report that the peer last answered: the peer was at the offset of mReport at
  // this time or later.
  TimePoint mHeardAt;
};

// The first and the latest refused connection to a member's address.
struct ConnectionRefusals
{
  TimePoint mSince;
  TimePoint mLast;
};

struct ControlCounters
{
  std::int64_t mRecordsFolded = 0;
  std::int64_t mAppends = 0;
  std::int64_t mAppendsFailed = 0;
  std::int64_t mReadsFailed = 0;
  std::int64_t mHostMoves = 0;
  // The number of times that retention had dropped records before they were folded here.
  std::int64_t mLogGaps = 0;
  std::int64_t mRestores = 0;
  std::int64_t mCheckpoints = 0;
};

// Tracks one configuration version until it is in force on every member.
struct InForceTracker
{
  Offset mVersion = kNoOffset;
  TimePoint mBegan;
  std::map<MemberName, TimePoint> mSince;
};

struct Control
{
  ControlSettings mSettings;
  FleetState mFleet;
  // The latest time at which the log is known to have been read to its end.
  TimePoint mLogConfirmed;
  // True once the log was read to its end for the first time.
  bool mCaughtUp = false;
  TimePoint mStarted;
  std::map<MemberName, PeerState> mPeers;
  std::map<PoolName, PeerLoadReported> mOwnLoads;
  std::map<RequestId, PendingClaim> mClaims;
  std::vector<ClaimResult> mResults;
  // Records waiting for the next append, and encoded records of the append in flight.
  std::deque<Record> mOutbox;
  std::vector<std::string> mInFlight;
  TimePoint mNextAppend;
  bool mAppending = false;
  // Changes requested at this entry host that are not decided yet.
  std::set<RecordId> mRequestedHere;
  // When a record of each topic was last proposed; limits how often it is proposed again.
  std::map<std::string, TimePoint> mLastProposed;
  std::map<HostName, std::int64_t> mBoots;
  TimePoint mBootsListedAt;
  PlannerMemory mPlannerMemory;
  TimePoint mNextPlan;
  // Records of the last plan that are not decided yet.
  std::set<RecordId> mPlanUndecided;
  TimePoint mMemberRemovedAt;
  JobPlannerMemory mJobMemory;
  std::vector<TaskReport> mTasks;
  TimePoint mJobsPlannedAt;
  std::int64_t mNextRecord = 1;
  Offset mPublishedVersion = kNoOffset - 1;
  TimePoint mPublishedConfirmation;
  InForceTracker mInForce;
  Recovery mRecovery;
  RecentRecords mRecent;
  CheckpointSender mCheckpoints;
  TimePoint mNextFetch;
  std::map<MemberName, ConnectionRefusals> mRefusals;
  ControlCounters mCounters;
  bool mStopping = false;
};

using ControlActions = std::vector<ControlAction>;

Control
MakeControl(const ControlSettings& aSettings, TimePoint aNow);

ControlActions
Step(Control& aControl, TimePoint aNow, const ControlEvent& aEvent);

// The report that this entry host sends to its peers.
PeerReport
ReportOf(const Control& aControl);

// The latest time at which the configuration is known to have been current, according to the log or
// to a majority of the members.
TimePoint
ConfirmedAt(const Control& aControl);

// The offset from which to read the log next.
Offset
NextReadOffset(const Control& aControl);

// What a peer needs whose next offset is aFrom: the records from there on, or the complete state.
PeerStateReceived
StateSince(const Control& aControl, Offset aFrom);

// True if this incarnation of the entry host is in the member set.
bool
IsMember(const Control& aControl);

// The author of records written by this incarnation of the entry host.
std::string
AuthorOf(const Control& aControl);

// Queues a record for the next append and returns its id. Returns nullopt if a record of the same
// topic was proposed less than a second ago.
std::optional<RecordId>
Propose(Control& aControl,
        TimePoint aNow,
        const std::string& aTopic,
        std::optional<Offset> aBasedOn,
        Change aChange);

}
