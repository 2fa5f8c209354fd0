#include "TraceRun.h"

#include <array>
#include <set>

namespace sesameseam {

namespace {

constexpr Duration kSettleTime = 20s;
constexpr Duration kCompletionTime = 70s;
constexpr Duration kAttemptTimeout = 60s;
constexpr Duration kIntegrationStep = 1ms;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::set<PoolName>
CollectPools(const Trace& aTrace)
{
  std::set<PoolName> pools;
  for (const auto& arrival : aTrace.mArrivals) {
    pools.insert(arrival.mPool);
  }
  return pools;
}

void
SetFault(Deployment& aDeployment, const Fault& aFault, bool aOn)
{
  auto& executor = aDeployment.mExecutors[aFault.mHost];
  switch (aFault.mKind) {
    case FaultKind::Dead:
      executor.mDead = aOn;
      break;
    case FaultKind::FailsAll:
      executor.mFailAll = aOn;
      break;
    case FaultKind::Slow:
      executor.mSlowness = aOn ? kSlowdownFactor : 1.0;
      break;
  }
}

Request
MakeRequest(const Arrival& aArrival, TimePoint aNow)
{
  Request request;
  request.mPool = aArrival.mPool;
  request.mClass = aArrival.mClass;
  request.mKind = "job";
  request.mDeadline = aNow + aArrival.mDeadline;
  request.mDeclaredRunTime = aArrival.mDeclaredRunTime;
  request.mBody = std::to_string(aArrival.mRunTime.count());
  return request;
}

bool
IsFaultActive(const Trace& aTrace, const HostName& aHost, FaultKind aKind, Duration aAt)
{
  return std::any_of(aTrace.mFaults.begin(), aTrace.mFaults.end(), [&](const auto& aFault) {
    return aFault.mHost == aHost && aFault.mKind == aKind && aFault.mFrom <= aAt &&
           aAt < aFault.mTo;
  });
}

// Returns the speed of a target at the given time, relative to its speed without faults.
double
TargetSpeedAt(const Trace& aTrace, const HostName& aHost, Duration aAt)
{
  if (IsFaultActive(aTrace, aHost, FaultKind::Dead, aAt) ||
      IsFaultActive(aTrace, aHost, FaultKind::FailsAll, aAt)) {
    return 0.0;
  }
  return IsFaultActive(aTrace, aHost, FaultKind::Slow, aAt) ? 1.0 / kSlowdownFactor : 1.0;
}

double
AvailableSlotSeconds(const Trace& aTrace, const PoolWindow& aWindow)
{
  double sum = 0.0;
  for (int i = 0; i < kTargetsPerPool; ++i) {
    auto host = MakeTargetName(aWindow.mPool, i);
    for (auto at = aWindow.mFrom; at < aWindow.mTo; at += kIntegrationStep) {
      sum += TargetSpeedAt(aTrace, host, at) * kSlotsPerTarget * Seconds(kIntegrationStep);
    }
  }
  return sum;
}

// Returns the part of the answered run that falls into the window, in seconds of run time without
// faults.
double
UsefulWorkIn(const PoolWindow& aWindow, const Arrival& aArrival, const TraceRequestResult& aRequest)
{
  auto from = std::max(aWindow.mFrom, aRequest.mStartedAt);
  auto to = std::min(aWindow.mTo, aRequest.mRunEndedAt);
  auto ran = aRequest.mRunEndedAt - aRequest.mStartedAt;
  if (to <= from || ran <= Duration::zero()) {
    return 0.0;
  }
  return Seconds(aArrival.mRunTime) * Seconds(to - from) / Seconds(ran);
}

double
Goodput(const Trace& aTrace, const TraceRun& aRun)
{
  double capacity = 0.0;
  double useful = 0.0;
  for (const auto& window : aTrace.mBursts) {
    capacity += AvailableSlotSeconds(aTrace, window);
    for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
      const auto& arrival = aTrace.mArrivals[i];
      if (arrival.mPool == window.mPool && IsOnTime(arrival, aRun.mRequests[i])) {
        useful += UsefulWorkIn(window, arrival, aRun.mRequests[i]);
      }
    }
  }
  return Ratio(useful, capacity);
}

std::int64_t
CountUrgentOnTime(const Trace& aTrace, const TraceRun& aRun)
{
  std::int64_t count = 0;
  for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
    bool urgent = aTrace.mArrivals[i].mClass == RequestClass::Urgent;
    count += urgent && IsOnTime(aTrace.mArrivals[i], aRun.mRequests[i]) ? 1 : 0;
  }
  return count;
}

double
OnTimeShare(const Trace& aTrace, const TraceRun& aRun, RequestClass aClass)
{
  double all = 0.0;
  double onTime = 0.0;
  for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
    if (aTrace.mArrivals[i].mClass == aClass) {
      all += 1.0;
      onTime += IsOnTime(aTrace.mArrivals[i], aRun.mRequests[i]) ? 1.0 : 0.0;
    }
  }
  return Ratio(onTime, all);
}

}

bool
IsOnTime(const Arrival& aArrival, const TraceRequestResult& aRequest)
{
  return aRequest.mAnswered && aRequest.mResolvedAt <= aArrival.mAt + aArrival.mDeadline;
}

