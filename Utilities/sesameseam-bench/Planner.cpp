#include "Experiment.h"

#include "LibBase/Json.h"
#include "LibExperiment/PlannerRun.h"

#include <algorithm>
#include <chrono>

namespace sesameseam {

namespace {

constexpr int kPlans = 200;
constexpr Duration kPlanPeriod = 1s;

struct FleetSize
{
  int mPools = 0;
  int mHosts = 0;
};

struct PlanTimings
{
  std::int64_t mPools = 0;
  std::int64_t mHosts = 0;
  double mMsPerPlan = 0.0;
  double mMsPerPlanP99 = 0.0;
  double mShareOfCore = 0.0;
};

template<typename V>
void
VisitFields(V& aVisit, PlanTimings& aFigures)
{
  aVisit("pools", aFigures.mPools);
  aVisit("hosts", aFigures.mHosts);
  aVisit("ms_per_plan", aFigures.mMsPerPlan);
  aVisit("ms_per_plan_p99", aFigures.mMsPerPlanP99);
  aVisit("share_of_core", aFigures.mShareOfCore);
}

struct PlannerResult
{
  std::vector<PlanTimings> mSizes;
  double mMicrosecondsPerHost = 0.0;
};

template<typename V>
void
VisitFields(V& aVisit, PlannerResult& aFigures)
{
  aVisit("sizes", aFigures.mSizes);
  aVisit("us_per_host", aFigures.mMicrosecondsPerHost);
}

void
BuildFleet(PlannerRun& aRun, const FleetSize& aSize, std::uint64_t aSeed)
{
  PlannerRunSettings settings;
  settings.mSeed = aSeed;
  settings.mFailuresPerDay = 24;
  StartPlannerRun(aRun, settings);
  for (int i = 0; i < aSize.mPools; ++i) {
    PoolDefined pool;
    pool.mPool = PoolName("p" + std::to_string(i));
    pool.mSpare = i == 0;
    pool.mPresets = { { PresetName("ordinary"), 4, 2, 0.5 } };
    pool.mInForce = PresetName("ordinary");
    pool.mMaxUnavailable = 2;
    auto hosts = aSize.mHosts * (i + 1) / aSize.mPools - aSize.mHosts * i / aSize.mPools;
    AddPoolTo(aRun, pool, hosts);
  }
  aRun.mBusySlots = [](const PoolName&, TimePoint) { return 24; };
  DeclareAll(aRun, MaintenanceId("kernel"));
}

double
MeasureMilliseconds(const std::function<void()>& aWork)
{
  auto start = std::chrono::steady_clock::now();
  aWork();
  auto elapsed = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::milli>(elapsed).count();
}

// Measures the time per plan during a maintenance wave over the whole fleet. The time to fold the
// log is not included.
PlanTimings
MeasurePlans(const FleetSize& aSize, std::uint64_t aSeed)
{
  PlannerRun run;
  BuildFleet(run, aSize, aSeed);
  std::vector<double> times;
  double sum = 0.0;
  for (int i = 0; i < kPlans; ++i) {
    StepRun(run);
    FleetLoad load;
    load.mBoots = run.mLists.front().second;
    load.mListedAt = run.mNow;
    for (const auto& [name, pool] : run.mFleet.mPools) {
      load.mPools[name].mBusySlots = run.mBusySlots(name, run.mNow);
    }
    times.push_back(MeasureMilliseconds(
      [&] { PlanFleet(run.mSettings.mPlanner, run.mFleet, load, run.mMemory, run.mNow); }));
    sum += times.back();
  }
  std::sort(times.begin(), times.end());
  PlanTimings figures;
  figures.mPools = aSize.mPools;
  figures.mHosts = aSize.mHosts;
  figures.mMsPerPlan = sum / kPlans;
  figures.mMsPerPlanP99 = times[kPlans * 99 / 100];
  figures.mShareOfCore =
    figures.mMsPerPlan / std::chrono::duration<double, std::milli>(kPlanPeriod).count();
  return figures;
}

// The baseline is the fleet at today's size, the first one below.
ExperimentResult
MeasurePlanner(std::uint64_t aSeed)
{
  PlannerResult figures;
  for (const auto& size : { FleetSize{ 5, 50 }, FleetSize{ 50, 1000 }, FleetSize{ 178, 3300 } }) {
    figures.mSizes.push_back(MeasurePlans(size, aSeed));
  }
  const auto& small = figures.mSizes.front();
  const auto& large = figures.mSizes.back();
  figures.mMicrosecondsPerHost = 1000.0 * (large.mMsPerPlan - small.mMsPerPlan) /
                                 static_cast<double>(large.mHosts - small.mHosts);
  return { ToJsonValue(small), ToJsonValue(figures) };
}

[[maybe_unused]] const bool kRegistered = RegisterExperiment("planner", MeasurePlanner);

}

}
