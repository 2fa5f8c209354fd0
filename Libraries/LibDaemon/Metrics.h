#pragma once

#include "LibBase/Histogram.h"
#include "LibFleet/FleetState.h"
#include "LibServe/Outcome.h"
#include "LibServe/Request.h"

#include <array>
#include <map>
#include <mutex>
#include <optional>

namespace sesameseam {

// Pools beyond this number share the label "other", which bounds the size of the metrics page.
constexpr std::size_t kMaxPoolLabels = 512;

// Identifies one time series of request durations.
struct RequestLabels
{
  std::string mPool;
  RequestClass mClass = RequestClass::Ordinary;
  OutcomeKind mOutcome = OutcomeKind::NotRun;

  auto operator<=>(const RequestLabels&) const = default;
};

// Durations of requests from their arrival to their outcome.
class RequestMetrics
{
public:
  void Add(RequestLabels aLabels, Duration aDuration);

  // Calls the function with each series, in the order of its labels.
  template<typename Function>
  void Read(Function aFunction)
  {
    std::lock_guard lock(mMutex);
    for (const auto& [labels, histogram] : mSeries) {
      aFunction(labels, histogram);
    }
  }

private:
  std::mutex mMutex;
  std::set<std::string> mPools;
  std::map<RequestLabels, DurationHistogram> mSeries;
};

// Cost of the hosts of one pool in excess of the number that its active preset requires.
struct BufferCost
{
  int mBufferHosts = 0;
  double mHostHours = 0.0;
};

// Buffer cost and roll-out metrics from the point of view of one entry host. The update functions
// take the current time as a parameter.
struct FleetMetrics
{
  std::optional<TimePoint> mLastSampled;
  std::map<PoolName, BufferCost> mBufferCosts;
  // Time from a change until it is in force on all members.
  DurationHistogram mRollOutDurations;
  Offset mRolledOutVersion = kNoOffset;
  // Version and time of the change that is being rolled out to the members.
  std::optional<std::pair<Offset, TimePoint>> mRollOutInProgress;
};

// Adds the host-hours since the last call and updates the number of buffer hosts.
void
UpdateBufferCosts(FleetMetrics& aMetrics, const FleetState& aState, TimePoint aNow);

// Records the start of a roll-out when the version of the state increases, and its end once
// aReachedByAll, the version that all members have reached, is at or above it.
void
UpdateRollOut(FleetMetrics& aMetrics,
              const FleetState& aState,
              Offset aReachedByAll,
              TimePoint aNow);

}
