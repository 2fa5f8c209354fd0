#include "LibExperiment/Deployment.h"

#include <absl/strings/numbers.h>

namespace sesameseam {

namespace {

constexpr Duration kHostListInterval = 1s;
constexpr Duration kAppendTimeout = 1s;
constexpr Duration kForwardTimeoutMargin = 100ms;

// Stands between a request's id and the peer that it was forwarded to.
constexpr char kForwardMark = '@';

// Carries events to one incarnation of one node. What was under way when it died is dropped.
struct NodeLink
{
  std::size_t mNode = 0;
  int mIncarnation = 0;
};

void
Deliver(Deployment& aDeployment, const NodeLink& aLink, const EntryEvent& aEvent);
void
Perform(Deployment& aDeployment, const NodeLink& aLink, const EntryActions& aActions);

NodeLink
LinkTo(const Deployment& aDeployment, std::size_t aNode)
{
  return { aNode, aDeployment.mNodes[aNode].mIncarnation };
}

bool
IsLive(const Deployment& aDeployment, const NodeLink& aLink)
{
  const auto& node = aDeployment.mNodes[aLink.mNode];
  return node.mAlive && node.mIncarnation == aLink.mIncarnation;
}

bool
IsCut(const Deployment& aDeployment, std::size_t aFrom, std::size_t aTo)
{
  return aDeployment.mIsCut && aDeployment.mIsCut(aFrom, aTo);
}

// Runs the work on the node, at once or when its pause ends.
void
OnNode(Deployment& aDeployment, const NodeLink& aLink, std::function<void()> aWork)
{
  if (!IsLive(aDeployment, aLink)) {
    return;
  }
  const auto& node = aDeployment.mNodes[aLink.mNode];
  if (aDeployment.mNow < node.mPausedUntil) {
    Schedule(aDeployment, node.mPausedUntil, [&aDeployment, aLink, work = std::move(aWork)] {
      OnNode(aDeployment, aLink, work);
    });
    return;
  }
  aWork();
}

void
Deliver(Deployment& aDeployment, const NodeLink& aLink, const EntryEvent& aEvent)
{
  OnNode(aDeployment, aLink, [&aDeployment, aLink, aEvent] {
    auto& host = aDeployment.mNodes[aLink.mNode].mHost;
    Perform(aDeployment, aLink, Step(host, aDeployment.mNow, aEvent));
  });
}

void
DeliverLater(Deployment& aDeployment, const NodeLink& aLink, Duration aDelay, EntryEvent aEvent)
{
  Schedule(
    aDeployment, aDeployment.mNow + aDelay, [&aDeployment, aLink, event = std::move(aEvent)] {
      Deliver(aDeployment, aLink, event);
    });
}

void
EndAttempt(Deployment& aDeployment,
           const NodeLink& aLink,
           const PoolName& aPool,
           AttemptId aAttempt,
           AttemptResult aResult)
{
  Deliver(aDeployment, aLink, PoolEventFor{ aPool, AttemptEnded{ aAttempt, std::move(aResult) } });
}

AttemptResult
EndedAs(AttemptEnd aEnd)
{
  AttemptResult result;
  result.mEnd = aEnd;
  return result;
}

Duration
RunTimeOf(const Request& aRequest)
{
  std::int64_t microseconds = 0;
  return absl::SimpleAtoi(aRequest.mBody, &microseconds) ? Duration(microseconds) : 1ms;
}

std::string
RunKeyOf(const Request& aRequest)
{
  return aRequest.mKey.IsEmpty() ? CallersId(aRequest.mId).mValue : aRequest.mKey.mValue;
}

void
StartOnExecutor(Deployment& aDeployment, const NodeLink& aLink, const Dispatch& aDispatch)
{
  auto& executor = aDeployment.mExecutors[aDispatch.mTarget.mHost];
  const auto& request = *aDispatch.mRequest;
  auto pool = request.mPool;
  auto attempt = aDispatch.mAttempt;
  auto network = aDeployment.mSettings.mNetworkDelay;
  if (executor.mDead) {
    Schedule(aDeployment, aDeployment.mNow + network, [&aDeployment, aLink, pool, attempt] {
      EndAttempt(aDeployment, aLink, pool, attempt, EndedAs(AttemptEnd::NotSent));
    });
    return;
  }
  aDeployment.mRuns[RunKeyOf(request)] += 1;
  aDeployment.mStarted.try_emplace(CallersId(request.mId), aDeployment.mNow);
  executor.mRunning += 1;
  executor.mMostRunning = std::max(executor.mMostRunning, executor.mRunning);
  executor.mOvercommits += executor.mRunning > executor.mSlots ? 1 : 0;
  auto scaled = static_cast<double>(RunTimeOf(request).count()) * executor.mSlowness;
  auto runTime = executor.mFailAll ? Duration(1ms) : Duration(static_cast<std::int64_t>(scaled));
  executor.mBusy += runTime;
  if (aDeployment.mOnRun) {
    aDeployment.mOnRun({ CallersId(request.mId),
                         aDispatch.mTarget.mHost,
                         aDeployment.mNow,
                         aDeployment.mNow + runTime });
  }
  auto host = aDispatch.mTarget.mHost;
  Schedule(aDeployment, aDeployment.mNow + runTime, [&aDeployment, host] {
    aDeployment.mExecutors[host].mRunning -= 1;
  });
  bool lost = std::bernoulli_distribution(executor.mLoseAnswers)(aDeployment.mRandom);
  auto took = runTime + 2 * network;
  AttemptResult result;
  result.mStatus = executor.mFailAll ? 500 : 200;
  result.mEnd = executor.mFailAll ? AttemptEnd::Failed : AttemptEnd::Answered;
  result.mBody = "done " + RunKeyOf(request);
  if (lost || took > aDispatch.mTimeout) {
    result = EndedAs(AttemptEnd::Lost);
    took = lost ? took : aDispatch.mTimeout;
  }
  Schedule(
    aDeployment, aDeployment.mNow + took, [&aDeployment, aLink, pool, attempt, result, host] {
      // What ran on a target that has died since gives no answer.
      bool died = aDeployment.mExecutors[host].mDead;
      EndAttempt(aDeployment, aLink, pool, attempt, died ? EndedAs(AttemptEnd::Lost) : result);
    });
}

std::optional<std::size_t>
NodeNamed(const Deployment& aDeployment, const MemberName& aName)
{
  for (std::size_t i = 0; i < aDeployment.mNodes.size(); ++i) {
    if (aDeployment.mNodes[i].mName == aName) {
      return i;
    }
  }
  return std::nullopt;
}

AttemptResult
ResultOf(const Outcome& aOutcome)
{
  AttemptResult result;
  result.mStatus = aOutcome.mStatus;
  result.mBody = aOutcome.mBody;
  result.mReason = aOutcome.mReason;
  result.mEnd = aOutcome.mKind == OutcomeKind::Answered ? AttemptEnd::Answered
                : aOutcome.mKind == OutcomeKind::NotRun ? AttemptEnd::NotSent
                                                        : AttemptEnd::Lost;
  return result;
}

// A forwarded request has an id of its own at the peer, which leads back to the attempt.
void
ForwardToPeer(Deployment& aDeployment, const NodeLink& aLink, const Forward& aForward)
{
  auto network = aDeployment.mSettings.mNetworkDelay;
  auto pool = aForward.mRequest->mPool;
  auto attempt = aForward.mAttempt;
  auto peer = NodeNamed(aDeployment, aForward.mMember);
  aDeployment.mMessages += 2;
  if (!peer || !aDeployment.mNodes[*peer].mAlive || IsCut(aDeployment, aLink.mNode, *peer)) {
    Schedule(aDeployment, aDeployment.mNow + network, [&aDeployment, aLink, pool, attempt] {
      EndAttempt(aDeployment, aLink, pool, attempt, EndedAs(AttemptEnd::NotSent));
    });
    return;
  }
  auto copy = std::make_shared<Request>(*aForward.mRequest);
  copy->mForwarded = true;
  copy->mMayQueue = aForward.mMayQueue;
  auto peerLink = LinkTo(aDeployment, *peer);
  auto ended = std::make_shared<bool>(false);
  auto end = [&aDeployment, aLink, pool, attempt, ended](const AttemptResult& aResult) {
    if (!*ended) {
      *ended = true;
      EndAttempt(aDeployment, aLink, pool, attempt, aResult);
    }
  };
  // The same id is under way at both hosts, so that the answer is told apart by its node.
  copy->mId = RequestId(copy->mId.mValue + kForwardMark + aForward.mMember.mValue);
  auto answerId = copy->mId;
  aDeployment.mForwards[answerId] = [&aDeployment, end, network](const Outcome& aOutcome) {
    Schedule(aDeployment, aDeployment.mNow + network, [end, aOutcome] { end(ResultOf(aOutcome)); });
  };
  Schedule(aDeployment, aDeployment.mNow + network, [&aDeployment, peerLink, copy] {
    OnNode(aDeployment, peerLink, [&aDeployment, peerLink, copy] {
      auto& host = aDeployment.mNodes[peerLink.mNode].mHost;
      Perform(aDeployment, peerLink, SubmitRequest(host, aDeployment.mNow, copy));
    });
  });
  Schedule(aDeployment, aDeployment.mNow + aForward.mTimeout + kForwardTimeoutMargin, [end] {
    end(EndedAs(AttemptEnd::Lost));
  });
}

// Reads the log to its end, as of now.
void
ReadLogOnce(Deployment& aDeployment, const NodeLink& aLink)
{
  if (!IsLive(aDeployment, aLink)) {
    return;
  }
  const auto& log = aDeployment.mLog;
  auto& node = aDeployment.mNodes[aLink.mNode];
  if (log.mOutage || !node.mReadsLog) {
    DeliverLater(aDeployment, aLink, log.mDelay, ControlEvent(LogReadFailed{}));
    return;
  }
  LogRead read;
  read.mSentAt = aDeployment.mNow;
  read.mEnd = log.mEnd;
  read.mFirst = log.mEntries.empty() ? log.mEnd : log.mEntries.front().mOffset;
  auto from = std::max(NextReadOffset(node.mHost.mControl), read.mFirst) - read.mFirst;
  for (auto i = static_cast<std::size_t>(from); i < log.mEntries.size(); ++i) {
    read.mEntries.push_back(log.mEntries[i]);
  }
  DeliverLater(aDeployment, aLink, log.mDelay, ControlEvent(std::move(read)));
}

void
AppendToLog(Deployment& aDeployment, const NodeLink& aLink, const AppendRecords& aAppend)
{
  auto& log = aDeployment.mLog;
  bool reachable = aDeployment.mNodes[aLink.mNode].mReadsLog;
  if (log.mOutage || !reachable) {
    DeliverLater(
      aDeployment, aLink, log.mDelay, ControlEvent(AppendEnded{ AppendEnd::NotAppended }));
    return;
  }
  Schedule(aDeployment, aDeployment.mNow + log.mDelay, [&aDeployment, aLink, aAppend] {
    auto& target = aDeployment.mLog;
    target.mAppends += 1;
    for (const auto& record : aAppend.mRecords) {
      target.mEntries.push_back({ target.mEnd++, record });
    }
    while (target.mRetained > 0 && target.mEntries.size() > target.mRetained) {
      target.mEntries.erase(target.mEntries.begin());
    }
    bool lost = std::bernoulli_distribution(target.mLoseAnswers)(aDeployment.mRandom);
    auto end = lost ? AppendEnd::Lost : AppendEnd::Appended;
    DeliverLater(
      aDeployment, aLink, lost ? kAppendTimeout : target.mDelay, ControlEvent(AppendEnded{ end }));
    for (std::size_t i = 0; i < aDeployment.mNodes.size(); ++i) {
      ReadLogOnce(aDeployment, LinkTo(aDeployment, i));
    }
  });
}

void
GiveAnswer(Deployment& aDeployment, const Answer& aAnswer)
{
  auto forwarded = aDeployment.mForwards.find(aAnswer.mRequest);
  if (forwarded != aDeployment.mForwards.end()) {
    auto give = std::move(forwarded->second);
    aDeployment.mForwards.erase(forwarded);
    give(aAnswer.mOutcome);
    return;
  }
  auto& given = aDeployment.mAnswers[aAnswer.mRequest];
  given.mOutcome = aAnswer.mOutcome;
  given.mAt = aDeployment.mNow;
  given.mCount += 1;
  if (aDeployment.mOnAnswer) {
    aDeployment.mOnAnswer(aAnswer.mRequest, given);
  }
}

void
Reboot(Deployment& aDeployment, const HostName& aHost)
{
  auto& executor = aDeployment.mExecutors[aHost];
  executor.mReboots += 1;
  executor.mCut += executor.mRunning;
  auto boots = aDeployment.mBoots[aHost] + 1;
  aDeployment.mBoots.erase(aHost);
  LoseWorker(aDeployment.mWorkers, aHost);
  Schedule(aDeployment,
           aDeployment.mNow + aDeployment.mSettings.mRebootTime,
           [&aDeployment, aHost, boots] { aDeployment.mBoots[aHost] = boots; });
}

void
FetchState(Deployment& aDeployment, const NodeLink& aLink, const FetchFromPeer& aFetch)
{
  auto network = aDeployment.mSettings.mNetworkDelay;
  auto found = NodeNamed(aDeployment, aFetch.mMember);
  if (!found || !aDeployment.mNodes[*found].mAlive || IsCut(aDeployment, aLink.mNode, *found)) {
    return;
  }
  auto peer = LinkTo(aDeployment, *found);
  auto from = aFetch.mFrom;
  Schedule(aDeployment, aDeployment.mNow + network, [&aDeployment, aLink, peer, from, network] {
    OnNode(aDeployment, peer, [&aDeployment, aLink, peer, from, network] {
      const auto& control = aDeployment.mNodes[peer.mNode].mHost.mControl;
      DeliverLater(aDeployment, aLink, network, ControlEvent(StateSince(control, from)));
    });
  });
}

void
Perform(Deployment& aDeployment, const NodeLink& aLink, const EntryActions& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      StartOnExecutor(aDeployment, aLink, *dispatch);
    } else if (const auto* forward = std::get_if<Forward>(&action)) {
      ForwardToPeer(aDeployment, aLink, *forward);
    } else if (const auto* answer = std::get_if<Answer>(&action)) {
      GiveAnswer(aDeployment, *answer);
    } else if (const auto* append = std::get_if<AppendRecords>(&action)) {
      AppendToLog(aDeployment, aLink, *append);
    } else if (const auto* change = std::get_if<ChangeDecided>(&action)) {
      aDeployment.mDecisions.push_back(change->mDecision);
    } else if (const auto* reboot = std::get_if<RebootHost>(&action)) {
      Reboot(aDeployment, reboot->mHost);
    } else if (const auto* start = std::get_if<StartTask>(&action)) {
      // The leader sees what became of the call by the list of tasks.
      StartOrRenew(aDeployment.mWorkers, *start, aDeployment.mNow).IgnoreError();
    } else if (const auto* stop = std::get_if<StopTask>(&action)) {
      Stop(aDeployment.mWorkers, *stop, aDeployment.mNow).IgnoreError();
    } else if (const auto* fetch = std::get_if<FetchFromPeer>(&action)) {
      FetchState(aDeployment, aLink, *fetch);
    }
  }
}

