#include "Actions.h"
#include "LibSchedule/ExecutorDrain.h"
#include "LibSchedule/HostIndex.h"
#include "LibSchedule/Rebalance.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr int kPartitions = 24;
constexpr Now kNow{ Instant(100s), TimePoint(1000s) };

// One entry host that owns the shards of all pools.
struct Owner
{
  std::map<std::int64_t, Wave> mWaves;
  std::map<int, Shard> mShards;
  FleetLog mLog;
  MachineList mMachines;
  HostIndex mHosts;
  Maintenance mMaintenance;
  Rebalance mRebalance;
  std::vector<Service> mServices;

  Owner()
  {
    mLog.mHostCursor.mLoaded = true;
    mMachines.mIsKnown = true;
  }

  ServiceName AddPool(const std::string& aName, bool aStandby = false)
  {
    ServiceName name(aName);
    mServices.push_back({ name, aStandby });
    auto partition = PartitionOf(name, kPartitions);
    auto& shard = mShards.emplace(partition, MakeShard(partition, {}, Instant(0s))).first->second;
    shard.mPhase = ShardPhase::Active;
    shard.mConfirmedAt = kNow.mAt;
    return name;
  }

  Executor& AddHost(const std::string& aName, const ServiceName& aPool)
  {
    Machine machine{ MachineId(aName), aPool, MachineState::Up, ExecutorId("x-" + aName) };
    mMachines.mMachines[machine.mId] = machine;
    mMachines.mInPoolSince[machine.mId] = Instant(0s);
    auto& executor = mShards.at(PartitionOf(aPool, kPartitions)).mExecutors[machine.mExecutor];
    executor.mEntry.mId = machine.mExecutor;
    executor.mEntry.mService = aPool;
    executor.mEntry.mCapacity = { 8000, 64000, 0 };
    executor.mHasAnsweredHeartbeat = true;
    return executor;
  }

  FleetContext Context()
  {
    FleetContext context;
    context.mWaves = &mWaves;
    context.mShards = &mShards;
    context.mLog = &mLog;
    context.mMachines = &mMachines;
    context.mHosts = &mHosts;
    context.mPartitions = kPartitions;
    return context;
  }

  Actions AdvanceWaves()
  {
    Actions actions;
    AdvanceMaintenance(mMaintenance, kNow, Context(), actions);
    AppendBatch(mLog, actions);
    return actions;
  }

  Actions AdvanceMoves()
  {
    Actions actions;
    AdvanceRebalance(mRebalance, {}, kNow, Context(), mServices, actions);
    AppendBatch(mLog, actions);
    return actions;
  }
};

int
CountAppended(const Actions& aActions, const std::string& aPrefix)
{
  int count = 0;
  for (const auto& action : aActions) {
    if (const auto* append = std::get_if<AppendCall>(&action)) {
      for (const auto& record : append->mRecords) {
        count += record.mKey.starts_with(aPrefix) ? 1 : 0;
      }
    }
  }
  return count;
}

Wave
WaveOf(std::vector<MachineId> aMachines, int aMaxAtOnce = 1)
{
  return { 1, std::move(aMachines), 20s, aMaxAtOnce };
}

}

BOOST_AUTO_TEST_SUITE(TheFleet)

// A host that had returned from maintenance, but was not recorded as finished yet, was drained
// again.
BOOST_AUTO_TEST_CASE(a_host_that_returned_from_maintenance_is_not_drained)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  auto& executor = owner.AddHost("m1", pool);
  owner.mWaves[1] = WaveOf({ MachineId("m1") });
  MaintenanceKey key{ 1, MachineId("m1") };
  owner.mLog.mMaintenanceRecords[key] = { MaintenancePhase::Begun, ExecutorId("former") };
  owner.mMaintenance.mOrders[key].mFence = 5;
  owner.mMaintenance.mOrders[key].mAcknowledged = true;
  owner.mLog.mAppendPending = true;
  owner.AdvanceWaves();
  BOOST_TEST((executor.mDrainReason == DrainReason::None));
}

// Guards against tasks that are started on a host that has just been taken down (LOST): the list of
// machines said so first, the drain was lifted, and the list of executors still had its executor. A
// task that lasts was away for ten seconds then, till its lease was over.
BOOST_AUTO_TEST_CASE(the_executor_of_a_host_that_is_going_down_takes_no_work_until_it_is_gone)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  auto& executor = owner.AddHost("m1", pool);
  executor.mEntry.mState = ExecutorState::Ready;
  executor.mDrainReason = DrainReason::ForMaintenance;
  owner.mWaves[1] = WaveOf({ MachineId("m1") });
  MaintenanceKey key{ 1, MachineId("m1") };
  owner.mLog.mMaintenanceRecords[key] = { MaintenancePhase::Begun, executor.mEntry.mId };
  owner.mMaintenance.mOrders[key].mFence = 5;
  for (auto isAcknowledged : { false, true }) {
    owner.mMaintenance.mOrders[key].mAcknowledged = isAcknowledged;
    for (auto state : { MachineState::Up, MachineState::Maintenance }) {
      owner.mMachines.mMachines[MachineId("m1")].mState = state;
      owner.AdvanceWaves();
      BOOST_TEST(!IsSchedulable(executor, kNow.mAt));
    }
  }
}

