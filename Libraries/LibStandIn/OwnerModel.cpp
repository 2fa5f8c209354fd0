#include "LibStandIn/OwnerModel.h"

#include "LibStandIn/OwnerModelCalls.h"
#include "LibStandIn/OwnerModelLoad.h"

#include <algorithm>
#include <stdexcept>

namespace sesameseam::standin {

namespace {

using namespace schedule;
using namespace standin::detail;

constexpr Instant kStart{ 1000s };
constexpr TimePoint kWallStart{ std::chrono::seconds(1'700'000'000) };
// As in a pool of some size, where events follow each other closely.
constexpr Duration kBetweenEvents = 1ms;
// Long enough for a pass to be due whether or not the last one could place all.
constexpr Duration kBetweenPasses = 25ms;
constexpr Duration kBetweenIdlePasses = 100ms;

ModelExecutor&
ExecutorOfOldestShortRun(OwnerModel& aModel)
{
  for (int i = 0; i < kMaxSetupTicks && aModel.mShortRuns.empty(); ++i) {
    Pass(aModel, kBetweenEvents);
  }
  return aModel.mExecutors.at(aModel.mShortRuns.front().first);
}

// Ends the oldest run of a short job. Returns the answer that tells of it.
HeartbeatAnswer
TakeEnd(OwnerModel& aModel)
{
  auto& executor = ExecutorOfOldestShortRun(aModel);
  auto [id, run] = aModel.mShortRuns.front();
  aModel.mShortRuns.pop_front();
  EndRun(aModel, id, run, EndKind::Done);
  return TakeHeartbeat(aModel, executor);
}

// Takes the read of the jobs stream that waits for what has just been stored.
ReadAnswer
TakeJobsRead(OwnerModel& aModel)
{
  auto& reads = aModel.mHeldReads;
  auto read = std::find_if(reads.begin(), reads.end(), [](const HeldRead& aRead) {
    return aRead.mCall.mStream == Stream::Jobs && aRead.mCall.mReader == Reader::Owner;
  });
  if (read == reads.end()) {
    throw std::runtime_error("the model's owner does not follow its jobs");
  }
  auto answer = AnswerRead(aModel, *read);
  reads.erase(read);
  return answer;
}

Event
MakeEvent(OwnerModel& aModel, OwnerEvent aEvent)
{
  switch (aEvent) {
    case OwnerEvent::Heartbeat:
      return TakeHeartbeat(aModel, ExecutorOfOldestShortRun(aModel));
    case OwnerEvent::End:
      return TakeEnd(aModel);
    case OwnerEvent::Arrival:
      StoreShortJob(aModel);
      return TakeJobsRead(aModel);
    case OwnerEvent::Cancellation:
      StoreCancellation(aModel);
      return TakeJobsRead(aModel);
    default:
      return Tick{ aModel.mNow.mAt };
  }
}

// The job that makes up for the one that has ended, and the other way round.
void
Restore(OwnerModel& aModel, OwnerEvent aEvent)
{
  switch (aEvent) {
    case OwnerEvent::End:
    case OwnerEvent::Cancellation:
    case OwnerEvent::PassAfterEnd:
      StoreShortJob(aModel);
      break;
    case OwnerEvent::Arrival:
      StoreCancellation(aModel);
      break;
    default:
      return;
  }
  Settle(aModel);
}

void
PlayHandled(OwnerModel& aModel, OwnerEvent aKind, const Meter& aMeter)
{
  Advance(aModel, aKind == OwnerEvent::Tick ? kBetweenTicks : kBetweenEvents);
  auto event = MakeEvent(aModel, aKind);
  Actions actions;
  aMeter([&] { actions = Handle(aModel.mNode, aModel.mNow, event); });
  AddUnanswered(aModel, actions);
}

void
PlayPass(OwnerModel& aModel, OwnerEvent aKind, const Meter& aMeter)
{
  Advance(aModel, aKind == OwnerEvent::IdlePass ? kBetweenIdlePasses : kBetweenPasses);
  if (aKind == OwnerEvent::PassAfterEnd) {
    GiveHeartbeatAnswer(aModel, TakeEnd(aModel));
  }
  Actions actions;
  aMeter([&] { schedule::detail::PlaceTasks(ShardOf(aModel), aModel.mNow, actions); });
  AddUnanswered(aModel, actions);
}

bool
IsPass(OwnerEvent aEvent)
{
  return aEvent == OwnerEvent::IdlePass || aEvent == OwnerEvent::PassAfterEnd;
}

}

OwnerModel
MakeOwnerModel(const OwnerModelSettings& aSettings)
{
  OwnerModel model;
  model.mSettings = aSettings;
  model.mNow = { kStart, kWallStart };
  model.mStore.mGroup.mPartitions = 1;
  NodeSettings settings;
  settings.mName = kOwner;
  settings.mPartitions = 1;
  model.mNode = MakeNode(settings);
  TakeOver(model);
  LoadPool(model);
  return model;
}

void
PlayEvent(OwnerModel& aModel, OwnerEvent aEvent, const Meter& aMeter)
{
  if (IsPass(aEvent)) {
    PlayPass(aModel, aEvent, aMeter);
  } else {
    PlayHandled(aModel, aEvent, aMeter);
  }
  Pass(aModel, Duration(0));
  Restore(aModel, aEvent);
}

std::string_view
NameOf(OwnerEvent aEvent)
{
  switch (aEvent) {
    case OwnerEvent::Heartbeat:
      return "heartbeat";
    case OwnerEvent::End:
      return "end";
    case OwnerEvent::Arrival:
      return "arrival";
    case OwnerEvent::Cancellation:
      return "cancellation";
    case OwnerEvent::Tick:
      return "tick";
    case OwnerEvent::IdlePass:
      return "idle_pass";
    case OwnerEvent::PassAfterEnd:
      return "pass_after_end";
  }
  return "unknown";
}

std::string_view
NameOf(PoolLoad aLoad)
{
  switch (aLoad) {
    case PoolLoad::Calm:
      return "calm";
    case PoolLoad::Full:
      return "full";
    case PoolLoad::Burst:
      return "burst";
  }
  return "unknown";
}

}
