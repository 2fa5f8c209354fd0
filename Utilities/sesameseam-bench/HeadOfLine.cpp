#include "Experiment.h"
#include "TraceRun.h"

// Measures head-of-line blocking: long-running archive jobs occupy every slot before short, urgent
// preview requests arrive.
namespace sesameseam {

namespace {

constexpr Duration kArchiveRunTime = 6s;
constexpr Duration kArchiveDeadline = 60s;
constexpr int kArchives = 240;
constexpr Duration kPreviewRunTime = 100ms;
constexpr Duration kPreviewDeadline = 5s;
constexpr Duration kPreviewsStart = 3s;
constexpr Duration kPreviewsEnd = 23s;
constexpr Duration kPreviewInterval = 4ms;

Arrival
MakeArrival(RequestClass aClass, Duration aAt, Duration aRunTime, Duration aDeadline)
{
  Arrival arrival;
  arrival.mPool = PoolName("pool0");
  arrival.mClass = aClass;
  arrival.mAt = aAt;
  arrival.mRunTime = aRunTime;
  arrival.mDeclaredRunTime = aRunTime;
  arrival.mDeadline = aDeadline;
  return arrival;
}

Trace
MakeArchiveTrace(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_int_distribution<std::size_t> entry(0, kEntryHosts - 1);
  Trace trace;
  for (int i = 0; i < kArchives; ++i) {
    trace.mArrivals.push_back(
      MakeArrival(RequestClass::Long, i * 1ms, kArchiveRunTime, kArchiveDeadline));
  }
  for (Duration at = kPreviewsStart; at < kPreviewsEnd; at += kPreviewInterval) {
    trace.mArrivals.push_back(
      MakeArrival(RequestClass::Urgent, at, kPreviewRunTime, kPreviewDeadline));
  }
  for (auto& arrival : trace.mArrivals) {
    arrival.mEntryHost = entry(random);
  }
  return trace;
}

JsonValue
SummarizeRun(const Trace& aTrace, const TraceRun& aRun)
{
  std::vector<double> starts;
  double archives = 0.0;
  double finished = 0.0;
  double previews = 0.0;
  double onTime = 0.0;
  for (std::size_t i = 0; i < aTrace.mArrivals.size(); ++i) {
    const auto& arrival = aTrace.mArrivals[i];
    const auto& request = aRun.mRequests[i];
    auto finishedOnTime = IsOnTime(arrival, request) ? 1.0 : 0.0;
    if (arrival.mClass == RequestClass::Long) {
      archives += 1.0;
      finished += finishedOnTime;
      continue;
    }
    previews += 1.0;
    onTime += finishedOnTime;
    // A request that never started counts as having waited until its deadline.
    auto wait = request.mAttempts > 0 ? request.mStartedAt - arrival.mAt : arrival.mDeadline;
    starts.push_back(std::chrono::duration<double>(wait).count());
  }
  JsonValue figures;
  figures.Add("urgent_start_p99_s") = JsonNumber(Percentile(starts, 0.99));
  figures.Add("urgent_on_time") = JsonNumber(Ratio(onTime, previews));
  figures.Add("long_finished") = JsonNumber(Ratio(finished, archives));
  figures.Add("slot_overcommit") = JsonInteger(aRun.mOvercommits);
  return figures;
}

ExperimentResult
MeasureHeadOfLine(std::uint64_t aSeed)
{
  auto trace = MakeArchiveTrace(aSeed);
  ExperimentResult figures;
  figures.mBaseline = SummarizeRun(trace, RunOnPolicy(trace, PolicySettings(), aSeed));
  figures.mChosen = SummarizeRun(trace, RunOnDeployment(trace, aSeed));
  return figures;
}

const bool kRegistered = RegisterExperiment("head_of_line", MeasureHeadOfLine);

}

}