// Guards against the same where the host is listed in a wave that has finished with it, too: each
// round lifted the drain for that one, and took it for a sign that the host is back.
BOOST_AUTO_TEST_CASE(a_wave_that_has_finished_with_a_host_does_not_lift_the_drain_of_another)
{
  for (auto begun : { 1, 2 }) {
    Owner owner;
    auto pool = owner.AddPool("previews");
    auto& executor = owner.AddHost("m1", pool);
    executor.mEntry.mState = ExecutorState::Ready;
    executor.mDrainReason = DrainReason::ForMaintenance;
    for (auto number : { 1, 2 }) {
      owner.mWaves[number] = WaveOf({ MachineId("m1") });
      owner.mWaves[number].mNumber = number;
      auto phase = number == begun ? MaintenancePhase::Begun : MaintenancePhase::Finished;
      owner.mLog.mMaintenanceRecords[{ number, MachineId("m1") }] = { phase, executor.mEntry.mId };
    }
    auto& order = owner.mMaintenance.mOrders[{ begun, MachineId("m1") }];
    order.mFence = 5;
    order.mAcknowledged = true;
    for (int round = 0; round < 3; ++round) {
      owner.AdvanceWaves();
      BOOST_TEST((executor.mDrainReason == DrainReason::ForMaintenance));
    }
    // Back with another executor, that host takes work.
    auto& next = owner.AddHost("m1", pool);
    next.mDrainReason = DrainReason::None;
    owner.mLog.mMaintenanceRecords[{ begun, MachineId("m1") }].mFormerExecutor =
      ExecutorId("former");
    owner.AdvanceWaves();
    BOOST_TEST((next.mDrainReason == DrainReason::None));
  }
}

// Guards against a wave that is said to be completed while a host of it hasn't begun its
// maintenance (MIXED): one list of machines lacked the host, and it was taken for removed.
BOOST_AUTO_TEST_CASE(a_wave_is_not_completed_by_one_list_that_lacks_a_host)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  owner.AddHost("m1", pool);
  owner.AddHost("m2", pool);
  auto all = owner.mMachines.mMachines;
  owner.mShards.emplace(owner.Context().mReportingShard, MakeShard(0, {}, Instant(0s)));
  owner.mWaves[1] = WaveOf({ MachineId("m1"), MachineId("m2") });
  owner.mMaintenance.mReported[1] = false;
  owner.mLog.mMaintenanceRecords[{ 1, MachineId("m1") }] = { MaintenancePhase::Finished };
  auto isCompletedAfter = [&](bool aIsListed) {
    MachinesAnswer answer;
    answer.mResult = CallResult::Done;
    answer.mMachines.push_back(std::make_shared<const Machine>(all.at(MachineId("m1"))));
    if (aIsListed) {
      answer.mMachines.push_back(std::make_shared<const Machine>(all.at(MachineId("m2"))));
    }
    Actions actions;
    OnMachines(owner.mMachines, kNow, answer, actions);
    auto reports = Select<WaveStatusCall>(owner.AdvanceWaves());
    return !reports.empty() && reports[0].mCompleted;
  };
  BOOST_TEST(!isCompletedAfter(false));
  BOOST_TEST(!isCompletedAfter(true));
  BOOST_TEST(!isCompletedAfter(false));
  BOOST_TEST(!isCompletedAfter(true));
  // A host that has left is not waited for.
  BOOST_TEST(!isCompletedAfter(false));
  BOOST_TEST(!isCompletedAfter(false));
  BOOST_TEST(isCompletedAfter(false));
}

// Guards against more hosts down at once than a wave allows (LIMIT), because one list of machines
// lacked one that is down.
BOOST_AUTO_TEST_CASE(a_host_that_one_list_lacks_still_counts_as_down)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  owner.AddHost("m1", pool).mDrainReason = DrainReason::ForMaintenance;
  owner.AddHost("m2", pool);
  auto all = owner.mMachines.mMachines;
  owner.mWaves[1] = WaveOf({ MachineId("m1"), MachineId("m2") });
  owner.mWaves[1].mMaxConcurrent = 1;
  owner.mLog.mMaintenanceRecords[{ 1, MachineId("m2") }] = { MaintenancePhase::Begun };
  MachinesAnswer answer;
  answer.mResult = CallResult::Done;
  answer.mMachines.push_back(std::make_shared<const Machine>(all.at(MachineId("m1"))));
  Actions actions;
  OnMachines(owner.mMachines, kNow, answer, actions);
  BOOST_TEST(CountAppended(owner.AdvanceWaves(), "upkeep/") == 0);
}

