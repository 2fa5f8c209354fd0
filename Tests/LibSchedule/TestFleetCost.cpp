#include "FleetPlay.h"
#include "LibSchedule/Demand.h"
#include "LibSchedule/Node.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr int kPartitions = 24;
constexpr Instant kStart(100s);
constexpr TimePoint kWallStart(1000s);

// How many hosts, executors and jobs decisions have looked at.
struct Visits
{
  std::int64_t mHosts = 0;
  std::int64_t mExecutors = 0;
  std::int64_t mJobs = 0;

  [[nodiscard]] std::int64_t Sum() const { return mHosts + mExecutors + mJobs; }
};

// A calm fleet of five pools, one of them a reserve, in which each host runs a task of a job of its
// own, and a wave has maintained all hosts.
struct CalmFleet
{
  static constexpr int kPools = 5;

  std::map<std::int64_t, Wave> mWaves;
  std::map<int, Shard> mShards;
  FleetLog mLog;
  MachineList mMachines;
  HostIndex mHosts;
  Maintenance mMaintenance;
  Rebalance mRebalance;
  std::vector<Service> mServices;
  Now mNow{ kStart, kWallStart };

  explicit CalmFleet(int aHosts)
  {
    mLog.mHostCursor.mLoaded = true;
    mMachines.mIsKnown = true;
    for (int i = 0; i < kPools; ++i) {
      ServiceName pool("pool-" + std::to_string(i));
      mServices.push_back({ pool, i == 0 });
      auto partition = PartitionOf(pool, kPartitions);
      auto& shard = mShards.emplace(partition, MakeShard(partition, {}, {})).first->second;
      shard.mPhase = ShardPhase::Active;
    }
    auto& wave = mWaves[1];
    wave.mNumber = 1;
    wave.mTimeLimit = 20s;
    wave.mSeenAt = kStart - 60s;
    for (int i = 0; i < aHosts; ++i) {
      AddHost(i, wave);
    }
    for (int i = 0; i < 4; ++i) {
      Decide();
    }
  }

  void AddHost(int aNumber, Wave& aWave)
  {
    const auto& pool = mServices[static_cast<std::size_t>(aNumber % kPools)].mName;
    Machine machine{ MachineId("m" + std::to_string(aNumber)),
                     pool,
                     MachineState::Up,
                     ExecutorId("x" + std::to_string(aNumber)) };
    mMachines.mMachines[machine.mId] = machine;
    mMachines.mInPoolSince[machine.mId] = Instant(0s);
    aWave.mMachines.push_back(machine.mId);
    mLog.mMaintenanceRecords[{ 1, machine.mId }] = { MaintenancePhase::Finished, ExecutorId() };
    auto& shard = mShards.at(PartitionOf(pool, kPartitions));
    UpdateExecutor(shard, mNow, { machine.mExecutor, pool, {}, {}, {}, { 8000, 64000, 0 } });
    auto& executor = shard.mExecutors.at(machine.mExecutor);
    executor.mHasAnsweredHeartbeat = true;
    JobDefinition definition;
    definition.mService = pool;
    definition.mSteps = { MakeStep(1, 1) };
    JobId id("j" + std::to_string(aNumber));
    auto& job = shard.mJobs.emplace(id, MakeJob(id, definition, nullptr)).first->second;
    TaskId task{ id, 0, 0, 0 };
    auto run = schedule::detail::MakeRun(definition, definition.mSteps[0], RunState::Running, {});
    AddRun(shard.mUsage, executor, { task, 1 }, run);
    SetTaskState(job, task, TaskState::Placed);
    schedule::detail::MarkDirty(shard, job);
  }

