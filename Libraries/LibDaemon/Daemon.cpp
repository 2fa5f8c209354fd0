#include "LibDaemon/Daemon.h"

#include "LibEntry/EntryHost.h"
#include "LibPeer/WireConversion.h"

#include <glog/logging.h>
#include <random>

namespace sesameseam {

namespace {

// A reboot decision that was queued for longer than this is not executed.
constexpr Duration kMaxRebootDecisionAge = 5s;

constexpr Duration kLogPollTimeout = 500ms;
constexpr Duration kLogRetryInterval = 100ms;
constexpr std::size_t kMaxPlatformCalls = 1000;
constexpr Duration kBufferSampleInterval = 1s;
// Limits the appends of all entry hosts together to about 400 per second, regardless of the number
// of entry hosts.
constexpr Duration kAppendIntervalPerMember = 2500us;

constexpr Duration kLeaveTimeout = 2s;
constexpr Duration kStopPollInterval = 10ms;

// A peer replies within the request's timeout. The margin covers the network round trip.
constexpr Duration kForwardMargin = 100ms;

std::string
RandomIncarnation()
{
  std::random_device device;
  std::ostringstream out;
  out << std::hex << device() << device();
  return out.str();
}

ControlSettings
ControlSettingsOf(const Settings& aSettings, const std::string& aIncarnation)
{
  ControlSettings control;
  control.mDeployment = aSettings.mDeployment;
  control.mSelf = MemberName(aSettings.mName);
  control.mIncarnation = aIncarnation;
  control.mZone = ZoneName(aSettings.mZone);
  control.mPeerAddress = aSettings.mPeerAddress;
  control.mMemberTimeout = aSettings.mMemberTimeout;
  control.mViewStaleAfter = aSettings.mViewStaleAfter;
  // RunAppends enforces the append interval, so that appends do not have to wait for a tick.
  control.mAppendInterval = Duration::zero();
  control.mSeed = static_cast<std::uint64_t>(aSettings.mSeed);
  return control;
}

ServeSettings
ServeSettingsOf(const Settings& aSettings)
{
  ServeSettings serve;
  serve.mSelf = MemberName(aSettings.mName);
  serve.mViewStaleAfter = aSettings.mViewStaleAfter;
  serve.mMaxQueued = static_cast<std::size_t>(aSettings.mMaxQueued);
  serve.mSeed = static_cast<std::uint64_t>(aSettings.mSeed);
  return serve;
}

AppendEnd
AppendEndOf(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return AppendEnd::Appended;
  }
  return KindOf(aStatus) == ErrorKind::LogUnavailable ? AppendEnd::NotAppended : AppendEnd::Lost;
}

AttemptResult
ResultOf(const Outcome& aOutcome)
{
  AttemptResult result;
  result.mStatus = aOutcome.mStatus;
  result.mBody = aOutcome.mBody;
  result.mReason = aOutcome.mReason;
  switch (aOutcome.mKind) {
    case OutcomeKind::Answered:
      result.mEnd = AttemptEnd::Answered;
      break;
    case OutcomeKind::NotRun:
      result.mEnd = AttemptEnd::NotSent;
      break;
    case OutcomeKind::Unknown:
      result.mEnd = AttemptEnd::Lost;
      break;
  }
  return result;
}

// The newest version that all members have reached, according to their last reports.
Offset
MinMemberVersion(const Control& aControl)
{
  auto least = aControl.mFleet.mVersion;
  for (const auto& [name, member] : aControl.mFleet.mMembers) {
    auto peer = aControl.mPeers.find(name);
    if (peer != aControl.mPeers.end()) {
      least = std::min(least, peer->second.mReport.mVersion);
    } else if (name != aControl.mSettings.mSelf) {
      least = kNoOffset;
    }
  }
  return least;
}

Outcome
MakeNotServedOutcome(const Request& aRequest, OutcomeReason aReason)
{
  Outcome outcome;
  outcome.mKind = OutcomeKindWithoutDecision(aRequest);
  outcome.mReason = aReason;
  outcome.mRetryAfter = 1s;
  return outcome;
}

}

Daemon::Daemon(Settings aSettings, Platform aPlatform, TargetClient aTarget)
  : mSettings(std::move(aSettings))
  , mPlatform(std::move(aPlatform))
  , mTarget(std::move(aTarget))
  , mSteadyStart(std::chrono::steady_clock::now())
  , mStart(std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()))
  , mIncarnation(RandomIncarnation())
  , mControl(MakeControl(ControlSettingsOf(mSettings, mIncarnation), mStart))
{
}

