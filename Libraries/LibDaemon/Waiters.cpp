#include "LibDaemon/Waiters.h"

namespace sesameseam {

void
Waiter::Push(TimedAction aAction)
{
  {
    std::lock_guard lock(mMutex);
    mActions.push_back(std::move(aAction));
  }
  mActionPushed.notify_one();
}

TimedAction
Waiter::Pop()
{
  std::unique_lock lock(mMutex);
  mActionPushed.wait(lock, [this] { return !mActions.empty(); });
  auto action = std::move(mActions.front());
  mActions.pop_front();
  return action;
}

std::shared_ptr<Waiter>
Waiters::Add(const RequestId& aRequest)
{
  auto waiter = std::make_shared<Waiter>();
  auto& shard = ShardOf(aRequest);
  std::lock_guard lock(shard.mMutex);
  shard.mWaiters[aRequest] = waiter;
  return waiter;
}

void
Waiters::Remove(const RequestId& aRequest)
{
  auto& shard = ShardOf(aRequest);
  std::lock_guard lock(shard.mMutex);
  shard.mWaiters.erase(aRequest);
}

void
Waiters::Push(const RequestId& aRequest, TimedAction aAction)
{
  std::shared_ptr<Waiter> waiter;
  {
    auto& shard = ShardOf(aRequest);
    std::lock_guard lock(shard.mMutex);
    auto found = shard.mWaiters.find(aRequest);
    if (found == shard.mWaiters.end()) {
      return;
    }
    waiter = found->second;
  }
  waiter->Push(std::move(aAction));
}

Waiters::Shard&
Waiters::ShardOf(const RequestId& aRequest)
{
  return mShards[std::hash<RequestId>()(aRequest) % kShards];
}

}
