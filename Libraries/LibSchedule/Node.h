#pragma once

#include "LibSchedule/Follower.h"
#include "LibSchedule/GroupMembership.h"
#include "LibSchedule/Intake.h"
#include "LibSchedule/Rebalance.h"
#include "LibSchedule/Shard.h"
#include "LibSchedule/StatusView.h"
#include "LibSchedule/Upkeep.h"

#include <map>
#include <variant>

// One entry host: it takes in jobs and answers questions for all shards, and schedules those that
// it owns. Without I/O: an event and the present time go in, actions come out.
namespace sesameseam::schedule {

struct NodeSettings
{
  std::string mName;
  int mCapacityMillicores = 1000;
  // Partitions of each stream; the shard of a service is one of them.
  int mPartitions = 24;
  LeaseLimits mLease;
  std::chrono::milliseconds mStopTime{ 900 };
  std::chrono::milliseconds mHolderLease{ 3000 };
  RebalanceSettings mRebalance;
};

struct NodeCounters
{
  std::int64_t mRequests = 0;
  std::int64_t mBadRequests = 0;
  std::int64_t mUnknownQueues = 0;
  std::int64_t mTakeOvers = 0;
};

struct Node
{
  NodeSettings mSettings;
  GroupMembership mGroup;
  Follower mFollower;
  Intake mIntake;
  FleetLog mFleetLog;
  MachineList mMachines;
  Upkeep mUpkeep;
  Rebalance mRebalance;
  Instant mNextFleetCheckAt;
  std::map<int, Shard> mShards;
  std::map<int, StatusView> mViews;
  NodeCounters mCounters;
  // What shards counted that this host owns no more.
  ShardCounters mFormerShardCounters;
  bool mStopping = false;
};

// Only time has passed.
struct Tick
{};

// The process is asked to stop: its shards go to others, and it takes no new connections.
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
                           MachinesAnswer,
                           MaintenanceAnswer,
                           MoveAnswer,
                           WaveStatusAnswer>;

Node
MakeNode(const NodeSettings& aSettings);

Actions
Handle(Node& aNode, const Now& aNow, const Event& aEvent);

// Whether callers should be sent here.
bool
IsReady(const Node& aNode, Instant aNow);

// The sums over the shards that this host owns or has owned.
ShardCounters
SumCounters(const Node& aNode);

}