// A host was ordered to move and to go down, and the fencing token of the second order was lower.
BOOST_AUTO_TEST_CASE(a_host_on_the_move_is_not_taken_down)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  auto& executor = owner.AddHost("m1", pool);
  executor.mDrainReason = DrainReason::ForMove;
  owner.mWaves[1] = WaveOf({ MachineId("m1") });
  owner.mLog.mMoves[MachineId("m1")] = { ServiceName("other"), kNow.mWall - 1s };
  BOOST_TEST(CountAppended(owner.AdvanceWaves(), "upkeep/") == 0);
  executor.mDrainReason = DrainReason::ForMaintenance;
  BOOST_TEST(CountAppended(owner.AdvanceWaves(), "upkeep/") == 0);
  owner.mLog.mMoves[MachineId("m1")].mAt = kNow.mWall - 10s;
  BOOST_TEST(CountAppended(owner.AdvanceWaves(), "upkeep/") == 1);
}

// A new owner sent the maintenance order that a former one had recorded, for a host on which tasks
// had been placed since.
BOOST_AUTO_TEST_CASE(a_host_that_a_former_owner_recorded_is_drained_first)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  auto& executor = owner.AddHost("m1", pool);
  executor.mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] = {};
  owner.mWaves[1] = WaveOf({ MachineId("m1") });
  owner.mLog.mMaintenanceRecords[{ 1, MachineId("m1") }] = { MaintenancePhase::Begun,
                                                             executor.mEntry.mId };
  BOOST_TEST(CountAppended(owner.AdvanceWaves(), "upkeep/") == 0);
  BOOST_TEST((executor.mDrainReason == DrainReason::ForMaintenance));
  executor.mRuns.clear();
  BOOST_TEST(CountAppended(owner.AdvanceWaves(), "upkeep/") == 1);
}

// An owner that had lost its shard and regained it continued with its former fencing token.
BOOST_AUTO_TEST_CASE(an_owner_that_regains_a_shard_records_its_orders_again)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  owner.AddHost("m1", pool).mDrainReason = DrainReason::ForMaintenance;
  owner.mWaves[1] = WaveOf({ MachineId("m1") });
  auto& shard = owner.mShards.begin()->second;
  shard.mEpoch = 7;
  MaintenanceKey key{ 1, MachineId("m1") };
  owner.mLog.mMaintenanceRecords[key] = { MaintenancePhase::Begun, ExecutorId("x-m1") };
  owner.mMaintenance.mOrders[key].mFence = 5;
  owner.mMaintenance.mOrders[key].mEpoch = 4;
  auto actions = owner.AdvanceWaves();
  for (const auto& action : actions) {
    BOOST_TEST(!std::holds_alternative<MaintenanceCall>(action));
  }
  BOOST_TEST(CountAppended(actions, "upkeep/") == 1);
}

// A step of two long-running tasks at work, one of which may be unavailable. The host of the first
// is about to go down.
struct OwnerOfTwoTasks : Owner
{
  OwnerOfTwoTasks()
  {
    auto pool = AddPool("previews");
    JobDefinition definition;
    definition.mService = pool;
    definition.mSteps = { MakeLongRunningStep(2, 1, 1) };
    auto& shard = mShards.begin()->second;
    auto& job =
      shard.mJobs.emplace(JobId("j"), MakeJob(JobId("j"), definition, nullptr)).first->second;
    for (int index = 0; index < 2; ++index) {
      TaskId name{ job.mId, 0, 0, index };
      auto& executor = AddHost("m" + std::to_string(index), pool);
      auto run = schedule::detail::MakeRun({}, definition.mSteps[0], RunState::Running, kNow.mAt);
      run.mPercent = 100;
      executor.mRuns[{ name, 1 }] = run;
      executor.mHeartbeatAnsweredAt = kNow.mAt;
      FindTask(job, name)->mAttempts.push_back({ executor.mEntry.mId, 1 });
      SetTaskState(job, name, TaskState::Placed);
    }
    Leaving().mDrainReason = DrainReason::ForMaintenance;
  }

  Executor& Leaving() { return mShards.begin()->second.mExecutors.at(ExecutorId("x-m0")); }
  Executor& Other() { return mShards.begin()->second.mExecutors.at(ExecutorId("x-m1")); }

  // Whether the task of the leaving host is to be stopped.
  bool IsStopped(Instant aNow)
  {
    schedule::detail::StopLongRunningTasks(mShards.begin()->second, Leaving(), aNow);
    return Leaving().mRuns.begin()->second.mStopRequested;
  }
};

