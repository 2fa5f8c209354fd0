#pragma once

#include "LibBase/Time.h"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>

namespace sesameseam {

// How long things took, in buckets whose width grows with the duration, so that a percentile is
// off by a few percent at most and the size is fixed. Durations outside the range count in the
// first or the last bucket.
class DurationHistogram
{
public:
  DurationHistogram();

  void Add(Duration aDuration);

  // The duration that the given share of the values does not pass. Zero if there are none.
  [[nodiscard]] Duration Quantile(double aShare) const;

  [[nodiscard]] std::int64_t Count() const { return mCount; }
  [[nodiscard]] Duration Sum() const { return mSum; }

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<std::uint32_t>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  Histogram mHistogram;
  std::int64_t mCount = 0;
  Duration mSum = Duration::zero();
};

}
