#pragma once

#include "LibSchedule/CrashIsolation.h"
#include "LibSchedule/Executor.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

// The executors of a shard as candidates for tasks: for each pool in the order of their free
// processor capacity, so that a task finds its place without a walk over all of them.
namespace sesameseam::schedule {

struct Candidate;

// Those with the least free capacity come first, and of those with the same the one with the lowest
// id.
struct HasLessFree
{
  using is_transparent = void;

  bool operator()(const Candidate* aLeft, const Candidate* aRight) const;
  bool operator()(const Candidate* aLeft, std::int64_t aMillicores) const;
  bool operator()(std::int64_t aMillicores, const Candidate* aRight) const;
};

using CandidatesByFree = std::set<Candidate*, HasLessFree>;

// An executor and its free resources.
struct Candidate
{
  Executor* mExecutor = nullptr;
  Resources mFree;
  std::string mRack;
  // Runs there that serve their own users, and best-effort runs, which only use spare CPU time.
  int mLatencySensitiveRuns = 0;
  int mBestEffortRuns = 0;
  // It has runs whose size is unknown.
  bool mHasForeignRuns = false;
  Occupants mOccupants;
  // Its pool, and its place there; null once the executor has left.
  CandidatesByFree* mPool = nullptr;
  CandidatesByFree::iterator mPlace;
};

// Holds pointers into the executors that it was made from, and must not be copied.
struct CandidateIndex
{
  CandidateIndex() = default;
  CandidateIndex(const CandidateIndex&) = delete;
  CandidateIndex(CandidateIndex&&) = default;
  CandidateIndex& operator=(const CandidateIndex&) = delete;
  CandidateIndex& operator=(CandidateIndex&&) = default;
  ~CandidateIndex() = default;

  std::unordered_map<const Executor*, Candidate> mCandidates;
  std::map<ServiceName, CandidatesByFree> mPools;
  // How many candidates were examined for tasks so far.
  std::int64_t mExamined = 0;
};

CandidateIndex
MakeCandidates(std::map<ExecutorId, Executor>& aExecutors);

// Takes over what has changed of an executor: its entry or its runs.
void
UpdateCandidate(CandidateIndex& aIndex, Executor& aExecutor);

// Sets how much is free on the candidate, and gives it its place in the order.
void
SetFree(Candidate& aCandidate, const Resources& aFree);

// Why the candidate gets no new run, whatever its task; None if it may get one.
PlacementObstacle
SchedulingObstacle(const Candidate& aCandidate, Instant aNow);

}
