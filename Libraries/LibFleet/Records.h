#pragma once

#include "LibBase/Id.h"
#include "LibBase/Json.h"
#include "LibBase/Time.h"
#include "LibFleet/JobRecords.h"
#include "LibFleet/WaveRecords.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

// The records that entry hosts and operators append to the platform's log.
namespace sesameseam {

// The position of a record in the platform's log. Versions of the configuration are offsets.
using Offset = std::int64_t;
constexpr Offset kNoOffset = -1;

// The capacity that a pool needs while the preset is in force.
struct Preset
{
  PresetName mName;
  // Hosts that the expected load needs, without the buffer.
  int mHosts = 1;
  // The maximum number of additional hosts in reserve for bursts and failures.
  int mBuffer = 0;
  // The share of the slots that long-running work may hold.
  double mLongShare = 0.5;

  bool operator==(const Preset&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, Preset& aPreset)
{
  aVisit("name", aPreset.mName, Presence::Required);
  aVisit("hosts", aPreset.mHosts, Presence::Required);
  aVisit("buffer", aPreset.mBuffer);
  aVisit("long_share", aPreset.mLongShare);
}

// Creates a pool or replaces its definition.
struct PoolDefined
{
  PoolName mPool;
  bool mSpare = false;
  std::vector<Preset> mPresets;
  PresetName mInForce;
  // The maximum number of hosts of the pool that are out of service at the same time.
  int mMaxUnavailable = 1;
  // The maximum number of racks and zones in which hosts of the pool are out of service at the same
  // time.
  int mMaxUnavailableRacks = 1;
  int mMaxUnavailableZones = 1;
  // The timeout of one attempt at a request.
  Duration mAttemptTimeout = 10s;

  bool operator==(const PoolDefined&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, PoolDefined& aChange)
{
  aVisit("pool", aChange.mPool, Presence::Required);
  aVisit("spare", aChange.mSpare);
  aVisit("presets", aChange.mPresets, Presence::Required);
  aVisit("in_force", aChange.mInForce, Presence::Required);
  aVisit("max_unavailable", aChange.mMaxUnavailable);
  aVisit("max_unavailable_racks", aChange.mMaxUnavailableRacks);
  aVisit("max_unavailable_zones", aChange.mMaxUnavailableZones);
  aVisit("attempt_timeout", aChange.mAttemptTimeout);
}

struct PresetChosen
{
  PoolName mPool;
  PresetName mPreset;
};

template<typename V>
void
VisitFields(V& aVisit, PresetChosen& aChange)
{
  aVisit("pool", aChange.mPool, Presence::Required);
  aVisit("preset", aChange.mPreset, Presence::Required);
}

// Adds a new host to a pool.
struct HostAdded
{
  HostName mHost;
  PoolName mPool;
  RackName mRack;
  ZoneName mZone;
  std::string mAddress;
  int mSlots = 8;
};

template<typename V>
void
VisitFields(V& aVisit, HostAdded& aChange)
{
  aVisit("host", aChange.mHost, Presence::Required);
  aVisit("pool", aChange.mPool, Presence::Required);
  aVisit("rack", aChange.mRack);
  aVisit("zone", aChange.mZone);
  aVisit("address", aChange.mAddress, Presence::Required);
  aVisit("slots", aChange.mSlots);
}

enum class LeaveReason
{
  Move,
  Maintenance,
  Removal,
};

template<>
struct EnumNames<LeaveReason>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, LeaveReason>{ "move", LeaveReason::Move },
    std::pair<std::string_view, LeaveReason>{ "maintenance", LeaveReason::Maintenance },
    std::pair<std::string_view, LeaveReason>{ "removal", LeaveReason::Removal },
  };
};

// Starts to drain a host: it gets no new work and finishes what it has.
struct HostLeaving
{
  HostName mHost;
  LeaveReason mReason = LeaveReason::Move;
  // The pool that the host joins once it is drained.
  std::optional<PoolName> mDestination;
  // The host is lent: its home pool stays the same.
  bool mLoan = false;
  // The leader's epoch, for a decision of the planner. The fold refuses those of a former leader.
  std::optional<std::int64_t> mEpoch;
  // The reason for the planner's decision, for the audit trail.
  std::string mExplanation;
};

template<typename V>
void
VisitFields(V& aVisit, HostLeaving& aChange)
{
  aVisit("host", aChange.mHost, Presence::Required);
  aVisit("reason", aChange.mReason, Presence::Required);
  aVisit("destination", aChange.mDestination);
  aVisit("loan", aChange.mLoan);
  aVisit("epoch", aChange.mEpoch);
  aVisit("why", aChange.mExplanation);
}

// The host is drained: no entry host uses it any more. It is then in no pool.
struct HostDrained
{
  HostName mHost;
};

template<typename V>
void
VisitFields(V& aVisit, HostDrained& aChange)
{
  aVisit("host", aChange.mHost, Presence::Required);
}

// Puts a drained host into service in a pool.
struct HostJoined
{
  HostName mHost;
  PoolName mPool;
};

template<typename V>
void
VisitFields(V& aVisit, HostJoined& aChange)
{
  aVisit("host", aChange.mHost, Presence::Required);
  aVisit("pool", aChange.mPool, Presence::Required);
}

struct MaintenanceDeclared
{
  MaintenanceId mMaintenance;
  std::vector<HostName> mHosts;

