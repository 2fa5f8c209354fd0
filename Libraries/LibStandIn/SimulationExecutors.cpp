#include "LibStandIn/Simulation.h"
#include "LibStandIn/SimulationTimes.h"

#include <algorithm>

// The calls that a simulation's hosts make to executors.
namespace sesameseam::standin {

namespace {

using detail::kCallBytes;
using detail::kCallTimeout;
using detail::kLongPollInterval;
using detail::kNetworkLatency;
using schedule::CallResult;
using schedule::Event;
using schedule::Instant;

// How long after the start of a task that crashes its executor the process ends, and how long after
// that the next one starts.
constexpr Duration kTimeToCrash = 10ms;
constexpr Duration kTimeToRestart = 3s;

}

FakeExecutor*
Simulation::FindExecutor(const schedule::ExecutorAddress& aTo)
{
  for (std::size_t i = 0; i < mExecutors.size(); ++i) {
    auto isCut = mCutExecutors.contains(static_cast<int>(i));
    if (mExecutors[i].mEntry.mAddress == aTo.mAddress && mExecutors[i].mIsUp && !isCut) {
      return &mExecutors[i];
    }
  }
  return nullptr;
}

bool
Simulation::HasNoListener(const schedule::ExecutorAddress& aTo) const
{
  for (std::size_t i = 0; i < mExecutors.size(); ++i) {
    if (mExecutors[i].mEntry.mAddress == aTo.mAddress) {
      auto isCut = mCutExecutors.contains(static_cast<int>(i));
      return isCut ? mSettings.mRefusesWhenCut : mSettings.mRefusesWhenDown && !mExecutors[i].mIsUp;
    }
  }
  return false;
}

void
Simulation::CallExecutor(int aHost,
                         const schedule::ExecutorAddress& aTo,
                         CallDelay aDelay,
                         const Event& aWithoutAnswer,
                         const std::function<Event(FakeExecutor&)>& aWork)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  auto isLate = Chance(mSettings.mLateOrders);
  auto isLost = Chance(mSettings.mRequestLoss);
  auto delay = aDelay.mRequest;
  if (isLate) {
    delay = std::chrono::seconds(2) + std::chrono::milliseconds(mRandom() % 6000);
  }
  isLate |= delay > kCallTimeout;
  if (isLate) {
    // A late order was already received by the process, so that it is lost if the process ends
    // before it is executed.
    const auto* receiver = FindExecutor(aTo);
    auto receiverIncarnation = receiver == nullptr ? 0 : receiver->mEntry.mIncarnation;
    ScheduleAfter(delay, [=, this] {
      auto* executor = FindExecutor(aTo);
      if (executor != nullptr && executor->mEntry.mIncarnation == receiverIncarnation) {
        mIsOrderLate = true;
        aWork(*executor);
        mIsOrderLate = false;
      }
    });
  }
  if (isLate || isLost || FindExecutor(aTo) == nullptr) {
    ScheduleAfter(kCallTimeout, [=, this] { Deliver(aHost, incarnation, aWithoutAnswer); });
    return;
  }
  auto sentAt = mNow;
  ScheduleAfter(kNetworkLatency + delay + Transfer(aHost, kCallBytes), [=, this] {
    auto* executor = FindExecutor(aTo);
    if (executor == nullptr) {
      ScheduleAfter(kCallTimeout, [=, this] { Deliver(aHost, incarnation, aWithoutAnswer); });
      return;
    }
    auto answer = aWork(*executor);
    auto back = kNetworkLatency + aDelay.mAnswer + Transfer(aHost, kCallBytes);
    auto isAnswerLost = Chance(mSettings.mAnswerLoss) || mNow + back - sentAt > kCallTimeout;
    auto until = std::max(Duration(0), sentAt + kCallTimeout - mNow);
    ScheduleAfter(isAnswerLost ? until : back, [=, this] {
      Deliver(aHost, incarnation, isAnswerLost ? aWithoutAnswer : answer);
    });
  });
}

