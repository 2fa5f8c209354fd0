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

// What was read from the platform's log.
struct LogReadResult
{
  std::vector<LogEntry> mEntries;
  // The offset that the next record will get.
  Offset mEnd = 0;
  // The first offset that is still kept.
  Offset mFirst = 0;
};

// The services that the platform gives. A plug-in fills in the functions; each may be called
// by several threads at once and bounds its own time.
struct Platform
{
  // Appends the records in this order, all or none. LogUnavailable says that none was taken;
  // after LogAnswerLost they may have been.
  std::function<absl::StatusOr<Offset>(const std::vector<std::string>& aRecords)> mAppend;

  // Reads from the offset on. Waits up to the given time for a first record.
  std::function<absl::StatusOr<LogReadResult>(Offset aFrom, Duration aWait)> mRead;

  // Live hosts by the count of their boots. The list lags.
  std::function<absl::StatusOr<std::map<HostName, std::int64_t>>()> mListHosts;

  // Asks for a reboot. Asking twice may reboot twice.
  std::function<absl::Status(const HostName& aHost)> mReboot;

  // Starts a task under a lease, or renews the lease of the task that runs at this epoch.
  // The platform refuses an epoch below the highest that it has seen for the job.
  std::function<absl::Status(const StartTask& aStart)> mStartTask;

  // Stops a task, after a checkpoint where it can make one.
  std::function<absl::Status(const StopTask& aStop)> mStopTask;

  // What is known of tasks, until some time after their ends. The list lags.
  std::function<absl::StatusOr<std::vector<TaskReport>>()> mListTasks;
};

using PlatformFactory = std::function<absl::StatusOr<Platform>(const Address& aAddress)>;

// Makes a platform client known by its name. Gives true, for use by a static initializer.
bool
RegisterPlatform(const std::string& aName, PlatformFactory aFactory);

absl::StatusOr<Platform>
MakePlatform(const std::string& aName, const Address& aAddress);

}
