#include "LibStandIn/Simulation.h"

#include <algorithm>
#include <cstdio>

namespace sesameseam::standin {

namespace {

using schedule::Event;

constexpr char kService[] = "previews";
constexpr char kHost[] = "studio.example";
constexpr char kPrefix[] = "/previews/";
constexpr char kOtherService[] = "archives";
constexpr char kOtherPrefix[] = "/archives/";
constexpr Duration kTickInterval = 100ms;
constexpr int kMillicoresPerCore = 1000;
constexpr char kKey[] = "key";
constexpr std::int64_t kMemoryMb = 64 * 1024;
constexpr TimePoint kWallStart = TimePoint(std::chrono::seconds(1'700'000'000));

schedule::Manifest
FirstManifest(int aQuotaCores)
{
  schedule::Manifest manifest;
  if (aQuotaCores > 0) {
    schedule::Tenant tenant;
    tenant.mName = schedule::TenantName("weavers");
    tenant.mKeys = { kKey };
    tenant.mQuota.mCpuMillicores = std::int64_t(aQuotaCores) * kMillicoresPerCore;
    manifest.mTenants.push_back(std::move(tenant));
  }
  manifest.mVersion = 1;
  schedule::Route route;
  route.mQueue = schedule::QueueName("previews");
  route.mHost = kHost;
  route.mPrefix = kPrefix;
  route.mService = schedule::ServiceName(kService);
  route.mAttempts = 3;
  route.mStretchPercent = 160;
  route.mResponseGoal = 600ms;
  manifest.mRoutes.push_back(route);
  manifest.mServices.push_back({ schedule::ServiceName(kService), false });
  route.mQueue = schedule::QueueName("archives");
  route.mPrefix = kOtherPrefix;
  route.mService = schedule::ServiceName(kOtherService);
  manifest.mRoutes.push_back(route);
  manifest.mServices.push_back({ schedule::ServiceName(kOtherService), false });
  return manifest;
}

}

Simulation::Simulation(const SimulationSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
{
  PublishManifest(FirstManifest(aSettings.mQuotaCores));
  for (int i = 0; i < aSettings.mExecutors + aSettings.mOtherExecutors; ++i) {
    FakeExecutor executor;
    executor.mMaxLease = mSettings.mMaxLease;
    executor.mEntry.mId = schedule::ExecutorId("x" + std::to_string(i));
    executor.mEntry.mService =
      schedule::ServiceName(i < aSettings.mExecutors ? kService : kOtherService);
    executor.mEntry.mAddress = "executor-" + std::to_string(i);
    executor.mEntry.mLabels = { "a", "rack-" + std::to_string(i / 2) };
    executor.mEntry.mCapacity = { std::int64_t(aSettings.mExecutorCores) * kMillicoresPerCore,
                                  kMemoryMb,
                                  0 };
    executor.mEntry.mIncarnation = 1;
    executor.mClockSpeed = i % 2 == 0 ? 1.0 : 0.98;
    mExecutors.push_back(executor);
    ListExecutor(i);
    schedule::Machine machine;
    machine.mId = schedule::MachineId("m" + std::to_string(i));
    machine.mPool = executor.mEntry.mService;
    machine.mState = schedule::MachineState::Up;
    machine.mExecutor = executor.mEntry.mId;
    mMachines[machine.mId] = machine;
  }
  for (int i = 0; i < aSettings.mHosts; ++i) {
    mHosts.push_back({});
    mHosts.back().mName = "e" + std::to_string(i);
    mHosts.back().mIsUp = false;
    Revive(i);
  }
}

schedule::Now
Simulation::Time() const
{
  return { mNow, kWallStart + mNow.time_since_epoch() };
}

void
Simulation::ScheduleAfter(Duration aTime, std::function<void()> aWork)
{
  mQueue.push({ mNow + aTime, mNextOrder++, std::move(aWork) });
}

bool
Simulation::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
}

void
Simulation::RunFor(Duration aTime)
{
  auto until = mNow + aTime;
  while (!mQueue.empty() && mQueue.top().mAt <= until) {
    auto work = mQueue.top().mWork;
    mNow = mQueue.top().mAt;
    mQueue.pop();
    work();
  }
  mNow = until;
}

void
Simulation::HandleEvent(int aHost, const Event& aEvent)
{
  ++mHosts[static_cast<std::size_t>(aHost)].mWork.mEvents;
  for (const auto& action : Handle(mHosts[static_cast<std::size_t>(aHost)].mNode, Time(), aEvent)) {
    Execute(aHost, action);
  }
  ScheduleWakeUp(aHost);
}

void
Simulation::ScheduleWakeUp(int aHost)
{
  auto& host = mHosts[static_cast<std::size_t>(aHost)];
  auto next = NextWakeAt(host.mNode);
  if (!next || next == host.mWakeUpAt) {
    return;
  }
  host.mWakeUpAt = *next;
  auto incarnation = host.mIncarnation;
  ScheduleAfter(std::max(Duration(0), *next - mNow),
                [=, this] { Deliver(aHost, incarnation, schedule::Tick{}); });
}

Duration
Simulation::CostOf(const Event& aEvent) const
{
  const auto* exchange = std::get_if<schedule::RelayAnswer>(&aEvent);
  auto answers = exchange == nullptr ? 0 : exchange->mResponse.mResults.size();
  auto relayed = static_cast<double>(mSettings.mEventCost.count()) * mSettings.mRelayedCost *
                 static_cast<double>(answers);
  return mSettings.mEventCost + Duration(static_cast<std::int64_t>(relayed));
}

void
Simulation::Deliver(int aHost, int aIncarnation, const Event& aEvent)
{
  auto& host = mHosts[static_cast<std::size_t>(aHost)];
  if (!host.mIsUp || host.mIncarnation != aIncarnation) {
    return;
  }
  if (host.mIsFrozen) {
    host.mDeferredEvents.emplace_back(
      [this, aHost, aIncarnation, aEvent] { Deliver(aHost, aIncarnation, aEvent); });
    return;
  }
  if (mSettings.mEventCost == Duration(0)) {
    HandleEvent(aHost, aEvent);
    return;
  }
  host.mInbox.push_back(aEvent);
  if (host.mInbox.size() == 1) {
    ScheduleAfter(std::max(Duration(0), host.mBusyUntil - mNow),
                  [=, this] { HandleInbox(aHost, aIncarnation); });
  }
}

void
Simulation::HandleInbox(int aHost, int aIncarnation)
{
  auto& host = mHosts[static_cast<std::size_t>(aHost)];
  if (!host.mIsUp || host.mIncarnation != aIncarnation) {
    return;
  }
  auto event = host.mInbox.front();
  host.mBusyUntil = mNow + CostOf(event);
  HandleEvent(aHost, event);
  host.mInbox.pop_front();
  if (!host.mInbox.empty()) {
    ScheduleAfter(host.mBusyUntil - mNow, [=, this] { HandleInbox(aHost, aIncarnation); });
  }
}

void
Simulation::Tick(int aHost, int aIncarnation)
{
  auto& host = mHosts[static_cast<std::size_t>(aHost)];
  if (!host.mIsUp || host.mIncarnation != aIncarnation) {
    return;
  }
  CheckLongRunningTasks();
  if (!host.mIsFrozen && mSettings.mEventCost == Duration(0)) {
    HandleEvent(aHost, schedule::Tick{ mNow });
  } else if (!host.mIsFrozen) {
    Deliver(aHost, aIncarnation, schedule::Tick{ mNow });
  }
  ScheduleAfter(kTickInterval, [this, aHost, aIncarnation] { Tick(aHost, aIncarnation); });
}

void
Simulation::Kill(int aHost)
{
  auto& host = mHosts[static_cast<std::size_t>(aHost)];
  host.mIsUp = false;
  host.mIsFrozen = false;
  host.mDeferredEvents.clear();
  host.mInbox.clear();
}

void
Simulation::Revive(int aHost)
{
  auto& host = mHosts[static_cast<std::size_t>(aHost)];
  if (host.mIsUp) {
    return;
  }
  ++host.mIncarnation;
  host.mIsUp = true;
  schedule::NodeSettings settings;
  settings.mName = host.mName;
  settings.mCapacityMillicores =
    aHost < mSettings.mSmallHosts ? mSettings.mHostMillicores / 10 : mSettings.mHostMillicores;
  mCapacities[host.mName] = settings.mCapacityMillicores;
  settings.mShareCallsDelay = mSettings.mShareCallsDelay;
  settings.mLease.mMaximum = mSettings.mMaxLease;
  settings.mPartitions = mStore.mGroup.mPartitions;
  host.mNode = schedule::MakeNode(settings);
  Tick(aHost, host.mIncarnation);
}

void
Simulation::Freeze(int aHost)
{
  mHosts[static_cast<std::size_t>(aHost)].mIsFrozen = true;
}

void
Simulation::Thaw(int aHost)
{
  auto& host = mHosts[static_cast<std::size_t>(aHost)];
  host.mIsFrozen = false;
  auto held = std::move(host.mDeferredEvents);
  host.mDeferredEvents.clear();
  for (const auto& work : held) {
    work();
  }
}

void
Simulation::StopGracefully(int aHost)
{
  HandleEvent(aHost, schedule::StopRequested{});
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  ScheduleAfter(3s, [this, aHost, incarnation] {
    if (mHosts[static_cast<std::size_t>(aHost)].mIncarnation == incarnation) {
      Kill(aHost);
    }
  });
}

void
Simulation::CutFromStore(int aHost, bool aIsCut)
{
  mHosts[static_cast<std::size_t>(aHost)].mReachesStore = !aIsCut;
}

void
Simulation::CrashExecutor(int aExecutor)
{
  auto isAway = std::any_of(mMachines.begin(), mMachines.end(), [&](const auto& aEntry) {
    return aEntry.second.mState != schedule::MachineState::Up &&
           aEntry.second.mExecutor == mExecutors[static_cast<std::size_t>(aExecutor)].mEntry.mId;
  });
  if (isAway) {
    // Its process has ended, and the next one has another id.
    return;
  }
  Restart(mExecutors[static_cast<std::size_t>(aExecutor)], mNow);
  ListExecutor(aExecutor);
}

void
Simulation::CrashExecutorFor(int aExecutor, Duration aTime, bool aKeepsId)
{
  auto& executor = mExecutors[static_cast<std::size_t>(aExecutor)];
  if (!executor.mIsUp) {
    return;
  }
  executor.mIsUp = false;
  executor.mRuns.clear();
  DelistExecutor(aExecutor);
  ScheduleAfter(aTime, [=, this] {
    auto& next = mExecutors[static_cast<std::size_t>(aExecutor)];
    Restart(next, mNow);
    next.mIsUp = true;
    next.mEntry.mId.mValue += aKeepsId ? "" : "'";
    ListExecutor(aExecutor);
  });
}

void
Simulation::CutExecutor(int aExecutor, bool aIsCut)
{
  if (aIsCut) {
    mCutExecutors.insert(aExecutor);
  } else {
    mCutExecutors.erase(aExecutor);
  }
}

void
Simulation::DrainExecutor(int aExecutor)
{
  mExecutors[static_cast<std::size_t>(aExecutor)].mEntry.mState = schedule::ExecutorState::Draining;
  ListExecutor(aExecutor);
}

void
Simulation::ListExecutor(int aExecutor)
{
  schedule::ExternalRecords records;
  records.mExecutors.push_back(mExecutors[static_cast<std::size_t>(aExecutor)].mEntry);
  mExecutorRecords.push_back(records);
}

void
Simulation::DelistExecutor(int aExecutor)
{
  auto gone = mExecutors[static_cast<std::size_t>(aExecutor)].mEntry;
  gone.mState = schedule::ExecutorState::Gone;
  schedule::ExternalRecords records;
  records.mExecutors.push_back(gone);
  mExecutorRecords.push_back(records);
}

void
Simulation::AddWave(const schedule::Wave& aWave)
{
  schedule::ExternalRecords records;
  records.mWaves.push_back(aWave);
  mOperatorRecords.push_back(records);
}

void
Simulation::PublishManifest(const schedule::Manifest& aManifest)
{
  mManifest = aManifest;
  schedule::ExternalRecords records;
  records.mManifests.push_back(aManifest);
  mOperatorRecords.push_back(records);
}

void
Simulation::MoveQueue(std::string_view aService)
{
  auto manifest = mManifest;
  ++manifest.mVersion;
  auto isMoved = [](const schedule::Route& aRoute) { return aRoute.mPrefix == kPrefix; };
  std::erase_if(manifest.mRoutes, isMoved);
  if (!aService.empty()) {
    auto first = FirstManifest(mSettings.mQuotaCores).mRoutes;
    auto route = *std::find_if(first.begin(), first.end(), isMoved);
    route.mService = schedule::ServiceName(std::string(aService));
    manifest.mRoutes.push_back(std::move(route));
  }
  PublishManifest(manifest);
}

void
Simulation::RemoveService(std::string_view aService)
{
  auto manifest = mManifest;
  ++manifest.mVersion;
  std::erase_if(manifest.mRoutes,
                [&](const schedule::Route& aRoute) { return aRoute.mService.mValue == aService; });
  std::erase_if(manifest.mServices,
                [&](const schedule::Service& aEntry) { return aEntry.mName.mValue == aService; });
  PublishManifest(manifest);
}

JobId
Simulation::Submit(int aHost, std::vector<schedule::Step> aSteps, std::string aSpec)
{
  char name[17];
  std::snprintf(name, sizeof name, "%016zx", mJobs.size() + 1);
  JobId id(name);
  schedule::JobDefinition definition;
  definition.mSteps = std::move(aSteps);
  definition.mSpec = std::move(aSpec);
  mJobs[id].mDefinition = definition;
  Send(aHost, schedule::RequestKind::Submit, id, &definition);
  return id;
}

void
Simulation::Repeat(int aHost, const JobId& aJob)
{
  auto definition = mJobs.at(aJob).mDefinition;
  Send(aHost, schedule::RequestKind::Submit, aJob, &definition);
}

void
Simulation::Send(int aHost,
                 schedule::RequestKind aKind,
                 const JobId& aJob,
                 const schedule::JobDefinition* aDefinition)
{
  const auto& host = mHosts[static_cast<std::size_t>(aHost)];
  if (!host.mIsUp || host.mIsFrozen) {
    return;
  }
  schedule::CallerRequest request;
  request.mTicket = mNextRequest++;
  request.mKind = aKind;
  request.mHost = kHost;
  request.mPath = kPrefix + aJob.mValue;
  if (mSettings.mQuotaCores > 0) {
    request.mCredential = { schedule::CredentialKind::Bearer, kKey, {} };
  }
  if (aDefinition != nullptr) {
    request.mJob = *aDefinition;
  }
  auto known = mJobs.find(aJob);
  auto wasAccepted = known != mJobs.end() && known->second.mAccepted;
  mRequests[request.mTicket] = { aKind, aJob, wasAccepted, mShownFinal.contains(aJob), mNow };
  HandleEvent(aHost, request);
}

void
Simulation::Cancel(int aHost, const JobId& aJob)
{
  Send(aHost, schedule::RequestKind::Cancel, aJob, nullptr);
}

void
Simulation::AskState(int aHost, const JobId& aJob)
{
  Send(aHost, schedule::RequestKind::State, aJob, nullptr);
}

void
Simulation::AskCount(int aHost)
{
  // A query that names no job asks for the count of its queue.
  Send(aHost, schedule::RequestKind::State, JobId(), nullptr);
}

schedule::ReplyKind
Simulation::LastReply(const JobId& aJob) const
{
  auto found = mReplies.find(aJob);
  return found == mReplies.end() ? schedule::ReplyKind::Unknown : found->second.mKind;
}

schedule::JobPhase
Simulation::PhaseAt(const JobId& aJob) const
{
  auto found = mReplies.find(aJob);
  return found == mReplies.end() ? schedule::JobPhase::Pending : found->second.mPhase;
}

}
