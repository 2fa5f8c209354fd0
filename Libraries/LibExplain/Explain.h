#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// What became of a job and why, from the lines that entry hosts have written.
namespace sesameseam::explain {

// A line of the structured log. Members that the line doesn't have are empty.
struct LogLine
{
  // Unix time, by the clock of the host.
  std::int64_t mTimeMs = 0;
  std::string mHost;
  std::string mEvent;
  std::string mJob;
  std::string mSubject;
  std::string mOutcome;
  std::string mReason;
  std::optional<std::int64_t> mVersion;
  std::optional<std::int64_t> mAgeMs;
};

absl::StatusOr<LogLine>
ParseLogLine(const std::string& aText);

enum class Cause
{
  // No line names the job.
  NotFound,
  // No host stored it, and its caller was told so.
  RefusedByLog,
  // It is not known whether it was stored.
  Unconfirmed,
  Cancelled,
  // Its runs failed on several executors.
  JobFaulty,
  // Its runs failed on an executor that fails others' runs, too.
  ExecutorFaulty,
  // Runs were lost with their executors, or their starts were not answered.
  ExecutorLost,
  // Another host took its shard over meanwhile.
  ShardTakenOver,
  // The owner could not store placements.
  LogUnavailable,
  // Nothing but waiting.
  NoFaultLogged,
  // It has not ended.
  Unfinished,
};

struct Explanation
{
  Cause mCause = Cause::NotFound;
  std::string mSummary;
  // The lines that decided, by time.
  std::vector<LogLine> mEvidence;
};

Explanation
Explain(std::vector<LogLine> aLines, const std::string& aJob);

}
