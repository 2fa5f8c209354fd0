#pragma once

#include "LibEntry/ControlEvents.h"
#include "LibEntry/Recovery.h"
#include "LibFleet/PlannerTypes.h"

#include <deque>
#include <random>
#include <set>

// The decisions of one entry host about the configuration, the member set, claims and the
// lead of the planning. What it knows is a fold over the log.
namespace sesameseam {

struct ControlSettings
{
  std::string mDeployment;
  MemberName mSelf;
  std::string mIncarnation;
  ZoneName mZone;
  std::string mPeerAddress;
  // A claim that the log has not confirmed after this time is given up.
  Duration mClaimTimeout = 700ms;
  // A member that was not heard for this long is taken out of the member set.
  Duration mMemberTimeout = 5s;
  // Without the majority of the members, a silent one is taken out only after this time.
  Duration mMinorityMemberTimeout = std::chrono::minutes(10);
  // The time in which a member that cannot confirm its configuration stops starting work.
  Duration mViewStaleAfter = 2s;
  // The least time between two appends; they carry all that came up in between.
  Duration mAppendInterval = 10ms;
  Duration mJobPlanInterval = 200ms;
  JobPlannerSettings mJobs;
  std::uint64_t mSeed = 1;
  PlannerSettings mPlanner;
};

enum class ClaimPhase
{
  // Waits for the next append.
  Queued,
  // May be in the log.
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
  // The peer was known to be at the report's offset at this time or later.
  TimePoint mHeardAt;
};

// Since when, and when last, a member's address refused connections.
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
  // Times at which retention had dropped records that were not folded here.
  std::int64_t mLogGaps = 0;
  std::int64_t mRestores = 0;
  std::int64_t mCheckpoints = 0;
};

// Follows one version until it is in force on every member.
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
  // The latest time at which the log was read to its end.
  TimePoint mLogConfirmed;
  // Set once the log was read to its end for the first time.
  bool mCaughtUp = false;
  TimePoint mStarted;
  std::map<MemberName, PeerState> mPeers;
  std::map<PoolName, PeerLoadReported> mOwnLoads;
  std::map<RequestId, PendingClaim> mClaims;
  std::vector<ClaimResult> mResults;
  // Records that wait for the next append, then those that are on their way.
  std::deque<Record> mOutbox;
  std::vector<std::string> mInFlight;
  TimePoint mNextAppend;
  bool mAppending = false;
  // Changes that were asked for here and are not decided yet.
  std::set<RecordId> mRequestedHere;
  // When each record of the leader was last proposed, so that it isn't proposed again at once.
  std::map<std::string, TimePoint> mLastProposed;
  std::map<HostName, std::int64_t> mBoots;
  TimePoint mBootsListedAt;
  PlannerMemory mPlannerMemory;
  TimePoint mNextPlan;
  // Records of the last plan that the fold has not decided yet.
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

// What this entry host tells its peers.
PeerReport
ReportOf(const Control& aControl);

// The configuration was current at this time, as the log or a majority of the members say.
TimePoint
ConfirmedAt(const Control& aControl);

// The offset from which the log is to be read next.
Offset
NextReadOffset(const Control& aControl);

// What a peer that is to be at this offset next is missing.
PeerStateReceived
StateSince(const Control& aControl, Offset aFrom);

// True if this entry host belongs to the member set.
bool
IsMember(const Control& aControl);

// The name that marks the records of this incarnation.
std::string
AuthorOf(const Control& aControl);

// Queues a record of this entry host's own. Records with the same topic are not repeated
// within a second; there is no id then.
std::optional<RecordId>
Propose(Control& aControl,
        TimePoint aNow,
        const std::string& aTopic,
        std::optional<Offset> aBasedOn,
        Change aChange);

}
