#pragma once

#include "LibSchedule/Node.h"
#include "LibStandIn/FakeStore.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

// An entry host that owns the only shard, and a store and executors that answer its calls at once:
// no network, no other host and no clock. It plays one event after the other on a pool whose size
// and load stay the same, so that the cost of a kind of event can be told at one size and another.
namespace sesameseam::standin {

enum class PoolLoad
{
  // Half of the pool is in use, and no task waits.
  Calm,
  // All of it is in use, and a few tasks wait.
  Full,
  // All of it is in use, and half of the jobs wait.
  Burst,
};

struct OwnerModelSettings
{
  int mExecutors = 50;
  // The jobs that are not in use by the pool's load are due much later.
  int mJobs = 100;
  int mTenants = 0;
  PoolLoad mLoad = PoolLoad::Calm;
};

enum class OwnerEvent
{
  // An executor answers a heartbeat because its time is up.
  Heartbeat,
  // An executor answers a heartbeat because a task has ended, the last one of its job.
  End,
  Arrival,
  Cancellation,
  Tick,
  // Only the placement pass, with nothing changed since the last one.
  IdlePass,
  // Only the placement pass that follows an end.
  PassAfterEnd,
};

struct ModelExecutor
{
  std::map<schedule::TaskRun, std::string> mRuns;
  // Ends that have not been acknowledged.
  std::vector<schedule::TaskEnd> mEnds;
  std::int64_t mLastEnd = 0;
  // A heartbeat that waits for an end, and until when.
  std::optional<schedule::HeartbeatCall> mHeld;
  schedule::Instant mHeldSince;
};

struct HeldRead
{
  schedule::ReadCall mCall;
  schedule::Instant mSince;
};

struct OwnerModel
{
  OwnerModelSettings mSettings;
  schedule::Node mNode;
  schedule::Now mNow;
  FakeStore mStore;
  std::map<schedule::ExecutorId, ModelExecutor> mExecutors;
  std::deque<schedule::Action> mUnanswered;
  std::vector<HeldRead> mHeldReads;
  // The runs of short jobs, in the order of their starts.
  std::deque<std::pair<schedule::ExecutorId, schedule::TaskRun>> mShortRuns;
  std::size_t mRunning = 0;
  JobId mNewestJob;
  int mNextJob = 0;
  // An executor has answered since the node last handled an event.
  bool mNeedsTick = false;
};

// Returns an owner that has taken its shard over and whose pool is loaded as asked for; throws
// std::runtime_error if it does not get there.
OwnerModel
MakeOwnerModel(const OwnerModelSettings& aSettings);

// Runs the work whose cost is measured.
using Meter = std::function<void(const std::function<void()>&)>;

// Plays one event; what the owner does about it goes through aMeter. Then answers all of its calls
// and replaces the job that has ended, without the meter.
void
PlayEvent(OwnerModel& aModel, OwnerEvent aEvent, const Meter& aMeter);

std::string_view
NameOf(OwnerEvent aEvent);
std::string_view
NameOf(PoolLoad aLoad);

}
