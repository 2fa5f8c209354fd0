#pragma once

#include "LibStandIn/OwnerModel.h"

// The store, the executors and the other addressees of a modelled owner's calls.
namespace sesameseam::standin::detail {

inline constexpr char kOwner[] = "e0";
inline constexpr char kService[] = "previews";
inline constexpr char kQueue[] = "previews";
inline constexpr int kPartition = 0;
inline constexpr int kMillicoresPerCore = 1000;
inline constexpr int kCoresPerExecutor = 2;
// The specification of a task whose end an event may play.
inline constexpr char kShortSpec[] = "short";

schedule::Shard&
ShardOf(OwnerModel& aModel);

void
Advance(OwnerModel& aModel, Duration aTime);

void
AddUnanswered(OwnerModel& aModel, schedule::Actions& aActions);

// Takes the heartbeat that waits at the executor.
schedule::HeartbeatAnswer
TakeHeartbeat(OwnerModel& aModel, ModelExecutor& aExecutor);

// Gives an executor's answer straight to the shard.
void
GiveHeartbeatAnswer(OwnerModel& aModel, const schedule::HeartbeatAnswer& aAnswer);

void
EndRun(OwnerModel& aModel,
       const schedule::ExecutorId& aExecutor,
       const schedule::TaskRun& aRun,
       schedule::EndKind aKind);

schedule::ReadAnswer
AnswerRead(const OwnerModel& aModel, const HeldRead& aRead);

// Answers all calls that need not wait.
void
Settle(OwnerModel& aModel);

// Lets time pass without an event of interest.
void
Pass(OwnerModel& aModel, Duration aTime);

}
