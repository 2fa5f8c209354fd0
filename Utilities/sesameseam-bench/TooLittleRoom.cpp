#include "Experiment.h"
#include "Statistics.h"

#include "LibStandIn/PoolModel.h"

#include <algorithm>
#include <random>

// Jobs for a pool that has not room for all: the order by latest start alone (the baseline) against
// shares and yielding (chosen), and a rule that knows all arrivals and run times.
namespace sesameseam {

namespace {

using namespace schedule;

constexpr int kTenants = 10;
constexpr Duration kBurstLength = 6s;
// The pool's 320 cores against 16 core-seconds a job.
constexpr double kFullRate = 20.0;

Step
MakeStep(int aCount)
{
  Step step;
  step.mCount = aCount;
  step.mNeeds = { 2000, 100, 0 };
  step.mEstimate = 900ms;
  return step;
}

std::vector<ModelJob>
MakeBurst(std::uint64_t aSeed, double aLoad)
{
  std::mt19937_64 random(aSeed);
  std::exponential_distribution<double> interval(aLoad * kFullRate);
  std::lognormal_distribution<double> size(-0.3, 0.8);
  std::uniform_real_distribution<double> part(0.0, 1.0);
  std::vector<ModelJob> jobs;
  Duration at{};
  while (at < kBurstLength) {
    ModelJob job;
    job.mAt = at;
    auto count = std::clamp(static_cast<int>(6.0 * size(random)), 1, 64);
    job.mDefinition.mSteps = { MakeStep(count) };
    if (part(random) < 0.5) {
      job.mDefinition.mSteps.push_back(MakeStep(count));
      job.mDefinition.mSteps.back().mDependsOn = { 0 };
    }
    job.mDefinition.mTenant = TenantName("t" + std::to_string(jobs.size() % kTenants));
    job.mDefinition.mStretchPercent = 160;
    job.mDefinition.mResponseGoal = 600ms;
    job.mSlowdown = 0.7 + 0.6 * part(random);
    jobs.push_back(job);
    at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval(random)));
  }
  return jobs;
}

JsonValue
Summarize(const std::vector<ModelJob>& aJobs, const std::vector<ModelOutcome>& aOutcomes)
{
  double inTime = 0;
  double work = 0;
  double workInTime = 0;
  for (std::size_t i = 0; i < aJobs.size(); ++i) {
    auto ofJob = static_cast<double>(WorkOf(aJobs[i].mDefinition));
    work += ofJob;
    inTime += aOutcomes[i].mInTime ? 1 : 0;
    workInTime += aOutcomes[i].mInTime ? ofJob : 0;
  }
  JsonValue summary;
  summary.Add("jobs_in_time") = JsonNumber(inTime / static_cast<double>(aJobs.size()));
  summary.Add("work_in_time") = JsonNumber(workInTime / work);
  return summary;
}

ExperimentResult
Run(std::uint64_t aSeed)
{
  PoolModelSettings shared;
  for (int i = 0; i < kTenants; ++i) {
    Tenant tenant;
    tenant.mName = TenantName("t" + std::to_string(i));
    tenant.mWeight = kFullRate;
    shared.mTenants.push_back(tenant);
  }
  ExperimentResult result;
  for (const auto* load : { "0.9", "1.5", "2", "5" }) {
    auto jobs = MakeBurst(aSeed, std::stod(load));
    auto name = std::string("load_") + load;
    result.mBaseline.Add(name) = Summarize(jobs, PlayPool({}, jobs));
    result.mChosen.Add(name) = Summarize(jobs, PlayPool(shared, jobs));
    result.mChosen.Add(name + "_with_foresight") = Summarize(jobs, PlayWithForesight(shared, jobs));
  }
  return result;
}

const bool kRegistered = RegisterExperiment("too_little_room", Run);

}

}