// A task that the former owner had stopped was still listed as running, and the new owner stopped
// another task of the same step.
BOOST_AUTO_TEST_CASE(a_new_owner_waits_for_the_stops_of_the_former_one)
{
  OwnerOfTwoTasks owner;
  owner.mShards.begin()->second.mTakenOverAt = kNow.mAt - 500ms;
  BOOST_TEST(!owner.IsStopped(kNow.mAt));
  BOOST_TEST(owner.IsStopped(kNow.mAt + 2s));
}

// Guards against a stop while another task of the step is unavailable, which the owner has
// not heard of because answers are late.
BOOST_AUTO_TEST_CASE(no_task_is_stopped_on_old_knowledge_of_the_others)
{
  OwnerOfTwoTasks owner;
  owner.mShards.begin()->second.mTakenOverAt = kNow.mAt - 10s;
  owner.Other().mHeartbeatAnsweredAt = kNow.mAt - 3100ms;
  BOOST_TEST(!owner.IsStopped(kNow.mAt));
  owner.Other().mHeartbeatAnsweredAt = kNow.mAt - 100ms;
  BOOST_TEST(owner.IsStopped(kNow.mAt));
}

// Guards against a stop that was not answered and is repeated once another task of the step is
// unavailable.
BOOST_AUTO_TEST_CASE(a_stop_is_not_repeated_while_another_task_is_unavailable)
{
  OwnerOfTwoTasks owner;
  auto& shard = owner.mShards.begin()->second;
  shard.mTakenOverAt = kNow.mAt - 10s;
  BOOST_TEST(owner.IsStopped(kNow.mAt));
  const auto& [name, run] = *owner.Leaving().mRuns.begin();
  BOOST_TEST(schedule::detail::MaySendStop(shard, owner.Leaving(), name, run, kNow.mAt));
  owner.Other().mRuns.begin()->second.mPercent = 0;
  BOOST_TEST(!schedule::detail::MaySendStop(shard, owner.Leaving(), name, run, kNow.mAt));
  owner.Other().mRuns.begin()->second.mPercent = 100;
  owner.Other().mUnansweredCalls = 1;
  BOOST_TEST(!schedule::detail::MaySendStop(shard, owner.Leaving(), name, run, kNow.mAt));
}

BOOST_AUTO_TEST_CASE(a_host_that_is_down_does_not_move)
{
  Owner owner;
  auto reserve = owner.AddPool("reserve", true);
  owner.AddHost("m1", reserve);
  owner.mLog.mDemands[ServiceName("previews")] = { 3, 1, kNow.mWall };
  owner.mLog.mMaintenanceRecords[{ 1, MachineId("m1") }] = { MaintenancePhase::Begun,
                                                             ExecutorId() };
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
}

BOOST_AUTO_TEST_CASE(a_wave_stays_within_its_limit)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  for (const auto* name : { "m1", "m2" }) {
    owner.AddHost(name, pool).mDrainReason = DrainReason::ForMaintenance;
  }
  owner.AddHost("m3", pool);
  owner.mWaves[1] = WaveOf({ MachineId("m1"), MachineId("m2"), MachineId("m3") });
  owner.mLog.mMaintenanceRecords[{ 1, MachineId("m3") }] = { MaintenancePhase::Begun,
                                                             ExecutorId() };
  owner.mMachines.mMachines[MachineId("m3")].mState = MachineState::Maintenance;
  // An order that a former owner recorded is recorded again, for a token of this owner.
  auto actions = owner.AdvanceWaves();
  BOOST_TEST(CountAppended(actions, "upkeep/1/m3") == 1);
  BOOST_TEST(CountAppended(actions, "upkeep/") == 1);
}

BOOST_AUTO_TEST_CASE(no_more_hosts_are_given_than_are_wanted)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  for (const auto* name : { "m1", "m2", "m3", "m4", "m5" }) {
    owner.AddHost(name, pool);
  }
  owner.mLog.mDemands[ServiceName("previews")] = { 5, 2, kNow.mWall };
  owner.mLog.mMoves[MachineId("m9")] = { ServiceName("previews"), kNow.mWall - 500ms };
  auto actions = owner.AdvanceMoves();
  BOOST_TEST(CountAppended(actions, "move/") == 2);
}

BOOST_AUTO_TEST_CASE(a_pool_keeps_its_last_host_and_those_that_its_steps_spread_over)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  for (const auto* name : { "m1", "m2", "m3" }) {
    owner.AddHost(name, pool);
  }
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall };
  auto& shard = owner.mShards.begin()->second;
  JobDefinition definition;
  definition.mService = pool;
  definition.mSteps = { MakeLongRunningStep(2, 1, 0) };
  shard.mJobs.emplace(JobId("j"), MakeJob(JobId("j"), definition, nullptr));
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 1);
}

BOOST_AUTO_TEST_CASE(hosts_with_runs_are_not_moved)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  for (const auto* name : { "m1", "m2", "m3" }) {
    owner.AddHost(name, pool).mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] = {};
  }
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall };
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
}

