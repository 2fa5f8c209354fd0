#pragma once

#include "Actions.h"
#include "LibSchedule/ExecutorBackOff.h"
#include "LibSchedule/HostIndex.h"
#include "LibSchedule/Rebalance.h"
#include "Steps.h"

#include <deque>
#include <functional>
#include <random>
#include <sstream>

namespace sesameseam::schedule {

// One entry host that owns the shards of some pools, in a play of random events: jobs come and end,
// executors are silent and come back, hosts move and go down, appends are refused, and shards are
// lost and taken over. What it decides is written down.
class FleetPlay
{
public:
  // aForgets has all that is kept between decisions for their cost only built anew for each.
  FleetPlay(std::uint64_t aSeed, bool aForgets)
    : mRandom(aSeed)
    , mForgets(aForgets)
  {
    mLog.mHostCursor.mLoaded = true;
    for (const auto* name : { "a", "b", "c", "r" }) {
      mServices.push_back({ ServiceName(name), *name == 'r' });
      AddShard(ServiceName(name), 1);
    }
    for (int i = 0; i < kHosts; ++i) {
      const auto& pool = mServices[static_cast<std::size_t>(i) % mServices.size()].mName;
      auto id = MachineId("m" + std::to_string(i));
      mMachines[id] = { id, pool, MachineState::Up, NextExecutor() };
      StartExecutor(mMachines[id]);
    }
  }

  std::string Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      auto time = std::chrono::milliseconds(20 + Draw(100));
      mNow = { mNow.mAt + time, mNow.mWall + time };
      if (step == aSteps / 3 || step == aSteps / 2) {
        AddWave();
      }
      RunLater();
      for (int k = 0; k < kEventsPerStep; ++k) {
        HappenAtRandom();
      }
      Decide();
      Describe();
    }
    return mText.str();
  }

  std::function<void(Shard&, const ServiceName&, const Now&)> mCheckDemand;

