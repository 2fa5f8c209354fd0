#include "LibServe/PoolDispatch.h"

#include "LibServe/Admission.h"
#include "LibServe/Placement.h"
#include "LibServe/PoolOutcomes.h"

#include <algorithm>

namespace sesameseam::detail {

namespace {

// Lower bound of the expected run time when deciding whether an attempt is slow; shorter estimates
// are too unreliable for that.
constexpr Duration kMinExpectedRunTime = 20ms;

void
DispatchToSlot(PoolServer& aServer,
               TimePoint aNow,
               const QueuedRequest& aNext,
               const SlotId& aSlot,
               PoolActions& aActions)
{
  const auto& request = *aNext.mRequest;
  auto attempt = aServer.mNextAttempt++;
  AcquireSlot(aServer.mSlots, aSlot, attempt);
  RunningAttempt running;
  running.mRequest = request.mId;
  running.mSlot = aSlot;
  running.mClass = request.mClass;
  running.mStarted = aNow;
  running.mSlowAt = aNow + std::max(aNext.mExpectedRunTime, kMinExpectedRunTime) * kSlowFactor;
  aServer.mSlowAt.emplace(running.mSlowAt, attempt);
  aServer.mAttempts.emplace(attempt, std::move(running));
  aServer.mRunningLong += request.mClass == RequestClass::Long ? 1 : 0;
  RecordStarted(aServer.mStarted, request.mClass, aNext.mExpectedRunTime, aNow);
  aServer.mCounters.mDispatched += 1;
  auto timeout = std::min(request.mDeadline - aNow, aServer.mView.mAttemptTimeout);
  const auto& target = aServer.mSlots.mOwned.at(aSlot).mTarget;
  aActions.push_back(Dispatch{ attempt, aNext.mRequest, target, timeout });
}

void
ForwardToPeer(PoolServer& aServer,
              TimePoint aNow,
              const RequestPointer& aRequest,
              const PeerChoice& aChoice,
              PoolActions& aActions)
{
  auto attempt = aServer.mNextAttempt++;
  aServer.mPeers[aChoice.mMember].mSentSince += 1;
  RunningAttempt running;
  running.mRequest = aRequest->mId;
  running.mPeer = aChoice.mMember;
  running.mClass = aRequest->mClass;
  running.mStarted = aNow;
  aServer.mAttempts.emplace(attempt, std::move(running));
  aServer.mCounters.mForwarded += 1;
  aActions.push_back(
    Forward{ attempt, aRequest, aChoice.mMember, aChoice.mMayQueue, aRequest->mDeadline - aNow });
}

// Starts the next queued request of the class, on a slot or at a peer. Returns false if there is
// none, or no capacity for it.
bool
StartNext(PoolServer& aServer, TimePoint aNow, RequestClass aClass, PoolActions& aActions)
{
  const auto* head = Peek(aServer.mQueue, aClass);
  if (head == nullptr) {
    return false;
  }
  auto slot = ChooseSlot(aServer, aClass);
  std::optional<PeerChoice> peer;
  // A request is forwarded at most once.
  if (!slot && !head->mRequest->mForwarded) {
    peer = ChoosePeer(aServer, aNow, aClass);
    if (!peer) {
      peer = ChooseShorterQueue(aServer, aNow, aClass);
    }
  }
  if (!slot && !peer) {
    return false;
  }
  auto next = Pop(aServer.mQueue, aClass, aServer.mView.mQuotas);
  auto& pending = aServer.mPending.at(next->mRequest->mId);
  pending.mPhase = RequestPhase::Running;
  pending.mAttempts += 1;
  if (slot) {
    DispatchToSlot(aServer, aNow, *next, *slot, aActions);
  } else {
    ForwardToPeer(aServer, aNow, next->mRequest, *peer, aActions);
  }
  return true;
}

void
RefuseExpired(PoolServer& aServer, TimePoint aNow, PoolActions& aActions)
{
  for (const auto& expired : TakeExpired(aServer.mQueue, aNow)) {
    const auto& request = *expired.mRequest;
    auto wait = PredictWait(aServer, aNow, request);
    auto reason =
      aNow >= request.mDeadline ? OutcomeReason::DeadlinePassed : OutcomeReason::Overloaded;
    auto& pending = aServer.mPending.at(request.mId);
    auto outcome = OutcomeAfterAttempts(pending, NotRun(aServer, request, reason, wait));
    Finish(aServer, request.mId, outcome, aActions);
  }
}

}

bool
IsViewStale(const PoolServer& aServer, TimePoint aNow)
{
  return aNow - aServer.mViewConfirmed > aServer.mSettings.mViewStaleAfter;
}

// Starts queued requests until no capacity is left.
void
StartQueuedRequests(PoolServer& aServer, TimePoint aNow, PoolActions& aActions)
{
  RefuseExpired(aServer, aNow, aActions);
  if (IsViewStale(aServer, aNow)) {
    return;
  }
  bool started = true;
  while (started) {
    started = false;
    for (auto next : ClassOrder(aServer)) {
      if (StartNext(aServer, aNow, next, aActions)) {
        started = true;
        break;
      }
    }
  }
}

void
Enqueue(PoolServer& aServer, TimePoint aNow, const RequestPointer& aRequest)
{
  auto& pending = aServer.mPending.at(aRequest->mId);
  pending.mPhase = RequestPhase::Queued;
  QueuedRequest queued;
  queued.mRequest = aRequest;
  queued.mExpectedRunTime =
    std::min(ExpectedRunTime(aServer.mRunTimes, *aRequest), aServer.mView.mAttemptTimeout);
  queued.mLatestStart = LatestStart(aServer, aNow, *aRequest);
  Push(aServer.mQueue, std::move(queued));
}

}
