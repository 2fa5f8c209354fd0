#pragma once

#include "LibBase/Error.h"
#include "LibBase/Id.h"
#include "LibBase/Time.h"
#include "LibFleet/Fold.h"
#include "LibFleet/JobPlanner.h"
#include "LibHttp/Address.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sesameseam {

// Result of reading from the platform's log.
struct LogReadResult
{
  std::vector<LogEntry> mEntries;
  // Offset that the next appended record will have.
  Offset mEnd = 0;
  // Lowest offset that the log still retains.
  Offset mFirst = 0;
};

// Interface to the platform, implemented by a plug-in. All functions must be thread-safe and must
// enforce a timeout of their own.
struct Platform
{
  // Appends the records atomically and in this order. After LogUnavailable, no record was appended;
  // after LogAnswerLost, the records may have been appended.
  std::function<absl::StatusOr<Offset>(const std::vector<std::string>& aRecords)> mAppend;

  // Reads records starting at aFrom. If there are none yet, waits up to aWait for the first.
  std::function<absl::StatusOr<LogReadResult>(Offset aFrom, Duration aWait)> mRead;

  // Returns the live hosts with their boot counts. The list may be out of date.
  std::function<absl::StatusOr<std::map<HostName, std::int64_t>>()> mListHosts;

  // Requests a reboot. Not idempotent: a second call may reboot the host again.
  std::function<absl::Status(const HostName& aHost)> mReboot;

  // Starts a task under a lease, or renews the lease of the task that runs at this epoch. The
  // epoch is a fencing token: the platform rejects an epoch below the highest that it has seen for
  // the job.
  std::function<absl::Status(const StartTask& aStart)> mStartTask;

  // Stops a task, after taking a checkpoint if the task supports it.
  std::function<absl::Status(const StopTask& aStop)> mStopTask;

  // Returns reports on running and recently ended tasks. The list may be out of date.
  std::function<absl::StatusOr<std::vector<TaskReport>>()> mListTasks;
};

using PlatformFactory = std::function<absl::StatusOr<Platform>(const Address& aAddress)>;

// Registers a platform client under a name. Intended for static initializers. Returns false if the
// name is already registered.
bool
RegisterPlatform(const std::string& aName, PlatformFactory aFactory);

absl::StatusOr<Platform>
MakePlatform(const std::string& aName, const Address& aAddress);

}
