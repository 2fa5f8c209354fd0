#include "LibEntry/Control.h"

#include "LibEntry/Claims.h"
#include "LibEntry/JobControl.h"
#include "LibEntry/Leader.h"
#include "LibEntry/Membership.h"
#include "LibFleet/Views.h"

#include <algorithm>

namespace sesameseam {

namespace {

constexpr Duration kProposalInterval = 1s;

// Confirmations are passed on to the pools in steps of this length.
constexpr Duration kConfirmationStep = 50ms;

// A log that gave no answer for this long is taken as out of reach, and peers are asked.
constexpr Duration kFetchAfterLogSilence = 1s;

constexpr Duration kFetchInterval = 200ms;

void
PublishViews(Control& aControl, ControlActions& aActions)
{
  if (!aControl.mCaughtUp || aControl.mPublishedVersion == aControl.mFleet.mVersion) {
    return;
  }
  aControl.mPublishedVersion = aControl.mFleet.mVersion;
  for (const auto& [name, pool] : aControl.mFleet.mPools) {
    aActions.push_back(PublishView{ MakePoolView(aControl.mFleet, name) });
  }
}

void
PublishConfirmationIfNewer(Control& aControl, ControlActions& aActions)
{
  auto confirmed = ConfirmedAt(aControl);
  if (!aControl.mCaughtUp || confirmed < aControl.mPublishedConfirmation + kConfirmationStep) {
    return;
  }
  aControl.mPublishedConfirmation = confirmed;
  aActions.push_back(PublishConfirmation{ confirmed });
}

// What the fold decided about a record at its first append; empty if it is none of those kept.
const Decision*
FirstDecision(const FleetState& aFleet, const RecordId& aId)
{
  auto found = std::find_if(aFleet.mAudit.rbegin(), aFleet.mAudit.rend(), [&](const auto& aEntry) {
    return aEntry.mId == aId;
  });
  return found == aFleet.mAudit.rend() ? nullptr : &*found;
}

// An append that was repeated is answered with what its first one came to.
void
NoteDecision(Control& aControl, const Decision& aDecision, ControlActions& aActions)
{
  aControl.mPlanUndecided.erase(aDecision.mId);
  if (aControl.mAskedHere.erase(aDecision.mId) == 0) {
    return;
  }
  const auto* first = FirstDecision(aControl.mFleet, aDecision.mId);
  aActions.push_back(ChangeDecided{ first == nullptr ? aDecision : *first });
}

void
NoteChange(Control& aControl,
           TimePoint aNow,
           const Record& aRecord,
           const Decision& aDecision,
           ControlActions& aActions)
{
  if (!aDecision.mAccepted) {
    return;
  }
  if (const auto* batch = std::get_if<ClaimBatch>(&aRecord.mChange)) {
    DecideClaims(aControl, aNow, *batch, aActions);
  } else if (std::holds_alternative<MemberRemoved>(aRecord.mChange)) {
    aControl.mMemberRemovedAt = aNow;
  } else if (std::holds_alternative<HostJoined>(aRecord.mChange)) {
    aControl.mCounters.mHostMoves += 1;
  } else if (const auto* reboot = std::get_if<HostRebootRequested>(&aRecord.mChange)) {
    RebootIfOurs(aControl, aNow, aRecord, *reboot, aActions);
  }
}

void
FoldEntry(Control& aControl, TimePoint aNow, const LogEntry& aEntry, ControlActions& aActions)
{
  // Without the records in between, the state would miss them for good.
  if (aEntry.mOffset != aControl.mFleet.mApplied + 1) {
    return;
  }
  auto record = DecodeRecord(aEntry.mText);
  auto decision = Apply(aControl.mFleet, aEntry.mOffset, record);
  Remember(aControl.mRecent, aEntry);
  NoteFolded(aControl.mCheckpoints, aControl.mFleet, aEntry);
  aControl.mCounters.mRecordsFolded += 1;
  NoteDecision(aControl, decision, aActions);
  if (record.ok()) {
    NoteChange(aControl, aNow, *record, decision, aActions);
  }
}

// Takes over a state that other entry hosts folded. The state never goes back.
bool
Restore(Control& aControl, TimePoint aNow, FleetState aState, ControlActions& aActions)
{
  if (aState.mApplied <= aControl.mFleet.mApplied) {
    return false;
  }
  aControl.mFleet = std::move(aState);
  aControl.mRecent = RecentRecords();
  aControl.mPlanUndecided.clear();
  aControl.mCounters.mRestores += 1;
  // Members may have been removed in the records that were not seen.
  aControl.mMemberRemovedAt = aNow;
  for (const auto& decision : aControl.mFleet.mAudit) {
    NoteDecision(aControl, decision, aActions);
  }
  return true;
}

// Joins the member set as soon as the log was read, and again if others removed this host.
void
KeepMembership(Control& aControl, TimePoint aNow)
{
  if (!aControl.mCaughtUp || aControl.mStopping || IsMember(aControl)) {
    return;
  }
  MemberJoined joined;
  joined.mMember = aControl.mSettings.mSelf;
  joined.mZone = aControl.mSettings.mZone;
  joined.mPeerAddress = aControl.mSettings.mPeerAddress;
  joined.mIncarnation = aControl.mSettings.mIncarnation;
  Propose(aControl, aNow, "join", std::nullopt, joined);
}

Record
MakeRecord(Control& aControl, TimePoint aNow, std::optional<Offset> aBasedOn, Change aChange)
{
  Record record;
  record.mId = RecordId(AuthorOf(aControl) + "/" + std::to_string(aControl.mNextRecord++));
  record.mTime = aNow;
  record.mAuthor = AuthorOf(aControl);
  record.mBasedOn = aBasedOn;
  record.mChange = std::move(aChange);
  return record;
}

// Sends all that has come up, in one append. Only one is on its way at a time, so that the
// log keeps the order.
void
AppendNext(Control& aControl, TimePoint aNow, ControlActions& aActions)
{
  if (aControl.mAppending || aNow < aControl.mNextAppend) {
    return;
  }
  if (aControl.mInFlight.empty()) {
    for (const auto& record : aControl.mOutbox) {
      aControl.mInFlight.push_back(EncodeRecord(record));
    }
    aControl.mOutbox.clear();
    auto part = TakePart(aControl.mCheckpoints);
    if (part) {
      aControl.mInFlight.push_back(
        EncodeRecord(MakeRecord(aControl, aNow, std::nullopt, std::move(*part))));
    }
    auto batch = TakeClaimBatch(aControl);
    if (batch) {
      aControl.mInFlight.push_back(
        EncodeRecord(MakeRecord(aControl, aNow, std::nullopt, std::move(*batch))));
    }
  }
  if (aControl.mInFlight.empty()) {
    return;
  }
  aControl.mAppending = true;
  aControl.mCounters.mAppends += 1;
  aActions.push_back(AppendRecords{ aControl.mInFlight });
}

void
On(Control& aControl, TimePoint aNow, const LogRead& aEvent, ControlActions& aActions)
{
  aControl.mCheckpoints.mRetained = aEvent.mFirst > 0 ? aEvent.mEnd - aEvent.mFirst : 0;
  if (!aControl.mRecovery.mActive && NeedsRecovery(aControl.mFleet, aEvent)) {
    aControl.mCounters.mLogGaps += aEvent.mFirst > aControl.mFleet.mApplied + 1 ? 1 : 0;
    BeginRecovery(aControl.mRecovery, aEvent);
  }
  if (aControl.mRecovery.mActive) {
    auto recovered = CollectForRecovery(aControl.mRecovery, aControl.mFleet.mApplied, aEvent);
    if (!recovered) {
      return;
    }
    if (recovered->mState) {
      Restore(aControl, aNow, std::move(*recovered->mState), aActions);
    }
    for (const auto& entry : recovered->mEntries) {
      FoldEntry(aControl, aNow, entry, aActions);
    }
  }
  for (const auto& entry : aEvent.mEntries) {
    FoldEntry(aControl, aNow, entry, aActions);
  }
  if (aControl.mFleet.mApplied + 1 >= aEvent.mEnd) {
    aControl.mLogConfirmed = std::max(aControl.mLogConfirmed, aEvent.mSentAt);
    aControl.mCaughtUp = true;
  }
  KeepMembership(aControl, aNow);
}

void
On(Control& aControl, TimePoint, const LogReadFailed&, ControlActions&)
{
  aControl.mCounters.mReadsFailed += 1;
}

void
On(Control& aControl, TimePoint aNow, const AppendEnded& aEvent, ControlActions&)
{
  aControl.mAppending = false;
  aControl.mNextAppend = aNow + aControl.mSettings.mAppendInterval;
  if (aEvent.mEnd == AppendEnd::Taken) {
    aControl.mInFlight.clear();
    return;
  }
  // The same records go again with the same ids, so that the fold counts them once.
  aControl.mCounters.mAppendsFailed += 1;
  aControl.mNextAppend = aNow + 100ms;
}

void
On(Control& aControl, TimePoint, const PeerAnswered& aEvent, ControlActions& aActions)
{
  const auto& report = aEvent.mReport;
  if (report.mDeployment != aControl.mSettings.mDeployment) {
    return;
  }
  auto& peer = aControl.mPeers[report.mMember];
  peer.mReport = report;
  peer.mHeardAt = std::max(peer.mHeardAt, aEvent.mSentAt);
  aControl.mRefused.erase(report.mMember);
  for (const auto& [pool, load] : report.mLoads) {
    aActions.push_back(PublishLoad{ pool, load });
  }
}

void
On(Control& aControl, TimePoint, const OwnLoads& aEvent, ControlActions&)
{
  aControl.mOwnLoads = aEvent.mLoads;
}

void
On(Control& aControl, TimePoint aNow, const ClaimAsked& aEvent, ControlActions& aActions)
{
  AskClaim(aControl, aNow, aEvent.mClaim, aActions);
}

void
On(Control& aControl, TimePoint, const ClaimEnded& aEvent, ControlActions&)
{
  EndClaimOf(aControl, aEvent.mResult);
}

void
On(Control& aControl, TimePoint, const ChangeAsked& aEvent, ControlActions& aActions)
{
  // An operator's second try, by this or another entry host, after the answer was lost.
  const auto* first = FirstDecision(aControl.mFleet, aEvent.mRecord.mId);
  if (first != nullptr) {
    aActions.push_back(ChangeDecided{ *first });
    return;
  }
  aControl.mAskedHere.insert(aEvent.mRecord.mId);
  aControl.mOutbox.push_back(aEvent.mRecord);
}

void
On(Control& aControl, TimePoint aNow, const HostsListed& aEvent, ControlActions&)
{
  aControl.mBoots = aEvent.mBoots;
  aControl.mBootsListedAt = aNow;
}

void
On(Control& aControl, TimePoint, const TasksListed& aEvent, ControlActions&)
{
  aControl.mTasks = aEvent.mReports;
}

void
On(Control& aControl, TimePoint aNow, const LeaveRequested&, ControlActions&)
{
  aControl.mStopping = true;
  if (IsMember(aControl)) {
    MemberRemoved removed{ aControl.mSettings.mSelf, aControl.mSettings.mIncarnation };
    Propose(aControl, aNow, "leave", std::nullopt, removed);
  }
}

// While the log is out of reach, what a peer knows beyond it is taken from there.
void
FetchIfBehind(Control& aControl, TimePoint aNow, ControlActions& aActions)
{
  bool logAnswers = aNow - aControl.mLogConfirmed <= kFetchAfterLogSilence;
  bool fresh = aNow - aControl.mStarted <= kFetchAfterLogSilence;
  if (logAnswers || fresh || aNow < aControl.mNextFetch) {
    return;
  }
  const PeerState* ahead = nullptr;
  for (const auto& [name, peer] : aControl.mPeers) {
    bool higher = ahead == nullptr || peer.mReport.mApplied > ahead->mReport.mApplied;
    if (IsHeard(aControl, aNow, name) && higher) {
      ahead = &peer;
    }
  }
  if (ahead == nullptr || ahead->mReport.mApplied <= aControl.mFleet.mApplied) {
    return;
  }
  aControl.mNextFetch = aNow + kFetchInterval;
  aActions.push_back(FetchFromPeer{ ahead->mReport.mMember, aControl.mFleet.mApplied + 1 });
}

void
On(Control& aControl, TimePoint aNow, const ControlTick&, ControlActions& aActions)
{
  ExpireClaims(aControl, aNow, aActions);
  KeepMembership(aControl, aNow);
  Lead(aControl, aNow);
  LeadJobs(aControl, aNow, aActions);
  FetchIfBehind(aControl, aNow, aActions);
  if (IsLeader(aControl) && LogIsReachable(aControl, aNow)) {
    ReportInForce(aControl, aNow);
  }
  if (IsLeader(aControl) && LogIsReachable(aControl, aNow) &&
      BeginCheckpointIfDue(aControl.mCheckpoints, aNow, aControl.mFleet, AuthorOf(aControl))) {
    aControl.mCounters.mCheckpoints += 1;
  }
}

void
On(Control& aControl, TimePoint aNow, const PeerRefused& aEvent, ControlActions&)
{
  auto& refused = aControl.mRefused[aEvent.mMember];
  if (aNow - refused.mLast > aControl.mSettings.mViewStaleAfter) {
    refused.mSince = aNow;
  }
  refused.mLast = aNow;
}

void
On(Control& aControl, TimePoint aNow, const PeerStateReceived& aEvent, ControlActions& aActions)
{
  if (aEvent.mDeployment != aControl.mSettings.mDeployment) {
    return;
  }
  if (!aEvent.mState.empty()) {
    auto state = DecodeState(aEvent.mState, aEvent.mHash);
    if (!state.ok() || !Restore(aControl, aNow, std::move(*state), aActions)) {
      return;
    }
    aControl.mRecovery = Recovery();
  }
  for (const auto& entry : aEvent.mEntries) {
    FoldEntry(aControl, aNow, entry, aActions);
  }
  aControl.mCaughtUp = aControl.mCaughtUp || aControl.mFleet.mApplied >= aEvent.mApplied;
}

}

Control
MakeControl(const ControlSettings& aSettings, TimePoint aNow)
{
  Control control;
  control.mSettings = aSettings;
  control.mStarted = aNow;
  control.mMemberRemovedAt = aNow;
  return control;
}

ControlActions
Step(Control& aControl, TimePoint aNow, const ControlEvent& aEvent)
{
  ControlActions actions;
  std::visit([&](const auto& aAlternative) { On(aControl, aNow, aAlternative, actions); }, aEvent);
  PublishViews(aControl, actions);
  PublishConfirmationIfNewer(aControl, actions);
  AppendNext(aControl, aNow, actions);
  return actions;
}

PeerReport
ReportOf(const Control& aControl)
{
  PeerReport report;
  report.mDeployment = aControl.mSettings.mDeployment;
  report.mMember = aControl.mSettings.mSelf;
  report.mIncarnation = aControl.mSettings.mIncarnation;
  report.mApplied = aControl.mFleet.mApplied;
  report.mVersion = aControl.mFleet.mVersion;
  report.mLoads = aControl.mOwnLoads;
  return report;
}

TimePoint
ConfirmedAt(const Control& aControl)
{
  std::vector<TimePoint> heard;
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    auto peer = aControl.mPeers.find(name);
    bool agrees =
      peer != aControl.mPeers.end() && peer->second.mReport.mApplied <= aControl.mFleet.mApplied;
    if (name != aControl.mSettings.mSelf && agrees) {
      heard.push_back(peer->second.mHeardAt);
    }
  }
  std::sort(heard.rbegin(), heard.rend());
  // This entry host counts towards the majority only if it is a member itself.
  auto others = aControl.mFleet.mMembers.size() / 2 + (IsMember(aControl) ? 0 : 1);
  if (others == 0 || heard.size() < others) {
    return aControl.mLogConfirmed;
  }
  return std::max(aControl.mLogConfirmed, heard[others - 1]);
}