// Repeats the work on the node until its incarnation ends.
void
Repeat(Deployment& aDeployment,
       const NodeLink& aLink,
       Duration aInterval,
       const std::function<void()>& aWork)
{
  if (!IsLive(aDeployment, aLink)) {
    return;
  }
  OnNode(aDeployment, aLink, aWork);
  auto next = std::max(aDeployment.mNow, aDeployment.mNodes[aLink.mNode].mPausedUntil) + aInterval;
  Schedule(aDeployment, next, [&aDeployment, aLink, aInterval, aWork] {
    Repeat(aDeployment, aLink, aInterval, aWork);
  });
}

void
ExchangeReports(Deployment& aDeployment, const NodeLink& aLink)
{
  auto network = aDeployment.mSettings.mNetworkDelay;
  auto sentAt = aDeployment.mNow;
  for (std::size_t i = 0; i < aDeployment.mNodes.size(); ++i) {
    if (i == aLink.mNode || IsCut(aDeployment, aLink.mNode, i)) {
      continue;
    }
    if (!aDeployment.mNodes[i].mAlive) {
      DeliverLater(aDeployment,
                   aLink,
                   2 * network,
                   ControlEvent(PeerConnectionRefused{ aDeployment.mNodes[i].mName }));
      continue;
    }
    aDeployment.mMessages += 2;
    auto peer = LinkTo(aDeployment, i);
    Schedule(aDeployment, sentAt + network, [&aDeployment, aLink, peer, sentAt, network] {
      OnNode(aDeployment, peer, [&aDeployment, aLink, peer, sentAt, network] {
        auto report = ReportOf(aDeployment.mNodes[peer.mNode].mHost.mControl);
        for (auto& [pool, load] : report.mLoads) {
          load.mAt = aDeployment.mNow;
        }
        DeliverLater(
          aDeployment, aLink, network, ControlEvent(PeerAnswered{ sentAt, std::move(report) }));
      });
    });
  }
}

