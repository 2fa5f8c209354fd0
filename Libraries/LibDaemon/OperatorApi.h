#pragma once

#include "LibDaemon/Daemon.h"
#include "LibHttp/HttpMessage.h"

namespace sesameseam {

// The body of POST /change.
struct ChangeSubmission
{
  // Idempotency key: a repeated call with the same id is folded only once.
  RecordId mId;
  std::string mOperator;
  std::optional<Offset> mBasedOn;
  std::string mKind;
  JsonValue mBody;
};

template<typename V>
void
VisitFields(V& aVisit, ChangeSubmission& aCall)
{
  aVisit("id", aCall.mId, Presence::Required);
  aVisit("operator", aCall.mOperator, Presence::Required);
  aVisit("based_on", aCall.mBasedOn);
  aVisit("kind", aCall.mKind, Presence::Required);
  aVisit("body", aCall.mBody, Presence::Required);
}

struct MemberStatus
{
  MemberName mMember;
  ZoneName mZone;
  // The version in force on the member, according to its last report.
  Offset mVersion = kNoOffset;
  Duration mLastReportAgo = Duration::zero();
};

template<typename V>
void
VisitFields(V& aVisit, MemberStatus& aStatus)
{
  aVisit("member", aStatus.mMember);
  aVisit("zone", aStatus.mZone);
  aVisit("version", aStatus.mVersion);
  aVisit("silent_for", aStatus.mLastReportAgo);
}

struct MaintenanceStatus
{
  MaintenanceId mMaintenance;
  MaintenancePhase mPhase = MaintenancePhase::Running;
  std::string mReason;
  std::int64_t mHosts = 0;
  std::int64_t mFinished = 0;
};

template<typename V>
void
VisitFields(V& aVisit, MaintenanceStatus& aStatus)
{
  aVisit("maintenance", aStatus.mMaintenance);
  aVisit("phase", aStatus.mPhase);
  aVisit("reason", aStatus.mReason);
  aVisit("hosts", aStatus.mHosts);
  aVisit("finished", aStatus.mFinished);
}

// The reply to GET /status.
struct StatusReply
{
  MemberName mMember;
  bool mReady = false;
  Offset mApplied = kNoOffset;
  Offset mVersion = kNoOffset;
  Duration mConfirmedAgo = Duration::zero();
  std::int64_t mUnreadable = 0;
  LeaderState mLeader;
  std::vector<PoolState> mPools;
  std::vector<HostState> mHosts;
  std::vector<MemberStatus> mMembers;
  std::vector<MaintenanceStatus> mMaintenances;
};

template<typename V>
void
VisitFields(V& aVisit, StatusReply& aReply)
{
  aVisit("member", aReply.mMember);
  aVisit("ready", aReply.mReady);
  aVisit("applied", aReply.mApplied);
  aVisit("version", aReply.mVersion);
  aVisit("confirmed_ago", aReply.mConfirmedAgo);
  aVisit("unreadable", aReply.mUnreadable);
  aVisit("leader", aReply.mLeader);
  aVisit("pools", aReply.mPools);
  aVisit("hosts", aReply.mHosts);
  aVisit("members", aReply.mMembers);
  aVisit("maintenances", aReply.mMaintenances);
}

HttpReply
ServeChange(Daemon& aDaemon, const std::string& aToken, const HttpRequest& aMessage);
HttpReply
ServeStatus(Daemon& aDaemon, const HttpRequest& aMessage);
HttpReply
ServeAudit(Daemon& aDaemon, const HttpRequest& aMessage);

}
