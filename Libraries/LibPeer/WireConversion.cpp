#include "LibPeer/WireConversion.h"

#include <algorithm>

namespace sesameseam {

namespace {

wire::PoolLoad
ToWire(const PoolName& aPool, const PeerLoadReported& aLoad)
{
  wire::PoolLoad load;
  load.pool = aPool.mValue;
  load.version = aLoad.mVersion;
  load.freeSlots = aLoad.mFreeSlots;
  load.queued = aLoad.mQueued;
  if (aLoad.mWaits) {
    for (auto wait : *aLoad.mWaits) {
      load.waitMicroseconds.push_back(wait.count());
    }
  }
  for (const auto& id : aLoad.mSlotsInUse) {
    wire::Slot slot;
    slot.host = id.mHost.mValue;
    slot.index = id.mIndex;
    load.slotsInUse.push_back(slot);
  }
  return load;
}

PeerLoadReported
FromWire(const wire::PoolLoad& aLoad, const MemberName& aMember, TimePoint aNow)
{
  PeerLoadReported load;
  load.mMember = aMember;
  load.mAt = aNow;
  load.mVersion = aLoad.version;
  load.mFreeSlots = aLoad.freeSlots;
  load.mQueued = aLoad.queued;
  if (aLoad.waitMicroseconds.size() == kRequestClassCount) {
    auto& waits = load.mWaits.emplace();
    for (std::size_t i = 0; i < kRequestClassCount; ++i) {
      waits[i] = Duration(std::max<std::int64_t>(0, aLoad.waitMicroseconds[i]));
    }
  }
  for (const auto& slot : aLoad.slotsInUse) {
    load.mSlotsInUse.insert(SlotId{ HostName(slot.host), slot.index });
  }
  return load;
}

}

wire::Report
ToWire(const PeerReport& aReport)
{
  wire::Report report;
  report.deployment = aReport.mDeployment;
  report.member = aReport.mMember.mValue;
  report.incarnation = aReport.mIncarnation;
  report.applied = aReport.mApplied;
  report.version = aReport.mVersion;
  for (const auto& [pool, load] : aReport.mLoads) {
    report.loads.push_back(ToWire(pool, load));
  }
  return report;
}

PeerReport
FromWire(const wire::Report& aReport, TimePoint aNow)
{
  PeerReport report;
  report.mDeployment = aReport.deployment;
  report.mMember = MemberName(aReport.member);
  report.mIncarnation = aReport.incarnation;
  report.mApplied = aReport.applied;
  report.mVersion = aReport.version;
  for (const auto& load : aReport.loads) {
    report.mLoads.emplace(PoolName(load.pool), FromWire(load, report.mMember, aNow));
  }
  return report;
}

wire::CatchUpReply
ToWire(const PeerStateReceived& aState)
{
  wire::CatchUpReply reply;
  reply.deployment = aState.mDeployment;
  reply.applied = aState.mApplied;
  reply.state = aState.mState;
  reply.hash = aState.mHash;
  for (const auto& entry : aState.mEntries) {
    wire::LogEntry copy;
    copy.offset = entry.mOffset;
    copy.text = entry.mText;
    reply.entries.push_back(std::move(copy));
  }
  return reply;
}

PeerStateReceived
FromWire(const wire::CatchUpReply& aReply)
{
  PeerStateReceived state;
  state.mDeployment = aReply.deployment;
  state.mApplied = aReply.applied;
  state.mState = aReply.state;
  state.mHash = aReply.hash;
  for (const auto& entry : aReply.entries) {
    state.mEntries.push_back({ entry.offset, entry.text });
  }
  return state;
}

wire::ForwardCall
ToWire(const Request& aRequest, const std::string& aDeployment, Duration aTimeout, bool aMayQueue)
{
  wire::ForwardCall call;
  call.deployment = aDeployment;
  call.requestId = aRequest.mId.mValue;
  call.pool = aRequest.mPool.mValue;
  call.requestClass = static_cast<std::int32_t>(aRequest.mClass);
  call.team = aRequest.mTeam.mValue;
  call.kind = aRequest.mKind;
  call.timeoutMicroseconds = aTimeout.count();
  call.idempotent = aRequest.mIdempotent;
  call.key = aRequest.mKey.mValue;
  call.declaredRunTimeMicroseconds = aRequest.mDeclaredRunTime.value_or(Duration::zero()).count();
  call.body = aRequest.mBody;
  call.mayQueue = aMayQueue;
  return call;
}

absl::StatusOr<Request>
FromWire(const wire::ForwardCall& aCall, TimePoint aNow)
{
  if (aCall.requestClass < 0 || aCall.requestClass >= static_cast<int>(kRequestClassCount)) {
    return MakeError(ErrorKind::BadField, "unknown class of request");
  }
  Request request;
  request.mId = RequestId(aCall.requestId);
  request.mPool = PoolName(aCall.pool);
  request.mClass = static_cast<RequestClass>(aCall.requestClass);
  request.mTeam = TeamName(aCall.team);
  request.mKind = aCall.kind;
  request.mDeadline = aNow + Duration(aCall.timeoutMicroseconds);
  request.mIdempotent = aCall.idempotent;
  request.mKey = RequestKey(aCall.key);
  if (aCall.declaredRunTimeMicroseconds > 0) {
    request.mDeclaredRunTime = Duration(aCall.declaredRunTimeMicroseconds);
  }
  request.mBody = aCall.body;
  request.mForwarded = true;
  request.mMayQueue = aCall.mayQueue;
  return request;
}

wire::ForwardReply
ToWire(const Outcome& aOutcome, const std::string& aRequestId)
{
  wire::ForwardReply reply;
  reply.requestId = aRequestId;
  reply.outcome = std::string(EnumName(aOutcome.mKind));
  reply.reason = std::string(EnumName(aOutcome.mReason));
  reply.status = aOutcome.mStatus;
  reply.body = aOutcome.mBody;
  reply.retryAfterMicroseconds = aOutcome.mRetryAfter.count();
  return reply;
}

absl::StatusOr<Outcome>
FromWire(const wire::ForwardReply& aReply)
{
  auto kind = EnumValue<OutcomeKind>(aReply.outcome);
  if (!kind) {
    return MakeError(ErrorKind::BadField, "unknown kind of outcome");
  }
  Outcome outcome;
  outcome.mKind = *kind;
  outcome.mReason = EnumValue<OutcomeReason>(aReply.reason).value_or(OutcomeReason::None);
  outcome.mStatus = aReply.status;
  outcome.mBody = aReply.body;
  outcome.mRetryAfter = Duration(aReply.retryAfterMicroseconds);
  return outcome;
}

}
