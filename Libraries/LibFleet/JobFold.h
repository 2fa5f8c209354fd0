#pragma once

#include "LibFleet/FleetState.h"

// Folds the records of jobs into the state of the fleet.
namespace sesameseam {

// A job that failed on this many workers is reported as unrunnable.
constexpr std::size_t kMaxFailedWorkers = 3;

// The number of ended jobs that are kept, so that a repeated submission finds its job.
constexpr std::size_t kMaxEndedJobs = 20000;

// The observed size of a kind replaces the declared sizes after this many jobs.
constexpr std::int64_t kMinKindSamples = 3;

absl::Status
ApplyChange(FleetState&, const Record&, Offset, const JobAccepted&);
absl::Status
ApplyChange(FleetState&, const Record&, Offset, const JobAssigned&);
absl::Status
ApplyChange(FleetState&, const Record&, Offset, const JobEnded&);
absl::Status
ApplyChange(FleetState&, const Record&, Offset, const JobsCheckpointed&);
absl::Status
ApplyChange(FleetState&, const Record&, Offset, const JobsCancelled&);
absl::Status
ApplyChange(FleetState&, const Record&, Offset, const WorkerQuarantined&);

// Returns the size of the job in whole slots: as observed for its kind, or as declared while too
// few jobs of the kind have finished.
int
RequiredSlots(const JobsState& aJobs, const JobAccepted& aJob);

// Returns the number of slots that jobs hold on the worker.
int
SlotsHeldByJobs(const FleetState& aState, const HostName& aWorker);

// Returns whether a job is assigned to the worker, which means that it is not drained yet.
bool
HasJobs(const FleetState& aState, const HostName& aWorker);

}
