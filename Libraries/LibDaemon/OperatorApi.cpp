#include "LibDaemon/OperatorApi.h"

#include "LibFleet/Validate.h"

namespace sesameseam {

namespace {

constexpr Duration kChangeTimeout = 10s;
constexpr int kConflict = 409;

struct ErrorBody
{
  std::string mError;
  std::string mReason;
};

template<typename V>
void
VisitFields(V& aVisit, ErrorBody& aError)
{
  aVisit("error", aError.mError);
  aVisit("reason", aError.mReason);
}

int
StatusCodeOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::NotAuthorized:
      return 401;
    case ErrorKind::LogUnavailable:
      return 503;
    default:
      return 400;
  }
}

HttpReply
ErrorReply(const absl::Status& aError)
{
  ErrorBody body{ std::string(NameOf(KindOf(aError))), std::string(aError.message()) };
  return JsonReply(StatusCodeOf(KindOf(aError)), ToJson(body));
}

absl::Status
CheckToken(const std::string& aToken, const HttpRequest& aMessage)
{
  auto expected = "Bearer " + aToken;
  auto given = HeaderOf(aMessage.mHeaders, "Authorization");
  // Constant-time comparison: its duration does not depend on the position of the first difference.
  unsigned difference = given.size() == expected.size() ? 0 : 1;
  for (std::size_t i = 0; i < given.size() && i < expected.size(); ++i) {
    difference |= static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(expected[i]);
  }
  if (difference != 0) {
    return MakeError(ErrorKind::NotAuthorized, "the operators' credential is missing or wrong");
  }
  return absl::OkStatus();
}

// Operators may submit only these kinds of changes. All others are made by entry hosts.
bool
IsOperatorChange(const Change& aChange)
{
  return std::holds_alternative<PoolDefined>(aChange) ||
         std::holds_alternative<PresetChosen>(aChange) ||
         std::holds_alternative<HostAdded>(aChange) ||
         std::holds_alternative<HostLeaving>(aChange) ||
         std::holds_alternative<MaintenanceDeclared>(aChange) ||
         std::holds_alternative<MaintenancePhaseChanged>(aChange) ||
         std::holds_alternative<QuotaSet>(aChange) ||
         std::holds_alternative<MemberRemoved>(aChange) ||
         std::holds_alternative<JobAccepted>(aChange) ||
         std::holds_alternative<JobsCancelled>(aChange) ||
         std::holds_alternative<WorkerQuarantined>(aChange);
}

// ValidateChange does not check the format of a host's address, because it depends on the target
// client. Here it has to be an IP address and a port.
absl::Status
CheckChange(const Change& aChange)
{
  TRY(ValidateChange(aChange));
  if (const auto* added = std::get_if<HostAdded>(&aChange)) {
    TRY(ParseAddress(added->mAddress));
  }
  return absl::OkStatus();
}

absl::StatusOr<Record>
ReadChange(Daemon& aDaemon, const HttpRequest& aMessage)
{
  auto call = TRY(FromJson<ChangeSubmission>(aMessage.mBody));
  Record record;
  record.mId = call.mId;
  record.mTime = aDaemon.Now();
  record.mAuthor = "operator " + call.mOperator;
  record.mBasedOn = call.mBasedOn;
  record.mChange = TRY(DecodeChange(call.mKind, call.mBody));
  if (call.mId.IsEmpty() || call.mOperator.empty()) {
    return MakeError(ErrorKind::BadField, "id and operator must not be empty");
  }
  if (!IsOperatorChange(record.mChange)) {
    return MakeError(ErrorKind::BadField, "'" + call.mKind + "' is not for operators");
  }
  TRY(CheckChange(record.mChange));
  return record;
}

StatusReply
StatusOf(const Control& aControl, TimePoint aNow)
{
  StatusReply status;
  status.mMember = aControl.mSettings.mSelf;
  status.mReady = aControl.mCaughtUp && IsMember(aControl);
  status.mApplied = aControl.mFleet.mApplied;
  status.mVersion = aControl.mFleet.mVersion;
  status.mConfirmedAgo = aNow - ConfirmedAt(aControl);
  status.mUnreadable = aControl.mFleet.mUnreadable;
  status.mLeader = aControl.mFleet.mLeader;
  for (const auto& [name, pool] : aControl.mFleet.mPools) {
    status.mPools.push_back(pool);
  }
  for (const auto& [name, host] : aControl.mFleet.mHosts) {
    status.mHosts.push_back(host);
  }
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    MemberStatus entry{ name, member.mJoined.mZone, kNoOffset, Duration::zero() };
    auto peer = aControl.mPeers.find(name);
    if (name == aControl.mSettings.mSelf) {
      entry.mVersion = aControl.mFleet.mVersion;
    } else if (peer != aControl.mPeers.end()) {
      entry.mVersion = peer->second.mReport.mVersion;
      entry.mLastReportAgo = aNow - peer->second.mHeardAt;
    }
    status.mMembers.push_back(entry);
  }
  for (const auto& [id, maintenance] : aControl.mFleet.mMaintenances) {
    status.mMaintenances.push_back({ id,
                                     maintenance.mPhase,
                                     maintenance.mReason,
                                     std::ssize(maintenance.mDeclared.mHosts),
                                     std::ssize(maintenance.mFinished) });
  }
  return status;
}

}

HttpReply
ServeChange(Daemon& aDaemon, const std::string& aToken, const HttpRequest& aMessage)
{
  auto authorized = CheckToken(aToken, aMessage);
  if (!authorized.ok()) {
    return ErrorReply(authorized);
  }
  auto record = ReadChange(aDaemon, aMessage);
  if (!record.ok()) {
    return ErrorReply(record.status());
  }
  auto decision = aDaemon.ChangeConfiguration(std::move(*record), kChangeTimeout);
  if (!decision.ok()) {
    return ErrorReply(decision.status());
  }
  return JsonReply(decision->mAccepted ? 200 : kConflict, ToJson(*decision));
}

HttpReply
ServeStatus(Daemon& aDaemon, const HttpRequest&)
{
  auto now = aDaemon.Now();
  auto status = aDaemon.ReadControl([&](const auto& aControl) { return StatusOf(aControl, now); });
  return JsonReply(200, ToJson(status));
}

HttpReply
ServeAudit(Daemon& aDaemon, const HttpRequest&)
{
  auto audit = aDaemon.ReadControl([](const auto& aControl) {
    return std::vector<Decision>(aControl.mFleet.mAudit.begin(), aControl.mFleet.mAudit.end());
  });
  return JsonReply(200, ToJson(audit));
}

}
