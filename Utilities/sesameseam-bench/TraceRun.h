#pragma once

#include "LibExperiment/Deployment.h"
#include "Statistics.h"
#include "Workload.h"

// Runs a trace under a scheduling policy and summarizes the results.
namespace sesameseam {

// The result of one request of a trace.
struct TraceRequestResult
{
  bool mAnswered = false;
  bool mNotRun = false;
  Duration mResolvedAt = Duration::zero();
  // The host and times of the run that was answered.
  HostName mHost;
  Duration mStartedAt = Duration::zero();
  Duration mRunEndedAt = Duration::zero();
  int mAttempts = 0;
};

struct TraceRun
{
  // In the order of Trace::mArrivals.
  std::vector<TraceRequestResult> mRequests;
  std::int64_t mOvercommits = 0;
  std::int64_t mMessages = 0;
};

bool
IsOnTime(const Arrival& aArrival, const TraceRequestResult& aRequest);

// Runs the trace on the production decision code of all entry hosts. With aRetryRefused, callers
// whose request did not run retry after the delay that they were given, as long as the retry starts
// before the deadline.
TraceRun
RunOnDeployment(const Trace& aTrace, std::uint64_t aSeed, bool aRetryRefused = false);

// How an entry host picks targets if slots have no home entry host.
struct PolicySettings
{
  // Picks the less loaded of two random targets, counting the load that was reported and the
  // requests in flight from this entry host; otherwise picks a random target.
  bool mTwoChoices = false;
  // Queues requests at the entry host, ordered by class and deadline, until the chosen target
  // appears to have a free slot.
  bool mQueueByClass = false;
  int mMaxAttempts = 3;
  Duration mReportInterval = 100ms;
};

// Runs the trace on simulated entry hosts that decide independently. Targets queue requests that
// exceed their slots.
TraceRun
RunOnPolicy(const Trace& aTrace, const PolicySettings& aSettings, std::uint64_t aSeed);

// Returns the number of urgent requests that an ideal scheduler could finish on time: one queue per
// pool, in order of arrival, with known run times and faults and no overhead.
std::int64_t
CountFeasibleUrgent(const Trace& aTrace);

// Returns the figures by which the policies are compared.
JsonValue
SummarizeSlotSharing(const Trace& aTrace, const TraceRun& aRun, std::int64_t aFeasibleUrgent);

}
