#pragma once

#include "LibSchedule/CrashIsolation.h"
#include "LibSchedule/Executor.h"
#include "LibSchedule/Job.h"

#include <vector>

// Chooses the executor of a task. Pure functions over the executors of a shard.
namespace sesameseam::schedule {

// Share of an executor that can be planned for: tasks of different sizes leave some of it unused.
inline constexpr double kTargetUtilization = 0.85;

// An executor and its free resources during a placement pass.
struct Candidate
{
  Executor* mExecutor = nullptr;
  Resources mFree;
  std::string mRack;
  // Runs there that serve their own users, and best-effort runs, which only use spare CPU time.
  int mLatencySensitiveRuns = 0;
  int mBestEffortRuns = 0;
  Occupants mOccupants;
};

struct PlacementRequest
{
  const Step* mStep = nullptr;
  const Task* mTask = nullptr;
  TaskId mName;
};

std::vector<Candidate>
MakeCandidates(std::map<ExecutorId, Executor>& aExecutors, Instant aNow);

// Why the task can't be placed on the candidate at present; None if it can.
PlacementObstacle
ObstacleTo(const Candidate& aCandidate,
           const ServiceName& aService,
           const PlacementRequest& aRequest);

// The candidate with the lowest cost, or nullptr if the task fits nowhere at present.
Candidate*
ChooseCandidate(std::vector<Candidate>& aCandidates,
                const ServiceName& aService,
                const PlacementRequest& aRequest);

// Reserves the resources of one task on the candidate.
void
Reserve(Candidate& aCandidate, const PlacementRequest& aRequest);
void
Release(Candidate& aCandidate, const PlacementRequest& aRequest);

}
