#pragma once

#include "LibFleet/FleetState.h"

// The part of the fold that is about jobs.
namespace sesameseam {

// A job that failed on this many workers is reported as one that can never run.
constexpr std::size_t kMaxFailedWorkers = 3;

// Ended jobs that stay known, so that a repeated submission finds its job.
constexpr std::size_t kMaxEndedJobs = 20000;

// A kind's observed size counts after this many jobs.
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

// The whole slots that the job takes: as declared, then as observed for its kind.
int
RequiredSlots(const JobsState& aJobs, const JobAccepted& aJob);

// The slots of the worker that its jobs hold.
int
SlotsHeldByJobs(const FleetState& aState, const HostName& aWorker);

// True while a job belongs to the worker, so that the worker is not drained yet.
bool
HasJobs(const FleetState& aState, const HostName& aWorker);

}
