#pragma once

#include "LibFleet/JobState.h"
#include "LibFleet/Records.h"

#include <deque>
#include <map>
#include <set>

// What the records of the log amount to, folded in the order of their offsets.
namespace sesameseam {

enum class HostPhase
{
  InService,
  Leaving,
  // In no pool.
  Drained,
};

template<>
struct EnumNames<HostPhase>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, HostPhase>{ "in-service", HostPhase::InService },
    std::pair<std::string_view, HostPhase>{ "leaving", HostPhase::Leaving },
    std::pair<std::string_view, HostPhase>{ "drained", HostPhase::Drained },
  };
};

struct HostState
{
  HostName mHost;
  // The pool that the host is in; while it is drained, the one that it was in.
  PoolName mPool;
  RackName mRack;
  ZoneName mZone;
  std::string mAddress;
  int mSlots = 0;
  HostPhase mPhase = HostPhase::InService;
  // The offset of the record that brought the phase about.
  Offset mPhaseVersion = kNoOffset;
  TimePoint mPhaseSince;
  std::optional<LeaveReason> mReason;
  std::optional<PoolName> mDestination;
  // The pool that the host goes back to after a loan.
  PoolName mHomePool;
  // The move under way is a loan.
  bool mLoan = false;
  // Set from the first request of a reboot until the host has joined again.
  std::optional<TimePoint> mRebootRequestedAt;
  int mRebootRequests = 0;
  std::int64_t mBootCountBeforeReboot = 0;
  std::optional<HostFailure> mFailure;
  std::optional<TimePoint> mMaintainedAt;

  bool operator==(const HostState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, HostState& aHost)
{
  aVisit("host", aHost.mHost);
  aVisit("pool", aHost.mPool);
  aVisit("rack", aHost.mRack);
  aVisit("zone", aHost.mZone);
  aVisit("address", aHost.mAddress);
  aVisit("slots", aHost.mSlots);
  aVisit("phase", aHost.mPhase);
  aVisit("phase_version", aHost.mPhaseVersion);
  aVisit("phase_since", aHost.mPhaseSince);
  aVisit("reason", aHost.mReason);
  aVisit("destination", aHost.mDestination);
  aVisit("home", aHost.mHomePool);
  aVisit("loan", aHost.mLoan);
  aVisit("reboot_asked_at", aHost.mRebootRequestedAt);
  aVisit("reboots_asked", aHost.mRebootRequests);
  aVisit("boots_before", aHost.mBootCountBeforeReboot);
  aVisit("failure", aHost.mFailure);
  aVisit("maintained_at", aHost.mMaintainedAt);
}

struct PoolState
{
  PoolDefined mDefinition;
  PresetName mInForce;
  Offset mVersion = kNoOffset;
  std::map<TeamName, double> mQuotas;

  bool operator==(const PoolState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, PoolState& aPool)
{
  aVisit("definition", aPool.mDefinition);
  aVisit("in_force", aPool.mInForce);
  aVisit("version", aPool.mVersion);
  aVisit("quotas", aPool.mQuotas);
}

struct MemberState
{
  MemberJoined mJoined;
  Offset mVersion = kNoOffset;

  bool operator==(const MemberState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, MemberState& aMember)
{
  aVisit("joined", aMember.mJoined);
  aVisit("version", aMember.mVersion);
}

// How the maintenance of one host came out.
struct MaintenanceOutcome
{
  TimePoint mTime;
  bool mFailed = false;

  bool operator==(const MaintenanceOutcome&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, MaintenanceOutcome& aOutcome)
{
  aVisit("time", aOutcome.mTime);
  aVisit("failed", aOutcome.mFailed);
}

struct MaintenanceState
{
  MaintenanceDeclared mDeclared;
  MaintenancePhase mPhase = MaintenancePhase::Running;
  std::string mReason;
  std::set<HostName> mFinished;
  std::set<HostName> mNotReturned;
  // The outcomes of the latest time, by which a wave with correlated failures is stopped.
  std::deque<MaintenanceOutcome> mOutcomes;
  Offset mVersion = kNoOffset;

  bool operator==(const MaintenanceState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, MaintenanceState& aMaintenance)
{
  aVisit("declared", aMaintenance.mDeclared);
  aVisit("phase", aMaintenance.mPhase);
  aVisit("reason", aMaintenance.mReason);
  aVisit("finished", aMaintenance.mFinished);
  aVisit("not_returned", aMaintenance.mNotReturned);
  aVisit("outcomes", aMaintenance.mOutcomes);
  aVisit("version", aMaintenance.mVersion);
}

struct LeaderState
{
  MemberName mMember;
  std::int64_t mEpoch = 0;
  TimePoint mSince;