  bool operator==(const MaintenanceDeclared&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, MaintenanceDeclared& aChange)
{
  aVisit("maintenance", aChange.mMaintenance, Presence::Required);
  aVisit("hosts", aChange.mHosts, Presence::Required);
}

enum class MaintenancePhase
{
  Running,
  Paused,
  Cancelled,
  Stopped,
  Done,
};

template<>
struct EnumNames<MaintenancePhase>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, MaintenancePhase>{ "running", MaintenancePhase::Running },
    std::pair<std::string_view, MaintenancePhase>{ "paused", MaintenancePhase::Paused },
    std::pair<std::string_view, MaintenancePhase>{ "cancelled", MaintenancePhase::Cancelled },
    std::pair<std::string_view, MaintenancePhase>{ "stopped", MaintenancePhase::Stopped },
    std::pair<std::string_view, MaintenancePhase>{ "done", MaintenancePhase::Done },
  };
};

struct MaintenancePhaseChanged
{
  MaintenanceId mMaintenance;
  MaintenancePhase mPhase = MaintenancePhase::Running;
  std::string mReason;
};

template<typename V>
void
VisitFields(V& aVisit, MaintenancePhaseChanged& aChange)
{
  aVisit("maintenance", aChange.mMaintenance, Presence::Required);
  aVisit("phase", aChange.mPhase, Presence::Required);
  aVisit("reason", aChange.mReason);
}

// Sets the weight that determines a team's share of a pool's slots while other teams wait.
struct QuotaSet
{
  PoolName mPool;
  TeamName mTeam;
  double mWeight = 1.0;
};

template<typename V>
void
VisitFields(V& aVisit, QuotaSet& aChange)
{
  aVisit("pool", aChange.mPool, Presence::Required);
  aVisit("team", aChange.mTeam, Presence::Required);
  aVisit("weight", aChange.mWeight, Presence::Required);
}

// Adds an entry host to the member set.
struct MemberJoined
{
  MemberName mMember;
  ZoneName mZone;
  std::string mPeerAddress;
  std::string mIncarnation;

  bool operator==(const MemberJoined&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, MemberJoined& aChange)
{
  aVisit("member", aChange.mMember, Presence::Required);
  aVisit("zone", aChange.mZone);
  aVisit("peer_address", aChange.mPeerAddress, Presence::Required);
  aVisit("incarnation", aChange.mIncarnation, Presence::Required);
}

// Removes an entry host from the member set. Its incarnation has to join again to serve.
struct MemberRemoved
{
  MemberName mMember;
  std::string mIncarnation;
};

template<typename V>
void
VisitFields(V& aVisit, MemberRemoved& aChange)
{
  aVisit("member", aChange.mMember, Presence::Required);
  aVisit("incarnation", aChange.mIncarnation, Presence::Required);
}

// Makes an entry host the leader, which plans until its term ends. The epoch numbers the terms.
struct LeaderElected
{
  MemberName mMember;
  std::int64_t mEpoch = 0;
};

template<typename V>
void
VisitFields(V& aVisit, LeaderElected& aChange)
{
  aVisit("member", aChange.mMember, Presence::Required);
  aVisit("epoch", aChange.mEpoch, Presence::Required);
}

// Claims the right to run a request that is not idempotent.
struct Claim
{
  PoolName mPool;
  RequestKey mKey;
  RequestId mRequest;
  // The number of the try, or 0 if the caller does not count its tries.
  int mTry = 0;
};

template<typename V>
void
VisitFields(V& aVisit, Claim& aClaim)
{
  aVisit("try", aClaim.mTry);
  aVisit("pool", aClaim.mPool, Presence::Required);
  aVisit("key", aClaim.mKey, Presence::Required);
  aVisit("request", aClaim.mRequest, Presence::Required);
}

enum class ClaimEnd
{
  // The request ran and was answered; the answer is kept with the claim.
  Answered,
  // The request was never sent to a target; the key is free again.
  NotRun,
  // The request may have run; the key stays claimed.
  Unknown,
};

template<>
struct EnumNames<ClaimEnd>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, ClaimEnd>{ "answered", ClaimEnd::Answered },
    std::pair<std::string_view, ClaimEnd>{ "not-run", ClaimEnd::NotRun },
    std::pair<std::string_view, ClaimEnd>{ "unknown", ClaimEnd::Unknown },
  };
};

