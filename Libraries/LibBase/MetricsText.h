#pragma once

#include "LibBase/Histogram.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sesameseam {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Collects metrics in the text form of Prometheus, in which all values of a family stand
// together below its type.
class MetricsText
{
public:
  void Counter(const std::string& aName,
               const std::string& aHelp,
               const MetricLabels& aLabels,
               double aValue);
  void Gauge(const std::string& aName,
             const std::string& aHelp,
             const MetricLabels& aLabels,
             double aValue);

  // Gives the median, the 90th and the 99th percentile, with sum and count. Seconds.
  void Summary(const std::string& aName,
               const std::string& aHelp,
               const MetricLabels& aLabels,
               const DurationHistogram& aHistogram);

  [[nodiscard]] std::string Print() const;

private:
  struct Family
  {
    std::string mType;
    std::string mHelp;
    std::string mLines;
  };

  Family& FindOrAdd(const std::string& aName, const std::string& aType, const std::string& aHelp);

  std::map<std::string, Family> mFamilies;
};

}
