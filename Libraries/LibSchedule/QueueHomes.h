#pragma once

#include "LibSchedule/Calls.h"

#include <map>
#include <optional>
#include <set>
#include <string>

// Where the jobs of a queue are stored. A job is stored, asked for and cancelled in one partition
// for good, while the service of its queue may change with any version of the manifest. So each
// queue has a home: the service that it had when it was first seen. It is recorded in the log
// before the first job is stored, and never changes; a host needs no former manifest to find it.
// Docs: docs/design/moved-queues.md.
namespace sesameseam::schedule {

// A caller's request that waits until the home of its queue is known.
struct WaitingRequest
{
  CallerRequest mRequest;
  Instant mDeadline;
};

struct QueueHomes
{
  // By QueueKey().
  std::map<std::string, ServiceName> mHomes;
  // Services that are or were given jobs, in whatever manifest.
  std::set<ServiceName> mServices;
  // How often mServices has grown.
  std::int64_t mServiceChanges = 0;
  bool mLoaded = false;
  bool mReadPending = false;
  bool mNeedsCatchUp = false;
  // When the log is read once more, since hosts may have recorded homes by an older manifest.
  std::optional<Instant> mCatchUpAt;
  Instant mNextCallAt;
  Instant mReadSentAt;
  // All that was stored before this time is known.
  Instant mCurrentAsOf;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
  std::int64_t mPosition = 0;
  bool mAppendPending = false;
  // Queues that need a home, with the service that becomes it if none is stored yet.
  std::map<std::string, ServiceName> mWantedHomes;
  std::set<ServiceName> mWantedServices;
  std::vector<WaitingRequest> mWaiting;
  // More is known than when the requests that wait were last handled.
  bool mHasNews = false;
};

// Identifies a queue by what its callers know of it: the host and the prefix of its route.
std::string
QueueKey(const Route& aRoute);

// The home of a queue, or nullptr if none is known.
const ServiceName*
FindHome(const QueueHomes& aHomes, const Route& aRoute);

// The service whose partition is asked for jobs of the queue; empty if the log has to be read
// first. A queue without a home has no jobs but those of a version without homes.
std::optional<ServiceName>
HomeForQuery(const QueueHomes& aHomes, const Route& aRoute, Instant aArrivedAt);

// The service in whose partition a job of the queue is stored; empty until it is recorded, and the
// queue's present service with it.
std::optional<ServiceName>
HomeForSubmission(QueueHomes& aHomes, const Route& aRoute);

// Has the home of a queue recorded without a request for it.
void
WantHome(QueueHomes& aHomes, const Route& aRoute);

// Has the log read again now, and after the time in which other hosts may use an older manifest.
void
OnManifestChange(QueueHomes& aHomes, Instant aNow, std::chrono::milliseconds aManifestDeadline);

void
OnHomesRead(QueueHomes& aHomes, const Now& aNow, const ReadAnswer& aAnswer, Actions& aActions);
void
OnHomesNewest(QueueHomes& aHomes,
              const Now& aNow,
              const ReadNewestAnswer& aAnswer,
              Actions& aActions);
void
OnHomesAppend(QueueHomes& aHomes, const Now& aNow, const AppendAnswer& aAnswer);

// Sends the calls that are due.
void
AdvanceHomes(QueueHomes& aHomes, const Now& aNow, Actions& aActions);

}
