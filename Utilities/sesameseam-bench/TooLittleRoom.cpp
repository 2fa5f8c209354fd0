#include "Experiment.h"
#include "Statistics.h"

#include "LibStandIn/PoolModel.h"

#include <algorithm>
#include <random>

// Jobs for a pool that has not room for all: the order by latest start alone (the baseline) against
// shares and yielding (chosen), and what could be in time at most if all arrivals were known.
namespace sesameseam {

namespace {

using namespace schedule;

constexpr int kTenants = 10;
constexpr Duration kBurstLength = 6s;
// The pool's 320 cores against 16 core-seconds a job.
constexpr double kFullRate = 20.0;
constexpr double kCores = 320.0;
constexpr double kMillicoreSeconds = 1000.0;

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

Duration
DeadlineOf(const ModelJob& aJob)
{
  auto job = MakeJob(JobId("j"), aJob.mDefinition, nullptr);
  return aJob.mAt + (CompletionObjective(job, 0) - job.mOccurrences[0].mDueAt);
}

// How many jobs could be in time if work could be divided at will and all arrivals were known: the
// smallest first, as long as the work of no span of time exceeds what the pool can do in it.
double
InTimeAtMost(const std::vector<ModelJob>& aJobs)
{
  constexpr auto kSlot = Duration(100ms);
  constexpr std::size_t kSlots = 200;
  std::vector<std::size_t> order(aJobs.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  auto workOf = [&](std::size_t aJob) {
    return static_cast<double>(WorkOf(aJobs[aJob].mDefinition)) * aJobs[aJob].mSlowdown /
           kMillicoreSeconds;
  };
  std::sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return workOf(aLeft) < workOf(aRight);
  });
  // Work that is released in the first slot or later and due in the second or earlier.
  std::vector<std::vector<double>> work(kSlots, std::vector<double>(kSlots, 0.0));
  int count = 0;
  for (auto job : order) {
    auto released = static_cast<std::size_t>(aJobs[job].mAt / kSlot);
    auto due = std::min(kSlots - 1, static_cast<std::size_t>(DeadlineOf(aJobs[job]) / kSlot));
    auto fits = true;
    for (std::size_t from = 0; from <= released && fits; ++from) {
      for (std::size_t to = due; to < kSlots && fits; ++to) {
        auto seconds =
          std::chrono::duration<double>(kSlot).count() * static_cast<double>(to - from + 1);
        fits = work[from][to] + workOf(job) <= kCores * seconds;
      }
    }
    if (!fits) {
      continue;
    }
    ++count;
    for (std::size_t from = 0; from <= released; ++from) {
      for (std::size_t to = due; to < kSlots; ++to) {
        work[from][to] += workOf(job);
      }
    }
  }
  return static_cast<double>(count) / static_cast<double>(aJobs.size());
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
    result.mChosen.Add(name + "_at_most") = JsonNumber(InTimeAtMost(jobs));
  }
  return result;
}

const bool kRegistered = RegisterExperiment("too_little_room", Run);

}

}
