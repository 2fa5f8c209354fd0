#pragma once

#include "LibServe/PoolEvents.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace sesameseam {

// What the thread that waits for a request is to do next.
using WaiterAction = std::variant<Dispatch, Forward, Outcome>;

struct TimedAction
{
  // The time of the decision. A process may be paused between the decision and the thread's turn.
  TimePoint mDecidedAt;
  WaiterAction mAction;
};

// The thread that holds a caller's connection. It runs the attempts of its own request, so that
// no further threads are needed.
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

// The waiters of all requests under way, in shards with a lock each.
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
