#include "LibServe/Admission.h"

#include "LibBase/Hash.h"
#include "LibServe/Placement.h"

#include <algorithm>

namespace sesameseam {

namespace {

// Jitter: the retry delay is the wait plus up to this percentage of it.
constexpr std::uint64_t kJitterPercent = 100;

Duration
WorkAhead(const PoolServer& aServer, RequestClass aClass)
{
  if (aClass == RequestClass::Long) {
    return QueueOf(aServer.mQueue, RequestClass::Long).mWork;
  }
  auto work = QueueOf(aServer.mQueue, RequestClass::Urgent).mWork;
  if (aClass == RequestClass::Ordinary) {
    work += QueueOf(aServer.mQueue, RequestClass::Ordinary).mWork;
  }
  return work;
}

// The percentage of the slots' capacity that a class is assumed to get; the rest may go to the
// guaranteed shares of other classes.
constexpr int kPercentForOwnClass = 90;

// Reported when no slot is free, since a wait of zero means that one is free.
constexpr Duration kMinReportedWait = 1ms;

Duration
WaitBehind(Duration aWork, int aSlots)
{
  return aWork * 100 / (aSlots * kPercentForOwnClass);
}

// Adds a safety margin of a quarter: slots may fail while a request waits, and run times vary, so a
// request whose wait barely fits before its deadline is not admitted.
Duration
ConservativeWait(Duration aWait)
{
  return aWait * 5 / 4;
}

}

Duration
PredictWait(const PoolServer& aServer, TimePoint aNow, const Request& aRequest)
{
  if (FreeSlotsFor(aServer, aRequest.mClass) > 0) {
    return Duration::zero();
  }
  auto slots = SlotsFor(aServer, aRequest.mClass);
  if (slots == 0) {
    // The request is forwarded to a peer, which predicts its own wait.
    return Duration::zero();
  }
  auto expected = ExpectedRunTime(aServer.mRunTimes, aRequest);
  auto wait = WaitBehind(WorkAhead(aServer, aRequest.mClass) + expected, slots);
  // A forwarded request is not forwarded again.
  if (aRequest.mForwarded) {
    return wait;
  }
  auto there = LowestMoveThreshold(aServer, aNow, aRequest.mClass);
  return there ? std::min(wait, *there) : wait;
}

TimePoint
LatestStart(const PoolServer& aServer, TimePoint aNow, const Request& aRequest)
{
  // A request that is expected to run past its deadline is still tried, since the estimate may be
  // wrong.
  auto left = std::max(aRequest.mDeadline - aNow, Duration::zero());
  return aRequest.mDeadline - std::min(ConservativeRunTime(aServer.mRunTimes, aRequest), left);
}

std::optional<ClassWaits>
LocalWaits(const PoolServer& aServer)
{
  ClassWaits waits;
  for (auto of : { RequestClass::Urgent, RequestClass::Ordinary, RequestClass::Long }) {
    auto slots = SlotsFor(aServer, of);
    if (slots == 0) {
      return std::nullopt;
    }
    auto least = FreeSlotsFor(aServer, of) > 0 ? Duration::zero() : kMinReportedWait;
    waits[static_cast<std::size_t>(of)] =
      std::max(least, WaitBehind(WorkAhead(aServer, of), slots));
  }
  return waits;
}

std::optional<Outcome>
AdmissionRefusal(const PoolServer& aServer, TimePoint aNow, const Request& aRequest)
{
  Outcome refusal;
  refusal.mKind = OutcomeKind::NotRun;
  refusal.mReason = OutcomeReason::Overloaded;
  auto wait = PredictWait(aServer, aNow, aRequest);
  refusal.mRetryAfter =
    JitteredRetryAfter(aRequest, std::max(wait, aServer.mSettings.mMinRetryAfter));
  if (Size(aServer.mQueue) >= aServer.mSettings.mMaxQueued) {
    return refusal;
  }
  if (aRequest.mForwarded && !aRequest.mMayQueue && FreeSlotsFor(aServer, aRequest.mClass) == 0) {
    return refusal;
  }
  if (wait > Duration::zero() &&
      aNow + ConservativeWait(wait) > LatestStart(aServer, aNow, aRequest)) {
    return refusal;
  }
  return std::nullopt;
}

Duration
JitteredRetryAfter(const Request& aRequest, Duration aWait)
{
  auto part = static_cast<std::int64_t>(StableHash(aRequest.mId.mValue) % (kJitterPercent + 1));
  return aWait + aWait * part / static_cast<std::int64_t>(kJitterPercent);
}

}
