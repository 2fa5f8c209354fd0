#include "LibBase/Histogram.h"

#include <algorithm>
#include <cmath>

namespace sesameseam {

namespace {

// From 10 us to 4 h; 220 buckets on a logarithmic scale are 10% wide each.
constexpr unsigned kBuckets = 220;
constexpr double kLeastMicroseconds = 10.0;
constexpr double kMostMicroseconds = 4.0 * 3600.0 * 1e6;

}

DurationHistogram::DurationHistogram()
  : mHistogram(std::make_tuple(Axis(kBuckets, kLeastMicroseconds, kMostMicroseconds)), Storage())
{
}

void
DurationHistogram::Add(Duration aDuration)
{
  auto microseconds = static_cast<double>(aDuration.count());
  // The upper end itself lies outside the last bucket.
  mHistogram(std::clamp(microseconds, kLeastMicroseconds, kMostMicroseconds - 1.0));
  mCount += 1;
  mSum += aDuration;
}

Duration
DurationHistogram::Quantile(double aShare) const
{
  auto rank = std::max(1.0, std::ceil(aShare * static_cast<double>(mCount)));
  double seen = 0.0;
  for (const auto& bucket : boost::histogram::indexed(mHistogram)) {
    seen += static_cast<double>(*bucket);
    if (seen >= rank) {
      return Duration(std::llround(bucket.bin().center()));
    }
  }
  return Duration::zero();
}

}