  // Ends the run and the job of a host.
  void EndJob(int aNumber)
  {
    const auto& pool = mServices[static_cast<std::size_t>(aNumber % kPools)].mName;
    auto& shard = mShards.at(PartitionOf(pool, kPartitions));
    auto& job = shard.mJobs.at(JobId("j" + std::to_string(aNumber)));
    auto& executor = shard.mExecutors.at(ExecutorId("x" + std::to_string(aNumber)));
    RemoveRun(shard.mUsage, executor, { { job.mId, 0, 0, 0 }, 1 });
    SetTaskState(job, { job.mId, 0, 0, 0 }, TaskState::Done);
    schedule::detail::MarkDirty(shard, job);
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

  [[nodiscard]] Visits AllVisits() const
  {
    Visits visits{ mHosts.mVisits };
    for (const auto& [partition, shard] : mShards) {
      visits.mExecutors += shard.mDemand.mExecutorVisits;
      visits.mJobs += shard.mDemand.mJobVisits;
    }
    return visits;
  }

  // Returns what a round of decisions looks at.
  Visits Decide()
  {
    mNow = { mNow.mAt + 200ms, mNow.mWall + 200ms };
    for (auto& [partition, shard] : mShards) {
      shard.mConfirmedAt = mNow.mAt;
    }
    auto before = AllVisits();
    Actions actions;
    AdvanceMaintenance(mMaintenance, mNow, Context(), actions);
    AdvanceRebalance(mRebalance, {}, mNow, Context(), mServices, actions);
    AppendBatch(mLog, actions);
    auto after = AllVisits();
    return { after.mHosts - before.mHosts,
             after.mExecutors - before.mExecutors,
             after.mJobs - before.mJobs };
  }
};

// What an owner does about hosts in some seconds.
struct OwnerWork
{
  std::int64_t mChecks = 0;
  std::int64_t mAppends = 0;
  std::int64_t mOrders = 0;
  // The longest time from the record of an order to the order.
  Duration mLongestToOrder{ 0 };
};

// An owner whose timers are late, with a wave and a pool elsewhere that is short of hosts. Orders
// are refused, so that they are repeated.
class LateOwner
{
public:
  explicit LateOwner(Duration aLateness)
    : mLateness(aLateness)
  {
    NodeSettings settings;
    settings.mName = "e1";
    mNode = MakeNode(settings);
    Manifest manifest;
    manifest.mServices = { { ServiceName("pool"), false }, { ServiceName("short"), false } };
    mNode.mFollower.mManifest = manifest;
    mNode.mFleetLog.mHostCursor.mLoaded = true;
    mNode.mMachines.mIsKnown = true;
    mNode.mMachines.mNextReadAt = Instant::max();
    auto partition = PartitionOf(ServiceName("pool"), settings.mPartitions);
    auto& shard = mNode.mShards.emplace(partition, MakeShard(partition, {}, {})).first->second;
    shard.mPhase = ShardPhase::Active;
    auto& wave = mNode.mFollower.mWaves[1];
    wave.mNumber = 1;
    wave.mTimeLimit = 20s;
    wave.mMaxConcurrent = 5;
    wave.mSeenAt = kStart;
    for (int i = 0; i < 40; ++i) {
      AddHost("m" + std::to_string(i), shard, i < 20 ? &wave : nullptr);
    }
  }

  OwnerWork RunFor(Duration aTime)
  {
    for (Duration elapsed{ 0 }; elapsed < aTime; elapsed += 10ms) {
      Now now{ kStart + elapsed, kWallStart + elapsed };
      for (auto& [partition, shard] : mNode.mShards) {
        shard.mConfirmedAt = now.mAt;
      }
      mNode.mFleetLog.mDemands[ServiceName("short")] = { 30, 20, now.mWall };
      Count(Handle(mNode, now, Tick{ now.mAt - mLateness }), now);
      for (const auto& answer : std::exchange(mAnswers, {})) {
        Count(Handle(mNode, now, answer), now);
      }
    }
    mWork.mChecks = mNode.mFleetPace.mDecisions;
    return mWork;
  }

private:
  void AddHost(const std::string& aName, Shard& aShard, Wave* aWave)
  {
    Machine machine{ MachineId(aName), ServiceName("pool"), MachineState::Up, ExecutorId(aName) };
    mNode.mMachines.mMachines[machine.mId] = machine;
    mNode.mMachines.mInPoolSince[machine.mId] = Instant(0s);
    ExecutorEntry entry{ machine.mExecutor, machine.mPool, {}, {}, {}, { 8000, 64000, 0 } };
    UpdateExecutor(aShard, { kStart, kWallStart }, entry);
    aShard.mExecutors.at(entry.mId).mHasAnsweredHeartbeat = true;
    if (aWave != nullptr) {
      aWave->mMachines.push_back(machine.mId);
    }
  }