Daemon::~Daemon()
{
  Stop();
}

TimePoint
Daemon::Now() const
{
  // Based on the steady clock, so that adjusting the system clock does not move any deadline.
  return mStart +
         std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - mSteadyStart);
}

void
Daemon::Start()
{
  mThreads.emplace_back([this] { ReadLog(); });
  mThreads.emplace_back([this] { RunAppends(); });
  mThreads.emplace_back([this] { RunFetches(); });
  mThreads.emplace_back([this] { RunTicks(); });
  mThreads.emplace_back([this] { PollPlatform(); });
  mThreads.emplace_back([this] { RunPlatformCalls(); });
}

void
Daemon::Stop()
{
  if (mThreads.empty()) {
    return;
  }
  mStopping = true;
  {
    std::shared_lock lock(mPoolsMutex);
    for (auto& [name, pool] : mPools) {
      std::lock_guard poolLock(pool->mMutex);
      Step(pool->mServer, Now(), StopRequested{});
    }
  }
  WaitForRequests();
  StepControl(LeaveRequested{});
  WaitForLeave();
  mEnd = true;
  // Waiting threads check mEnd while holding these mutexes. Acquiring them after mEnd was set
  // ensures that no thread misses the notification.
  {
    std::scoped_lock lock(mSleepMutex, mAppendMutex);
  }
  mSleepInterrupted.notify_all();
  mAppendQueued.notify_all();
  mPlatformCallQueued.notify_all();
  mFetchQueued.notify_all();
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  std::map<MemberName, std::unique_ptr<PeerThread>> peers;
  {
    std::lock_guard lock(mPeersMutex);
    peers.swap(mPeers);
  }
  for (auto& [name, peer] : peers) {
    peer->mEnd = true;
    peer->mThread.join();
  }
  for (auto& peer : mEndingPeers) {
    peer->mThread.join();
  }
  mEndingPeers.clear();
}

// Every request in flight ends by its own deadline, so this wait needs no timeout.
void
Daemon::WaitForRequests()
{
  while (mInFlightRequests > 0) {
    Sleep(kStopPollInterval);
  }
}

// Waits until the record that removes this host from the member set has been folded. If the log is
// unreachable, the wait times out and the other members detect the departure themselves.
void
Daemon::WaitForLeave()
{
  auto end = Now() + kLeaveTimeout;
  while (ReadControl([](const auto& aControl) { return IsMember(aControl); }) && Now() < end) {
    Sleep(kStopPollInterval);
  }
}

bool
Daemon::IsReady()
{
  return !mStopping &&
         ReadControl([](const auto& aControl) { return aControl.mCaughtUp && IsMember(aControl); });
}

std::string
Daemon::NewId()
{
  return mSettings.mName + "-" + mIncarnation + "-" + std::to_string(mNextId++);
}

Outcome
Daemon::Serve(Request aRequest)
{
  // Incremented before mStopping is checked, so that Stop either waits for this request or the
  // request is refused.
  mInFlightRequests += 1;
  Outcome outcome;
  if (mStopping) {
    outcome = MakeNotServedOutcome(aRequest, OutcomeReason::Stopping);
  } else if (FindPool(aRequest.mPool) == nullptr) {
    // Until the log has been read, no pools are known, so a missing pool may still exist.
    bool caughtUp = ReadControl([](const auto& aControl) { return aControl.mCaughtUp; });
    outcome = MakeNotServedOutcome(
      aRequest, caughtUp ? OutcomeReason::UnknownPool : OutcomeReason::ViewStale);
  } else {
    outcome = RunToOutcome(std::make_shared<const Request>(std::move(aRequest)));
  }
  mInFlightRequests -= 1;
  return outcome;
}

Outcome
Daemon::RunToOutcome(const RequestPointer& aRequest)
{
  auto waiter = mWaiters.Add(aRequest->mId);
  StepPool(aRequest->mPool, RequestArrived{ aRequest });
  auto action = waiter->Pop();
  while (!std::holds_alternative<Outcome>(action.mAction)) {
    auto attempt = std::holds_alternative<Dispatch>(action.mAction)
                     ? std::get<Dispatch>(action.mAction).mAttempt
                     : std::get<Forward>(action.mAction).mAttempt;
    StepPool(aRequest->mPool, AttemptEnded{ attempt, RunAttempt(action) });
    action = waiter->Pop();
  }
  mWaiters.Remove(aRequest->mId);
  return std::move(std::get<Outcome>(action.mAction));
}