Offset
NextRead(const Control& aControl)
{
  return aControl.mRecovery.mActive ? aControl.mRecovery.mNext : aControl.mFleet.mApplied + 1;
}

PeerStateReceived
StateSince(const Control& aControl, Offset aFrom)
{
  PeerStateReceived reply;
  reply.mDeployment = aControl.mSettings.mDeployment;
  reply.mApplied = aControl.mFleet.mApplied;
  if (aFrom > reply.mApplied) {
    return reply;
  }
  if (Holds(aControl.mRecent, aFrom)) {
    reply.mEntries = RecordsFrom(aControl.mRecent, aFrom);
    return reply;
  }
  reply.mState = EncodeState(aControl.mFleet);
  reply.mHash = HashText(reply.mState);
  return reply;
}

bool
IsMember(const Control& aControl)
{
  auto found = aControl.mFleet.mMembers.find(aControl.mSettings.mSelf);
  return found != aControl.mFleet.mMembers.end() &&
         found->second.mJoined.mIncarnation == aControl.mSettings.mIncarnation;
}

std::string
AuthorOf(const Control& aControl)
{
  return aControl.mSettings.mSelf.mValue + "#" + aControl.mSettings.mIncarnation;
}

std::optional<RecordId>
Propose(Control& aControl,
        TimePoint aNow,
        const std::string& aTopic,
        std::optional<Offset> aBasedOn,
        Change aChange)
{
  auto last = aControl.mProposed.find(aTopic);
  if (last != aControl.mProposed.end() && aNow - last->second < kProposalInterval) {
    return std::nullopt;
  }
  aControl.mProposed[aTopic] = aNow;
  aControl.mOutbox.push_back(MakeRecord(aControl, aNow, aBasedOn, std::move(aChange)));
  return aControl.mOutbox.back().mId;
}

}