void
StartNode(Deployment& aDeployment, std::size_t aNode)
{
  auto& node = aDeployment.mNodes[aNode];
  ControlSettings control;
  control.mDeployment = "experiment";
  control.mSelf = node.mName;
  control.mIncarnation = std::to_string(node.mIncarnation);
  control.mPeerAddress = node.mName.mValue;
  control.mSeed = aDeployment.mSettings.mSeed;
  ServeSettings serve;
  serve.mSelf = node.mName;
  serve.mSeed = aDeployment.mSettings.mSeed;
  if (aDeployment.mSettings.mTune) {
    aDeployment.mSettings.mTune(control, serve);
  }
  node.mHost = MakeEntryHost(control, serve, aDeployment.mNow);
  auto link = LinkTo(aDeployment, aNode);
  const auto& settings = aDeployment.mSettings;
  Repeat(aDeployment, link, settings.mTickInterval, [&aDeployment, link] {
    auto& host = aDeployment.mNodes[link.mNode].mHost;
    Perform(aDeployment, link, TickAll(host, aDeployment.mNow));
  });
  Repeat(aDeployment, link, settings.mLogReadInterval, [&aDeployment, link] {
    ReadLogOnce(aDeployment, link);
  });
  Repeat(aDeployment, link, settings.mReportInterval, [&aDeployment, link] {
    ExchangeReports(aDeployment, link);
  });
  Repeat(aDeployment, link, kHostListInterval, [&aDeployment, link] {
    Deliver(aDeployment, link, ControlEvent(HostsListed{ aDeployment.mBoots }));
    Advance(aDeployment.mWorkers, aDeployment.mNow);
    Deliver(aDeployment,
            link,
            ControlEvent(TasksListed{ ReportsOf(aDeployment.mWorkers, aDeployment.mNow) }));
  });
}

}

