#include "Actions.h"
#include "FleetOwner.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

BOOST_AUTO_TEST_SUITE(TheFleet)

// A host that had returned from maintenance, but was not recorded as finished yet, was drained
// again.
BOOST_AUTO_TEST_CASE(a_host_that_returned_from_maintenance_is_not_drained)
{
  FleetOwner owner;
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
  FleetOwner owner;
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
    FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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

BOOST_AUTO_TEST_CASE(a_wave_stays_within_its_limit)
{
  FleetOwner owner;
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

// The hosts of a wave were recorded with one append each, which left no append for moves.
BOOST_AUTO_TEST_CASE(idle_hosts_of_a_wave_are_recorded_together_within_its_limit)
{
  FleetOwner owner;
  auto pool = owner.AddPool("previews");
  for (const auto* name : { "m1", "m2", "m3" }) {
    owner.AddHost(name, pool).mDrainReason = DrainReason::ForMaintenance;
  }
  owner.mWaves[1] = WaveOf({ MachineId("m1"), MachineId("m2"), MachineId("m3") }, 2);
  auto actions = owner.AdvanceWaves();
  BOOST_TEST(CountAppended(actions, "upkeep/") == 2);
  BOOST_TEST(owner.mLog.mAppendPending);
}

// In a peak, the busy hosts of a wave were drained one at a time, and some were left when its time
// limit was over.
BOOST_AUTO_TEST_CASE(with_little_time_left_busy_hosts_drain_concurrently)
{
  for (auto elapsed : { 1s, 11s }) {
    FleetOwner owner;
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
  FleetOwner owner;
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

// Between the record and the order of its maintenance, a host got another executor, which took
// long-running tasks. The order ended two tasks of one step.
BOOST_AUTO_TEST_CASE(maintenance_is_ordered_only_while_nothing_runs_on_the_host)
{
  FleetOwner owner;
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
  FleetOwner owner;
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
