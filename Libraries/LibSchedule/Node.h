#pragma once

#include "LibSchedule/FleetPace.h"
#include "LibSchedule/Follower.h"
#include "LibSchedule/GroupMembership.h"
#include "LibSchedule/HostIndex.h"
#include "LibSchedule/Intake.h"
#include "LibSchedule/Maintenance.h"
#include "LibSchedule/QueueHomes.h"
#include "LibSchedule/QuotaKeeping.h"
#include "LibSchedule/Rebalance.h"
#include "LibSchedule/RelayService.h"
#include "LibSchedule/RelayedCalls.h"
#include "LibSchedule/Shard.h"
#include "LibSchedule/StatusView.h"

#include <map>
#include <variant>

// One entry host: it accepts jobs and answers queries for all shards, and schedules the jobs of the
// shards that it owns. It does no I/O: it takes events and the current time, and returns actions.
namespace sesameseam::schedule {

struct NodeSettings
{
  std::string mName;
  int mCapacityMillicores = 1000;
  std::chrono::milliseconds mMemberTimeToLive{ 1500 };
  // The number of partitions of each stream. Each service maps to one of them, its shard.
  int mPartitions = 24;
  FollowerSettings mFollower;
  LeaseLimits mLease;
  std::chrono::milliseconds mStopTime{ 900 };
  std::chrono::milliseconds mHolderLease{ 3000 };
  RebalanceSettings mRebalance;
  Duration mShareCallsDelay = 15ms;
};

struct NodeCounters
{
  std::int64_t mRequests = 0;
  std::int64_t mBadRequests = 0;
  std::int64_t mUnknownQueues = 0;
  // Calls that showed no known key, and calls that the manifest may have been too old to decide on.
  std::int64_t mUnauthorized = 0;
  std::int64_t mUndecidedKeys = 0;
  // Calls about a job of another tenant.
  std::int64_t mForeignJobs = 0;
  std::int64_t mTakeOvers = 0;
};

struct Node
{
  NodeSettings mSettings;
  GroupMembership mGroup;
  Follower mFollower;
  QueueHomes mQueues;
  // How many services had jobs when the shards were last chosen.
  std::int64_t mKnownServiceChanges = 0;
  Intake mIntake;
  FleetLog mFleetLog;
  MachineList mMachines;
  HostIndex mHosts;
  Maintenance mMaintenance;
  Rebalance mRebalance;
  QuotaKeeping mQuotas;
  FleetPace mFleetPace;
  std::map<int, Shard> mShards;
  std::map<int, StatusView> mViews;
  // Calls of this host's shards that other hosts make, and the other way round.
  RelayedCalls mRelayedCalls;
  RelayService mRelayService;
  NodeCounters mCounters;
  // The sum of the counters of shards that this host no longer owns.
  ShardCounters mFormerShardCounters;
  bool mStopping = false;
};

// Only the time has advanced.
struct Tick
{
  // When a regular tick was due. It is handled later if the host is short of processor time. Empty
  // for a tick that the node has asked for.
  std::optional<Instant> mDueAt;
};

// The process was asked to stop: other hosts take its shards over, and it accepts no new
// connections.
struct StopRequested
{};

using Event = std::variant<Tick,
                           StopRequested,
                           CallerRequest,
                           AppendAnswer,
                           ReadAnswer,
                           ReadNewestAnswer,
                           JoinAnswer,
                           OwnersAnswer,
                           HeartbeatAnswer,
                           StartAnswer,
                           StopAnswer,
                           ThrottleAnswer,
                           RelayAnswer,
                           RelayIncoming,
                           MachinesAnswer,
                           MaintenanceAnswer,
                           MoveAnswer,
                           WaveStatusAnswer>;

Node
MakeNode(const NodeSettings& aSettings);

Actions
Handle(Node& aNode, const Now& aNow, Event aEvent);

// When the node has to handle an event at the latest, beside the regular ticks; empty if these
// suffice.
std::optional<Instant>
NextWakeAt(const Node& aNode);

// Whether callers should be sent to this host.
bool
IsReady(const Node& aNode, Instant aNow);

// Returns the sum of the counters of all shards that this host owns or has owned.
ShardCounters
SumCounters(const Node& aNode);

}
