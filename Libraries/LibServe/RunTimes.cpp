#include "LibServe/RunTimes.h"

#include <algorithm>
#include <cstdlib>

namespace sesameseam {

namespace {

// Exponential moving average: an observation has a weight of one in this many.
constexpr int kSmoothing = 8;

constexpr int kConservativeDeviations = 4;

constexpr std::array<Duration, kRequestClassCount> kDefaultRunTimes = { 100ms, 200ms, 2s };

Duration
DeclaredOrDefault(const Request& aRequest)
{
  return aRequest.mDeclaredRunTime.value_or(
    kDefaultRunTimes[static_cast<std::size_t>(aRequest.mClass)]);
}

const RunTimeEstimate*
TrustedEstimate(const RunTimes& aTimes, const Request& aRequest)
{
  auto found = aTimes.mByKind.find({ aRequest.mClass, aRequest.mKind });
  bool trusted = found != aTimes.mByKind.end() && found->second.mSamples >= kMinSamples;
  return trusted ? &found->second : nullptr;
}

}

void
RecordRunTime(RunTimes& aTimes, const Request& aRequest, Duration aObserved)
{
  auto key = std::make_pair(aRequest.mClass, aRequest.mKind);
  if (!aTimes.mByKind.contains(key) && aTimes.mByKind.size() >= kMaxKinds) {
    key.second.clear();
  }
  auto& estimate = aTimes.mByKind[key];
  estimate.mSamples = std::min(estimate.mSamples + 1, kMinSamples * kSmoothing);
  auto weight = std::min(estimate.mSamples, kSmoothing);
  auto distance = aObserved - estimate.mMean;
  estimate.mMean += distance / weight;
  estimate.mDeviation += (std::chrono::abs(distance) - estimate.mDeviation) / weight;
}

Duration
ExpectedRunTime(const RunTimes& aTimes, const Request& aRequest)
{
  const auto* estimate = TrustedEstimate(aTimes, aRequest);
  return estimate == nullptr ? DeclaredOrDefault(aRequest) : estimate->mMean;
}

Duration
ConservativeRunTime(const RunTimes& aTimes, const Request& aRequest)
{
  const auto* estimate = TrustedEstimate(aTimes, aRequest);
  if (estimate == nullptr) {
    return DeclaredOrDefault(aRequest);
  }
  return estimate->mMean + estimate->mDeviation * kConservativeDeviations;
}

}
