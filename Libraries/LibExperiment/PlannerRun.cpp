#include "LibExperiment/PlannerRun.h"

#include "LibFleet/WaveBudget.h"

#include <array>

namespace sesameseam {

namespace {

constexpr int kHostsOfRack = 4;

Duration
Draw(PlannerRun& aRun, Duration aMin, Duration aMax)
{
  std::uniform_int_distribution<Duration::rep> distribution(aMin.count(), aMax.count());
  return Duration(distribution(aRun.mRandom));
}

bool
Chance(PlannerRun& aRun, double aProbability)
{
  return std::bernoulli_distribution(std::min(1.0, aProbability))(aRun.mRandom);
}

void
BringBack(PlannerRun& aRun)
{
  for (auto& [name, host] : aRun.mHosts) {
    if (!host.mLive && host.mBackAt <= aRun.mNow) {
      host.mLive = true;
      host.mBoots += 1;
    }
  }
}

void
FailSome(PlannerRun& aRun)
{
  auto steps = std::chrono::duration<double>(std::chrono::hours(24)) / aRun.mSettings.mStep;
  if (aRun.mHosts.empty() || !Chance(aRun, aRun.mSettings.mFailuresPerDay / steps)) {
    return;
  }
  std::uniform_int_distribution<std::size_t> index(0, aRun.mHosts.size() - 1);
  auto host = std::next(aRun.mHosts.begin(), static_cast<std::ptrdiff_t>(index(aRun.mRandom)));
  FailHost(aRun, host->first, Draw(aRun, aRun.mSettings.mMinRepair, aRun.mSettings.mMaxRepair));
}

std::map<HostName, std::int64_t>
LiveHosts(const PlannerRun& aRun)
{
  std::map<HostName, std::int64_t> boots;
  for (const auto& [name, host] : aRun.mHosts) {
    if (host.mLive) {
      boots.emplace_hint(boots.end(), name, host.mBoots);
    }
  }
  return boots;
}

FleetLoad
LoadNow(PlannerRun& aRun)
{
  aRun.mLists.emplace_back(aRun.mNow, LiveHosts(aRun));
  while (aRun.mLists.size() > 1 && aRun.mLists[1].first + aRun.mSettings.mListLag <= aRun.mNow) {
    aRun.mLists.pop_front();
  }
  FleetLoad load;
  load.mBoots = aRun.mLists.front().second;
  load.mListedAt = aRun.mNow;
  for (const auto& [name, pool] : aRun.mFleet.mPools) {
    if (aRun.mBusySlots) {
      load.mPools[name].mBusySlots = aRun.mBusySlots(name, aRun.mNow);
    }
  }
  return load;
}

// What is out of service in the pool by the log or by the list that the planner has.
UnavailableHosts
OutOfService(const PlannerRun& aRun, const PoolName& aPool, const FleetLoad& aLoad)
{
  UnavailableHosts out;
  for (const auto& [name, host] : aRun.mFleet.mHosts) {
    bool moves = host.mPhase != HostPhase::InService && host.mReason == LeaveReason::Move;
    if (host.mPool == aPool && !moves &&
        (IsOutOfServiceByLog(host) || !aLoad.mBoots.contains(name))) {
      AddUnavailable(out, host);
    }
  }
  return out;
}

void
CountViolation(PlannerRun& aRun, const HostLeaving& aLeaving, const FleetLoad& aLoad)
{
  const auto& pool = aRun.mFleet.mHosts.at(aLeaving.mHost).mPool;
  const auto& budget = aRun.mFleet.mPools.at(pool).mDefinition;
  auto out = OutOfService(aRun, pool, aLoad);
  bool kept = std::ssize(out.mHosts) <= budget.mMaxUnavailable &&
              std::ssize(out.mRacks) <= budget.mMaxUnavailableRacks &&
              std::ssize(out.mZones) <= budget.mMaxUnavailableZones;
  aRun.mFigures.mBudgetViolations += kept ? 0 : 1;
}

void
RebootRunHost(PlannerRun& aRun, const HostName& aHost)
{
  auto& host = aRun.mHosts.at(aHost);
  if (!host.mLive) {
    return;
  }
  const auto& settings = aRun.mSettings;
  bool returns = !Chance(aRun, settings.mNoReturn);
  aRun.mFigures.mCut += host.mIdleAt > aRun.mNow ? 1 : 0;
  aRun.mFigures.mReboots += 1;
  host.mReboots += 1;
  host.mLive = false;
  host.mBackAt =
    returns ? aRun.mNow + Draw(aRun, settings.mMinReboot, settings.mMaxReboot) : TimePoint::max();
}

void
NoteAccepted(PlannerRun& aRun, const Change& aChange, const FleetLoad& aLoad)
{
  if (const auto* leaving = std::get_if<HostLeaving>(&aChange)) {
    auto drain = Draw(aRun, aRun.mSettings.mMinDrain, aRun.mSettings.mMaxDrain);
    aRun.mHosts.at(leaving->mHost).mIdleAt = aRun.mNow + drain;
    aRun.mFigures.mMoves += leaving->mReason == LeaveReason::Move ? 1 : 0;
    if (leaving->mReason == LeaveReason::Maintenance) {
      CountViolation(aRun, *leaving, aLoad);
    }
  } else if (const auto* reboot = std::get_if<HostRebootRequested>(&aChange)) {
    if (!Chance(aRun, aRun.mSettings.mRebootUnsent)) {
      RebootRunHost(aRun, reboot->mHost);
    }
  }
}

void
CarryOut(PlannerRun& aRun,
         const std::string& aAuthor,
         const FleetPlan& aPlan,
         const FleetLoad& aLoad)
{
  for (const auto& proposal : aPlan.mProposals) {
    if (AppendTo(aRun, aAuthor, proposal.mBasedOn, proposal.mChange).mAccepted) {
      NoteAccepted(aRun, proposal.mChange, aLoad);
    }
  }
}

void
EndDrains(PlannerRun& aRun)
{
  std::vector<const HostState*> idle;
  for (const auto& [name, host] : aRun.mFleet.mHosts) {
    if (host.mPhase == HostPhase::Leaving && aRun.mHosts.at(name).mIdleAt <= aRun.mNow) {
      idle.push_back(&host);
    }
  }
  for (const auto* host : idle) {
    AppendTo(aRun, "leader", host->mPhaseVersion, HostDrained{ host->mHost });
  }
}

void
LoseLeader(PlannerRun& aRun)
{
  aRun.mFormerFleet = aRun.mFleet;
  aRun.mFormerMemory = std::move(aRun.mMemory);
  aRun.mMemory = {};
  LeaderElected elected{ MemberName("e" + std::to_string(aRun.mFleet.mLeader.mEpoch + 1)),
                         aRun.mFleet.mLeader.mEpoch + 1 };
  AppendTo(aRun, "members", std::nullopt, elected);
}

// A former leader has an old state, and a list of hosts from another time.
void
PlanAsFormerLeader(PlannerRun& aRun, FleetLoad aLoad)
{
  constexpr double kUnlisted = 0.3;
  std::erase_if(aLoad.mBoots, [&](const auto&) { return Chance(aRun, kUnlisted); });
  auto plan =
    PlanFleet(aRun.mSettings.mPlanner, aRun.mFormerFleet, aLoad, aRun.mFormerMemory, aRun.mNow);
  CarryOut(aRun, "former leader", plan, aLoad);
}

}

void
StartPlannerRun(PlannerRun& aRun, const PlannerRunSettings& aSettings)
{
  aRun.mSettings = aSettings;
  aRun.mRandom.seed(aSettings.mSeed);
  aRun.mNow = TimePoint(std::chrono::hours(24));
  AppendTo(aRun, "members", std::nullopt, LeaderElected{ MemberName("e1"), 1 });
  aRun.mFormerFleet = aRun.mFleet;
}

Decision
AppendTo(PlannerRun& aRun,
         const std::string& aAuthor,
         std::optional<Offset> aBasedOn,
         Change aChange)
{
  Record record;
  record.mId = RecordId(std::to_string(aRun.mEnd));
  record.mTime = aRun.mNow;
  record.mAuthor = aAuthor;
  record.mBasedOn = aBasedOn;
  record.mChange = std::move(aChange);
  return Apply(aRun.mFleet, { aRun.mEnd++, EncodeRecord(record) });
}

void
AddPoolTo(PlannerRun& aRun, const PoolDefined& aPool, int aHosts)
{
  AppendTo(aRun, "operator setup", std::nullopt, aPool);
  for (int i = 0; i < aHosts; ++i) {
    HostAdded host;
    host.mHost = HostName(aPool.mPool.mValue + "-h" + std::to_string(i + 1));
    host.mPool = aPool.mPool;
    auto rack = i / kHostsOfRack;
    host.mRack = RackName(aPool.mPool.mValue + "-r" + std::to_string(rack + 1));
    host.mZone = ZoneName("z" + std::to_string(rack % 3 + 1));
    host.mAddress = host.mHost.mValue;
    AppendTo(aRun, "operator setup", std::nullopt, host);
    aRun.mHosts.emplace(host.mHost, RunHost());
  }
}

void
DeclareAll(PlannerRun& aRun, const MaintenanceId& aMaintenance)
{
  MaintenanceDeclared declared;
  declared.mMaintenance = aMaintenance;
  for (const auto& [name, host] : aRun.mHosts) {
    declared.mHosts.push_back(name);
  }
  AppendTo(aRun, "operator setup", std::nullopt, declared);
}

void
FailHost(PlannerRun& aRun, const HostName& aHost, Duration aRepair)
{
  auto& host = aRun.mHosts.at(aHost);
  if (!host.mLive) {
    return;
  }
  aRun.mFigures.mFailures += 1;
  host.mLive = false;
  host.mBackAt = aRun.mNow + aRepair;
}

void
StepRun(PlannerRun& aRun)
{
  aRun.mNow += aRun.mSettings.mStep;
  BringBack(aRun);
  FailSome(aRun);
  if (Chance(aRun, aRun.mSettings.mLeaderLoss)) {
    LoseLeader(aRun);
  }
  EndDrains(aRun);
  auto load = LoadNow(aRun);
  const auto& settings = aRun.mSettings;
  if (Chance(aRun, settings.mFormerLeader)) {
    PlanAsFormerLeader(aRun, load);
  }
  auto plan = PlanFleet(settings.mPlanner, aRun.mFleet, load, aRun.mMemory, aRun.mNow);
  if (settings.mTune) {
    settings.mTune(aRun.mFleet, plan);
  }
  CarryOut(aRun, "leader", plan, load);
  aRun.mWaits = std::move(plan.mWaits);
}

void
RunMaintenance(PlannerRun& aRun, const MaintenanceId& aMaintenance, Duration aLimit)
{
  auto end = aRun.mNow + aLimit;
  const auto& maintenance = aRun.mFleet.mMaintenances.at(aMaintenance);
  while (maintenance.mPhase == MaintenancePhase::Running && aRun.mNow < end) {
    StepRun(aRun);
  }
}

}