// A pool that was short of one host waited until the pool that was short of thirty had them all.
BOOST_AUTO_TEST_CASE(a_small_shortage_does_not_wait_for_a_large_one)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  for (const auto* name : { "m1", "m2", "m3", "m4" }) {
    owner.AddHost(name, pool);
  }
  owner.mLog.mDemands[ServiceName("large")] = { 30, 2, kNow.mWall };
  owner.mLog.mDemands[ServiceName("small")] = { 6, 5, kNow.mWall };
  FleetLog recorded;
  for (const auto& action : owner.AdvanceMoves()) {
    if (const auto* append = std::get_if<AppendCall>(&action); append && append->mExpectedEnd) {
      for (const auto& record : append->mRecords) {
        BOOST_TEST(ApplyFleetRecord(recorded, record.mKey, record.mValue).ok());
      }
    }
  }
  std::map<ServiceName, int> counts;
  for (const auto& [id, move] : recorded.mMoves) {
    ++counts[move.mTo];
  }
  BOOST_TEST(counts[ServiceName("small")] == 1);
  BOOST_TEST(counts[ServiceName("large")] == 2);
}

BOOST_AUTO_TEST_CASE(an_old_demand_moves_nothing)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  owner.AddHost("m1", pool);
  owner.AddHost("m2", pool);
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall - 5s };
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
}

BOOST_AUTO_TEST_CASE(a_host_that_another_owner_may_have_ordered_is_left_alone)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  owner.AddHost("m1", pool);
  owner.AddHost("m2", pool);
  owner.mMachines.mInPoolSince[MachineId("m1")] = kNow.mAt - 1s;
  owner.mMachines.mInPoolSince[MachineId("m2")] = kNow.mAt - 1s;
  owner.mLog.mMoves[MachineId("m1")] = { pool, kNow.mWall - 7s };
  MaintenanceRecord maintenance{ MaintenancePhase::Finished, ExecutorId(), kNow.mWall - 7s };
  owner.mLog.mMaintenanceRecords[{ 1, MachineId("m2") }] = maintenance;
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall };
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
  maintenance.mPhase = MaintenancePhase::Begun;
  maintenance.mAt = kNow.mWall - 60s;
  owner.mLog.mMaintenanceRecords[{ 1, MachineId("m2") }] = maintenance;
  owner.mRebalance.mNextCheckAt = {};
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
}

// After a restart of all entry hosts in a peak, pools got no host for the minimum time between the
// orders of two owners.
BOOST_AUTO_TEST_CASE(a_new_owner_orders_hosts_at_once_that_nobody_ordered_lately)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  owner.AddHost("m1", pool);
  owner.AddHost("m2", pool);
  owner.mShards.begin()->second.mTakenOverAt = kNow.mAt - 100ms;
  owner.mMachines.mInPoolSince[MachineId("m1")] = kNow.mAt - 100ms;
  owner.mLog.mMoves[MachineId("m1")] = { pool, kNow.mWall - 9s };
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall };
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 1);
}

// In a peak, a new owner kept hosts that had arrived in the pool seconds ago for as long as if
// their last order could still be in flight.
BOOST_AUTO_TEST_CASE(a_new_owner_orders_hosts_that_have_arrived_by_their_last_order)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  owner.AddHost("m1", pool);
  owner.AddHost("m2", pool);
  owner.mShards.begin()->second.mTakenOverAt = kNow.mAt - 2s;
  owner.mMachines.mInPoolSince[MachineId("m1")] = kNow.mAt - 2s;
  owner.mMachines.mInPoolSince[MachineId("m2")] = kNow.mAt - 2s;
  owner.mLog.mMoves[MachineId("m2")] = { ServiceName("elsewhere"), kNow.mWall - 4s };
  owner.mLog.mMoves[MachineId("m1")] = { pool, kNow.mWall - 4s };
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall };
  owner.mMachines.mUpSince[MachineId("m1")] = kNow.mAt - 1s;
  owner.mMachines.mUpSince[MachineId("m2")] = kNow.mAt - 2s;
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
  // The move took 1.5 s, and the host is known to be up in the pool for 2 s.
  owner.mMachines.mUpSince[MachineId("m1")] = kNow.mAt - 2s;
  owner.mRebalance.mNextCheckAt = {};
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/m1") == 1);
}

// An entry host that was suspended after its record would have sent the order seconds later.
BOOST_AUTO_TEST_CASE(a_move_that_was_not_ordered_in_time_is_given_up)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  auto& executor = owner.AddHost("m1", pool);
  executor.mDrainReason = DrainReason::ForMove;
  MoveOrder order{ ServiceName("previews"), 0, 5 };
  order.mDeadline = kNow.mAt - 1s;
  owner.mRebalance.mOrders[MachineId("m1")] = order;
  for (const auto& action : owner.AdvanceMoves()) {
    BOOST_TEST(!std::holds_alternative<MoveCall>(action));
  }
  BOOST_TEST((executor.mDrainReason == DrainReason::None));
}

