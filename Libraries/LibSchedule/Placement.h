#pragma once

#include "LibSchedule/CandidateIndex.h"
#include "LibSchedule/Job.h"

// Chooses the executor of a task. Functions over the candidates of a shard.
namespace sesameseam::schedule {

// Share of an executor that can be planned for: tasks of different sizes leave some of it unused.
inline constexpr double kTargetUtilization = 0.85;

struct PlacementRequest
{
  const Step* mStep = nullptr;
  const Task* mTask = nullptr;
  TaskId mName;
};

// Why the task can't be placed on the candidate of its pool at present; None if it can.
PlacementObstacle
ObstacleTo(const Candidate& aCandidate, const PlacementRequest& aRequest, Instant aNow);

// The candidate of the pool with the lowest cost, and of those with the same cost the one with the
// lowest id; nullptr if the task fits nowhere at present.
Candidate*
ChooseCandidate(CandidateIndex& aCandidates,
                const ServiceName& aPool,
                const PlacementRequest& aRequest,
                Instant aNow);

// Whether any candidate of the pool has that much free processor capacity.
bool
HasFree(const CandidateIndex& aCandidates, const ServiceName& aPool, std::int64_t aMillicores);

// Reserves the resources of one task on the candidate.
void
Reserve(Candidate& aCandidate, const PlacementRequest& aRequest);
void
Release(Candidate& aCandidate, const PlacementRequest& aRequest);

namespace detail {

// What placing the task on the candidate costs: the capacity that would be left free, and more for
// what it would be better to avoid.
std::int64_t
CostOf(const Candidate& aCandidate, const PlacementRequest& aRequest);

}

}
