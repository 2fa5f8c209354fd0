#pragma once

#include "LibSchedule/Executor.h"
#include "LibSchedule/Job.h"

#include <vector>

// Where a task goes. Pure functions over the executors of a shard.
namespace sesameseam::schedule {

// An executor with what is left of its room while tasks are being placed.
struct Candidate
{
  Executor* mExecutor = nullptr;
  Resources mFree;
  std::string mRack;
  // Tasks there that serve their own users, and that fill.
  int mLatencySensitiveRuns = 0;
  int mBestEffortRuns = 0;
};

struct PlacementRequest
{
  const Step* mStep = nullptr;
  const Task* mTask = nullptr;
  TaskId mName;
};

std::vector<Candidate>
MakeCandidates(std::map<ExecutorId, Executor>& aExecutors, Instant aNow);

// The best candidate for the task, or none if it fits nowhere now.
Candidate*
ChooseCandidate(std::vector<Candidate>& aCandidates,
                const ServiceName& aService,
                const PlacementRequest& aRequest);

// Takes the room of the step's task from the candidate.
void
Reserve(Candidate& aCandidate, const Step& aStep);
void
Release(Candidate& aCandidate, const Step& aStep);

}
