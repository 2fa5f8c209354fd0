#pragma once

#include "LibExperiment/Deployment.h"
#include "Statistics.h"
#include "Workload.h"

// What a policy made of a trace.
namespace sesameseam {

struct TraceRequestResult
{
  bool mAnswered = false;
  bool mNotRun = false;
  Duration mResolvedAt = Duration::zero();
  // The run that was answered.
  HostName mHost;
  Duration mStartedAt = Duration::zero();
  Duration mRunEndedAt = Duration::zero();
  int mAttempts = 0;
};

struct TraceRun
{
  // In the order of the arrivals.
  std::vector<TraceRequestResult> mRequests;
  std::int64_t mOvercommits = 0;
  std::int64_t mMessages = 0;
};

bool
IsOnTime(const Arrival& aArrival, const TraceRequestResult& aRequest);

// Runs the trace on the real decision code of all entry hosts. Callers whose request did not run
// come back when they were told to, if asked, as long as the answer would be on time.
TraceRun
RunOnDeployment(const Trace& aTrace, std::uint64_t aSeed, bool aComeBack = false);

// How an entry host picks targets without homes for slots.
struct PolicySettings
{
  // Of two random targets the one with less load, as far as it was reported and is sent from
  // here; otherwise a random target.
  bool mTwoChoices = false;
  // Waits at the entry host, by class and deadline, until a target seems to have a free slot.
  bool mQueueByClass = false;
  int mMaxAttempts = 3;
  Duration mReportInterval = 100ms;
};

// Runs the trace on a policy of independent entry hosts. Targets queue what exceeds their slots.
TraceRun
RunOnPolicy(const Trace& aTrace, const PolicySettings& aSettings, std::uint64_t aSeed);

// One queue for each pool that knows all run times and faults, and loses no time: the number of
// urgent requests that fit the slots.
std::int64_t
CountFeasibleUrgent(const Trace& aTrace);

// The figures that all policies are compared by.
JsonValue
SummarizeSlotSharing(const Trace& aTrace, const TraceRun& aRun, std::int64_t aUrgentThatFits);

}
