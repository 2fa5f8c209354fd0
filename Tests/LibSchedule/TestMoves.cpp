#include "FleetOwner.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

BOOST_AUTO_TEST_SUITE(TheFleet)

BOOST_AUTO_TEST_CASE(a_host_that_is_down_does_not_move)
{
  FleetOwner owner;
  auto reserve = owner.AddPool("reserve", true);
  owner.AddHost("m1", reserve);
  owner.mLog.mDemands[ServiceName("previews")] = { 3, 1, kNow.mWall };
  owner.mLog.mMaintenanceRecords[{ 1, MachineId("m1") }] = { MaintenancePhase::Begun,
                                                             ExecutorId() };
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
}

BOOST_AUTO_TEST_CASE(no_more_hosts_are_given_than_are_wanted)
{
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
  auto pool = owner.AddPool("archives");
  owner.AddHost("m1", pool);
  owner.AddHost("m2", pool);
  owner.mLog.mDemands[ServiceName("previews")] = { 9, 2, kNow.mWall - 5s };
  BOOST_TEST(CountAppended(owner.AdvanceMoves(), "move/") == 0);
}

BOOST_AUTO_TEST_CASE(a_host_that_another_owner_may_have_ordered_is_left_alone)
{
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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

// The store can answer a waiting read before the append. The hosts then stayed where they were, but
// were counted as moving.
BOOST_AUTO_TEST_CASE(an_append_counts_as_stored_when_a_read_returned_its_records_first)
{
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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
  FleetOwner owner;
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

// Hosts that moved from pool to pool were never in one for long enough to be maintained.
BOOST_AUTO_TEST_CASE(a_host_that_is_due_for_maintenance_stays_in_its_pool_once_time_gets_short)
{
  FleetOwner owner;
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

BOOST_AUTO_TEST_SUITE_END()
