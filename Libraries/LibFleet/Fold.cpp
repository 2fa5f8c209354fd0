#include "LibFleet/Fold.h"

#include "LibFleet/Checkpoint.h"
#include "LibFleet/JobFold.h"
#include "LibFleet/Subjects.h"
#include "LibFleet/Validate.h"
#include "LibFleet/WaveFold.h"

#include <algorithm>

namespace sesameseam {

namespace {

absl::Status
CheckNotStale(const Record& aRecord, Offset aSubjectVersion)
{
  if (aRecord.mBasedOn && *aRecord.mBasedOn < aSubjectVersion) {
    return MakeError(ErrorKind::StaleVersion,
                     "based on version " + std::to_string(*aRecord.mBasedOn) +
                       ", but the subject changed at version " + std::to_string(aSubjectVersion));
  }
  return absl::OkStatus();
}

absl::StatusOr<PoolState*>
FindPool(FleetState& aState, const PoolName& aPool)
{
  auto found = aState.mPools.find(aPool);
  if (found == aState.mPools.end()) {
    return MakeError(ErrorKind::UnknownPool, "no pool '" + aPool.mValue + "'");
  }
  return &found->second;
}

absl::StatusOr<HostState*>
FindHost(FleetState& aState, const HostName& aHost)
{
  auto found = aState.mHosts.find(aHost);
  if (found == aState.mHosts.end()) {
    return MakeError(ErrorKind::UnknownHost, "no host '" + aHost.mValue + "'");
  }
  return &found->second;
}

bool
HasPreset(const PoolDefined& aPool, const PresetName& aPreset)
{
  return std::any_of(aPool.mPresets.begin(), aPool.mPresets.end(), [&](const Preset& aEntry) {
    return aEntry.mName == aPreset;
  });
}

absl::Status
CheckPreset(const PoolDefined& aPool, const PresetName& aPreset)
{
  if (!HasPreset(aPool, aPreset)) {
    return MakeError(ErrorKind::UnknownPreset,
                     "pool '" + aPool.mPool.mValue + "' has no preset '" + aPreset.mValue + "'");
  }
  return absl::OkStatus();
}

void
SetPhase(HostState& aHost, HostPhase aPhase, const Record& aRecord, Offset aOffset)
{
  aHost.mPhase = aPhase;
  aHost.mPhaseVersion = aOffset;
  aHost.mPhaseSince = aRecord.mTime;
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const PoolDefined& aChange)
{
  TRY(CheckPreset(aChange, aChange.mInForce));
  auto found = aState.mPools.find(aChange.mPool);
  if (found != aState.mPools.end()) {
    TRY(CheckNotStale(aRecord, found->second.mVersion));
  }
  auto& pool = aState.mPools[aChange.mPool];
  pool.mDefinition = aChange;
  pool.mInForce = aChange.mInForce;
  pool.mVersion = aOffset;
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const PresetChosen& aChange)
{
  auto* pool = TRY(FindPool(aState, aChange.mPool));
  TRY(CheckNotStale(aRecord, pool->mVersion));
  TRY(CheckPreset(pool->mDefinition, aChange.mPreset));
  pool->mInForce = aChange.mPreset;
  pool->mVersion = aOffset;
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const HostAdded& aChange)
{
  TRY(FindPool(aState, aChange.mPool));
  auto found = aState.mHosts.find(aChange.mHost);
  if (found != aState.mHosts.end()) {
    return MakeError(ErrorKind::HostInOtherPool,
                     "host '" + aChange.mHost.mValue + "' is known already, in pool '" +
                       found->second.mPool.mValue + "'");
  }
  HostState host;
  host.mHost = aChange.mHost;
  host.mPool = aChange.mPool;
  host.mHomePool = aChange.mPool;
  host.mRack = aChange.mRack;
  host.mZone = aChange.mZone;
  host.mAddress = aChange.mAddress;
  host.mSlots = aChange.mSlots;
  SetPhase(host, HostPhase::InService, aRecord, aOffset);
  aState.mHosts.emplace(aChange.mHost, std::move(host));
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const HostLeaving& aChange)
{
  auto* host = TRY(FindHost(aState, aChange.mHost));
  TRY(CheckNotStale(aRecord, host->mPhaseVersion));
  if (aChange.mDestination) {
    TRY(FindPool(aState, *aChange.mDestination));
  }
  TRY(CheckLeaving(aState, *host, aChange));
  SetPhase(*host, HostPhase::Leaving, aRecord, aOffset);
  host->mLoan = aChange.mLoan;
  host->mReason = aChange.mReason;
  host->mDestination = aChange.mDestination;
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const HostDrained& aChange)
{
  auto* host = TRY(FindHost(aState, aChange.mHost));
  TRY(CheckNotStale(aRecord, host->mPhaseVersion));
  if (host->mPhase != HostPhase::Leaving) {
    return MakeError(ErrorKind::BadState, "host '" + aChange.mHost.mValue + "' is not leaving");
  }
  if (host->mReason == LeaveReason::Removal) {
    RemoveHost(aState, aChange.mHost);
    return absl::OkStatus();
  }
  SetPhase(*host, HostPhase::Drained, aRecord, aOffset);
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const HostJoined& aChange)
{
  auto* host = TRY(FindHost(aState, aChange.mHost));
  TRY(CheckNotStale(aRecord, host->mPhaseVersion));
  TRY(FindPool(aState, aChange.mPool));
  if (host->mPhase != HostPhase::Drained) {
    return MakeError(ErrorKind::BadState, "host '" + aChange.mHost.mValue + "' is not drained");
  }
  MarkReturned(aState, *host, aRecord.mTime);
  SetPhase(*host, HostPhase::InService, aRecord, aOffset);
  host->mPool = aChange.mPool;
  if (host->mReason == LeaveReason::Move && !host->mLoan) {
    host->mHomePool = aChange.mPool;
  }
  host->mLoan = false;
  host->mRebootRequestedAt.reset();
  host->mRebootRequests = 0;
  host->mFailure.reset();
  host->mReason.reset();
  host->mDestination.reset();
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record&, Offset aOffset, const MaintenanceDeclared& aChange)
{
  for (const auto& host : aChange.mHosts) {
    TRY(FindHost(aState, host));
  }
  if (aState.mMaintenances.contains(aChange.mMaintenance)) {
    return MakeError(ErrorKind::BadState,
                     "maintenance '" + aChange.mMaintenance.mValue + "' is declared already");
  }
  MaintenanceState maintenance;
  maintenance.mDeclared = aChange;
  maintenance.mVersion = aOffset;
  aState.mMaintenances.emplace(aChange.mMaintenance, std::move(maintenance));
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState,
            const Record& aRecord,
            Offset aOffset,
            const MaintenancePhaseChanged& aChange)
{
  return ApplyPhaseChange(aState, aRecord, aOffset, aChange);
}

absl::Status
ApplyChange(FleetState& aState,
            const Record& aRecord,
            Offset aOffset,
            const HostRebootRequested& aChange)
{
  return ApplyRebootRequested(aState, aRecord, aOffset, aChange);
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset, const HostFailed& aChange)
{
  return ApplyHostFailed(aState, aRecord, aChange);
}

absl::Status
ApplyChange(FleetState& aState, const Record&, Offset, const HostRecovered& aChange)
{
  return ApplyHostRecovered(aState, aChange);
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset aOffset, const QuotaSet& aChange)
{
  auto* pool = TRY(FindPool(aState, aChange.mPool));
  TRY(CheckNotStale(aRecord, pool->mVersion));
  pool->mQuotas[aChange.mTeam] = aChange.mWeight;
  pool->mVersion = aOffset;
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record&, Offset aOffset, const MemberJoined& aChange)
{
  auto& member = aState.mMembers[aChange.mMember];
  member.mJoined = aChange;
  member.mVersion = aOffset;
  aState.mMemberEpoch += 1;
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record&, Offset, const MemberRemoved& aChange)
{
  auto found = aState.mMembers.find(aChange.mMember);
  if (found == aState.mMembers.end() ||
      found->second.mJoined.mIncarnation != aChange.mIncarnation) {
    return MakeError(ErrorKind::BadState,
                     "member '" + aChange.mMember.mValue + "' has left or has joined anew");
  }
  aState.mMembers.erase(found);
  aState.mMemberEpoch += 1;
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset, const LeaderElected& aChange)
{
  if (aChange.mEpoch != aState.mLeader.mEpoch + 1) {
    return MakeError(ErrorKind::StaleVersion,
                     "epoch " + std::to_string(aState.mLeader.mEpoch) + " is in force");
  }
  aState.mLeader.mMember = aChange.mMember;
  aState.mLeader.mEpoch = aChange.mEpoch;
  aState.mLeader.mSince = aRecord.mTime;
  return absl::OkStatus();
}

void
ApplyResult(FleetState& aState, const ClaimResult& aResult)
{
  auto found = aState.mClaims.find({ aResult.mPool, aResult.mKey });
  if (found == aState.mClaims.end() || found->second.mRequest != aResult.mRequest) {
    return;
  }
  if (aResult.mEnd != ClaimEnd::NotRun) {
    found->second.mResult = aResult;
  } else if (found->second.mTry == 0) {
    aState.mClaims.erase(found);
  } else {
    found->second.mReleased = true;
  }
}

void
RemoveExpiredClaims(FleetState& aState, TimePoint aTime)
{
  while (!aState.mClaimOrder.empty() &&
         aState.mClaimOrder.front().mTime + kClaimRetention < aTime) {
    auto found = aState.mClaims.find(aState.mClaimOrder.front().mKey);
    if (found != aState.mClaims.end() && found->second.mTime + kClaimRetention < aTime) {
      aState.mClaims.erase(found);
    }
    aState.mClaimOrder.pop_front();
  }
}

absl::Status
ApplyChange(FleetState& aState, const Record& aRecord, Offset, const ClaimBatch& aChange)
{
  RemoveExpiredClaims(aState, aRecord.mTime);
  for (const auto& result : aChange.mResults) {
    ApplyResult(aState, result);
  }
  for (const auto& claim : aChange.mClaims) {
    ClaimKey key{ claim.mPool, claim.mKey };
    auto [found, isNew] = aState.mClaims.try_emplace(key);
    auto& state = found->second;
    if (!isNew && !MayClaim(state, claim.mTry)) {
      continue;
    }
    state.mRequest = claim.mRequest;
    state.mHolder = aRecord.mAuthor;
    state.mTime = aRecord.mTime;
    state.mTry = std::max(state.mTry, claim.mTry);
    state.mReleased = false;
    aState.mClaimOrder.push_back({ aRecord.mTime, key });
  }
  return absl::OkStatus();
}

absl::Status
ApplyChange(FleetState& aState, const Record&, Offset, const InForceReported& aChange)
{
  if (!aState.mInForce.empty() && aChange.mVersion <= aState.mInForce.back().mVersion) {
    return MakeError(ErrorKind::StaleVersion, "a version at or above it was reported before");
  }
  aState.mInForce.push_back({ aChange.mVersion, aChange.mSince });
  if (aState.mInForce.size() > kMaxInForceReports) {
    aState.mInForce.pop_front();
  }
  return absl::OkStatus();
}

// Counts the parts, so that the leader knows when the log holds a whole checkpoint.
absl::Status
ApplyChange(FleetState& aState, const Record&, Offset, const CheckpointPart& aChange)
{
  TRY(VerifyPart(aChange));
  auto& checkpoints = aState.mCheckpoints;
  auto& folded = checkpoints.mIncomplete[aChange.mCheckpoint];
  if (aChange.mPart != folded) {
    return MakeError(ErrorKind::BadState, "an earlier part is missing");
  }
  folded += 1;
  if (folded < aChange.mParts) {
    return absl::OkStatus();
  }
  // What is still open was begun before and is of no more use.
  checkpoints.mIncomplete.clear();
  checkpoints.mOffset = std::max(checkpoints.mOffset, aChange.mOffset);
  return absl::OkStatus();
}

// True for what callers and the protocol append, which is no change of the configuration.
bool
IsOutsideConfiguration(const Change& aChange)
{
  return std::holds_alternative<ClaimBatch>(aChange) ||
         std::holds_alternative<InForceReported>(aChange) ||
         std::holds_alternative<JobsCheckpointed>(aChange) ||
         std::holds_alternative<CheckpointPart>(aChange);
}

void
RememberId(FleetState& aState, const RecordId& aId)
{
  aState.mSeenIds.insert(aId);
  aState.mSeenOrder.push_back(aId);
  if (aState.mSeenOrder.size() > kMaxSeenIds) {
    aState.mSeenIds.erase(aState.mSeenOrder.front());
    aState.mSeenOrder.pop_front();
  }
}

void
AppendToAudit(FleetState& aState, const Decision& aDecision)
{
  aState.mAudit.push_back(aDecision);
  if (aState.mAudit.size() > kMaxAuditEntries) {
    aState.mAudit.pop_front();
  }
}

Decision
MakeDecision(const Record& aRecord, Offset aOffset)
{
  Decision decision;
  decision.mOffset = aOffset;
  decision.mId = aRecord.mId;
  decision.mTime = aRecord.mTime;
  decision.mAuthor = aRecord.mAuthor;
  decision.mKind = std::string(KindName(aRecord.mChange));
  decision.mSubject = DescribeSubject(aRecord.mChange);
  decision.mBasedOn = aRecord.mBasedOn;
  return decision;
}

Decision
CountUnreadable(FleetState& aState, Offset aOffset, const absl::Status& aError)
{
  aState.mUnreadable += 1;
  Decision decision;
  decision.mOffset = aOffset;
  decision.mKind = "unreadable";
  decision.mReason = std::string(aError.message());
  AppendToAudit(aState, decision);
  return decision;
}

absl::Status
ValidateAndApply(FleetState& aState, const Record& aRecord, Offset aOffset)
{
  TRY(ValidateChange(aRecord.mChange));
  return std::visit(
    [&](const auto& aChange) { return ApplyChange(aState, aRecord, aOffset, aChange); },
    aRecord.mChange);
}

}

bool
MayClaim(const ClaimState& aState, int aTry)
{
  return aState.mReleased && (aTry == 0 || aTry > aState.mTry);
}

Decision
Apply(FleetState& aState, const LogEntry& aEntry)
{
  return Apply(aState, aEntry.mOffset, DecodeRecord(aEntry.mText));
}

Decision
Apply(FleetState& aState, Offset aOffset, const absl::StatusOr<Record>& aRecord)
{
  Decision skipped;
  if (aOffset <= aState.mApplied) {
    skipped.mOffset = aOffset;
    skipped.mReason = "folded before";
    return skipped;
  }
  aState.mApplied = aOffset;
  const auto& record = aRecord;
  if (!record.ok()) {
    return CountUnreadable(aState, aOffset, record.status());
  }
  if (aState.mSeenIds.contains(record->mId)) {
    skipped.mOffset = aOffset;
    skipped.mId = record->mId;
    skipped.mReason = "a repeated append";
    return skipped;
  }
  RememberId(aState, record->mId);
  auto decision = MakeDecision(*record, aOffset);
  auto status = ValidateAndApply(aState, *record, aOffset);
  decision.mAccepted = status.ok();
  if (!status.ok()) {
    decision.mReason = std::string(NameOf(KindOf(status))) + ": " + std::string(status.message());
  }
  if (IsOutsideConfiguration(record->mChange)) {
    return decision;
  }
  if (status.ok()) {
    aState.mVersion = aOffset;
  }
  AppendToAudit(aState, decision);
  return decision;
}

}