// Another executor may start on the host between record and order, and take work, as with
// maintenance.
BOOST_AUTO_TEST_CASE(a_move_is_ordered_only_while_nothing_runs_on_the_host)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  auto& executor = owner.AddHost("m1", pool);
  executor.mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] = {};
  MoveOrder order{ ServiceName("previews"), 0, 5 };
  order.mDeadline = kNow.mAt + 1s;
  owner.mRebalance.mOrders[MachineId("m1")] = order;
  auto countMoves = [&] {
    int count = 0;
    for (const auto& action : owner.AdvanceMoves()) {
      count += std::holds_alternative<MoveCall>(action) ? 1 : 0;
    }
    owner.mRebalance.mNextCheckAt = {};
    return count;
  };
  BOOST_TEST(countMoves() == 0);
  BOOST_TEST((executor.mDrainReason == DrainReason::ForMove));
  executor.mRuns.clear();
  BOOST_TEST(countMoves() == 1);
}

BOOST_AUTO_TEST_CASE(a_move_whose_append_was_refused_is_reverted)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  auto& executor = owner.AddHost("m1", pool);
  owner.AddHost("m2", pool);
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall };
  auto actions = owner.AdvanceMoves();
  BOOST_TEST(CountAppended(actions, "move/") == 1);
  BOOST_TEST((executor.mDrainReason == DrainReason::ForMove));
  AppendAnswer refused;
  refused.mCall.mExpectedEnd = 0;
  refused.mResult = CallResult::Refused;
  BOOST_TEST(!OnFleetAppend(owner.mLog, kNow, refused, actions));
  owner.mLog.mDemands.clear();
  owner.mRebalance.mNextCheckAt = {};
  owner.AdvanceMoves();
  BOOST_TEST((executor.mDrainReason == DrainReason::None));
}

// The hosts of a wave were recorded with one append each, which left no append for moves.
BOOST_AUTO_TEST_CASE(idle_hosts_of_a_wave_are_recorded_together_within_its_limit)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  for (const auto* name : { "m1", "m2", "m3" }) {
    owner.AddHost(name, pool).mDrainReason = DrainReason::ForMaintenance;
  }
  owner.mWaves[1] = WaveOf({ MachineId("m1"), MachineId("m2"), MachineId("m3") }, 2);
  auto actions = owner.AdvanceWaves();
  BOOST_TEST(CountAppended(actions, "upkeep/") == 2);
  BOOST_TEST(owner.mLog.mAppendPending);
}

// The store can answer a waiting read before the append. The hosts then stayed where they were, but
// were counted as moving.
BOOST_AUTO_TEST_CASE(an_append_counts_as_stored_when_a_read_returned_its_records_first)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  owner.AddHost("m1", pool);
  owner.AddHost("m2", pool);
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall };
  auto actions = owner.AdvanceMoves();
  AppendAnswer stored;
  stored.mCall = std::get<AppendCall>(actions.back());
  BOOST_REQUIRE(stored.mCall.mExpectedEnd);
  stored.mResult = CallResult::Done;
  ReadAnswer read;
  read.mCall.mStream = Stream::Fleet;
  read.mCall.mPartition = stored.mCall.mPartition;
  read.mResult = CallResult::Done;
  const auto& record = stored.mCall.mRecords.front();
  read.mRecords = { { record.mKey, record.mValue, 0 } };
  OnFleetRead(owner.mLog, kNow, read, actions);
  BOOST_TEST(OnFleetAppend(owner.mLog, kNow, stored, actions));
  BOOST_TEST(owner.mLog.mHostCursor.mPosition == 1);
}

// Demands change many times a second in a peak, and each change made a conditional append of moves
// fail.
BOOST_AUTO_TEST_CASE(demands_are_appended_without_condition_to_a_partition_of_their_own)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  auto& executor = owner.AddHost("m1", pool);
  auto& shard = owner.mShards.begin()->second;
  JobDefinition definition;
  definition.mService = pool;
  definition.mSteps = { MakeStep(40, 1, 1000ms) };
  definition.mAcceptedAt = kNow.mWall;
  definition.mStretchPercent = 160;
  shard.mJobs.emplace(JobId("j"), MakeJob(JobId("j"), definition, nullptr));
  executor.mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] = {};
  auto actions = owner.AdvanceMoves();
  BOOST_REQUIRE(CountAppended(actions, "demand/") == 1);
  for (const auto& action : actions) {
    if (const auto* append = std::get_if<AppendCall>(&action)) {
      BOOST_TEST(append->mPartition != owner.mLog.mHostCursor.mPartition);
      BOOST_TEST(!append->mExpectedEnd);
    }
  }
}

