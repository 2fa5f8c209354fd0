#pragma once

#include "LibDaemon/LoadApi.h"
#include "LibDaemon/OperatorApi.h"

#include <string>
#include <vector>

namespace sesameseam {

// Conditions that need an operator's attention. docs/OPERATORS.md describes the response to each.
enum class AlarmKind
{
  EntryHostDown,
  EntryHostNotReady,
  MemberUnresponsive,
  MemberBehind,
  LogUnreachable,
  ConfigurationStale,
  UnreadableRecords,
  PoolShortage,
  PoolWithoutTargets,
  MaintenanceStopped,
  SpareMissing,
};

template<>
struct EnumNames<AlarmKind>
{
  static constexpr std::array kNames = {
    std::pair<std::string_view, AlarmKind>{ "entry-host-down", AlarmKind::EntryHostDown },
    std::pair<std::string_view, AlarmKind>{ "entry-host-not-ready", AlarmKind::EntryHostNotReady },
    std::pair<std::string_view, AlarmKind>{ "member-silent", AlarmKind::MemberUnresponsive },
    std::pair<std::string_view, AlarmKind>{ "member-lags", AlarmKind::MemberBehind },
    std::pair<std::string_view, AlarmKind>{ "log-out-of-reach", AlarmKind::LogUnreachable },
    std::pair<std::string_view, AlarmKind>{ "configuration-stale", AlarmKind::ConfigurationStale },
    std::pair<std::string_view, AlarmKind>{ "unreadable-records", AlarmKind::UnreadableRecords },
    std::pair<std::string_view, AlarmKind>{ "pool-short", AlarmKind::PoolShortage },
    std::pair<std::string_view, AlarmKind>{ "pool-without-targets", AlarmKind::PoolWithoutTargets },
    std::pair<std::string_view, AlarmKind>{ "maintenance-stopped", AlarmKind::MaintenanceStopped },
    std::pair<std::string_view, AlarmKind>{ "spare-missing", AlarmKind::SpareMissing },
  };
};

struct Alarm
{
  AlarmKind mKind = AlarmKind::EntryHostDown;
  std::string mText;
};

template<typename V>
void
VisitFields(V& aVisit, Alarm& aAlarm)
{
  aVisit("kind", aAlarm.mKind);
  aVisit("text", aAlarm.mText);
}

// Hosts and traffic of one pool, summed over the entry hosts that responded.
struct PoolSummary
{
  PoolName mPool;
  PresetName mInForce;
  bool mSpare = false;
  int mNeeded = 0;
  int mBuffer = 0;
  int mInService = 0;
  int mLeaving = 0;
  PoolTraffic mLoad;
};

template<typename V>
void
VisitFields(V& aVisit, PoolSummary& aPool)
{
  aVisit("pool", aPool.mPool);
  aVisit("in_force", aPool.mInForce);
  aVisit("spare", aPool.mSpare);
  aVisit("needed", aPool.mNeeded);
  aVisit("buffer", aPool.mBuffer);
  aVisit("in_service", aPool.mInService);
  aVisit("leaving", aPool.mLeaving);
  aVisit("load", aPool.mLoad);
}

std::vector<PoolSummary>
SummarizePools(const StatusReply& aStatus, const std::vector<LoadReply>& aLoads);

// Computes the alarms from the entry hosts' replies. An entry host that is down has no reply, so
// the caller has to raise EntryHostDown.
std::vector<Alarm>
ComputeAlarms(const StatusReply& aStatus, const std::vector<LoadReply>& aLoads);

}