void
StartDeployment(Deployment& aDeployment, const DeploymentSettings& aSettings)
{
  aDeployment.mSettings = aSettings;
  aDeployment.mRandom.seed(aSettings.mSeed);
  aDeployment.mNow = TimePoint(std::chrono::hours(1));
  for (int i = 0; i < aSettings.mEntryHosts; ++i) {
    EntryNode node;
    node.mName = MemberName("e" + std::to_string(i + 1));
    aDeployment.mNodes.push_back(std::move(node));
  }
  for (std::size_t i = 0; i < aDeployment.mNodes.size(); ++i) {
    StartNode(aDeployment, i);
  }
}

void
Schedule(Deployment& aDeployment, TimePoint aAt, std::function<void()> aWork)
{
  aDeployment.mAgenda.push({ aAt, aDeployment.mNextOrder++, std::move(aWork) });
}

void
RunUntil(Deployment& aDeployment, TimePoint aEnd)
{
  while (!aDeployment.mAgenda.empty() && aDeployment.mAgenda.top().mAt <= aEnd) {
    auto work = aDeployment.mAgenda.top();
    aDeployment.mAgenda.pop();
    aDeployment.mNow = std::max(aDeployment.mNow, work.mAt);
    work.mWork();
  }
  aDeployment.mNow = aEnd;
}

