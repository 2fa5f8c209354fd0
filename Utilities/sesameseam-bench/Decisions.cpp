#include "AllocationCount.h"
#include "Experiment.h"
#include "Statistics.h"

#include "LibStandIn/OwnerModel.h"

#include <array>
#include <chrono>
#include <iostream>
#include <numeric>

// Measures what the owner of a pool spends on each kind of event: in a small pool (the baseline)
// and in larger ones, with few jobs and many, without tenants and with many.
namespace sesameseam {

namespace {

using standin::OwnerEvent;
using standin::OwnerModelSettings;
using standin::PoolLoad;

constexpr int kSmallPool = 50;
constexpr std::array kLargePools = { 500, 5000 };
constexpr std::array kJobCounts = { 100, 10'000 };
constexpr std::array kTenantCounts = { 0, 680 };
constexpr std::array kLoads = { PoolLoad::Calm, PoolLoad::Full, PoolLoad::Burst };
constexpr std::array kEvents = { OwnerEvent::Heartbeat,    OwnerEvent::End,  OwnerEvent::Arrival,
                                 OwnerEvent::Cancellation, OwnerEvent::Tick, OwnerEvent::IdlePass,
                                 OwnerEvent::PassAfterEnd };
constexpr int kSamples = 200;

struct EventCost
{
  std::vector<double> mMicroseconds;
  std::int64_t mAllocations = 0;
  // By the placement passes among them.
  std::int64_t mStepsExamined = 0;
  std::int64_t mExecutorsExamined = 0;
};

double
Mean(const std::vector<double>& aSamples)
{
  auto sum = std::accumulate(aSamples.begin(), aSamples.end(), 0.0);
  return sum / static_cast<double>(aSamples.size());
}

EventCost
MeasureEvent(standin::OwnerModel& aModel, OwnerEvent aEvent)
{
  EventCost cost;
  auto meter = [&](const std::function<void()>& aWork) {
    auto before = SumCounters(aModel.mNode);
    auto allocations = AllocationCount();
    auto start = std::chrono::steady_clock::now();
    aWork();
    auto took = std::chrono::steady_clock::now() - start;
    cost.mAllocations += AllocationCount() - allocations;
    cost.mMicroseconds.push_back(std::chrono::duration<double, std::micro>(took).count());
    auto after = SumCounters(aModel.mNode);
    cost.mStepsExamined += after.mStepsExamined - before.mStepsExamined;
    cost.mExecutorsExamined += after.mExecutorsExamined - before.mExecutorsExamined;
  };
  for (int i = 0; i < kSamples; ++i) {
    PlayEvent(aModel, aEvent, meter);
  }
  return cost;
}

double
PerEvent(std::int64_t aSum)
{
  return static_cast<double>(aSum) / kSamples;
}

JsonValue
Summarize(const EventCost& aCost)
{
  JsonValue summary;
  summary.Add("mean_us") = JsonNumber(Mean(aCost.mMicroseconds));
  summary.Add("p99_us") = JsonNumber(Percentile(aCost.mMicroseconds, 0.99));
  summary.Add("allocations") = JsonNumber(PerEvent(aCost.mAllocations));
  summary.Add("steps_examined") = JsonNumber(PerEvent(aCost.mStepsExamined));
  summary.Add("executors_examined") = JsonNumber(PerEvent(aCost.mExecutorsExamined));
  return summary;
}

std::string
NameOf(const OwnerModelSettings& aSettings)
{
  return std::string(standin::NameOf(aSettings.mLoad)) + "_" + std::to_string(aSettings.mJobs) +
         "_jobs_" + std::to_string(aSettings.mTenants) + "_tenants";
}

JsonValue
MeasureOwner(const OwnerModelSettings& aSettings)
{
  auto model = MakeOwnerModel(aSettings);
  JsonValue figures;
  for (auto event : kEvents) {
    figures.Add(std::string(NameOf(event))) = Summarize(MeasureEvent(model, event));
  }
  return figures;
}

JsonValue
MeasurePool(int aExecutors)
{
  JsonValue figures;
  for (auto load : kLoads) {
    for (auto jobs : kJobCounts) {
      for (auto tenants : kTenantCounts) {
        OwnerModelSettings settings{ aExecutors, jobs, tenants, load };
        std::cerr << aExecutors << " executors: " << NameOf(settings) << "\n";
        figures.Add(NameOf(settings)) = MeasureOwner(settings);
      }
    }
  }
  return figures;
}

ExperimentResult
MeasureDecisions(std::uint64_t /*aSeed*/)
{
  ExperimentResult figures;
  figures.mBaseline.Add(std::to_string(kSmallPool)) = MeasurePool(kSmallPool);
  for (auto executors : kLargePools) {
    figures.mChosen.Add(std::to_string(executors)) = MeasurePool(executors);
  }
  return figures;
}

const bool kRegistered = RegisterExperiment("decisions", MeasureDecisions);

}

}
