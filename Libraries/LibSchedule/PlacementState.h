#pragma once

#include "LibSchedule/CandidateIndex.h"
#include "LibSchedule/ReadyQueue.h"

#include <map>
#include <optional>
#include <vector>

// What a placement pass works on, kept from one pass to the next: a pass takes over only the
// executors and jobs that were noted as changed since the last one.
namespace sesameseam::schedule {

// For each pool of the ready queue, the needs of a step that could not be placed in a pass. Free
// resources only shrink during a pass, so a step with at least the same needs can't be placed
// either.
using UnplaceableNeeds = std::vector<std::optional<Resources>>;

struct PlacementState
{
  PlacementState() = default;
  // It points into the executors and jobs of one shard; that of a copied shard is built anew.
  PlacementState(const PlacementState& /*aOther*/) {}
  PlacementState(PlacementState&&) = default;
  PlacementState& operator=(const PlacementState&) = delete;
  PlacementState& operator=(PlacementState&&) = default;
  ~PlacementState() = default;

  bool mIsBuilt = false;
  CandidateIndex mCandidates;
  ReadyQueue mReady;
  std::vector<Executor*> mChangedExecutors;
  std::vector<Job*> mChangedJobs;
  // Of the last pass; kept for its memory.
  UnplaceableNeeds mUnplaceable;
  // Some executors are reserved for suspects.
  bool mHasReservations = false;
};

// To be called when the entry or the runs of an executor have changed.
void
NoteChange(PlacementState& aState, Executor& aExecutor);

// To be called when a job is new or has changed.
void
NoteChange(PlacementState& aState, Job& aJob);

// To be called before a job is removed.
void
ForgetJob(PlacementState& aState, Job& aJob);

// Takes over all that has changed since the last call.
void
UpdatePlacement(PlacementState& aState,
                std::map<ExecutorId, Executor>& aExecutors,
                std::map<JobId, Job>& aJobs,
                TimePoint aWall);

}