// Does not start an attempt whose decision is older than mViewStaleAfter: if this process was
// paused since, the target may have left its pool and the slot may have another owner.
AttemptResult
Daemon::RunAttempt(const TimedAction& aAction)
{
  if (Now() - aAction.mDecidedAt > mSettings.mViewStaleAfter) {
    AttemptResult result;
    result.mEnd = AttemptEnd::NotSent;
    result.mReason = OutcomeReason::ViewStale;
    return result;
  }
  if (const auto* dispatch = std::get_if<Dispatch>(&aAction.mAction)) {
    return mTarget(*dispatch);
  }
  return RunForward(std::get<Forward>(aAction.mAction));
}

absl::StatusOr<Decision>
Daemon::ChangeConfiguration(Record aRecord, Duration aTimeout)
{
  auto id = aRecord.mId;
  {
    std::lock_guard lock(mChangesMutex);
    mChanges.emplace(id, PendingChange{});
  }
  StepControl(ChangeRequested{ std::move(aRecord) });
  std::unique_lock lock(mChangesMutex);
  mChangeDecided.wait_for(lock, aTimeout, [&] { return mChanges.at(id).mDecision.has_value(); });
  auto decision = mChanges.at(id).mDecision;
  mChanges.erase(id);
  if (!decision) {
    return MakeError(ErrorKind::LogUnavailable,
                     "the change was not decided in time; it may still come into force");
  }
  return *decision;
}

PeerReport
Daemon::ExchangeReports(const PeerReport&)
{
  return ReadControl([](const auto& aControl) { return ReportOf(aControl); });
}

PeerStateReceived
Daemon::StateFor(Offset aFrom)
{
  return ReadControl([&](const auto& aControl) { return StateSince(aControl, aFrom); });
}

void
Daemon::StepControl(const ControlEvent& aEvent)
{
  ControlActions actions;
  {
    std::lock_guard lock(mControlMutex);
    actions = Step(mControl, Now(), aEvent);
  }
  for (const auto& action : actions) {
    Perform(action);
  }
}

void
Daemon::StepPool(const PoolName& aPool, const PoolEvent& aEvent)
{
  auto* pool = FindPool(aPool);
  if (pool == nullptr) {
    return;
  }
  PoolActions actions;
  TimePoint decidedAt;
  {
    std::lock_guard lock(pool->mMutex);
    decidedAt = Now();
    actions = Step(pool->mServer, decidedAt, aEvent);
  }
  for (const auto& action : actions) {
    Perform(decidedAt, action);
  }
}

Daemon::PoolShard*
Daemon::FindPool(const PoolName& aPool)
{
  std::shared_lock lock(mPoolsMutex);
  auto found = mPools.find(aPool);
  return found == mPools.end() ? nullptr : found->second.get();
}

Daemon::PoolShard&
Daemon::FindOrAddPool(const PoolName& aPool)
{
  std::unique_lock lock(mPoolsMutex);
  auto& shard = mPools[aPool];
  if (!shard) {
    shard = std::make_unique<PoolShard>();
    shard->mServer = MakePoolServer(ServeSettingsOf(mSettings), aPool);
  }
  return *shard;
}