  void CountOrder(const MachineId& aMachine, const Now& aNow)
  {
    ++mWork.mOrders;
    auto recorded = mRecordedAt.find(aMachine);
    if (recorded != mRecordedAt.end()) {
      mWork.mLongestToOrder =
        std::max<Duration>(mWork.mLongestToOrder, aNow.mAt - recorded->second);
      mRecordedAt.erase(recorded);
    }
  }

  void Count(const Actions& aActions, const Now& aNow)
  {
    for (const auto& call : Select<AppendCall>(aActions)) {
      if (call.mStream != Stream::Fleet || !call.mExpectedEnd) {
        continue;
      }
      ++mWork.mAppends;
      AppendAnswer answer;
      answer.mCall = call;
      answer.mResult = CallResult::Done;
      answer.mOffset = mNode.mFleetLog.mHostCursor.mPosition;
      mAnswers.emplace_back(answer);
      for (const auto& record : call.mRecords) {
        mRecordedAt[MachineId(record.mKey.substr(record.mKey.rfind('/') + 1))] = aNow.mAt;
      }
    }
    for (const auto& call : Select<MaintenanceCall>(aActions)) {
      CountOrder(call.mMachine, aNow);
      mAnswers.emplace_back(MaintenanceAnswer{ call, CallResult::Refused });
    }
    for (const auto& call : Select<MoveCall>(aActions)) {
      CountOrder(call.mMachine, aNow);
      mAnswers.emplace_back(MoveAnswer{ call, CallResult::Refused });
    }
  }

  Duration mLateness;
  Node mNode;
  std::vector<Event> mAnswers;
  std::map<MachineId, Instant> mRecordedAt;
  OwnerWork mWork;
};

}

BOOST_AUTO_TEST_SUITE(TheCostOfTheFleet)

// Guards against an owner whose processor time goes into hosts, executors and jobs of which none
// has changed, the more the larger its pools are (SHORT).
BOOST_AUTO_TEST_CASE(decisions_look_at_nothing_while_nothing_changes)
{
  for (int hosts : { 50, 500, 5000 }) {
    CalmFleet fleet(hosts);
    BOOST_TEST_CONTEXT(hosts << " hosts")
    {
      BOOST_TEST(fleet.Decide().Sum() == 0);
      BOOST_TEST(fleet.Decide().Sum() == 0);
    }
  }
}

// Guards against an owner that measures all jobs and executors again for the end of one job
// (SHORT).
BOOST_AUTO_TEST_CASE(an_end_costs_one_job_and_the_hosts_of_its_pool)
{
  for (int hosts : { 50, 500, 5000 }) {
    CalmFleet fleet(hosts);
    fleet.EndJob(hosts - 1);
    auto visits = fleet.Decide();
    BOOST_TEST_CONTEXT(hosts << " hosts")
    {
      BOOST_TEST(visits.mJobs == 1);
      BOOST_TEST(visits.mExecutors == 0);
      BOOST_TEST(visits.mHosts <= hosts / CalmFleet::kPools);
      BOOST_TEST(fleet.Decide().Sum() == 0);
    }
  }
}

