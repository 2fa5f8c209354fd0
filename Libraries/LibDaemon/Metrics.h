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

// Pools beyond this number share one label, so that the page stays bounded.
constexpr std::size_t kMaxPoolLabels = 512;

// Names one series of request durations.
struct RequestLabels
{
  std::string mPool;
  RequestClass mClass = RequestClass::Ordinary;
  OutcomeKind mOutcome = OutcomeKind::NotRun;

  auto operator<=>(const RequestLabels&) const = default;
};

// How long requests took from their arrival to their outcome.
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

// What the hosts of one pool cost beyond what its preset in force asks for.
struct BufferCost
{
  int mBufferHosts = 0;
  double mHostHours = 0.0;
};

// The measures of the brief, as one entry host sees them. All deciding functions take the time.
struct FleetMetrics
{
  std::optional<TimePoint> mLastSampled;
  std::map<PoolName, BufferCost> mBufferCosts;
  // From the time of a change to its being in force on every member.
  DurationHistogram mRollOutDurations;
  Offset mRolledOutVersion = kNoOffset;
  // The newest change that is not in force everywhere yet, and when it was made.
  std::optional<std::pair<Offset, TimePoint>> mRollOutInProgress;
};

// Adds what was held since the last call.
void
UpdateBufferCosts(FleetMetrics& aMetrics, const FleetState& aState, TimePoint aNow);

// Notes the state's version, and that all members have reached the given version.
void
UpdateRollOut(FleetMetrics& aMetrics,
              const FleetState& aState,
              Offset aReachedByAll,
              TimePoint aNow);

}