private:
  static constexpr int kHosts = 24;
  static constexpr int kPartitions = 24;
  static constexpr int kEventsPerStep = 3;

  int Draw(int aCount) { return static_cast<int>(mRandom() % static_cast<std::uint64_t>(aCount)); }

  void Later(Duration aTime, std::function<void()> aWork)
  {
    mLater.emplace_back(mNow.mAt + aTime, std::move(aWork));
  }

  void RunLater()
  {
    auto due = std::exchange(mLater, {});
    for (auto& [at, work] : due) {
      if (at <= mNow.mAt) {
        work();
      } else {
        mLater.emplace_back(at, std::move(work));
      }
    }
  }

  void AddShard(const ServiceName& aPool, std::int64_t aEpoch)
  {
    auto partition = PartitionOf(aPool, kPartitions);
    auto& shard = mShards.emplace(partition, MakeShard(partition, {}, mNow.mAt)).first->second;
    shard.mPhase = ShardPhase::Active;
    shard.mEpoch = aEpoch;
  }

  Shard* ShardOf(const ServiceName& aPool)
  {
    auto found = mShards.find(PartitionOf(aPool, kPartitions));
    return found == mShards.end() ? nullptr : &found->second;
  }

  ExecutorId NextExecutor() { return ExecutorId("x" + std::to_string(mExecutors++)); }

  void SetEntry(const Machine& aMachine, ExecutorState aState)
  {
    auto* shard = ShardOf(aMachine.mPool);
    if (shard == nullptr) {
      return;
    }
    ExecutorEntry entry;
    entry.mId = aMachine.mExecutor;
    entry.mService = aMachine.mPool;
    entry.mCapacity = { 4000 + 1000 * static_cast<std::int64_t>(aMachine.mId.mValue.size()),
                        64000,
                        0 };
    entry.mState = aState;
    UpdateExecutor(*shard, mNow, entry);
  }

  void AnswerHeartbeat(Shard& aShard, const Executor& aExecutor, CallResult aResult)
  {
    HeartbeatAnswer answer;
    answer.mCall.mTo = schedule::detail::AddressOf(aShard, aExecutor);
    answer.mResult = aResult;
    Actions actions;
    OnHeartbeatAnswer(aShard, mNow, answer, actions);
  }

  void StartExecutor(const Machine& aMachine)
  {
    SetEntry(aMachine, ExecutorState::Ready);
    if (auto* shard = ShardOf(aMachine.mPool)) {
      AnswerHeartbeat(*shard, shard->mExecutors.at(aMachine.mExecutor), CallResult::Done);
    }
  }

  void EndExecutor(const Machine& aMachine)
  {
    SetEntry(aMachine, ExecutorState::Gone);
    auto* shard = ShardOf(aMachine.mPool);
    if (shard == nullptr || !shard->mExecutors.contains(aMachine.mExecutor)) {
      return;
    }
    auto& executor = shard->mExecutors.at(aMachine.mExecutor);
    while (!executor.mRuns.empty()) {
      auto run = executor.mRuns.begin()->first;
      EndRun(*shard, executor, run, TaskState::Waiting);
    }
  }

  Machine& AnyMachine() { return mMachines.at(MachineId("m" + std::to_string(Draw(kHosts)))); }

  void AddWave()
  {
    Wave wave;
    wave.mNumber = static_cast<std::int64_t>(mWaves.size()) + 1;
    for (const auto& [id, machine] : mMachines) {
      if (Draw(2) == 0) {
        wave.mMachines.push_back(id);
      }
    }
    wave.mMachines.emplace_back("unknown");
    wave.mTimeLimit = 15s;
    wave.mMaxConcurrent = 2 + Draw(4);
    wave.mSeenAt = mNow.mAt;
    mWaves[wave.mNumber] = wave;
    ++mWaveChanges;
  }

  void AddJob(Shard& aShard, const ServiceName& aPool)
  {
    constexpr int kMaxJobs = 60;
    if (aShard.mJobs.size() >= kMaxJobs) {
      return;
    }
    JobDefinition definition;
    definition.mService = aPool;
    definition.mAcceptedAt = mNow.mWall;
    definition.mStretchPercent = 150;
    definition.mResponseGoal = std::chrono::milliseconds(250 * Draw(8));
    auto estimate = std::chrono::milliseconds(125 * (1 + Draw(16)));
    definition.mSteps = { MakeStep(1 + Draw(4), 1 + Draw(3), estimate) };
    if (Draw(3) == 0) {
      definition.mSteps.push_back(After(MakeStep(2, 1, estimate), { 0 }));
    }
    if (Draw(8) == 0) {
      definition.mSteps = { MakeLongRunningStep(1 + Draw(3), 1, 1) };
    }
    if (Draw(8) == 0) {
      definition.mRunCount = 2;
      definition.mStartTime = mNow.mWall + 500ms;
      definition.mInterval = 1s;
    }
    JobId id("j" + std::to_string(mJobs++));
    auto& job = aShard.mJobs.emplace(id, MakeJob(id, definition, nullptr)).first->second;
    job.mArrivedAt = mNow.mAt;
    schedule::detail::MarkDirty(aShard, job);
  }

  Job* AnyJob(Shard& aShard)
  {
    if (aShard.mJobs.empty()) {
      return nullptr;
    }
    return &std::next(aShard.mJobs.begin(), Draw(static_cast<int>(aShard.mJobs.size())))->second;
  }

  static std::vector<TaskId> TasksIn(const Job& aJob, TaskState aState)
  {
    std::vector<TaskId> tasks;
    for (std::size_t k = 0; k < aJob.mOccurrences.size(); ++k) {
      for (std::size_t s = 0; s < aJob.mOccurrences[k].mSteps.size(); ++s) {
        const auto& step = aJob.mOccurrences[k].mSteps[s];
        for (std::size_t i = 0; i < step.mTasks.size(); ++i) {
          if (step.mTasks[i].mState == aState) {
            tasks.push_back(
              { aJob.mId, static_cast<int>(k), static_cast<int>(s), static_cast<int>(i) });
          }
        }
      }
    }
    return tasks;
  }

  // Places tasks of a job on any executors that take work.
  void Place(Shard& aShard)
  {
    auto* job = AnyJob(aShard);
    if (job == nullptr) {
      return;
    }
    for (const auto& task : TasksIn(*job, TaskState::Waiting)) {
      auto executor =
        std::next(aShard.mExecutors.begin(), Draw(static_cast<int>(aShard.mExecutors.size())));
      const auto& step = job->mDefinition.mSteps[static_cast<std::size_t>(task.mStep)];
      if (!IsSchedulable(executor->second, mNow.mAt) ||
          !IsReady(*job, task.mOccurrence, task.mStep, mNow.mWall)) {
        continue;
      }
      auto run = schedule::detail::MakeRun(job->mDefinition, step, RunState::Running, mNow.mAt);
      AddRun(aShard.mUsage, executor->second, { task, ++mRuns }, run);
      SetTaskState(*job, task, TaskState::Placed);
      job->mPhase = JobPhase::Running;
      schedule::detail::MarkDirty(aShard, *job);
    }
  }

  void EndRun(Shard& aShard, Executor& aExecutor, const TaskRun& aRun, TaskState aState)
  {
    RemoveRun(aShard.mUsage, aExecutor, aRun);
    auto found = aShard.mJobs.find(aRun.mTask.mJob);
    if (found == aShard.mJobs.end()) {
      return;
    }
    SetTaskState(found->second, aRun.mTask, aState);
    schedule::detail::MarkDirty(aShard, found->second);
    if (AllDone(found->second)) {
      found->second.mPhase = JobPhase::Completed;
      schedule::detail::MarkDirty(aShard, found->second);
    }
  }

  void EndRuns(Shard& aShard)
  {
    for (auto& [id, executor] : aShard.mExecutors) {
      if (!executor.mRuns.empty() && Draw(4) == 0) {
        auto run = executor.mRuns.begin()->first;
        if (Draw(6) != 0) {
          RecordSuccess(executor);
          EndRun(aShard, executor, run, TaskState::Done);
          continue;
        }
        RecordFailure(executor, StepNameOf(run.mTask), false, mNow.mAt);
        if (auto job = aShard.mJobs.find(run.mTask.mJob); job != aShard.mJobs.end()) {
          AddCrash(job->second, run.mTask);
        }
        EndRun(aShard, executor, run, TaskState::Waiting);
      }
    }
    for (auto job = aShard.mJobs.begin(); job != aShard.mJobs.end();) {
      auto isOver = IsFinal(job->second.mPhase) && Draw(2) == 0;
      if (isOver) {
        schedule::detail::MarkDirty(aShard, job->second);
      }
      job = isOver ? aShard.mJobs.erase(job) : std::next(job);
    }
  }

  void ReadMachines()
  {
    MachinesAnswer answer;
    answer.mResult = CallResult::Done;
    for (const auto& [id, machine] : mMachines) {
      answer.mMachines.push_back(std::make_shared<const Machine>(machine));
    }
    mList.mFirstPageAt = mNow.mAt - 20ms;
    Actions actions;
    OnMachines(mList, mNow, answer, actions);
  }

  void LoseShard()
  {
    const auto& pool = mServices[static_cast<std::size_t>(Draw(4))].mName;
    if (mShards.erase(PartitionOf(pool, kPartitions)) > 0) {
      return;
    }
    AddShard(pool, ++mEpoch);
    for (const auto& [id, machine] : mMachines) {
      if (machine.mPool == pool && machine.mState == MachineState::Up) {
        StartExecutor(machine);
      }
    }
  }

  void DemandElsewhere()
  {
    auto present = 2 + Draw(3);
    mLog.mDemands[ServiceName("x")] = { present + Draw(6) - 2, present, mNow.mWall };
  }

  void HappenAtRandom()
  {
    const auto& pool = mServices[static_cast<std::size_t>(Draw(3))].mName;
    auto event = Draw(100);
    auto* shard = ShardOf(pool);
    if (event < 12) {
      ReadMachines();
    } else if (event < 14) {
      DemandElsewhere();
    } else if (event == 14 && Draw(4) == 0) {
      LoseShard();
    } else if (shard == nullptr || shard->mExecutors.empty()) {
      return;
    } else if (event < 40) {
      AddJob(*shard, pool);
    } else if (event < 65) {
      Place(*shard);
    } else if (event < 93) {
      EndRuns(*shard);
    } else {
      auto& executor =
        std::next(shard->mExecutors.begin(), Draw(static_cast<int>(shard->mExecutors.size())))
          ->second;
      AnswerHeartbeat(*shard, executor, event < 95 ? CallResult::Unanswered : CallResult::Done);
    }
  }

  void GoDown(const MaintenanceCall& aCall)
  {
    MaintenanceAnswer answer{ aCall, Draw(5) == 0 ? CallResult::Refused : CallResult::Done };
    Actions actions;
    OnMaintenanceAnswer(mMaintenance, mNow, answer, actions);
    if (answer.mResult != CallResult::Done) {
      return;
    }
    auto& machine = mMachines.at(aCall.mMachine);
    machine.mState = MachineState::Maintenance;
    EndExecutor(machine);
    Later(1s, [this, id = aCall.mMachine] { ComeBack(id); });
  }

  void Move(const MoveCall& aCall)
  {
    MoveAnswer answer{ aCall, Draw(5) == 0 ? CallResult::Refused : CallResult::Done };
    Actions actions;
    OnMoveAnswer(mRebalance, mNow, Context(), answer, actions);
    if (answer.mResult != CallResult::Done) {
      return;
    }
    auto& machine = mMachines.at(aCall.mMachine);
    EndExecutor(machine);
    machine.mState = MachineState::Moving;
    machine.mPool = aCall.mTo;
    Later(1500ms, [this, id = aCall.mMachine] { ComeBack(id); });
  }

  void ComeBack(const MachineId& aId)
  {
    auto& machine = mMachines.at(aId);
    machine.mState = MachineState::Up;
    if (Draw(4) != 0) {
      machine.mExecutor = NextExecutor();
    }
    StartExecutor(machine);
    // What has gone elsewhere comes back some time.
    if (machine.mPool == ServiceName("x")) {
      EndExecutor(machine);
      machine.mPool = mServices[static_cast<std::size_t>(Draw(4))].mName;
      StartExecutor(machine);
    }
  }

  void AnswerAppend(const AppendCall& aCall)
  {
    AppendAnswer answer;
    answer.mCall = aCall;
    answer.mResult = Draw(5) == 0 ? CallResult::Refused : CallResult::Done;
    answer.mOffset = mLog.mHostCursor.mPosition;
    Actions actions;
    if (OnFleetAppend(mLog, mNow, answer, actions)) {
      OnMaintenanceRecorded(mMaintenance, answer, actions);
      OnMoveRecorded(mRebalance, mNow, answer, actions);
    }
  }

  FleetContext Context()
  {
    FleetContext context;
    context.mWaves = &mWaves;
    context.mShards = &mShards;
    context.mLog = &mLog;
    context.mMachines = &mList;
    context.mPartitions = kPartitions;
    context.mReportingShard = mShards.empty() ? -1 : mShards.begin()->first;
    context.mWaveChanges = mWaveChanges;
    context.mHosts = &mIndex;
    return context;
  }

  void Forget()
  {
    mIndex = {};
    mRebalance.mReadyCounts.clear();
    for (auto& [partition, shard] : mShards) {
      shard.mDemand = {};
    }
  }

  void Decide()
  {
    if (mForgets) {
      Forget();
    }
    for (auto& [partition, shard] : mShards) {
      shard.mConfirmedAt = mNow.mAt;
    }
    Actions actions;
    AdvanceMaintenance(mMaintenance, mNow, Context(), actions);
    AdvanceRebalance(mRebalance, {}, mNow, Context(), mServices, actions);
    AppendBatch(mLog, actions);
    for (const auto& service : mServices) {
      auto* shard = ShardOf(service.mName);
      if (mCheckDemand && shard != nullptr) {
        mCheckDemand(*shard, service.mName, mNow);
      }
    }
    Perform(actions);
  }

  void Perform(const Actions& aActions)
  {
    for (const auto& call : Select<AppendCall>(aActions)) {
      for (const auto& record : call.mRecords) {
        mText << record.mKey << "=" << record.mValue << " ";
      }
      if (call.mExpectedEnd) {
        Later(40ms, [this, call] { AnswerAppend(call); });
        continue;
      }
      for (const auto& record : call.mRecords) {
        ApplyFleetRecord(mLog, record.mKey, record.mValue).IgnoreError();
      }
    }
    for (const auto& call : Select<MaintenanceCall>(aActions)) {
      mText << "down " << call.mMachine << " " << call.mFence << " ";
      Later(30ms, [this, call] { GoDown(call); });
    }
    for (const auto& call : Select<MoveCall>(aActions)) {
      mText << "move " << call.mMachine << " " << call.mTo << " " << call.mFence << " ";
      Later(30ms, [this, call] { Move(call); });
    }
    for (const auto& call : Select<WaveStatusCall>(aActions)) {
      mText << "wave " << call.mWave << " " << call.mCompleted << " ";
      Later(30ms, [this, call] {
        Actions actions;
        OnWaveStatus(mMaintenance, mNow, { call, CallResult::Done }, actions);
      });
    }
  }

  void Describe()
  {
    mText << mNow.mAt.time_since_epoch().count() << ":";
    for (const auto& [partition, shard] : mShards) {
      for (const auto& [id, executor] : shard.mExecutors) {
        mText << (executor.mIsDueForMaintenance ? "d" : "-")
              << static_cast<int>(executor.mDrainReason);
      }
    }
    mText << "\n";
  }

  std::mt19937_64 mRandom;
  bool mForgets = false;
  Now mNow{ Instant(100s), TimePoint(1000s) };
  std::map<std::int64_t, Wave> mWaves;
  std::int64_t mWaveChanges = 0;
  std::map<int, Shard> mShards;
  FleetLog mLog;
  MachineList mList;
  HostIndex mIndex;
  Maintenance mMaintenance;
  Rebalance mRebalance;
  std::vector<Service> mServices;
  // What the platform would list.
  std::map<MachineId, Machine> mMachines;
  std::deque<std::pair<Instant, std::function<void()>>> mLater;
  int mExecutors = 0;
  int mJobs = 0;
  int mRuns = 0;
  std::int64_t mEpoch = 1;
  std::ostringstream mText;
};

}