// Guards against an owner that looks at all hosts of a wave for as long as the wave lasts (SHORT).
BOOST_AUTO_TEST_CASE(a_wave_costs_only_the_hosts_that_it_has_yet_to_maintain)
{
  for (int hosts : { 50, 500, 5000 }) {
    CalmFleet fleet(hosts);
    auto& wave = fleet.mWaves[2];
    wave.mNumber = 2;
    wave.mTimeLimit = 20s;
    wave.mSeenAt = fleet.mNow.mAt;
    wave.mMachines = fleet.mWaves.at(1).mMachines;
    for (const auto& id : wave.mMachines) {
      fleet.mLog.mMaintenanceRecords[{ 2, id }] = { MaintenancePhase::Finished, ExecutorId() };
    }
    // The executor of a host is down.
    fleet.mLog.mMaintenanceRecords[{ 2, MachineId("m7") }].mPhase = MaintenancePhase::Begun;
    fleet.mMachines.mMachines.at(MachineId("m7")).mState = MachineState::Maintenance;
    fleet.mLog.mAppendPending = true;
    fleet.Decide();
    BOOST_TEST_CONTEXT(hosts << " hosts")
    {
      // One look for each wave that lists the host.
      BOOST_TEST(fleet.Decide().Sum() == 2);
    }
  }
}

// Guards against decisions from an index or sums that no longer match what they were built from: a
// host would be taken down twice, moved while tasks run there, or forgotten by a wave.
BOOST_AUTO_TEST_CASE(decisions_are_those_of_an_owner_that_keeps_nothing)
{
  auto holds = rc::check([] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    constexpr int kSteps = 200;
    RC_ASSERT(FleetPlay(seed, false).Run(kSteps) == FleetPlay(seed, true).Run(kSteps));
  });
  BOOST_TEST(holds);
}

// Guards against demands from sums that miss a job or a change: a pool would be given too few hosts
// (SHORT), or draw hosts that others need.
BOOST_AUTO_TEST_CASE(sums_of_demand_are_those_of_all_jobs_and_executors)
{
  auto holds = rc::check([] {
    FleetPlay play(*rc::gen::arbitrary<std::uint64_t>(), false);
    play.mCheckDemand = [](Shard& aShard, const ServiceName& aPool, const Now& aNow) {
      auto kept = UpdateDemand(aShard, aPool, aNow);
      auto estimate = EstimateDemand(aShard, aPool, aNow);
      RC_ASSERT(kept.mWanted == estimate.mWanted);
      RC_ASSERT(kept.mPresent == estimate.mPresent);
    };
    play.Run(200);
  });
  BOOST_TEST(holds);
}

// Guards against load that keeps itself up: an owner without processor time that looks at its hosts
// more often, or sends more calls or appends.
BOOST_AUTO_TEST_CASE(lateness_never_raises_the_number_of_checks_calls_or_appends)
{
  OwnerWork last;
  auto isFirst = true;
  for (auto lateness : { 0ms, 5ms, 15ms, 30ms, 80ms, 200ms, 1000ms }) {
    auto work = LateOwner(lateness).RunFor(10s);
    BOOST_TEST_CONTEXT("timers late by " << lateness.count() << " ms")
    {
      BOOST_TEST(work.mOrders > 0);
      BOOST_TEST((isFirst || work.mChecks <= last.mChecks));
      BOOST_TEST((isFirst || work.mAppends <= last.mAppends));
      BOOST_TEST((isFirst || work.mOrders <= last.mOrders));
    }
    last = work;
    isFirst = false;
  }
  BOOST_TEST(last.mChecks * 4 <= LateOwner(0ms).RunFor(10s).mChecks);
}

// Guards against hosts that are recorded as down or on the move for long because a late owner does
// not send the order, and against moves that are given up for that.
BOOST_AUTO_TEST_CASE(a_late_owner_sends_recorded_orders_as_soon_as_others)
{
  auto inTime = LateOwner(0ms).RunFor(10s);
  auto late = LateOwner(200ms).RunFor(10s);
  BOOST_TEST(late.mLongestToOrder <= inTime.mLongestToOrder + 40ms);
}

BOOST_AUTO_TEST_SUITE_END()