// After its peak, a pool has a task or two on each of its hosts, and none is idle.
BOOST_AUTO_TEST_CASE(a_pool_with_a_surplus_drains_hosts_for_one_that_is_short_of_them)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  std::vector<Executor*> executors;
  for (const auto* name : { "m1", "m2", "m3" }) {
    executors.push_back(&owner.AddHost(name, pool));
    PlacedRun run;
    run.mReserved = { static_cast<std::int64_t>(executors.size()) * 1000, 0, 0 };
    executors.back()->mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] = run;
  }
  executors[0]->mRuns.begin()->second.mIsLongRunning = true;
  owner.mLog.mDemands[ServiceName("previews")] = { 3, 2, kNow.mWall };
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
  // The host with the least reserved CPU drains, but none with a long-running task.
  BOOST_TEST((executors[0]->mDrainReason == DrainReason::None));
  BOOST_TEST((executors[1]->mDrainReason == DrainReason::ForMove));
  BOOST_TEST((executors[2]->mDrainReason == DrainReason::None));
  executors[1]->mRuns.clear();
  owner.mRebalance.mNextCheckAt = {};
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/m2") == 1);
}

BOOST_AUTO_TEST_CASE(a_draining_host_accepts_work_again_once_the_shortage_ends)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  owner.AddHost("m1", pool);
  auto& executor = owner.AddHost("m2", pool);
  for (auto& [id, each] : owner.mShards.begin()->second.mExecutors) {
    each.mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] = {};
  }
  owner.mLog.mDemands[ServiceName("previews")] = { 3, 2, kNow.mWall };
  owner.AdvanceMoves();
  BOOST_TEST(owner.mRebalance.mDraining.size() == 1u);
  owner.mLog.mDemands.clear();
  owner.mRebalance.mNextCheckAt = {};
  owner.AdvanceMoves();
  // The demand may be gone for a moment only.
  BOOST_TEST(owner.mRebalance.mDraining.size() == 1u);
  owner.mRebalance.mDraining.begin()->second.mLastNeededAt = kNow.mAt - 1s;
  owner.mRebalance.mNextCheckAt = {};
  owner.AdvanceMoves();
  BOOST_TEST(owner.mRebalance.mDraining.empty());
  BOOST_TEST((executor.mDrainReason == DrainReason::None));
}

// Where load moves from pool to pool, the pool whose peak is just over gives hosts before the one
// whose peak is still to come.
BOOST_AUTO_TEST_CASE(the_pool_with_the_most_recent_shortage_gives_hosts_first)
{
  Owner owner;
  auto before = owner.AddPool("before");
  for (const auto* name : { "m1", "m2", "m3" }) {
    owner.AddHost(name, before);
  }
  // Another entry host owns the pool "after", and has published that two of its hosts are idle.
  owner.mServices.push_back({ ServiceName("after"), false });
  owner.mLog.mDemands[ServiceName("after")] = { 1, 3, kNow.mWall, 2, kNow.mWall - 3s };
  owner.mLog.mDemands[ServiceName("now")] = { 4, 2, kNow.mWall };
  owner.mServices.push_back({ ServiceName("now"), false });
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
  // The preferred donor gave no host in time.
  owner.mRebalance.mShortageSince[ServiceName("now")] = kNow.mAt - 2s;
  owner.mRebalance.mNextCheckAt = {};
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 2);
}

// In a peak, the busy hosts of a wave were drained one at a time, and some were left when its time
// limit was over.
BOOST_AUTO_TEST_CASE(with_little_time_left_busy_hosts_drain_concurrently)
{
  for (auto elapsed : { 1s, 11s }) {
    Owner owner;
    auto pool = owner.AddPool("previews");
    std::vector<MachineId> machines;
    for (int i = 0; i < 6; ++i) {
      auto name = "m" + std::to_string(i);
      owner.AddHost(name, pool).mRuns[{ { JobId("j"), 0, 0, i }, 1 }] = {};
      machines.emplace_back(name);
    }
    owner.mWaves[1] = WaveOf(machines, 5);
    owner.mWaves[1].mSeenAt = kNow.mAt - elapsed;
    owner.AdvanceWaves();
    int draining = 0;
    for (const auto& [id, executor] : owner.mShards.begin()->second.mExecutors) {
      draining += executor.mDrainReason == DrainReason::ForMaintenance ? 1 : 0;
    }
    // The wave is planned to take ten of its twenty seconds, with four for each host.
    BOOST_TEST(draining == (elapsed == 1s ? 3 : 5));
  }
}

