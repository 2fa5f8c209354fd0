#include "LibDaemon/Alarms.h"

#include "LibFleet/Views.h"

#include <algorithm>

namespace sesameseam {

namespace {

// Members exchange reports several times a second, so a gap of this length indicates a fault.
constexpr Duration kUnresponsiveAfter = 2s;

void
AddTraffic(PoolTraffic& aSum, const PoolTraffic& aLoad)
{
  aSum.mQueued += aLoad.mQueued;
  aSum.mRunning += aLoad.mRunning;
  aSum.mOwnedSlots += aLoad.mOwnedSlots;
  aSum.mAccepted += aLoad.mAccepted;
  aSum.mRefused += aLoad.mRefused;
  aSum.mAnswered += aLoad.mAnswered;
  aSum.mNotRun += aLoad.mNotRun;
  aSum.mUnknown += aLoad.mUnknown;
  aSum.mRetried += aLoad.mRetried;
}

std::string
FormatAge(Duration aDuration)
{
  return FormatDuration(ToMilliseconds(aDuration));
}

void
AddMemberAlarms(const StatusReply& aStatus, std::vector<Alarm>& aAlarms)
{
  for (const auto& member : aStatus.mMembers) {
    const auto& name = member.mMember.mValue;
    if (member.mLastReportAgo > kUnresponsiveAfter) {
      aAlarms.push_back(
        { AlarmKind::MemberUnresponsive,
          "member " + name + " was not heard for " + FormatAge(member.mLastReportAgo) });
    } else if (member.mVersion < aStatus.mVersion) {
      aAlarms.push_back({ AlarmKind::MemberBehind,
                          "member " + name + " is at version " + std::to_string(member.mVersion) +
                            " of " + std::to_string(aStatus.mVersion) });
    }
  }
}

void
AddLoadAlarms(const LoadReply& aLoad, std::vector<Alarm>& aAlarms)
{
  const auto& name = aLoad.mMember.mValue;
  if (!aLoad.mReady) {
    aAlarms.push_back({ AlarmKind::EntryHostNotReady, "entry host " + name + " is not ready" });
  }
  if (aLoad.mLogConfirmedAgo > kUnresponsiveAfter) {
    aAlarms.push_back({ AlarmKind::LogUnreachable,
                        "entry host " + name + " last read the log to its end " +
                          FormatAge(aLoad.mLogConfirmedAgo) + " ago" });
  }
  if (aLoad.mConfirmedAgo > kUnresponsiveAfter) {
    aAlarms.push_back({ AlarmKind::ConfigurationStale,
                        "entry host " + name + " starts no work; its configuration was confirmed " +
                          FormatAge(aLoad.mConfirmedAgo) + " ago" });
  }
}

void
AddPoolAlarms(const PoolSummary& aPool, std::vector<Alarm>& aAlarms)
{
  const auto& name = aPool.mPool.mValue;
  if (aPool.mInService == 0) {
    aAlarms.push_back(
      { AlarmKind::PoolWithoutTargets, "pool " + name + " has no host in service" });
  } else if (aPool.mInService < aPool.mNeeded) {
    aAlarms.push_back({ AlarmKind::PoolShortage,
                        "pool " + name + " has " + std::to_string(aPool.mInService) +
                          " hosts in service and needs " + std::to_string(aPool.mNeeded) });
  }
}

}

std::vector<PoolSummary>
SummarizePools(const StatusReply& aStatus, const std::vector<LoadReply>& aLoads)
{
  std::map<PoolName, PoolSummary> pools;
  for (const auto& pool : aStatus.mPools) {
    auto& summary = pools[pool.mDefinition.mPool];
    summary.mPool = pool.mDefinition.mPool;
    summary.mInForce = pool.mInForce;
    summary.mSpare = pool.mDefinition.mSpare;
    summary.mLoad.mPool = summary.mPool;
    if (const auto* preset = PresetInForce(pool)) {
      summary.mNeeded = preset->mHosts;
      summary.mBuffer = preset->mBuffer;
    }
  }
  for (const auto& host : aStatus.mHosts) {
    auto found = pools.find(host.mPool);
    if (found != pools.end()) {
      found->second.mInService += host.mPhase == HostPhase::InService ? 1 : 0;
      found->second.mLeaving += host.mPhase == HostPhase::Leaving ? 1 : 0;
    }
  }
  for (const auto& reply : aLoads) {
    for (const auto& load : reply.mPools) {
      auto found = pools.find(load.mPool);
      if (found != pools.end()) {
        AddTraffic(found->second.mLoad, load);
      }
    }
  }
  std::vector<PoolSummary> summaries;
  summaries.reserve(pools.size());
  for (auto& [name, summary] : pools) {
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

std::vector<Alarm>
ComputeAlarms(const StatusReply& aStatus, const std::vector<LoadReply>& aLoads)
{
  std::vector<Alarm> alarms;
  AddMemberAlarms(aStatus, alarms);
  for (const auto& load : aLoads) {
    AddLoadAlarms(load, alarms);
  }
  if (aStatus.mUnreadable > 0) {
    alarms.push_back({ AlarmKind::UnreadableRecords,
                       std::to_string(aStatus.mUnreadable) +
                         " records of the log cannot be read and are out of force" });
  }
  bool anySpare = false;
  for (const auto& pool : SummarizePools(aStatus, aLoads)) {
    AddPoolAlarms(pool, alarms);
    anySpare = anySpare || pool.mSpare;
  }
  if (!anySpare && !aStatus.mPools.empty()) {
    alarms.push_back({ AlarmKind::SpareMissing, "no pool is the spare" });
  }
  for (const auto& maintenance : aStatus.mMaintenances) {
    if (maintenance.mPhase == MaintenancePhase::Stopped) {
      alarms.push_back({ AlarmKind::MaintenanceStopped,
                         "maintenance " + maintenance.mMaintenance.mValue +
                           " was stopped: " + maintenance.mReason });
    }
  }
  return alarms;
}

}