void
Daemon::Perform(const ControlAction& aAction)
{
  if (const auto* append = std::get_if<AppendRecords>(&aAction)) {
    {
      std::lock_guard lock(mAppendMutex);
      mPendingAppend = append->mRecords;
    }
    mAppendQueued.notify_one();
  } else if (const auto* view = std::get_if<PublishView>(&aAction)) {
    FindOrAddPool(view->mView.mPool);
    StepPool(view->mView.mPool, ViewChanged{ view->mView });
  } else if (const auto* confirmation = std::get_if<PublishConfirmation>(&aAction)) {
    std::vector<PoolName> names;
    {
      std::shared_lock lock(mPoolsMutex);
      for (const auto& [name, pool] : mPools) {
        names.push_back(name);
      }
    }
    for (const auto& name : names) {
      StepPool(name, ViewConfirmed{ confirmation->mAt });
    }
  } else if (const auto* load = std::get_if<PublishLoad>(&aAction)) {
    StepPool(load->mPool, load->mLoad);
  } else if (const auto* claim = std::get_if<PublishClaimDecision>(&aAction)) {
    StepPool(claim->mPool, claim->mDecided);
  } else if (const auto* change = std::get_if<ChangeDecided>(&aAction)) {
    std::lock_guard lock(mChangesMutex);
    auto found = mChanges.find(change->mDecision.mId);
    if (found != mChanges.end()) {
      found->second.mDecision = change->mDecision;
      mChangeDecided.notify_all();
    }
  } else if (const auto* fetch = std::get_if<FetchFromPeer>(&aAction)) {
    {
      std::lock_guard lock(mFetchMutex);
      mPendingFetch = *fetch;
    }
    mFetchQueued.notify_one();
  } else if (const auto* reboot = std::get_if<RebootHost>(&aAction)) {
    EnqueuePlatformCall(
      [this, host = reboot->mHost, decidedAt = Now()] { return RebootHostNow(host, decidedAt); });
  } else if (const auto* toStart = std::get_if<StartTask>(&aAction)) {
    EnqueuePlatformCall([this, start = *toStart] { return mPlatform.mStartTask(start); });
  } else if (const auto* toStop = std::get_if<StopTask>(&aAction)) {
    EnqueuePlatformCall([this, stop = *toStop] { return mPlatform.mStopTask(stop); });
  }
}

void
Daemon::Perform(TimePoint aDecidedAt, const PoolAction& aAction)
{
  if (const auto* dispatch = std::get_if<Dispatch>(&aAction)) {
    mWaiters.Push(dispatch->mRequest->mId, { aDecidedAt, *dispatch });
  } else if (const auto* forward = std::get_if<Forward>(&aAction)) {
    mWaiters.Push(forward->mRequest->mId, { aDecidedAt, *forward });
  } else if (const auto* answer = std::get_if<Answer>(&aAction)) {
    mWaiters.Push(answer->mRequest, { aDecidedAt, answer->mOutcome });
  } else if (const auto* claim = std::get_if<AppendClaim>(&aAction)) {
    StepControl(ClaimRequested{ ClaimOf(*claim->mRequest) });
  } else if (const auto* end = std::get_if<EndClaim>(&aAction)) {
    StepControl(ClaimEnded{ ClaimResultOf(*end) });
  }
  // WakeAt needs no timer, because ticks are frequent enough.
}

AttemptResult
Daemon::RunForward(const Forward& aForward)
{
  AttemptResult result;
  auto client = FindPeerClient(aForward.mMember);
  if (!client) {
    result.mEnd = AttemptEnd::NotSent;
    return result;
  }
  auto call =
    ToWire(*aForward.mRequest, mSettings.mDeployment, aForward.mTimeout, aForward.mMayQueue);
  auto reply = client->Forward(call, aForward.mTimeout + kForwardMargin);
  if (!reply.ok()) {
    bool refused = KindOf(reply.status()) == ErrorKind::ConnectionRefused;
    result.mEnd = refused ? AttemptEnd::NotSent : AttemptEnd::Lost;
    return result;
  }
  auto outcome = FromWire(*reply);
  return outcome.ok() ? ResultOf(*outcome) : result;
}

Duration
Daemon::AppendInterval()
{
  auto members = ReadControl([](const auto& aControl) { return aControl.mFleet.mMembers.size(); });
  return kAppendIntervalPerMember * static_cast<int>(std::max<std::size_t>(members, 1));
}

void
Daemon::RunAppends()
{
  while (!mEnd) {
    std::vector<std::string> records;
    {
      std::unique_lock lock(mAppendMutex);
      mAppendQueued.wait(lock, [this] { return mPendingAppend.has_value() || mEnd; });
      if (!mPendingAppend) {
        return;
      }
      records = std::move(*mPendingAppend);
      mPendingAppend.reset();
    }
    auto next = Now() + AppendInterval();
    auto offset = mPlatform.mAppend(records);
    // Records that are queued in the meantime are batched into the next append.
    Sleep(std::max(next - Now(), Duration::zero()));
    StepControl(AppendEnded{ AppendEndOf(offset.status()) });
  }
}

