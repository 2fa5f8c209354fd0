#include "LibEntry/JobControl.h"

#include "LibEntry/HostUse.h"
#include "LibEntry/Membership.h"

namespace sesameseam {

namespace {

std::set<HostName>
LiveHosts(const Control& aControl)
{
  std::set<HostName> live;
  for (const auto& [name, boots] : aControl.mBoots) {
    live.insert(name);
  }
  return live;
}

}

void
ScheduleJobs(Control& aControl, TimePoint aNow, ControlActions& aActions)
{
  if (!IsLeader(aControl) || !IsLogReachable(aControl, aNow)) {
    aControl.mJobMemory = JobPlannerMemory();
    return;
  }
  if (aNow - aControl.mJobsPlannedAt < aControl.mSettings.mJobPlanInterval) {
    return;
  }
  if (aControl.mJobMemory.mLeadingSince == TimePoint()) {
    aControl.mJobMemory.mLeadingSince = aNow;
  }
  aControl.mJobsPlannedAt = aNow;
  auto isReleased = [&](const HostName& aWorker, Offset aVersion) {
    return IsHostUnused(aControl, aNow, aWorker, aVersion);
  };
  auto plan = PlanJobs(aControl.mFleet,
                       aControl.mJobMemory,
                       aControl.mSettings.mJobs,
                       aControl.mTasks,
                       LiveHosts(aControl),
                       isReleased,
                       aNow);
  for (auto& change : plan.mChanges) {
    Propose(aControl, aNow, change.mTopic, std::nullopt, std::move(change.mChange));
  }
  for (auto& start : plan.mStarts) {
    aActions.push_back(std::move(start));
  }
  for (auto& stop : plan.mStops) {
    aActions.push_back(std::move(stop));
  }
}

}
