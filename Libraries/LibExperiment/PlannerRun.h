#pragma once

#include "LibFleet/Fold.h"
#include "LibFleet/Planner.h"

#include <functional>
#include <map>
#include <random>

// The planner and the fold over weeks of simulated time. Entry hosts are left out: a drain lasts
// for a drawn time, and the platform's hosts boot, fail and are repaired at drawn times.
namespace sesameseam {

struct PlannerRunSettings
{
  std::uint64_t mSeed = 1;
  // The time from one plan to the next.
  Duration mStep = 10s;
  // The list of live hosts is this old when the planner gets it.
  Duration mListLag = 10s;
  Duration mMinDrain = 1s;
  Duration mMaxDrain = 60s;
  Duration mMinReboot = 60s;
  Duration mMaxReboot = 300s;
  // The share of reboots after which the host stays away.
  double mNoReturn = 0.0;
  // Failures a day of the whole fleet, and how long their repair takes.
  double mFailuresPerDay = 0.0;
  Duration mMinRepair = std::chrono::hours(1);
  Duration mMaxRepair = std::chrono::hours(8);
  // The chance in each step that the leader is lost.
  double mLeaderLoss = 0.0;
  // The chance that a lost leader had asked for a reboot in the log, but not at the platform.
  double mRebootUnsent = 0.0;
  // The chance in each step that a former leader plans on the state that it last saw.
  double mFormerLeader = 0.0;
  // Changes a plan before it is carried out, for baselines.
  std::function<void(const FleetState&, FleetPlan&)> mTune;
  PlannerSettings mPlanner;
};

struct RunHost
{
  std::int64_t mBoots = 1;
  bool mLive = true;
  // The host takes part again at this time, with one more boot.
  TimePoint mBackAt;
  // Work under way on the leaving host ends at this time.
  TimePoint mIdleAt;
  int mReboots = 0;
};

struct PlannerRunFigures
{
  // Acts of the planner after which a pool was over its budget, by the log and the list that the
  // planner had.
  std::int64_t mBudgetViolations = 0;
  // Reboots of hosts that had work under way.
  std::int64_t mCut = 0;
  std::int64_t mMoves = 0;
  std::int64_t mReboots = 0;
  std::int64_t mFailures = 0;
};

struct PlannerRun
{
  PlannerRunSettings mSettings;
  FleetState mFleet;
  TimePoint mNow;
  Offset mEnd = 0;
  std::mt19937_64 mRandom;
  std::map<HostName, RunHost> mHosts;
  std::deque<std::pair<TimePoint, std::map<HostName, std::int64_t>>> mLists;
  PlannerMemory mMemory;
  // What a former leader last saw.
  FleetState mFormerFleet;
  PlannerMemory mFormerMemory;
  std::function<int(const PoolName&, TimePoint)> mBusySlots;
  std::vector<HostWait> mWaits;
  PlannerRunFigures mFigures;
};

void
StartPlannerRun(PlannerRun& aRun, const PlannerRunSettings& aSettings);

Decision
AppendTo(PlannerRun& aRun,
         const std::string& aAuthor,
         std::optional<Offset> aBasedOn,
         Change aChange);

// Defines the pool and puts as many hosts into it, spread over three zones and four to a rack.
void
AddPoolTo(PlannerRun& aRun, const PoolDefined& aPool, int aHosts);

// A maintenance of all hosts.
void
DeclareAll(PlannerRun& aRun, const MaintenanceId& aMaintenance);

// The host goes down until its repair.
void
FailHost(PlannerRun& aRun, const HostName& aHost, Duration aRepair);

// Runs one step: hosts come back and fail, drains end, and the leader plans.
void
StepRun(PlannerRun& aRun);

// Runs until the maintenance is no longer running, or until the given time has passed.
void
RunMaintenance(PlannerRun& aRun, const MaintenanceId& aMaintenance, Duration aLimit);

}
