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

// What a pool needs while the preset is in force.
struct Preset
{
  PresetName mName;
  // Hosts that the load asks for, without the buffer.
  int mHosts = 1;
  // Hosts held beyond the load for bursts and failures.
  int mBuffer = 0;
  // Share of the slots that long work may hold.
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
  // Hosts of the pool that may be out of service at once.
  int mMaxUnavailable = 1;
  // Racks and zones in which hosts of the pool may be out of service at once.
  int mMaxUnavailableRacks = 1;
  int mMaxUnavailableZones = 1;
  // The bound for one attempt at a request.
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

// Puts a host that is in no pool into one.
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

// A host starts to leave its pool: it gets no new work and finishes what it has.
struct HostLeaving
{
  HostName mHost;
  LeaveReason mReason = LeaveReason::Move;
  // The pool that the host joins once it is drained.
  std::optional<PoolName> mDestination;
  // The host is lent: the pool that it belongs to stays the same.
  bool mLoan = false;
  // Set where the planner decided; the fold refuses what a former leader decided.
  std::optional<std::int64_t> mEpoch;
  // Why the planner decided so, for the audit trail.
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

// No entry host uses the host any more; it is in no pool from here on.
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

// A drained host takes up work in a pool.
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

// The share of a pool's slots that a team may hold while others wait.
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

// An entry host takes part from here on.
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

// An entry host is taken out of the member set. Its incarnation has to join again to serve.
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

// An entry host leads planning until the term ends. Terms are counted by the epoch.
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

// One claim of the right to run a request that is not idempotent.
struct Claim
{
  PoolName mPool;
  RequestKey mKey;
  RequestId mRequest;
  // The number of the try, where its caller counts them; otherwise 0.
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
  // The request may have run; the key stays taken.
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

// Claims and results of one entry host, appended together.
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

// When a version was in force on the members, as their reports said.
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

// One part of the text of a state. All parts of a checkpoint have its id and the same offset.
struct CheckpointPart
{
  std::string mCheckpoint;
  // The state holds what the records up to this offset amount to.
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
  // An append that is repeated carries the same id and is folded once.
  RecordId mId;
  TimePoint mTime;
  // The operator or the entry host that made the change.
  std::string mAuthor;
  // The version that the author saw. The fold refuses a change whose subject is newer.
  std::optional<Offset> mBasedOn;
  Change mChange;
};

std::string_view
KindName(const Change& aChange);
std::string
EncodeRecord(const Record& aRecord);
absl::StatusOr<Record>
DecodeRecord(const std::string& aText);

// Reads a change of the given kind, as operators send it.
absl::StatusOr<Change>
DecodeChange(std::string_view aKind, const JsonValue& aBody);

}
