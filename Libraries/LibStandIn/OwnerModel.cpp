#include "LibStandIn/OwnerModel.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace sesameseam::standin {

namespace {

using namespace schedule;

constexpr Instant kStart{ 1000s };
constexpr TimePoint kWallStart{ std::chrono::seconds(1'700'000'000) };
constexpr char kOwner[] = "e0";
constexpr char kService[] = "previews";
constexpr char kQueue[] = "previews";
constexpr int kPartition = 0;
constexpr int kMillicoresPerCore = 1000;
constexpr int kCoresPerExecutor = 2;
constexpr std::int64_t kMemoryMb = 64 * 1024;
constexpr int kTaskMemoryMb = 100;
constexpr std::int64_t kIncarnation = 1;
constexpr double kWeight = 1000.0;
constexpr int kQuotaCores = 1'000'000;
// The specification tells what a task is.
constexpr char kFillingSpec[] = "filling";
constexpr char kShortSpec[] = "short";
// Jobs that take the part of the pool that no event touches.
constexpr int kFillingJobs = 10;
constexpr int kShortRuns = 40;
constexpr int kWaitingJobsWhenFull = 20;
// As in a pool of some size, where events follow each other closely.
constexpr Duration kBetweenEvents = 1ms;
constexpr Duration kBetweenTicks = 100ms;
// Long enough for a pass to be due whether or not the last one could place all.
constexpr Duration kBetweenPasses = 25ms;
constexpr Duration kBetweenIdlePasses = 100ms;
constexpr int kMaxSetupTicks = 400;

Shard&
ShardOf(OwnerModel& aModel)
{
  return aModel.mNode.mShards.at(kPartition);
}

void
Advance(OwnerModel& aModel, Duration aTime)
{
  aModel.mNow.mAt += aTime;
  aModel.mNow.mWall += aTime;
}

Manifest
MakeManifest(int aTenants)
{
  Manifest manifest;
  manifest.mVersion = 1;
  manifest.mServices.push_back({ ServiceName(kService), false });
  Route route;
  route.mQueue = QueueName(kQueue);
  route.mHost = "studio.example";
  route.mPrefix = "/previews/";
  route.mService = ServiceName(kService);
  manifest.mRoutes.push_back(route);
  for (int i = 0; i < aTenants; ++i) {
    Tenant tenant;
    tenant.mName = TenantName("t" + std::to_string(i));
    tenant.mKeys = { "key" + std::to_string(i) };
    tenant.mWeight = kWeight;
    tenant.mQuota.mCpuMillicores = std::int64_t(kQuotaCores) * kMillicoresPerCore;
    manifest.mTenants.push_back(std::move(tenant));
  }
  return manifest;
}

ExecutorId
ExecutorName(int aNumber)
{
  return ExecutorId("x" + std::to_string(aNumber));
}

ExecutorEntry
MakeEntry(int aNumber)
{
  ExecutorEntry entry;
  entry.mId = ExecutorName(aNumber);
  entry.mService = ServiceName(kService);
  entry.mAddress = "executor-" + std::to_string(aNumber);
  entry.mLabels = { "a", "rack-" + std::to_string(aNumber % 8) };
  entry.mCapacity = { std::int64_t(kCoresPerExecutor) * kMillicoresPerCore, kMemoryMb, 0 };
  entry.mIncarnation = kIncarnation;
  return entry;
}

Machine
MakeMachine(int aNumber)
{
  Machine machine;
  machine.mId = MachineId("m" + std::to_string(aNumber));
  machine.mPool = ServiceName(kService);
  machine.mState = MachineState::Up;
  machine.mExecutor = ExecutorName(aNumber);
  return machine;
}

// Gives an answer to the owner.
void
Apply(OwnerModel& aModel, const Event& aEvent)
{
  aModel.mNeedsTick = false;
  for (auto& action : Handle(aModel.mNode, aModel.mNow, aEvent)) {
    aModel.mUnanswered.push_back(std::move(action));
  }
}

void
AddUnanswered(OwnerModel& aModel, Actions& aActions)
{
  for (auto& action : aActions) {
    aModel.mUnanswered.push_back(std::move(action));
  }
}

// Answers of executors go straight to the shard, which keeps the steps between two events cheap in
// a pool of any size. The node goes on from there at the next tick.
template<typename Answer>
void
ApplyToShard(OwnerModel& aModel,
             void (*aFunction)(Shard&, const Now&, const Answer&, Actions&),
             const Answer& aAnswer)
{
  Actions actions;
  aFunction(ShardOf(aModel), aModel.mNow, aAnswer, actions);
  aModel.mNeedsTick = true;
  AddUnanswered(aModel, actions);
}

std::chrono::milliseconds
ClockOf(const OwnerModel& aModel)
{
  return ToMilliseconds(aModel.mNow.mAt - Instant());
}

// Takes the heartbeat that waits at the executor.
HeartbeatAnswer
TakeHeartbeat(OwnerModel& aModel, ModelExecutor& aExecutor)
{
  if (!aExecutor.mHeld) {
    throw std::runtime_error("no heartbeat waits at an executor with runs");
  }
  HeartbeatAnswer answer;
  answer.mCall = *std::exchange(aExecutor.mHeld, std::nullopt);
  answer.mResult = CallResult::Done;
  answer.mIncarnation = kIncarnation;
  answer.mClock = ClockOf(aModel);
  answer.mSentAt = aExecutor.mHeldSince;
  answer.mEnds = aExecutor.mEnds;
  for (const auto& [run, spec] : aExecutor.mRuns) {
    RunningTask running;
    running.mRun = run;
    running.mPercent = kFullSpeed;
    answer.mRunning.push_back(running);
  }
  return answer;
}

void
EndRun(OwnerModel& aModel, const ExecutorId& aExecutor, const TaskRun& aRun, EndKind aKind)
{
  auto& executor = aModel.mExecutors.at(aExecutor);
  if (executor.mRuns.erase(aRun) == 0) {
    return;
  }
  --aModel.mRunning;
  executor.mEnds.push_back({ ++executor.mLastEnd, aRun, aKind, {} });
}

void
AnswerHeartbeatIfDue(OwnerModel& aModel, ModelExecutor& aExecutor)
{
  if (!aExecutor.mHeld) {
    return;
  }
  auto isOver = aModel.mNow.mAt >= aExecutor.mHeldSince + aExecutor.mHeld->mWait;
  if (isOver || !aExecutor.mEnds.empty()) {
    ApplyToShard<HeartbeatAnswer>(aModel, OnHeartbeatAnswer, TakeHeartbeat(aModel, aExecutor));
  }
}

bool
IsExternal(Stream aStream)
{
  return aStream == Stream::Operator || aStream == Stream::Executors;
}

ReadAnswer
AnswerRead(const OwnerModel& aModel, const HeldRead& aRead)
{
  ReadAnswer answer;
  if (IsExternal(aRead.mCall.mStream)) {
    answer.mResult = CallResult::Done;
    answer.mEnd = aRead.mCall.mFrom;
  } else {
    answer = Read(aModel.mStore, aRead.mCall);
  }
  answer.mCall = aRead.mCall;
  answer.mSentAt = aRead.mSince;
  return answer;
}

// Answers the reads that have something to tell, or whose time is up.
void
AnswerReads(OwnerModel& aModel)
{
  for (const auto& read : std::exchange(aModel.mHeldReads, {})) {
    auto answer = AnswerRead(aModel, read);
    if (answer.mRecords.empty() && aModel.mNow.mAt < read.mSince + read.mCall.mWait) {
      aModel.mHeldReads.push_back(read);
    } else {
      Apply(aModel, answer);
    }
  }
}

void
Perform(OwnerModel& aModel, const AppendCall& aCall)
{
  auto answer = Append(aModel.mStore, aCall);
  answer.mCall = aCall;
  answer.mSentAt = aModel.mNow.mAt;
  Apply(aModel, answer);
}

void
Perform(OwnerModel& aModel, const ReadCall& aCall)
{
  aModel.mHeldReads.push_back({ aCall, aModel.mNow.mAt });
}

void
Perform(OwnerModel& aModel, const ReadNewestCall& aCall)
{
  ReadNewestAnswer answer;
  if (aCall.mStream == Stream::Operator) {
    answer.mExternalRecords.mManifests.push_back(MakeManifest(aModel.mSettings.mTenants));
    answer.mEnd = 1;
  } else if (aCall.mStream == Stream::Executors) {
    for (int i = 0; i < aModel.mSettings.mExecutors; ++i) {
      answer.mExternalRecords.mExecutors.push_back(MakeEntry(i));
    }
    answer.mEnd = aModel.mSettings.mExecutors;
  } else {
    answer = Newest(aModel.mStore, aCall);
  }
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  Apply(aModel, answer);
}

void
Perform(OwnerModel& aModel, const JoinCall& aCall)
{
  auto answer = Join(aModel.mStore, kOwner, aCall, aModel.mNow.mAt);
  answer.mSentAt = aModel.mNow.mAt;
  Apply(aModel, answer);
}

void
Perform(OwnerModel& aModel, const OwnersCall& aCall)
{
  OwnersAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  for (const auto& [partition, name] : Owners(aModel.mStore, aModel.mNow.mAt)) {
    answer.mOwners.push_back({ name, aModel.mNode.mSettings.mCapacityMillicores, {} });
  }
  Apply(aModel, answer);
}

void
Perform(OwnerModel& aModel, const HeartbeatCall& aCall)
{
  auto& executor = aModel.mExecutors[aCall.mTo.mExecutor];
  std::erase_if(executor.mEnds,
                [&](const TaskEnd& aEnd) { return aEnd.mNumber <= aCall.mLastSeen; });
  executor.mHeld = aCall;
  executor.mHeldSince = aModel.mNow.mAt;
  AnswerHeartbeatIfDue(aModel, executor);
}

void
Perform(OwnerModel& aModel, const StartCall& aCall)
{
  const auto& id = aCall.mTo.mExecutor;
  aModel.mExecutors[id].mRuns.emplace(aCall.mRun, aCall.mSpec);
  ++aModel.mRunning;
  if (aCall.mSpec == kShortSpec) {
    aModel.mShortRuns.emplace_back(id, aCall.mRun);
  }
  StartAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  answer.mClock = ClockOf(aModel);
  answer.mSentAt = aModel.mNow.mAt;
  ApplyToShard<StartAnswer>(aModel, OnStartAnswer, answer);
}

void
Perform(OwnerModel& aModel, const StopCall& aCall)
{
  std::erase(aModel.mShortRuns, std::pair(aCall.mTo.mExecutor, aCall.mRun));
  EndRun(aModel, aCall.mTo.mExecutor, aCall.mRun, EndKind::Stopped);
  ApplyToShard<StopAnswer>(aModel, OnStopAnswer, { aCall, CallResult::Done });
  AnswerHeartbeatIfDue(aModel, aModel.mExecutors.at(aCall.mTo.mExecutor));
}

void
Perform(OwnerModel& aModel, const MachinesCall& aCall)
{
  MachinesAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  for (int i = 0; i < aModel.mSettings.mExecutors; ++i) {
    answer.mMachines.push_back(std::make_shared<const Machine>(MakeMachine(i)));
  }
  Apply(aModel, answer);
}

void
Perform(OwnerModel& aModel, const MoveCall& aCall)
{
  Apply(aModel, MoveAnswer{ aCall, CallResult::Refused });
}

// Nobody waits for the others: the model has no relays, waves and callers.
template<typename Call>
void
Perform(OwnerModel& /*aModel*/, const Call& /*aCall*/)
{
}

// Answers all calls that need not wait.
void
Settle(OwnerModel& aModel)
{
  for (auto isFirst = true; isFirst || aModel.mNeedsTick || !aModel.mUnanswered.empty();
       isFirst = false) {
    if (aModel.mNeedsTick) {
      Apply(aModel, Tick{});
    }
    while (!aModel.mUnanswered.empty()) {
      auto action = std::move(aModel.mUnanswered.front());
      aModel.mUnanswered.pop_front();
      std::visit([&](const auto& aCall) { Perform(aModel, aCall); }, action);
    }
    AnswerReads(aModel);
  }
}

// Lets time pass without an event of interest.
void
Pass(OwnerModel& aModel, Duration aTime)
{
  Advance(aModel, aTime);
  for (auto& [id, executor] : aModel.mExecutors) {
    AnswerHeartbeatIfDue(aModel, executor);
  }
  aModel.mNeedsTick = true;
  Settle(aModel);
}

JobDefinition
MakeDefinition(OwnerModel& aModel, int aTasks, const char* aSpec)
{
  Step step;
  step.mCount = aTasks;
  step.mNeeds = { kMillicoresPerCore, kTaskMemoryMb, 0 };
  step.mEstimate = 1s;
  JobDefinition definition;
  definition.mQueue = QueueName(kQueue);
  definition.mService = ServiceName(kService);
  definition.mSpec = aSpec;
  definition.mSteps = { step };
  definition.mAcceptedAt = aModel.mNow.mWall;
  definition.mStretchPercent = 160;
  definition.mResponseGoal = std::chrono::hours(1);
  if (aModel.mSettings.mTenants > 0) {
    auto tenant = aModel.mNextJob % aModel.mSettings.mTenants;
    definition.mTenant = TenantName("t" + std::to_string(tenant));
  }
  return definition;
}

// Stores a job; the owner reads it next.
void
StoreJob(OwnerModel& aModel, const JobDefinition& aDefinition)
{
  constexpr std::size_t kDigits = 16;
  auto number = std::to_string(aModel.mNextJob++);
  aModel.mNewestJob = JobId(std::string(kDigits - number.size(), '0') + number);
  AppendCall call;
  call.mStream = Stream::Jobs;
  call.mPartition = kPartition;
  call.mRecords.push_back({ aModel.mNewestJob.mValue, EncodeJob(aDefinition) });
  Append(aModel.mStore, call);
}

void
StoreShortJob(OwnerModel& aModel)
{
  StoreJob(aModel, MakeDefinition(aModel, 1, kShortSpec));
}

void
StoreCancellation(OwnerModel& aModel)
{
  AppendCall call;
  call.mStream = Stream::Jobs;
  call.mPartition = kPartition;
  call.mRecords.push_back(
    { CancellationKey(aModel.mNewestJob), EncodeCancellation(aModel.mNow.mWall) });
  Append(aModel.mStore, call);
}

void
StoreFillingJobs(OwnerModel& aModel)
{
  auto slots = aModel.mSettings.mExecutors * kCoresPerExecutor;
  auto tasks = (aModel.mSettings.mLoad == PoolLoad::Calm ? slots / 2 : slots) - kShortRuns;
  for (int i = 0; i < kFillingJobs; ++i) {
    auto count = tasks / kFillingJobs + (i < tasks % kFillingJobs ? 1 : 0);
    StoreJob(aModel, MakeDefinition(aModel, count, kFillingSpec));
  }
}

int
CountWaitingJobs(const OwnerModelSettings& aSettings)
{
  switch (aSettings.mLoad) {
    case PoolLoad::Calm:
      return 0;
    case PoolLoad::Full:
      return kWaitingJobsWhenFull;
    case PoolLoad::Burst:
      return aSettings.mJobs / 2;
  }
  return 0;
}

void
StoreLaterJobs(OwnerModel& aModel, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    auto definition = MakeDefinition(aModel, 1, kShortSpec);
    definition.mRunCount = 1;
    definition.mStartTime = aModel.mNow.mWall + std::chrono::hours(24);
    definition.mInterval = 1s;
    StoreJob(aModel, definition);
  }
}

// Goes on until as many tasks run as asked for.
void
PassUntilRunning(OwnerModel& aModel, std::size_t aTasks)
{
  for (int i = 0; i < kMaxSetupTicks && aModel.mRunning < aTasks; ++i) {
    Pass(aModel, kBetweenTicks);
  }
  if (aModel.mRunning != aTasks) {
    throw std::runtime_error(std::to_string(aModel.mRunning) + " tasks run instead of " +
                             std::to_string(aTasks));
  }
}

bool
IsReadyForWork(OwnerModel& aModel)
{
  auto found = aModel.mNode.mShards.find(kPartition);
  return found != aModel.mNode.mShards.end() && found->second.mPhase == ShardPhase::Active &&
         static_cast<int>(aModel.mExecutors.size()) == aModel.mSettings.mExecutors;
}

void
TakeOver(OwnerModel& aModel)
{
  for (int i = 0; i < kMaxSetupTicks && !IsReadyForWork(aModel); ++i) {
    Pass(aModel, kBetweenTicks);
  }
  if (!IsReadyForWork(aModel)) {
    throw std::runtime_error("the model's owner did not take its shard over");
  }
}

void
LoadPool(OwnerModel& aModel)
{
  const auto& settings = aModel.mSettings;
  auto slots = static_cast<std::size_t>(settings.mExecutors) * kCoresPerExecutor;
  auto running = settings.mLoad == PoolLoad::Calm ? slots / 2 : slots;
  StoreFillingJobs(aModel);
  PassUntilRunning(aModel, running - kShortRuns);
  auto waiting = CountWaitingJobs(settings);
  StoreLaterJobs(aModel, settings.mJobs - kFillingJobs - kShortRuns - waiting);
  for (int i = 0; i < kShortRuns + waiting; ++i) {
    StoreShortJob(aModel);
  }
  PassUntilRunning(aModel, running);
  constexpr int kQuietTicks = 10;
  for (int i = 0; i < kQuietTicks; ++i) {
    Pass(aModel, kBetweenTicks);
  }
}

ModelExecutor&
ExecutorOfOldestShortRun(OwnerModel& aModel)
{
  for (int i = 0; i < kMaxSetupTicks && aModel.mShortRuns.empty(); ++i) {
    Pass(aModel, kBetweenEvents);
  }
  return aModel.mExecutors.at(aModel.mShortRuns.front().first);
}

// Ends the oldest run of a short job. Returns the answer that tells of it.
HeartbeatAnswer
TakeEnd(OwnerModel& aModel)
{
  auto& executor = ExecutorOfOldestShortRun(aModel);
  auto [id, run] = aModel.mShortRuns.front();
  aModel.mShortRuns.pop_front();
  EndRun(aModel, id, run, EndKind::Done);
  return TakeHeartbeat(aModel, executor);
}

// Takes the read of the jobs stream that waits for what has just been stored.
ReadAnswer
TakeJobsRead(OwnerModel& aModel)
{
  auto& reads = aModel.mHeldReads;
  auto read = std::find_if(reads.begin(), reads.end(), [](const HeldRead& aRead) {
    return aRead.mCall.mStream == Stream::Jobs && aRead.mCall.mReader == Reader::Owner;
  });
  if (read == reads.end()) {
    throw std::runtime_error("the model's owner does not follow its jobs");
  }
  auto answer = AnswerRead(aModel, *read);
  reads.erase(read);
  return answer;
}

Event
MakeEvent(OwnerModel& aModel, OwnerEvent aEvent)
{
  switch (aEvent) {
    case OwnerEvent::Heartbeat:
      return TakeHeartbeat(aModel, ExecutorOfOldestShortRun(aModel));
    case OwnerEvent::End:
      return TakeEnd(aModel);
    case OwnerEvent::Arrival:
      StoreShortJob(aModel);
      return TakeJobsRead(aModel);
    case OwnerEvent::Cancellation:
      StoreCancellation(aModel);
      return TakeJobsRead(aModel);
    default:
      return Tick{ aModel.mNow.mAt };
  }
}

// The job that makes up for the one that has ended, and the other way round.
void
Restore(OwnerModel& aModel, OwnerEvent aEvent)
{
  switch (aEvent) {
    case OwnerEvent::End:
    case OwnerEvent::Cancellation:
    case OwnerEvent::PassAfterEnd:
      StoreShortJob(aModel);
      break;
    case OwnerEvent::Arrival:
      StoreCancellation(aModel);
      break;
    default:
      return;
  }
  Settle(aModel);
}

void
PlayHandled(OwnerModel& aModel, OwnerEvent aKind, const Meter& aMeter)
{
  Advance(aModel, aKind == OwnerEvent::Tick ? kBetweenTicks : kBetweenEvents);
  auto event = MakeEvent(aModel, aKind);
  Actions actions;
  aMeter([&] { actions = Handle(aModel.mNode, aModel.mNow, event); });
  AddUnanswered(aModel, actions);
}

void
PlayPass(OwnerModel& aModel, OwnerEvent aKind, const Meter& aMeter)
{
  Advance(aModel, aKind == OwnerEvent::IdlePass ? kBetweenIdlePasses : kBetweenPasses);
  if (aKind == OwnerEvent::PassAfterEnd) {
    ApplyToShard<HeartbeatAnswer>(aModel, OnHeartbeatAnswer, TakeEnd(aModel));
  }
  Actions actions;
  aMeter([&] { schedule::detail::PlaceTasks(ShardOf(aModel), aModel.mNow, actions); });
  AddUnanswered(aModel, actions);
}

bool
IsPass(OwnerEvent aEvent)
{
  return aEvent == OwnerEvent::IdlePass || aEvent == OwnerEvent::PassAfterEnd;
}

}

OwnerModel
MakeOwnerModel(const OwnerModelSettings& aSettings)
{
  OwnerModel model;
  model.mSettings = aSettings;
  model.mNow = { kStart, kWallStart };
  model.mStore.mGroup.mPartitions = 1;
  NodeSettings settings;
  settings.mName = kOwner;
  settings.mPartitions = 1;
  model.mNode = MakeNode(settings);
  TakeOver(model);
  LoadPool(model);
  return model;
}

void
PlayEvent(OwnerModel& aModel, OwnerEvent aEvent, const Meter& aMeter)
{
  if (IsPass(aEvent)) {
    PlayPass(aModel, aEvent, aMeter);
  } else {
    PlayHandled(aModel, aEvent, aMeter);
  }
  Pass(aModel, Duration(0));
  Restore(aModel, aEvent);
}

std::string_view
NameOf(OwnerEvent aEvent)
{
  switch (aEvent) {
    case OwnerEvent::Heartbeat:
      return "heartbeat";
    case OwnerEvent::End:
      return "end";
    case OwnerEvent::Arrival:
      return "arrival";
    case OwnerEvent::Cancellation:
      return "cancellation";
    case OwnerEvent::Tick:
      return "tick";
    case OwnerEvent::IdlePass:
      return "idle_pass";
    case OwnerEvent::PassAfterEnd:
      return "pass_after_end";
  }
  return "unknown";
}

std::string_view
NameOf(PoolLoad aLoad)
{
  switch (aLoad) {
    case PoolLoad::Calm:
      return "calm";
    case PoolLoad::Full:
      return "full";
    case PoolLoad::Burst:
      return "burst";
  }
  return "unknown";
}

}