  bool operator==(const LeaderState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, LeaderState& aLeader)
{
  aVisit("member", aLeader.mMember);
  aVisit("epoch", aLeader.mEpoch);
  aVisit("since", aLeader.mSince);
}

struct ClaimKey
{
  PoolName mPool;
  RequestKey mKey;

  auto operator<=>(const ClaimKey&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, ClaimKey& aKey)
{
  aVisit("pool", aKey.mPool);
  aVisit("key", aKey.mKey);
}

struct ClaimTime
{
  TimePoint mTime;
  ClaimKey mKey;

  bool operator==(const ClaimTime&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, ClaimTime& aTime)
{
  aVisit("time", aTime.mTime);
  aVisit("key", aTime.mKey);
}

struct ClaimState
{
  RequestId mRequest;
  // The author of the record: one incarnation of an entry host.
  std::string mHolder;
  TimePoint mTime;
  // The highest number of a try that claimed the key.
  int mTry = 0;
  // The holder did not run the request. Only a try with a higher number may claim the key again,
  // so that a delayed claim of an earlier try, whose caller was told "not run", never counts.
  bool mReleased = false;
  // Empty while the holder may still run the request.
  std::optional<ClaimResult> mResult;

  bool operator==(const ClaimState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, ClaimState& aClaim)
{
  aVisit("request", aClaim.mRequest);
  aVisit("holder", aClaim.mHolder);
  aVisit("time", aClaim.mTime);
  aVisit("try", aClaim.mTry);
  aVisit("released", aClaim.mReleased);
  aVisit("result", aClaim.mResult);
}

// Which checkpoints the log holds.
struct CheckpointsState
{
  // The state's offset in the newest complete checkpoint.
  Offset mOffset = kNoOffset;
  // Parts that were folded of each incomplete checkpoint.
  std::map<std::string, std::int64_t> mIncomplete;

  bool operator==(const CheckpointsState&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, CheckpointsState& aCheckpoints)
{
  aVisit("offset", aCheckpoints.mOffset);
  aVisit("open", aCheckpoints.mIncomplete);
}

// One change and what the fold decided about it.
struct Decision
{
  Offset mOffset = kNoOffset;
  RecordId mId;
  TimePoint mTime;
  std::string mAuthor;
  std::string mKind;
  std::string mSubject;
  std::optional<Offset> mBasedOn;
  bool mAccepted = false;
  std::string mReason;

  bool operator==(const Decision&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, Decision& aDecision)
{
  aVisit("offset", aDecision.mOffset);
  aVisit("id", aDecision.mId);
  aVisit("time", aDecision.mTime);
  aVisit("author", aDecision.mAuthor);
  aVisit("kind", aDecision.mKind);
  aVisit("subject", aDecision.mSubject);
  aVisit("based_on", aDecision.mBasedOn);
  aVisit("accepted", aDecision.mAccepted);
  aVisit("reason", aDecision.mReason);
}

// When a version was in force on the members that had reported it.
struct InForceTimes
{
  Offset mVersion = kNoOffset;
  std::map<MemberName, TimePoint> mSince;

  bool operator==(const InForceTimes&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, InForceTimes& aState)
{
  aVisit("version", aState.mVersion);
  aVisit("since", aState.mSince);
}

struct FleetState
{
  // The offset of the last record that was folded.
  Offset mApplied = kNoOffset;
  // The offset of the last record that changed pools, hosts, members or quotas.
  Offset mVersion = kNoOffset;
  // Counts the changes of the member set.
  std::int64_t mMemberEpoch = 0;
  std::map<PoolName, PoolState> mPools;
  std::map<HostName, HostState> mHosts;
  std::map<MemberName, MemberState> mMembers;
  std::map<MaintenanceId, MaintenanceState> mMaintenances;
  LeaderState mLeader;
  JobsState mJobs;
  std::map<ClaimKey, ClaimState> mClaims;
  // Claims in the order of their records, so that old ones are found without a search.
  std::deque<ClaimTime> mClaimOrder;
  std::set<RecordId> mSeenIds;
  std::deque<RecordId> mSeenOrder;
  std::deque<Decision> mAudit;
  // The newest reports of versions in force, by version.
  std::deque<InForceTimes> mInForce;
  std::int64_t mUnreadable = 0;
  CheckpointsState mCheckpoints;

  bool operator==(const FleetState&) const = default;
};

}
