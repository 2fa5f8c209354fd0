#include "Experiment.h"
#include "TraceRun.h"

// Measures the recovery after half of the targets of a pool have failed for a while. Refused
// callers retry after the delay that the refusal gave.
namespace sesameseam {

namespace {

constexpr Duration kTraceEnd = 60s;
constexpr Duration kFaultStart = 10s;
constexpr Duration kFaultEnd = 40s;
constexpr Duration kArrivalInterval = 2ms;
constexpr Duration kRunTime = 100ms;
constexpr Duration kDeadline = 2s;
constexpr Duration kSecond = 1s;
// The service counts as recovered from the second on in which and after which this share of the
// requests or more is answered on time.
constexpr double kRecoveredShare = 0.99;

Trace
MakeStormTrace(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<std::size_t> entry(0, kEntryHosts - 1);
  std::exponential_distribution<double> runTime(1.0);
  Trace trace;
  for (Duration at = Duration::zero(); at < kTraceEnd; at += kArrivalInterval) {
    Arrival arrival;
    arrival.mAt = at;
    arrival.mPool = PoolName("pool0");
    arrival.mRunTime = std::chrono::duration_cast<Duration>(kRunTime * (0.5 + runTime(random) / 2));
    arrival.mDeclaredRunTime = kRunTime;
    arrival.mDeadline = kDeadline;
    arrival.mEntryHost = entry(random);
    trace.mArrivals.push_back(arrival);
  }
  for (int i = 0; i < kTargetsPerPool / 2; ++i) {
    auto kind = i % 2 == 0 ? FaultKind::FailsAll : FaultKind::Dead;
    trace.mFaults.push_back({ kFaultStart, kFaultEnd, MakeTargetName(PoolName("pool0"), i), kind });
  }
  return trace;
}

// Returns the time from the end of the faults to the end of the last second in which too few
// requests were answered on time.
double
RecoverySeconds(const Trace& aTrace, const TraceRun& aRun)
{
  auto last = kFaultEnd;
  for (auto from = kFaultEnd; from < kTraceEnd; from += kSecond) {
    double all = 0.0;
    double onTime = 0.0;
    for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
      const auto& arrival = aTrace.mArrivals[i];
      if (arrival.mAt >= from && arrival.mAt < from + kSecond) {
        all += 1.0;
        onTime += IsOnTime(arrival, aRun.mRequests[i]) ? 1.0 : 0.0;
      }
    }
    if (onTime < kRecoveredShare * all) {
      last = from + kSecond;
    }
  }
  return std::chrono::duration<double>(last - kFaultEnd).count();
}

JsonValue
SummarizeRun(const Trace& aTrace, const TraceRun& aRun)
{
  double attempts = 0.0;
  double worst = 0.0;
  double during = 0.0;
  double answered = 0.0;
  for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
    const auto& request = aRun.mRequests[i];
    attempts += request.mAttempts;
    worst = std::max(worst, static_cast<double>(request.mAttempts));
    if (aTrace.mArrivals[i].mAt >= kFaultStart && aTrace.mArrivals[i].mAt < kFaultEnd) {
      during += 1.0;
      answered += IsOnTime(aTrace.mArrivals[i], request) ? 1.0 : 0.0;
    }
  }
  JsonValue figures;
  figures.Add("attempts_per_request") =
    JsonNumber(Ratio(attempts, static_cast<double>(aTrace.mArrivals.size())));
  figures.Add("most_attempts") = JsonNumber(worst);
  figures.Add("recovery_s") = JsonNumber(RecoverySeconds(aTrace, aRun));
  figures.Add("on_time_during_fault") = JsonNumber(Ratio(answered, during));
  figures.Add("slot_overcommit") = JsonInteger(aRun.mOvercommits);
  return figures;
}

ExperimentResult
MeasureRetryStorm(std::uint64_t aSeed)
{
  auto trace = MakeStormTrace(aSeed);
  ExperimentResult figures;
  figures.mBaseline = SummarizeRun(trace, RunOnPolicy(trace, PolicySettings(), aSeed));
  figures.mChosen = SummarizeRun(trace, RunOnDeployment(trace, aSeed, true));
  return figures;
}

const bool kRegistered = RegisterExperiment("retry_storm", MeasureRetryStorm);

}

}
