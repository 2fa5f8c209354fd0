#include "LibStandIn/OwnerModelCalls.h"

#include <stdexcept>
#include <string>

namespace sesameseam::standin::detail {

using namespace schedule;

namespace {

constexpr std::int64_t kMemoryMb = 64 * 1024;
constexpr std::int64_t kIncarnation = 1;
constexpr double kWeight = 1000.0;
constexpr int kQuotaCores = 1'000'000;

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

void
AnswerHeartbeatIfDue(OwnerModel& aModel, ModelExecutor& aExecutor)
{
  if (!aExecutor.mHeld) {
    return;
  }
  auto isOver = aModel.mNow.mAt >= aExecutor.mHeldSince + aExecutor.mHeld->mWait;
  if (isOver || !aExecutor.mEnds.empty()) {
    GiveHeartbeatAnswer(aModel, TakeHeartbeat(aModel, aExecutor));
  }
}

bool
IsExternal(Stream aStream)
{
  return aStream == Stream::Operator || aStream == Stream::Executors;
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

}

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

void
AddUnanswered(OwnerModel& aModel, Actions& aActions)
{
  for (auto& action : aActions) {
    aModel.mUnanswered.push_back(std::move(action));
  }
}

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
GiveHeartbeatAnswer(OwnerModel& aModel, const HeartbeatAnswer& aAnswer)
{
  ApplyToShard<HeartbeatAnswer>(aModel, OnHeartbeatAnswer, aAnswer);
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

}
