#include "LibSchedule/Executor.h"

#include <algorithm>

namespace sesameseam::schedule {

bool
MayHaveRestarted(const Executor& aExecutor)
{
  auto listed = aExecutor.mEntry.mIncarnation;
  auto answered = aExecutor.mProcess.mIncarnation;
  return listed != 0 && answered != 0 && listed != answered;
}

Resources
ReservedResources(const Executor& aExecutor)
{
  Resources sum;
  for (const auto& [name, run] : aExecutor.mRuns) {
    sum = sum + run.mReserved;
  }
  return sum;
}

std::string_view
NameOf(PlacementObstacle aObstacle)
{
  switch (aObstacle) {
    case PlacementObstacle::None:
      return "none";
    case PlacementObstacle::OtherPool:
      return "other-pool";
    case PlacementObstacle::NotReady:
      return "not-ready";
    case PlacementObstacle::Draining:
      return "draining";
    case PlacementObstacle::Unresponsive:
      return "unresponsive";
    case PlacementObstacle::BackingOff:
      return "backing-off";
    case PlacementObstacle::ForeignRuns:
      return "foreign-runs";
    case PlacementObstacle::MissingLabel:
      return "missing-label";
    case PlacementObstacle::ReservedForSuspects:
      return "reserved-for-suspects";
    case PlacementObstacle::Isolation:
      return "isolation";
    case PlacementObstacle::StepLimit:
      return "step-limit";
    case PlacementObstacle::NoRoom:
      return "no-room";
  }
  return "unknown";
}

PlacementObstacle
AvailabilityObstacle(const Executor& aExecutor, Instant aNow)
{
  if (aExecutor.mEntry.mState == ExecutorState::Draining ||
      aExecutor.mDrainReason != DrainReason::None) {
    return PlacementObstacle::Draining;
  }
  if (aExecutor.mEntry.mState != ExecutorState::Ready || !aExecutor.mHasAnsweredHeartbeat ||
      MayHaveRestarted(aExecutor)) {
    return PlacementObstacle::NotReady;
  }
  if (aExecutor.mUnansweredCalls > 0 || aExecutor.mIsUnresponsive) {
    return PlacementObstacle::Unresponsive;
  }
  return aExecutor.mProcess.mBackOffUntil > aNow ? PlacementObstacle::BackingOff
                                                 : PlacementObstacle::None;
}

PlacementObstacle
SchedulingObstacle(const Executor& aExecutor, Instant aNow)
{
  auto obstacle = AvailabilityObstacle(aExecutor, aNow);
  if (obstacle != PlacementObstacle::None) {
    return obstacle;
  }
  // The resources that foreign runs use are unknown.
  auto hasForeign = std::any_of(aExecutor.mRuns.begin(),
                                aExecutor.mRuns.end(),
                                [](const auto& aEntry) { return aEntry.second.mIsForeign; });
  return hasForeign ? PlacementObstacle::ForeignRuns : PlacementObstacle::None;
}

bool
IsSchedulable(const Executor& aExecutor, Instant aNow)
{
  return SchedulingObstacle(aExecutor, aNow) == PlacementObstacle::None;
}

}