RequestId
CallersId(const RequestId& aRequest)
{
  return RequestId(aRequest.mValue.substr(0, aRequest.mValue.find(kForwardMark)));
}

RequestId
Submit(Deployment& aDeployment, std::size_t aNode, Request aRequest)
{
  aRequest.mId = RequestId("r" + std::to_string(aDeployment.mNextId++));
  auto request = std::make_shared<const Request>(std::move(aRequest));
  auto link = LinkTo(aDeployment, aNode);
  OnNode(aDeployment, link, [&aDeployment, link, request] {
    auto& host = aDeployment.mNodes[link.mNode].mHost;
    Perform(aDeployment, link, SubmitRequest(host, aDeployment.mNow, request));
  });
  return request->mId;
}

RecordId
ChangeBy(Deployment& aDeployment,
         std::size_t aNode,
         const std::string& aOperator,
         std::optional<Offset> aBasedOn,
         Change aChange)
{
  Record record;
  record.mId = RecordId("change-" + std::to_string(aDeployment.mNextId++));
  record.mTime = aDeployment.mNow;
  record.mAuthor = "operator " + aOperator;
  record.mBasedOn = aBasedOn;
  record.mChange = std::move(aChange);
  auto id = record.mId;
  Deliver(
    aDeployment, LinkTo(aDeployment, aNode), ControlEvent(ChangeRequested{ std::move(record) }));
  return id;
}