TraceRun
RunOnDeployment(const Trace& aTrace, std::uint64_t aSeed, bool aRetryRefused)
{
  Deployment deployment;
  DeploymentSettings settings;
  settings.mEntryHosts = kEntryHosts;
  settings.mSeed = aSeed;
  StartDeployment(deployment, settings);
  for (const auto& pool : CollectPools(aTrace)) {
    AddPool(deployment, pool, kTargetsPerPool, kAttemptTimeout);
  }
  RunUntil(deployment, deployment.mNow + kAttemptTimeout + kSettleTime);
  auto start = deployment.mNow;
  auto messages = deployment.mMessages;
  TraceRun run;
  run.mRequests.resize(aTrace.mArrivals.size());
  std::map<RequestId, std::size_t> positions;
  deployment.mOnRun = [&](const ExecutorRun& aStarted) {
    auto& request = run.mRequests[positions.at(aStarted.mRequest)];
    request.mHost = aStarted.mHost;
    request.mStartedAt = aStarted.mFrom - start;
    request.mRunEndedAt = aStarted.mTo - start;
    request.mAttempts += 1;
  };
  auto submit = [&](std::size_t aIndex) {
    const auto& arrival = aTrace.mArrivals[aIndex];
    // Register the id before submitting, since the request may be refused during the call.
    positions[RequestId("r" + std::to_string(deployment.mNextId))] = aIndex;
    Submit(deployment, arrival.mEntryHost, MakeRequest(arrival, start + arrival.mAt));
  };
  deployment.mOnAnswer = [&](const RequestId& aRequest, const GivenAnswer& aAnswer) {
    auto& request = run.mRequests[positions.at(aRequest)];
    request.mAnswered = aAnswer.mOutcome.mKind == OutcomeKind::Answered;
    request.mNotRun = aAnswer.mOutcome.mKind == OutcomeKind::NotRun;
    request.mResolvedAt = aAnswer.mAt - start;
    auto index = positions.at(aRequest);
    const auto& arrival = aTrace.mArrivals[index];
    auto back = aAnswer.mAt + aAnswer.mOutcome.mRetryAfter;
    if (aRetryRefused && request.mNotRun && back < start + arrival.mAt + arrival.mDeadline) {
      Schedule(deployment, back, [&submit, index] { submit(index); });
    }
  };
  for (const auto& fault : aTrace.mFaults) {
    Schedule(deployment, start + fault.mFrom, [&] { SetFault(deployment, fault, true); });
    Schedule(deployment, start + fault.mTo, [&] { SetFault(deployment, fault, false); });
  }
  for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
    const auto& arrival = aTrace.mArrivals[i];
    Schedule(deployment, start + arrival.mAt, [&submit, i] { submit(i); });
  }
  RunUntil(deployment, start + aTrace.mArrivals.back().mAt + kCompletionTime);
  for (const auto& [host, executor] : deployment.mExecutors) {
    run.mOvercommits += executor.mOvercommits;
  }
  run.mMessages = deployment.mMessages - messages;
  return run;
}

std::int64_t
CountFeasibleUrgent(const Trace& aTrace)
{
  std::int64_t fits = 0;
  for (const auto& pool : CollectPools(aTrace)) {
    std::multiset<std::pair<Duration, HostName>> slots;
    for (int slot = 0; slot < kTargetsPerPool * kSlotsPerTarget; ++slot) {
      slots.emplace(Duration::zero(), MakeTargetName(pool, slot % kTargetsPerPool));
    }
    for (const auto& arrival : aTrace.mArrivals) {
      if (arrival.mPool != pool || arrival.mClass != RequestClass::Urgent) {
        continue;
      }
      auto slot = std::find_if(slots.begin(), slots.end(), [&](const auto& aSlot) {
        return TargetSpeedAt(aTrace, aSlot.second, std::max(aSlot.first, arrival.mAt)) == 1.0;
      });
      auto end = slot == slots.end() ? Duration::max()
                                     : std::max(slot->first, arrival.mAt) + arrival.mRunTime;
      if (end > arrival.mAt + arrival.mDeadline) {
        continue;
      }
      fits += 1;
      slots.emplace(end, slot->second);
      slots.erase(slot);
    }
  }
  return fits;
}

JsonValue
SummarizeSlotSharing(const Trace& aTrace, const TraceRun& aRun, std::int64_t aFeasibleUrgent)
{
  std::vector<double> refusals;
  double attempts = 0.0;
  double run = 0.0;
  for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
    const auto& request = aRun.mRequests[i];
    attempts += request.mAttempts;
    run += request.mAttempts > 0 ? 1.0 : 0.0;
    if (request.mNotRun) {
      refusals.push_back(1000.0 * Seconds(request.mResolvedAt - aTrace.mArrivals[i].mAt));
    }
  }
  auto requests = static_cast<double>(aTrace.mArrivals.size());
  JsonValue figures;
  figures.Add("urgent_on_time") = JsonNumber(Ratio(
    static_cast<double>(CountUrgentOnTime(aTrace, aRun)), static_cast<double>(aFeasibleUrgent)));
  figures.Add("goodput") = JsonNumber(Goodput(aTrace, aRun));
  figures.Add("slot_overcommit") = JsonInteger(aRun.mOvercommits);
  figures.Add("refusal_p99_ms") = JsonNumber(Percentile(refusals, 0.99));
  figures.Add("refused") = JsonNumber(static_cast<double>(refusals.size()) / requests);
  figures.Add("ordinary_on_time") = JsonNumber(OnTimeShare(aTrace, aRun, RequestClass::Ordinary));
  figures.Add("long_on_time") = JsonNumber(OnTimeShare(aTrace, aRun, RequestClass::Long));
  figures.Add("attempts_per_request") = JsonNumber(Ratio(attempts, run));
  figures.Add("messages_per_request") = JsonNumber(static_cast<double>(aRun.mMessages) / requests);
  return figures;
}

}