void
Daemon::ReadLog()
{
  bool reachable = true;
  while (!mEnd) {
    auto from = ReadControl([](const auto& aControl) { return NextReadOffset(aControl); });
    bool caughtUp = ReadControl([](const auto& aControl) { return aControl.mCaughtUp; });
    auto sentAt = Now();
    auto part = mPlatform.mRead(from, caughtUp ? kLogPollTimeout : Duration::zero());
    if (part.ok() != reachable) {
      reachable = part.ok();
      LOG(INFO) << "the log is " << (reachable ? "reachable" : "unreachable");
    }
    if (!part.ok()) {
      StepControl(LogReadFailed{});
      Sleep(kLogRetryInterval);
      continue;
    }
    LogRead event;
    event.mSentAt = sentAt;
    event.mEntries = std::move(part->mEntries);
    event.mEnd = part->mEnd;
    event.mFirst = part->mFirst;
    StepControl(event);
  }
}

std::map<PoolName, PeerLoadReported>
Daemon::CollectLoads()
{
  std::map<PoolName, PeerLoadReported> loads;
  ReadPools([&](const PoolServer& aServer) {
    loads.emplace(aServer.mView.mPool, LoadReport(aServer, Now()));
  });
  return loads;
}

void
Daemon::RunTicks()
{
  while (!mEnd) {
    std::vector<PoolName> names;
    {
      std::shared_lock lock(mPoolsMutex);
      for (const auto& [name, pool] : mPools) {
        names.push_back(name);
      }
    }
    for (const auto& name : names) {
      StepPool(name, Tick{});
    }
    StepControl(OwnLoads{ CollectLoads() });
    StepControl(ControlTick{});
    ReconcilePeers();
    UpdateFleetMetrics();
    Sleep(mSettings.mTickInterval);
  }
}

void
Daemon::EnqueuePlatformCall(std::function<absl::Status()> aCall)
{
  {
    std::lock_guard lock(mPlatformCallQueueMutex);
    if (mPlatformCallQueue.size() >= kMaxPlatformCalls) {
      // Dropping the call is safe, because the leader issues it again with its next plan.
      return;
    }
    mPlatformCallQueue.push_back(std::move(aCall));
  }
  mPlatformCallQueued.notify_one();
}

void
Daemon::RunPlatformCalls()
{
  while (!mEnd) {
    std::function<absl::Status()> call;
    {
      std::unique_lock lock(mPlatformCallQueueMutex);
      mPlatformCallQueued.wait(lock, [this] { return !mPlatformCallQueue.empty() || mEnd; });
      if (mPlatformCallQueue.empty()) {
        return;
      }
      call = std::move(mPlatformCallQueue.front());
      mPlatformCallQueue.pop_front();
    }
    auto status = call();
    mPlatformCalls += 1;
    mPlatformCallsFailed += status.ok() ? 0 : 1;
  }
}

void
Daemon::UpdateFleetMetrics()
{
  auto now = Now();
  std::scoped_lock lock(mControlMutex, mFleetMetricsMutex);
  UpdateRollOut(mFleetMetrics, mControl.mFleet, MinMemberVersion(mControl), now);
  if (!mFleetMetrics.mLastSampled || now - *mFleetMetrics.mLastSampled >= kBufferSampleInterval) {
    UpdateBufferCosts(mFleetMetrics, mControl.mFleet, now);
  }
}

FleetMetrics
Daemon::CurrentFleetMetrics()
{
  std::lock_guard lock(mFleetMetricsMutex);
  return mFleetMetrics;
}

void
Daemon::PollPlatform()
{
  while (!mEnd) {
    auto hosts = mPlatform.mListHosts();
    if (hosts.ok()) {
      StepControl(HostsListed{ std::move(*hosts) });
    }
    auto tasks = mPlatform.mListTasks();
    if (tasks.ok()) {
      StepControl(TasksListed{ std::move(*tasks) });
    }
    Sleep(mSettings.mHostListInterval);
  }
}

absl::Status
Daemon::RebootHostNow(const HostName& aHost, TimePoint aDecidedAt)
{
  // Another leader may have rebooted the host in the meantime, and it may be in service again.
  if (Now() - aDecidedAt > kMaxRebootDecisionAge) {
    return MakeError(ErrorKind::DeadlineExceeded, "the reboot decision is too old to be executed");
  }
  auto status = mPlatform.mReboot(aHost);
  LOG(INFO) << "reboot of host " << aHost << " asked for: " << status;
  return status;
}

void
Daemon::Sleep(Duration aDuration)
{
  std::unique_lock lock(mSleepMutex);
  mSleepInterrupted.wait_for(lock, aDuration, [this] { return mEnd.load(); });
}

}
