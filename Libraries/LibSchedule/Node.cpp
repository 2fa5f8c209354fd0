#include "LibSchedule/Node.h"

#include "LibSchedule/CallerRequests.h"

#include <set>
#include <utility>

namespace sesameseam::schedule {

namespace {

// A host that has had no answer from the log for this long reports that it is not ready.
constexpr Duration kReadinessTimeout = 3s;

std::set<int>
PartitionsInUse(const Node& aNode)
{
  std::set<int> partitions;
  if (aNode.mFollower.mManifest) {
    for (const auto& service : aNode.mFollower.mManifest->mServices) {
      partitions.insert(PartitionOf(service.mName, aNode.mSettings.mPartitions));
    }
  }
  return partitions;
}

// The partitions that need an owner: also those of services that no manifest names any more, since
// they may have jobs.
std::set<int>
PartitionsToServe(const Node& aNode)
{
  auto partitions = PartitionsInUse(aNode);
  for (const auto& service : aNode.mQueues.mServices) {
    partitions.insert(PartitionOf(service, aNode.mSettings.mPartitions));
  }
  return partitions;
}

// Has the homes of queues recorded whose service this host schedules, so that the first caller need
// not wait for it.
void
RecordHomes(Node& aNode)
{
  if (!aNode.mFollower.mManifest || !aNode.mQueues.mLoaded) {
    return;
  }
  for (const auto& route : aNode.mFollower.mManifest->mRoutes) {
    auto partition = PartitionOf(route.mService, aNode.mSettings.mPartitions);
    if (aNode.mShards.contains(partition) && FindHome(aNode.mQueues, route) == nullptr) {
      WantHome(aNode.mQueues, route);
    }
  }
}

// Applies a changed entry to a shard. An executor that now belongs to another shard is removed.
void
ApplyExecutorEntry(Node& aNode, const Now& aNow, Shard& aShard, const ExecutorEntry& aEntry)
{
  if (PartitionOf(aEntry.mService, aNode.mSettings.mPartitions) == aShard.mPartition) {
    UpdateExecutor(aShard, aNow, aEntry);
    return;
  }
  if (aShard.mExecutors.contains(aEntry.mId)) {
    auto gone = aEntry;
    gone.mState = ExecutorState::Gone;
    UpdateExecutor(aShard, aNow, gone);
  }
}

void
AddCounters(ShardCounters& aSum, const ShardCounters& aPart)
{
  aSum.mStarts += aPart.mStarts;
  aSum.mStartsRefused += aPart.mStartsRefused;
  aSum.mStartsUnanswered += aPart.mStartsUnanswered;
  aSum.mTasksDone += aPart.mTasksDone;
  aSum.mTasksFailed += aPart.mTasksFailed;
  aSum.mTasksLost += aPart.mTasksLost;
  aSum.mTasksCrashed += aPart.mTasksCrashed;
  aSum.mRunsReturned += aPart.mRunsReturned;
  aSum.mJobsCompleted += aPart.mJobsCompleted;
  aSum.mJobsFailed += aPart.mJobsFailed;
  aSum.mJobsCancelled += aPart.mJobsCancelled;
  aSum.mPlacementPasses += aPart.mPlacementPasses;
  aSum.mStepsExamined += aPart.mStepsExamined;
  aSum.mExecutorsExamined += aPart.mExecutorsExamined;
}

void
AddShard(Node& aNode, const Now& aNow, int aPartition)
{
  ShardSettings settings;
  settings.mHost = aNode.mSettings.mName;
  settings.mLease = aNode.mSettings.mLease;
  settings.mStopTime = aNode.mSettings.mStopTime;
  settings.mPartitions = aNode.mSettings.mPartitions;
  auto& shard =
    aNode.mShards.emplace(aPartition, MakeShard(aPartition, settings, aNow.mAt)).first->second;
  ++aNode.mCounters.mTakeOvers;
  if (aNode.mFollower.mManifest) {
    UpdateTenants(shard.mTenantShares, aNode.mFollower.mManifest->mTenants);
  }
  for (const auto& [id, entry] : aNode.mFollower.mExecutors) {
    ApplyExecutorEntry(aNode, aNow, shard, entry);
  }
}

// Makes the owned shards match the partitions that the group assigned to this host.
void
ReconcileShards(Node& aNode, const Now& aNow)
{
  auto toServe = PartitionsToServe(aNode);
  aNode.mKnownServiceChanges = aNode.mQueues.mServiceChanges;
  std::erase_if(aNode.mShards, [&](const auto& aEntry) {
    const auto& [partition, shard] = aEntry;
    auto isOver = shard.mPhase == ShardPhase::Lost || !aNode.mGroup.mPartitions.contains(partition);
    if (isOver) {
      AddCounters(aNode.mFormerShardCounters, shard.mCounters);
    }
    return isOver;
  });
  for (auto partition : aNode.mGroup.mPartitions) {
    if (toServe.contains(partition) && !aNode.mShards.contains(partition)) {
      AddShard(aNode, aNow, partition);
    }
  }
  RecordHomes(aNode);
}

void
ApplyChanges(Node& aNode, const Now& aNow, const FollowerChanges& aChanges, Actions& aActions)
{
  if (aChanges.mManifest) {
    for (auto& [partition, shard] : aNode.mShards) {
      UpdateTenants(shard.mTenantShares, aNode.mFollower.mManifest->mTenants);
    }
    OnManifestChange(aNode.mQueues, aNow.mAt, aNode.mSettings.mFollower.mManifestDeadline);
    ReconcileShards(aNode, aNow);
    auto shards = static_cast<int>(PartitionsInUse(aNode).size());
    ApplyQuotas(aNode.mQuotas, *aNode.mFollower.mManifest, shards, aNode.mShards, aActions);
  }
  for (const auto& id : aChanges.mExecutors) {
    for (auto& [partition, shard] : aNode.mShards) {
      ApplyExecutorEntry(aNode, aNow, shard, aNode.mFollower.mExecutors.at(id));
    }
  }
}

FleetContext
MakeFleetContext(Node& aNode)
{
  auto inUse = PartitionsInUse(aNode);
  FleetContext context;
  context.mWaves = &aNode.mFollower.mWaves;
  context.mWaveChanges = aNode.mFollower.mWaveChanges;
  context.mShards = &aNode.mShards;
  context.mLog = &aNode.mFleetLog;
  context.mMachines = &aNode.mMachines;
  context.mHosts = &aNode.mHosts;
  context.mPartitions = aNode.mSettings.mPartitions;
  context.mReportingShard = inUse.empty() ? -1 : *inUse.begin();
  context.mHolderLease = aNode.mSettings.mHolderLease;
  context.mMoveTime = aNode.mSettings.mRebalance.mMoveTime;
  return context;
}

template<typename Answer, typename Function>
void
WithShard(Node& aNode, int aPartition, const Answer& aAnswer, Function aFunction)
{
  auto found = aNode.mShards.find(aPartition);
  if (found != aNode.mShards.end()) {
    aFunction(found->second, aAnswer);
  }
}

// Applies the answer to a call of one of this host's shards, or keeps it for the host that handed
// the call over.
template<typename Answer, typename Function>
void
ApplyExecutorAnswer(Node& aNode, const Now& aNow, const Answer& aAnswer, Function aFunction)
{
  const auto& to = aAnswer.mCall.mTo;
  if (to.mRelayTicket != 0) {
    OnRelayedAnswer(aNode.mRelayService, aNow, to.mRelayTicket, aAnswer);
    return;
  }
  WithShard(aNode, to.mShard, aAnswer, aFunction);
}

void
HandleEvent(Node& aNode, const Now& aNow, const Tick& aTick, Actions& /*aActions*/)
{
  if (aTick.mDueAt) {
    RecordDelay(aNode.mRelayedCalls, aNow.mAt, aNow.mAt - *aTick.mDueAt);
  }
}

void
HandleEvent(Node& aNode, const Now& aNow, const StopRequested& /*aStop*/, Actions& aActions)
{
  aNode.mStopping = true;
  LeaveGroup(aNode.mGroup, aActions);
  ReconcileShards(aNode, aNow);
}

void
HandleEvent(Node& aNode, const Now& aNow, CallerRequest&& aRequest, Actions& aActions)
{
  OnCallerRequest(aNode, aNow, std::move(aRequest), aActions);
}

void
HandleEvent(Node& aNode, const Now& aNow, const AppendAnswer& aAnswer, Actions& aActions)
{
  switch (aAnswer.mCall.mStream) {
    case Stream::Jobs:
      if (IsIntakeCall(aAnswer.mCall)) {
        OnIntakeAnswer(aNode.mIntake, aNow, aAnswer, aActions);
        return;
      }
      break;
    case Stream::Fleet:
      if (OnFleetAppend(aNode.mFleetLog, aNow, aAnswer, aActions)) {
        OnMaintenanceRecorded(aNode.mMaintenance, aAnswer, aActions);
        OnMoveRecorded(aNode.mRebalance, aNow, aAnswer, aActions);
      }
      return;
    case Stream::Quotas:
      OnQuotaAppend(aNode.mQuotas.mLog, aNow, aAnswer, aActions);
      return;
    case Stream::Queues:
      OnHomesAppend(aNode.mQueues, aNow, aAnswer);
      return;
    case Stream::Owners:
      WithShard(
        aNode, static_cast<int>(aAnswer.mCall.mTicket), aAnswer, [&](auto& aShard, auto& aResult) {
          OnAppendAnswer(aShard, aNow, aResult, aActions);
        });
      return;
    default:
      break;
  }
  auto partition = aAnswer.mCall.mShard.value_or(aAnswer.mCall.mPartition);
  WithShard(aNode, partition, aAnswer, [&](auto& aShard, auto& aResult) {
    OnAppendAnswer(aShard, aNow, aResult, aActions);
  });
}

void
HandleEvent(Node& aNode, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions)
{
  const auto& call = aAnswer.mCall;
  if (call.mStream == Stream::Fleet) {
    OnFleetRead(aNode.mFleetLog, aNow, aAnswer, aActions);
  } else if (call.mStream == Stream::Quotas) {
    OnQuotaRead(aNode.mQuotas.mLog, aNow, aAnswer, aActions);
  } else if (call.mStream == Stream::Queues) {
    OnHomesRead(aNode.mQueues, aNow, aAnswer, aActions);
  } else if (call.mReader == Reader::Follower) {
    auto changes = OnFollowerRead(aNode.mFollower, aNow, aAnswer, aActions);
    ApplyChanges(aNode, aNow, changes, aActions);
  } else if (call.mReader == Reader::View) {
    OnViewRead(ViewOf(aNode, call.mPartition), aNow, aAnswer);
  } else {
    WithShard(aNode, call.mPartition, aAnswer, [&](auto& aShard, auto& aResult) {
      OnReadAnswer(aShard, aNow, aResult, aActions);
    });
  }
}

void
HandleEvent(Node& aNode, const Now& aNow, const ReadNewestAnswer& aAnswer, Actions& aActions)
{
  const auto& call = aAnswer.mCall;
  if (call.mStream == Stream::Fleet) {
    OnFleetNewest(aNode.mFleetLog, aNow, aAnswer, aActions);
  } else if (call.mStream == Stream::Quotas) {
    OnQuotaNewest(aNode.mQuotas.mLog, aNow, aAnswer, aActions);
  } else if (call.mStream == Stream::Queues) {
    OnHomesNewest(aNode.mQueues, aNow, aAnswer, aActions);
  } else if (call.mStream == Stream::Owners) {
    OnFormerOwnersAnswer(aNode.mGroup, aNow, aAnswer);
  } else if (call.mReader == Reader::Follower) {
    auto changes = OnFollowerReadNewest(aNode.mFollower, aNow, aAnswer, aActions);
    ApplyChanges(aNode, aNow, changes, aActions);
  } else if (call.mReader == Reader::View) {
    OnViewReadNewest(ViewOf(aNode, call.mPartition), aNow, aAnswer);
  } else {
    WithShard(aNode, call.mPartition, aAnswer, [&](auto& aShard, auto& aResult) {
      OnNewestAnswer(aShard, aNow, aResult, aActions);
    });
  }
}

void
HandleEvent(Node& aNode, const Now& aNow, const JoinAnswer& aAnswer, Actions& aActions)
{
  if (!OnJoinAnswer(aNode.mGroup, aNow, aAnswer, aActions)) {
    return;
  }
  ReconcileShards(aNode, aNow);
  for (auto& [partition, shard] : aNode.mShards) {
    ConfirmOwnership(shard, aAnswer.mSentAt);
  }
}

void
HandleEvent(Node& aNode, const Now& aNow, const OwnersAnswer& aAnswer, Actions& aActions)
{
  if (aAnswer.mResult == CallResult::Done) {
    UpdateRelays(aNode.mRelayedCalls, aAnswer.mOwners);
  }
  if (OnOwnersAnswer(aNode.mGroup, aNow, aAnswer, aActions)) {
    ReconcileShards(aNode, aNow);
  }
}

void
HandleEvent(Node& aNode, const Now& aNow, const HeartbeatAnswer& aAnswer, Actions& aActions)
{
  ApplyExecutorAnswer(aNode, aNow, aAnswer, [&](auto& aShard, auto& aResult) {
    OnHeartbeatAnswer(aShard, aNow, aResult, aActions);
  });
}

void
HandleEvent(Node& aNode, const Now& aNow, const StartAnswer& aAnswer, Actions& aActions)
{
  ApplyExecutorAnswer(aNode, aNow, aAnswer, [&](auto& aShard, auto& aResult) {
    OnStartAnswer(aShard, aNow, aResult, aActions);
  });
}

void
HandleEvent(Node& aNode, const Now& aNow, const StopAnswer& aAnswer, Actions& aActions)
{
  ApplyExecutorAnswer(aNode, aNow, aAnswer, [&](auto& aShard, auto& aResult) {
    OnStopAnswer(aShard, aNow, aResult, aActions);
  });
}

void
HandleEvent(Node& aNode, const Now& aNow, const ThrottleAnswer& aAnswer, Actions& /*aActions*/)
{
  ApplyExecutorAnswer(
    aNode, aNow, aAnswer, [&](auto& aShard, auto& aResult) { OnThrottleAnswer(aShard, aResult); });
}

void
HandleEvent(Node& aNode, const Now& aNow, RelayAnswer&& aAnswer, Actions& aActions)
{
  for (const auto& answer :
       OnRelayAnswer(aNode.mRelayedCalls, aNow, std::move(aAnswer), aActions)) {
    std::visit([&](const auto& aValue) { HandleEvent(aNode, aNow, aValue, aActions); }, answer);
  }
}

void
HandleEvent(Node& aNode, const Now& aNow, RelayIncoming&& aIncoming, Actions& aActions)
{
  OnRelayIncoming(aNode.mRelayService, aNow, std::move(aIncoming), aNode.mStopping, aActions);
}

void
HandleEvent(Node& aNode, const Now& aNow, const MachinesAnswer& aAnswer, Actions& aActions)
{
  OnMachines(aNode.mMachines, aNow, aAnswer, aActions);
}

void
HandleEvent(Node& aNode, const Now& aNow, const MaintenanceAnswer& aAnswer, Actions& aActions)
{
  OnMaintenanceAnswer(aNode.mMaintenance, aNow, aAnswer, aActions);
}

void
HandleEvent(Node& aNode, const Now& aNow, const MoveAnswer& aAnswer, Actions& aActions)
{
  OnMoveAnswer(aNode.mRebalance, aNow, MakeFleetContext(aNode), aAnswer, aActions);
}

void
HandleEvent(Node& aNode, const Now& aNow, const WaveStatusAnswer& aAnswer, Actions& aActions)
{
  OnWaveStatus(aNode.mMaintenance, aNow, aAnswer, aActions);
}

// Only shard owners make decisions about hosts.
void
AdvanceFleet(Node& aNode, const Now& aNow, Actions& aActions)
{
  if (aNode.mShards.empty() || !aNode.mFollower.mManifest) {
    return;
  }
  AdvanceFleetLog(aNode.mFleetLog, aNow, aActions);
  AdvanceMachineList(aNode.mMachines, aNow, aActions);
  auto lateness = aNode.mRelayedCalls.mMeanDelay;
  auto hosts = aNode.mMachines.mMachines.size();
  auto due = NextFleetCheck(aNode.mFleetPace, hosts, lateness, aNow.mAt);
  if (due == FleetCheck::None) {
    return;
  }
  auto context = MakeFleetContext(aNode);
  const auto& services = aNode.mFollower.mManifest->mServices;
  const auto& settings = aNode.mSettings.mRebalance;
  if (due == FleetCheck::Decisions) {
    AdvanceMaintenance(aNode.mMaintenance, aNow, context, aActions);
    AdvanceRebalance(aNode.mRebalance, settings, aNow, context, services, aActions);
  } else {
    AdvanceMaintenanceOrders(aNow, context, aActions);
    AdvanceMoveOrders(aNode.mRebalance, settings, aNow, context, services, aActions);
  }
  AppendBatch(aNode.mFleetLog, aActions);
}

// Before a manifest is known, no queue is.
void
AdvanceQueueHomes(Node& aNode, const Now& aNow, Actions& aActions)
{
  if (!aNode.mFollower.mManifest) {
    return;
  }
  if (aNode.mKnownServiceChanges != aNode.mQueues.mServiceChanges) {
    ReconcileShards(aNode, aNow);
  }
  ResumeWaitingRequests(aNode, aNow, aActions);
  AdvanceHomes(aNode.mQueues, aNow, aActions);
}

void
AdvanceAll(Node& aNode, const Now& aNow, Actions& aActions)
{
  AdvanceGroup(aNode.mGroup, aNow, aActions);
  AdvanceFollower(
    aNode.mFollower, aNow, aNode.mSettings.mFollower, !aNode.mShards.empty(), aActions);
  AdvanceQueueHomes(aNode, aNow, aActions);
  AnswerQueries(aNode, aNow, aActions);
  AdvanceIntake(aNode.mIntake, aNow, aActions);
  UpdateQuotaLimits(aNode.mQuotas, aNode.mShards, aNow.mAt);
  for (auto& [partition, shard] : aNode.mShards) {
    Advance(shard, aNow, aActions);
  }
  AdvanceQuotas(aNode.mQuotas, aNow, aNode.mShards, aActions);
  AdvanceFleet(aNode, aNow, aActions);
  AdvanceRelayService(aNode.mRelayService, aNow);
  RelayCalls(aNode.mRelayedCalls, aNow, aActions);
}

}

Node
MakeNode(const NodeSettings& aSettings)
{
  Node node;
  node.mSettings = aSettings;
  node.mGroup.mHost = aSettings.mName;
  node.mGroup.mCapacityMillicores = aSettings.mCapacityMillicores;
  node.mGroup.mTimeToLive = aSettings.mMemberTimeToLive;
  node.mRelayedCalls.mSettings = { aSettings.mName,
                                   aSettings.mCapacityMillicores,
                                   aSettings.mShareCallsDelay };
  return node;
}

Actions
Handle(Node& aNode, const Now& aNow, Event aEvent)
{
  Actions actions;
  NoticeSuspension(aNode.mRelayService, aNow.mAt);
  std::visit([&](auto& aValue) { HandleEvent(aNode, aNow, std::move(aValue), actions); }, aEvent);
  AdvanceAll(aNode, aNow, actions);
  return actions;
}

std::optional<Instant>
NextWakeAt(const Node& aNode)
{
  return NextExchangeAt(aNode.mRelayedCalls);
}

bool
IsReady(const Node& aNode, Instant aNow)
{
  return !aNode.mStopping && aNode.mFollower.mManifest &&
         aNow - aNode.mGroup.mConfirmedAt < kReadinessTimeout;
}

ShardCounters
SumCounters(const Node& aNode)
{
  auto sum = aNode.mFormerShardCounters;
  for (const auto& [partition, shard] : aNode.mShards) {
    AddCounters(sum, shard.mCounters);
  }
  return sum;
}

}