void
Simulation::AnswerHeartbeat(int aHost,
                            int aIncarnation,
                            const schedule::HeartbeatCall& aCall,
                            Instant aUntil)
{
  auto* executor = FindExecutor(aCall.mTo);
  schedule::HeartbeatAnswer lost;
  lost.mCall = aCall;
  lost.mSentAt = aUntil - aCall.mWait;
  if (executor == nullptr) {
    ScheduleAfter(kCallTimeout, [=, this] { Deliver(aHost, aIncarnation, lost); });
    return;
  }
  Advance(*executor, mNow);
  auto mayWait = executor->mEnds.empty() || executor->mEnds.back().mNumber <= aCall.mLastSeen;
  if (mayWait && mNow < aUntil && aCall.mTo.mEpoch >= executor->mFence) {
    ScheduleAfter(kLongPollInterval,
                  [=, this] { AnswerHeartbeat(aHost, aIncarnation, aCall, aUntil); });
    return;
  }
  // The lease was granted on arrival, to the process that was there then.
  auto answered = aCall;
  answered.mLeaseEnd = 0ms;
  auto answer = Heartbeat(*executor, answered, mNow);
  answer.mCall = aCall;
  answer.mSentAt = lost.mSentAt;
  for (const auto& end : answer.mEnds) {
    if (end.mKind == schedule::EndKind::Done) {
      mListedAsDone.insert(end.mRun.mTask);
    }
  }
  auto back = kNetworkLatency + Transfer(aHost, kCallBytes);
  auto isLate = mNow + back > aUntil + kCallTimeout;
  ScheduleAfter(isLate ? std::max(Duration(0), aUntil + kCallTimeout - mNow) : back,
                [=, this] { Deliver(aHost, aIncarnation, isLate ? lost : answer); });
}

void
Simulation::Perform(int aHost, const schedule::HeartbeatCall& aCall)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  auto sentAt = mNow;
  schedule::HeartbeatAnswer lost;
  lost.mCall = aCall;
  lost.mSentAt = sentAt;
  if (HasNoListener(aCall.mTo)) {
    lost.mHasNoListener = true;
    ScheduleAfter(2 * kNetworkLatency, [=, this] { Deliver(aHost, incarnation, lost); });
    return;
  }
  if (FindExecutor(aCall.mTo) == nullptr || Chance(mSettings.mAnswerLoss)) {
    ScheduleAfter(kCallTimeout, [=, this] { Deliver(aHost, incarnation, lost); });
    return;
  }
  ScheduleAfter(kNetworkLatency + Transfer(aHost, kCallBytes), [=, this] {
    if (auto* executor = FindExecutor(aCall.mTo)) {
      Advance(*executor, mNow);
      auto isForIt = aCall.mTo.mExecutor == executor->mEntry.mId;
      if (isForIt && aCall.mTo.mEpoch >= executor->mFence) {
        RecordAcknowledged(*executor, aCall.mLastSeen);
        // The lease is renewed and the fence raised on arrival of the call, before its wait.
        Heartbeat(*executor, aCall, mNow);
      }
    }
    AnswerHeartbeat(aHost, incarnation, aCall, sentAt + aCall.mWait);
  });
}

void
Simulation::Perform(int aHost, const schedule::StartCall& aCall)
{
  auto sentAt = mNow;
  schedule::StartAnswer lost;
  lost.mCall = aCall;
  CallExecutor(aHost, aCall.mTo, mStartDelay, lost, [=, this](FakeExecutor& aExecutor) -> Event {
    auto isNew = !aExecutor.mRuns.contains(aCall.mRun);
    auto answer = Start(aExecutor, aCall, mNow);
    answer.mSentAt = sentAt;
    if (answer.mResult == CallResult::Done && isNew) {
      CheckStart(aExecutor, aCall);
      CrashUnder(aExecutor, aCall);
    }
    return answer;
  });
}

void
Simulation::CrashUnder(FakeExecutor& aExecutor, const schedule::StartCall& aCall)
{
  const auto& task = aCall.mRun.mTask;
  if (!ParseWork(aCall.mSpec).mCrashesExecutor || task.mStep != 0 || task.mIndex != 0) {
    return;
  }
  auto index = static_cast<int>(&aExecutor - mExecutors.data());
  auto incarnation = aExecutor.mEntry.mIncarnation;
  ScheduleAfter(kTimeToCrash, [=, this] {
    const auto& executor = mExecutors[static_cast<std::size_t>(index)];
    if (executor.mIsUp && executor.mEntry.mIncarnation == incarnation &&
        executor.mRuns.contains(aCall.mRun)) {
      ++mCrashes[task];
      CrashExecutorFor(index, kTimeToRestart, mCrashes[task] % 2 == 0);
    }
  });
}

void
Simulation::Perform(int aHost, const schedule::StopCall& aCall)
{
  CallExecutor(aHost,
               aCall.mTo,
               CallDelay(),
               schedule::StopAnswer{ aCall },
               [=, this](FakeExecutor& aExecutor) -> Event {
                 CheckStop(aExecutor, aCall);
                 return Stop(aExecutor, aCall, mNow);
               });
}

void
Simulation::Perform(int aHost, const schedule::ThrottleCall& aCall)
{
  CallExecutor(
    aHost,
    aCall.mTo,
    mThrottleDelay,
    schedule::ThrottleAnswer{ aCall },
    [=, this](FakeExecutor& aExecutor) -> Event { return Throttle(aExecutor, aCall, mNow); });
}

}
