#include "TraceRun.h"

#include <deque>
#include <tuple>

// Simulates independent entry hosts that send to targets, which queue requests that exceed their
// slots.
namespace sesameseam {

namespace {

constexpr Duration kNetworkDelay = 500us;
constexpr Duration kFailureTime = 1ms;
constexpr Duration kRetryDelay = 100ms;

struct TargetState
{
  int mRunning = 0;
  // The requests sent and not yet answered, over all entry hosts.
  int mInFlight = 0;
  std::deque<std::size_t> mQueue;
  bool mDead = false;
  bool mFailsAll = false;
  double mSlowness = 1.0;
};

// Orders a queue by class, then absolute deadline, then arrival; without mQueueByClass by arrival
// alone.
using QueueKey = std::tuple<int, Duration, std::size_t>;

struct EntryHostState
{
  std::map<HostName, int> mSent;
  // The load from other entry hosts, as of the last report.
  std::map<HostName, int> mReported;
  std::map<PoolName, std::map<QueueKey, std::size_t>> mQueues;
};

struct PolicyState
{
  const Trace& mTrace;
  PolicySettings mSettings;
  std::mt19937_64 mRandom;
  Duration mNow = Duration::zero();
  std::map<HostName, TargetState> mTargets;
  std::vector<EntryHostState> mEntries;
  std::multimap<Duration, std::function<void()>> mEvents;
  TraceRun mRun;
};

void
ScheduleAt(PolicyState& aState, Duration aAt, std::function<void()> aWork)
{
  aState.mEvents.emplace(aAt, std::move(aWork));
}

void
Enqueue(PolicyState& aState, std::size_t aRequest);
void
DispatchQueued(PolicyState& aState, std::size_t aEntry, const PoolName& aPool);

void
FinishAttempt(PolicyState& aState, std::size_t aRequest, const HostName& aHost, bool aAnswered)
{
  const auto& arrival = aState.mTrace.mArrivals[aRequest];
  auto& request = aState.mRun.mRequests[aRequest];
  aState.mEntries[arrival.mEntryHost].mSent[aHost] -= 1;
  aState.mTargets[aHost].mInFlight -= 1;
  request.mAnswered = aAnswered;
  request.mResolvedAt = aState.mNow;
  if (!aAnswered && request.mAttempts < aState.mSettings.mMaxAttempts) {
    ScheduleAt(
      aState, aState.mNow + kRetryDelay, [&aState, aRequest] { Enqueue(aState, aRequest); });
  }
  DispatchQueued(aState, arrival.mEntryHost, arrival.mPool);
}

void
StartQueued(PolicyState& aState, const HostName& aHost)
{
  auto& target = aState.mTargets[aHost];
  while (target.mRunning < kSlotsPerTarget && !target.mQueue.empty()) {
    auto id = target.mQueue.front();
    target.mQueue.pop_front();
    target.mRunning += 1;
    auto& request = aState.mRun.mRequests[id];
    auto scaled = static_cast<double>(aState.mTrace.mArrivals[id].mRunTime.count());
    auto runTime = Duration(static_cast<std::int64_t>(scaled * target.mSlowness));
    bool fails = target.mFailsAll;
    request.mHost = aHost;
    request.mStartedAt = aState.mNow;
    request.mRunEndedAt = aState.mNow + (fails ? kFailureTime : runTime);
    ScheduleAt(aState, request.mRunEndedAt, [&aState, aHost, id, fails] {
      auto& state = aState.mTargets[aHost];
      state.mRunning -= 1;
      bool answered = !fails && !state.mDead;
      ScheduleAt(aState, aState.mNow + kNetworkDelay, [&aState, aHost, id, answered] {
        FinishAttempt(aState, id, aHost, answered);
      });
      StartQueued(aState, aHost);
    });
  }
}

void
SendTo(PolicyState& aState, std::size_t aRequest, const HostName& aHost)
{
  const auto& arrival = aState.mTrace.mArrivals[aRequest];
  auto& target = aState.mTargets[aHost];
  aState.mRun.mRequests[aRequest].mAttempts += 1;
  aState.mEntries[arrival.mEntryHost].mSent[aHost] += 1;
  target.mInFlight += 1;
  if (target.mDead) {
    ScheduleAt(aState, aState.mNow + kNetworkDelay, [&aState, aRequest, aHost] {
      FinishAttempt(aState, aRequest, aHost, false);
    });
    return;
  }
  aState.mRun.mOvercommits += target.mInFlight > kSlotsPerTarget ? 1 : 0;
  ScheduleAt(aState, aState.mNow + kNetworkDelay, [&aState, aRequest, aHost] {
    aState.mTargets[aHost].mQueue.push_back(aRequest);
    StartQueued(aState, aHost);
  });
}

int
LoadOf(const EntryHostState& aEntry, const HostName& aHost)
{
  auto sent = aEntry.mSent.find(aHost);
  auto reported = aEntry.mReported.find(aHost);
  return (sent == aEntry.mSent.end() ? 0 : sent->second) +
         (reported == aEntry.mReported.end() ? 0 : reported->second);
}

HostName
ChooseTarget(PolicyState& aState, const Arrival& aArrival)
{
  std::uniform_int_distribution<int> pick(0, kTargetsPerPool - 1);
  auto first = MakeTargetName(aArrival.mPool, pick(aState.mRandom));
  if (!aState.mSettings.mTwoChoices) {
    return first;
  }
  auto second = MakeTargetName(aArrival.mPool, pick(aState.mRandom));
  const auto& entry = aState.mEntries[aArrival.mEntryHost];
  return LoadOf(entry, first) <= LoadOf(entry, second) ? first : second;
}

void
DispatchQueued(PolicyState& aState, std::size_t aEntry, const PoolName& aPool)
{
  auto& entry = aState.mEntries[aEntry];
  auto& queue = entry.mQueues[aPool];
  while (!queue.empty()) {
    auto id = queue.begin()->second;
    auto host = ChooseTarget(aState, aState.mTrace.mArrivals[id]);
    if (aState.mSettings.mQueueByClass && LoadOf(entry, host) >= kSlotsPerTarget) {
      return;
    }
    queue.erase(queue.begin());
    SendTo(aState, id, host);
  }
}

void
Enqueue(PolicyState& aState, std::size_t aRequest)
{
  const auto& arrival = aState.mTrace.mArrivals[aRequest];
  QueueKey key{ 0, arrival.mAt, aRequest };
  if (aState.mSettings.mQueueByClass) {
    key = { static_cast<int>(arrival.mClass), arrival.mAt + arrival.mDeadline, aRequest };
  }
  aState.mEntries[arrival.mEntryHost].mQueues[arrival.mPool].emplace(key, aRequest);
  DispatchQueued(aState, arrival.mEntryHost, arrival.mPool);
}

// Exchanges the in-flight counts of all entry hosts, then retries the queued requests. Repeats at
// the report interval until aUntil.
void
ReportLoads(PolicyState& aState, Duration aUntil)
{
  for (std::size_t i = 0; i < aState.mEntries.size(); ++i) {
    auto& entry = aState.mEntries[i];
    for (const auto& [host, target] : aState.mTargets) {
      entry.mReported[host] = target.mInFlight - entry.mSent[host];
    }
    for (const auto& [pool, queue] : entry.mQueues) {
      DispatchQueued(aState, i, pool);
    }
  }
  auto entries = static_cast<std::int64_t>(aState.mEntries.size());
  aState.mRun.mMessages += entries * (entries - 1);
  if (aState.mNow < aUntil) {
    ScheduleAt(aState, aState.mNow + aState.mSettings.mReportInterval, [&aState, aUntil] {
      ReportLoads(aState, aUntil);
    });
  }
}

void
SetFault(PolicyState& aState, const Fault& aFault, bool aOn)
{
  auto& target = aState.mTargets[aFault.mHost];
  switch (aFault.mKind) {
    case FaultKind::Dead:
      target.mDead = aOn;
      break;
    case FaultKind::FailsAll:
      target.mFailsAll = aOn;
      break;
    case FaultKind::Slow:
      target.mSlowness = aOn ? kSlowdownFactor : 1.0;
      break;
  }
}

}

TraceRun
RunOnPolicy(const Trace& aTrace, const PolicySettings& aSettings, std::uint64_t aSeed)
{
  PolicyState state{ aTrace, aSettings, std::mt19937_64(aSeed), {}, {}, {}, {}, {} };
  state.mEntries.resize(kEntryHosts);
  state.mRun.mRequests.resize(aTrace.mArrivals.size());
  for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
    ScheduleAt(state, aTrace.mArrivals[i].mAt, [&state, i] { Enqueue(state, i); });
  }
  for (const auto& fault : aTrace.mFaults) {
    ScheduleAt(state, fault.mFrom, [&state, &fault] { SetFault(state, fault, true); });
    ScheduleAt(state, fault.mTo, [&state, &fault] { SetFault(state, fault, false); });
  }
  if (aSettings.mTwoChoices) {
    auto last = aTrace.mArrivals.back();
    ScheduleAt(
      state, Duration::zero(), [&state, last] { ReportLoads(state, last.mAt + last.mDeadline); });
  }
  while (!state.mEvents.empty()) {
    auto next = state.mEvents.extract(state.mEvents.begin());
    state.mNow = next.key();
    next.mapped()();
  }
  return std::move(state.mRun);
}

}