// In a pool with long-running jobs and a peak of short ones, the hosts with long-running tasks
// drained last. They drain a few at a time, which took longer than was left of the wave's time.
BOOST_AUTO_TEST_CASE(hosts_with_long_running_tasks_drain_from_the_start)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  std::vector<MachineId> machines;
  for (int i = 0; i < 8; ++i) {
    auto name = "m" + std::to_string(i);
    PlacedRun run;
    run.mIsLongRunning = i >= 4;
    run.mReserved = { 1000 + 1000 * i, 0, 0 };
    owner.AddHost(name, pool).mRuns[{ { JobId("j"), 0, 0, i }, 1 }] = run;
    machines.emplace_back(name);
  }
  owner.mWaves[1] = WaveOf(machines, 8);
  owner.mWaves[1].mSeenAt = kNow.mAt;
  owner.AdvanceWaves();
  int longRunning = 0;
  int others = 0;
  for (const auto& [id, executor] : owner.mShards.begin()->second.mExecutors) {
    if (executor.mDrainReason == DrainReason::ForMaintenance) {
      ++(executor.mRuns.begin()->second.mIsLongRunning ? longRunning : others);
    }
  }
  BOOST_TEST(longRunning == 4);
  BOOST_TEST(others == 4);
}

// Hosts that moved from pool to pool were never in one for long enough to be maintained.
BOOST_AUTO_TEST_CASE(a_host_that_is_due_for_maintenance_stays_in_its_pool_once_time_gets_short)
{
  Owner owner;
  auto pool = owner.AddPool("archives");
  owner.AddHost("m1", pool);
  owner.AddHost("m2", pool).mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] = {};
  owner.mWaves[1] = WaveOf({ MachineId("m1") });
  owner.mLog.mDemands[ServiceName("previews")] = { 3, 2, kNow.mWall };
  owner.mWaves[1].mSeenAt = kNow.mAt - 10s;
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
  owner.mWaves[1].mSeenAt = kNow.mAt - 2s;
  owner.mRebalance.mNextCheckAt = {};
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/m1") == 1);
}

// Between the record and the order of its maintenance, a host got another executor, which took
// long-running tasks. The order ended two tasks of one step.
BOOST_AUTO_TEST_CASE(maintenance_is_ordered_only_while_nothing_runs_on_the_host)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  auto& executor = owner.AddHost("m1", pool);
  owner.mWaves[1] = WaveOf({ MachineId("m1") });
  MaintenanceKey key{ 1, MachineId("m1") };
  owner.mLog.mMaintenanceRecords[key] = { MaintenancePhase::Begun,
                                          ExecutorId("former"),
                                          kNow.mWall - 1s };
  owner.mMaintenance.mOrders[key].mFence = 5;
  executor.mRuns[{ { JobId("j"), 0, 0, 0 }, 1 }] = {};
  auto actions = owner.AdvanceWaves();
  BOOST_TEST(actions.empty());
  BOOST_TEST((executor.mDrainReason == DrainReason::ForMaintenance));
  executor.mRuns.clear();
  actions = owner.AdvanceWaves();
  BOOST_REQUIRE(actions.size() == 1u);
  BOOST_TEST(std::holds_alternative<MaintenanceCall>(actions[0]));
}

// The record that an owner had made kept the owner itself from ordering the host.
BOOST_AUTO_TEST_CASE(an_owner_sends_at_once_the_order_that_it_has_recorded)
{
  Owner owner;
  auto pool = owner.AddPool("previews");
  owner.AddHost("m1", pool).mDrainReason = DrainReason::ForMaintenance;
  owner.mMachines.mInPoolSince[MachineId("m1")] = kNow.mAt - 1s;
  owner.mWaves[1] = WaveOf({ MachineId("m1") });
  MaintenanceKey key{ 1, MachineId("m1") };
  owner.mLog.mMaintenanceRecords[key] = { MaintenancePhase::Begun, ExecutorId("x-m1"), kNow.mWall };
  owner.mMaintenance.mOrders[key].mFence = 5;
  auto actions = owner.AdvanceWaves();
  BOOST_REQUIRE(actions.size() == 1u);
  BOOST_TEST(std::holds_alternative<MaintenanceCall>(actions[0]));
}

BOOST_AUTO_TEST_CASE(the_records_of_a_host_are_found_in_all_waves)
{
  FleetLog log;
  for (std::int64_t wave : { 2, 3, 7 }) {
    for (const auto* host : { "m1", "m2", "m3" }) {
      log.mMaintenanceRecords[{ wave, MachineId(host) }] = { MaintenancePhase::Finished,
                                                             ExecutorId(host) };
    }
  }
  log.mMaintenanceRecords.erase({ 3, MachineId("m2") });
  BOOST_TEST(MaintenanceOf(log, MachineId("m1")).size() == 3u);
  auto records = MaintenanceOf(log, MachineId("m2"));
  BOOST_REQUIRE(records.size() == 2u);
  BOOST_TEST(records[0]->mFormerExecutor.mValue == "m2");
  BOOST_TEST(MaintenanceOf(log, MachineId("m4")).empty());
}

BOOST_AUTO_TEST_SUITE_END()
