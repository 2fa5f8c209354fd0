#pragma once

#include "LibServe/Request.h"

#include <map>
#include <string>

namespace sesameseam {

struct RunTimeEstimate
{
  Duration mMean = Duration::zero();
  // The mean absolute deviation from the mean.
  Duration mDeviation = Duration::zero();
  int mSamples = 0;
};

// Estimated run times for each class and kind of request, from the observed ones.
struct RunTimes
{
  std::map<std::pair<RequestClass, std::string>, RunTimeEstimate> mByKind;
};

// Until this many runs were observed, the declared run time is used.
constexpr int kMinSamples = 8;

// Kinds are chosen by callers, so their number must be bounded. Further kinds of a class share one
// estimate.
constexpr std::size_t kMaxKinds = 1000;

void
RecordRunTime(RunTimes& aTimes, const Request& aRequest, Duration aObserved);
Duration
ExpectedRunTime(const RunTimes& aTimes, const Request& aRequest);

// A time within which nearly all runs finish. A run that is cut off by its deadline is wasted, and
// it holds its slot for longer than a run that finishes.
Duration
ConservativeRunTime(const RunTimes& aTimes, const Request& aRequest);

}
