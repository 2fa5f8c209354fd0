#pragma once

#include "LibServe/PoolEvents.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace sesameseam {

// The next action of the thread that serves a request. An Outcome is the last one.
using WaiterAction = std::variant<Dispatch, Forward, Outcome>;

struct TimedAction
{
  // Time of the decision. The process may be paused between the decision and its execution.
  TimePoint mDecidedAt;
  WaiterAction mAction;
};

// Queue of actions for the thread that serves a caller's connection. This thread also runs the
// attempts of its request, so no additional threads are needed.
class Waiter
{
public:
  void Push(TimedAction aAction);
  TimedAction Pop();

private:
  std::mutex mMutex;
  std::condition_variable mActionPushed;
  std::deque<TimedAction> mActions;
};

// The waiters of all requests in flight, split into shards with one mutex each.
class Waiters
{
public:
  std::shared_ptr<Waiter> Add(const RequestId& aRequest);
  void Remove(const RequestId& aRequest);
  void Push(const RequestId& aRequest, TimedAction aAction);

private:
  static constexpr std::size_t kShards = 16;

  struct Shard
  {
    std::mutex mMutex;
    std::map<RequestId, std::shared_ptr<Waiter>> mWaiters;
  };

  Shard& ShardOf(const RequestId& aRequest);

  std::array<Shard, kShards> mShards;
};

}
