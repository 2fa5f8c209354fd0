#include "Experiment.h"

#include "LibBase/Json.h"
#include "LibExperiment/PlannerRun.h"

namespace sesameseam {

namespace {

constexpr Duration kThreeWeeks = std::chrono::hours(24 * 21);
const MaintenanceId kKernelMaintenance("kernel");

struct WaveResult
{
  std::int64_t mPools = 0;
  std::int64_t mHosts = 0;
  double mWaveHours = 0.0;
  std::string mPhase;
  std::int64_t mFinished = 0;
  std::int64_t mNotReturned = 0;
  std::int64_t mReboots = 0;
  std::int64_t mFailures = 0;
  std::int64_t mBudgetViolations = 0;
  std::int64_t mAnswersCut = 0;
};

template<typename V>
void
VisitFields(V& aVisit, WaveResult& aFigures)
{
  aVisit("pools", aFigures.mPools);
  aVisit("hosts", aFigures.mHosts);
  aVisit("wave_hours", aFigures.mWaveHours);
  aVisit("phase", aFigures.mPhase);
  aVisit("finished", aFigures.mFinished);
  aVisit("not_returned", aFigures.mNotReturned);
  aVisit("reboots", aFigures.mReboots);
  aVisit("failures", aFigures.mFailures);
  aVisit("budget_violations", aFigures.mBudgetViolations);
  aVisit("answers_cut", aFigures.mAnswersCut);
}

struct WaveResultsBySize
{
  WaveResult mToday;
  WaveResult mInTwoYears;
};

template<typename V>
void
VisitFields(V& aVisit, WaveResultsBySize& aSizes)
{
  aVisit("today", aSizes.mToday);
  aVisit("in_two_years", aSizes.mInTwoYears);
}

struct WaveSize
{
  int mPools = 0;
  int mHosts = 0;
  double mFailuresPerDay = 0.0;
};

// A drain takes up to 15 minutes, because long-running jobs finish or are checkpointed during it.
PlannerRunSettings
MakeSettings(const WaveSize& aSize, std::uint64_t aSeed)
{
  PlannerRunSettings settings;
  settings.mSeed = aSeed;
  settings.mStep = 30s;
  settings.mListLag = 20s;
  settings.mMinDrain = 5s;
  settings.mMaxDrain = std::chrono::minutes(15);
  settings.mMinReboot = std::chrono::minutes(2);
  settings.mMaxReboot = std::chrono::minutes(8);
  settings.mNoReturn = 0.003;
  settings.mFailuresPerDay = aSize.mFailuresPerDay;
  settings.mMinRepair = std::chrono::minutes(30);
  settings.mMaxRepair = std::chrono::hours(8);
  settings.mLeaderLoss = 0.001;
  return settings;
}

// Repairs a host that did not return from its reboot after 24 hours, like any other failed host.
void
RepairNotReturned(PlannerRun& aRun)
{
  for (auto& [name, host] : aRun.mHosts) {
    if (!host.mLive && host.mBackAt == TimePoint::max()) {
      host.mBackAt = aRun.mNow + std::chrono::hours(24);
    }
  }
}

WaveResult
RunWave(const WaveSize& aSize, std::uint64_t aSeed, int aMaxUnavailable)
{
  PlannerRun run;
  StartPlannerRun(run, MakeSettings(aSize, aSeed));
  for (int i = 0; i < aSize.mPools; ++i) {
    PoolDefined pool;
    pool.mPool = PoolName("p" + std::to_string(i));
    pool.mPresets = { { PresetName("ordinary"), 4, 2, 0.5 } };
    pool.mInForce = PresetName("ordinary");
    pool.mMaxUnavailable = aMaxUnavailable;
    auto hosts = aSize.mHosts * (i + 1) / aSize.mPools - aSize.mHosts * i / aSize.mPools;
    AddPoolTo(run, pool, hosts);
  }
  DeclareAll(run, kKernelMaintenance);
  auto start = run.mNow;
  const auto& maintenance = run.mFleet.mMaintenances.at(kKernelMaintenance);
  while (maintenance.mPhase == MaintenancePhase::Running && run.mNow < start + kThreeWeeks) {
    StepRun(run);
    RepairNotReturned(run);
  }
  WaveResult figures;
  figures.mPools = aSize.mPools;
  figures.mHosts = aSize.mHosts;
  figures.mWaveHours = std::chrono::duration<double, std::ratio<3600>>(run.mNow - start).count();
  figures.mPhase = std::string(EnumName(maintenance.mPhase));
  figures.mFinished = std::ssize(maintenance.mFinished);
  figures.mNotReturned = std::ssize(maintenance.mNotReturned);
  figures.mReboots = run.mFigures.mReboots;
  figures.mFailures = run.mFigures.mFailures;
  figures.mBudgetViolations = run.mFigures.mBudgetViolations;
  figures.mAnswersCut = run.mFigures.mCut;
  return figures;
}

WaveResultsBySize
RunSizes(std::uint64_t aSeed, int aMaxUnavailable)
{
  constexpr WaveSize kToday{ 5, 50, 0.4 };
  constexpr WaveSize kInTwoYears{ 178, 3300, 24.0 };
  return { RunWave(kToday, aSeed, aMaxUnavailable), RunWave(kInTwoYears, aSeed, aMaxUnavailable) };
}

// The baseline takes one host of a pool out of service at a time; the other run allows four, a
// whole rack.
ExperimentResult
MeasureWave(std::uint64_t aSeed)
{
  return { ToJsonValue(RunSizes(aSeed, 1)), ToJsonValue(RunSizes(aSeed, 4)) };
}

[[maybe_unused]] const bool kRegistered = RegisterExperiment("wave", MeasureWave);

}

}
