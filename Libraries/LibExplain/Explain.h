#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Determines the outcome of a job and its cause from the log lines of the entry hosts.
namespace sesameseam::explain {

// A line of the structured log. Members for fields that the line doesn't have are empty.
struct LogLine
{
  // Unix time, according to the clock of the host.
  std::int64_t mTimeMs = 0;
  std::string mHost;
  std::string mEvent;
  std::string mJob;
  std::string mSubject;
  std::string mTenant;
  std::string mOutcome;
  std::string mReason;
  std::optional<std::int64_t> mVersion;
  std::optional<std::int64_t> mAgeMs;
};

absl::StatusOr<LogLine>
ParseLogLine(const std::string& aText);

enum class Cause
{
  // No line mentions the job.
  NotFound,
  // No host stored the job, and its caller got a refusal.
  RefusedByLog,
  // The manifest in force had no queue for the job.
  RefusedByManifest,
  // The caller's key was not known, or the manifest may have been too old to tell.
  RefusedForKey,
  // It is unknown whether the job was stored.
  Unconfirmed,
  Cancelled,
  // Runs of the job failed, and no single executor is to blame.
  JobFaulty,
  // All failed runs were on one executor, which failed other jobs at about the same time.
  ExecutorFaulty,
  // Runs were lost with their executors, or start calls were not answered.
  ExecutorLost,
  // Another host took over the job's shard in the meantime.
  ShardTakenOver,
  // The shard's owner could not store placements.
  LogUnavailable,
  // The job completed, and no line shows a fault.
  NoFaultLogged,
  // The job was stored, and no line says that it ended.
  Unfinished,
};

struct Explanation
{
  Cause mCause = Cause::NotFound;
  std::string mSummary;
  // The tenant whose job it is, if a line names it.
  std::string mTenant;
  // The log lines that support the cause.
  std::vector<LogLine> mEvidence;
};

// Explains a job. The lines may be of several hosts and in any order.
Explanation
Explain(std::vector<LogLine> aLines, const std::string& aJob);

}