void
KillNode(Deployment& aDeployment, std::size_t aNode)
{
  aDeployment.mNodes[aNode].mAlive = false;
}

void
RestartNode(Deployment& aDeployment, std::size_t aNode)
{
  auto& node = aDeployment.mNodes[aNode];
  node.mIncarnation += 1;
  node.mAlive = true;
  node.mPausedUntil = TimePoint();
  StartNode(aDeployment, aNode);
}

void
PauseNode(Deployment& aDeployment, std::size_t aNode, Duration aDuration)
{
  aDeployment.mNodes[aNode].mPausedUntil = aDeployment.mNow + aDuration;
}

void
AddPool(Deployment& aDeployment, const PoolName& aPool, int aHosts, Duration aAttemptTimeout)
{
  PoolDefined pool;
  pool.mPool = aPool;
  pool.mPresets.push_back({ PresetName("ordinary"), aHosts, 0, 0.5 });
  pool.mInForce = PresetName("ordinary");
  pool.mAttemptTimeout = aAttemptTimeout;
  ChangeBy(aDeployment, 0, "setup", std::nullopt, pool);
  for (int i = 0; i < aHosts; ++i) {
    HostAdded host;
    host.mHost = HostName(aPool.mValue + "-h" + std::to_string(i + 1));
    host.mPool = aPool;
    host.mRack = RackName(aPool.mValue + "-r" + std::to_string(i / 4));
    host.mZone = ZoneName("z" + std::to_string(i % 3));
    host.mAddress = host.mHost.mValue;
    aDeployment.mExecutors[host.mHost] = FakeExecutor();
    aDeployment.mBoots[host.mHost] = 1;
    ChangeBy(aDeployment, 0, "setup", std::nullopt, host);
  }
}

}
