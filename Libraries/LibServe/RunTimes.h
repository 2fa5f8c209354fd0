#pragma once

#include "LibServe/Request.h"

#include <map>
#include <string>

namespace sesameseam {

struct RunTimeEstimate
{
  Duration mMean = Duration::zero();
  // The mean distance from the mean.
  Duration mDeviation = Duration::zero();
  int mSamples = 0;
};

// Run times as they were observed, for each class and kind of request.
struct RunTimes
{
  std::map<std::pair<RequestClass, std::string>, RunTimeEstimate> mByKind;
};

// Declared run times count until this many runs were observed.
constexpr int kMinSamples = 8;

// Kinds come from callers, so that their number has to be bounded.
constexpr std::size_t kMaxKinds = 1000;

void
RecordRunTime(RunTimes& aTimes, const Request& aRequest, Duration aObserved);
Duration
ExpectedRunTime(const RunTimes& aTimes, const Request& aRequest);

// A time within which nearly all runs end. A run that is cut by its deadline is wasted, and holds
// its slot for longer than one that ends.
Duration
ConservativeRunTime(const RunTimes& aTimes, const Request& aRequest);

}