struct ClaimResult
{
  PoolName mPool;
  RequestKey mKey;
  RequestId mRequest;
  ClaimEnd mEnd = ClaimEnd::Unknown;
  int mStatus = 0;
  std::string mBody;

  bool operator==(const ClaimResult&) const = default;
};

template<typename V>
void
VisitFields(V& aVisit, ClaimResult& aResult)
{
  aVisit("pool", aResult.mPool, Presence::Required);
  aVisit("key", aResult.mKey, Presence::Required);
  aVisit("request", aResult.mRequest, Presence::Required);
  aVisit("end", aResult.mEnd, Presence::Required);
  aVisit("status", aResult.mStatus);
  aVisit("body", aResult.mBody);
}

// Claims and results of one entry host, batched into one record.
struct ClaimBatch
{
  std::vector<ClaimResult> mResults;
  std::vector<Claim> mClaims;
};

template<typename V>
void
VisitFields(V& aVisit, ClaimBatch& aChange)
{
  aVisit("results", aChange.mResults);
  aVisit("claims", aChange.mClaims);
}

// When a version came into force on each member, according to the reports of the members.
struct InForceReported
{
  Offset mVersion = kNoOffset;
  std::map<MemberName, TimePoint> mSince;
};

template<typename V>
void
VisitFields(V& aVisit, InForceReported& aChange)
{
  aVisit("version", aChange.mVersion, Presence::Required);
  aVisit("since", aChange.mSince, Presence::Required);
}

// One part of a serialized state. All parts of a checkpoint have the same id and offset.
struct CheckpointPart
{
  std::string mCheckpoint;
  // The state results from the records up to this offset.
  Offset mOffset = kNoOffset;
  std::int64_t mPart = 0;
  std::int64_t mParts = 1;
  std::string mHash;
  std::string mText;
};

template<typename V>
void
VisitFields(V& aVisit, CheckpointPart& aChange)
{
  aVisit("checkpoint", aChange.mCheckpoint, Presence::Required);
  aVisit("offset", aChange.mOffset, Presence::Required);
  aVisit("part", aChange.mPart, Presence::Required);
  aVisit("parts", aChange.mParts, Presence::Required);
  aVisit("hash", aChange.mHash, Presence::Required);
  aVisit("text", aChange.mText, Presence::Required);
}

using Change = std::variant<PoolDefined,
                            PresetChosen,
                            HostAdded,
                            HostLeaving,
                            HostDrained,
                            HostJoined,
                            MaintenanceDeclared,
                            MaintenancePhaseChanged,
                            QuotaSet,
                            MemberJoined,
                            MemberRemoved,
                            LeaderElected,
                            ClaimBatch,
                            InForceReported,
                            JobAccepted,
                            JobAssigned,
                            JobEnded,
                            JobsCheckpointed,
                            JobsCancelled,
                            WorkerQuarantined,
                            HostRebootRequested,
                            HostFailed,
                            HostRecovered,
                            CheckpointPart>;

struct Record
{
  // A repeated append has the same id and is folded only once.
  RecordId mId;
  TimePoint mTime;
  // The operator or the entry host that made the change.
  std::string mAuthor;
  // The version that the author saw. The fold refuses a change if its subject has a newer one.
  std::optional<Offset> mBasedOn;
  Change mChange;
};

std::string_view
KindName(const Change& aChange);
std::string
EncodeRecord(const Record& aRecord);
absl::StatusOr<Record>
DecodeRecord(const std::string& aText);

// Decodes a change of the given kind, in the form that operators send.
absl::StatusOr<Change>
DecodeChange(std::string_view aKind, const JsonValue& aBody);

}
