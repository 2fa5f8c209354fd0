#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace sesameseam {

// How many lines a log takes. A line beyond that is counted instead of written.
struct LineLogSettings
{
  std::int64_t mLinesPerSecond = 400;
  std::size_t mBufferBytes = 128 * 1024;
};

enum class LineKind
{
  // Written for each unit of work. Left out first.
  Routine,
  // Says how a request ended.
  Result,
  // Written once an interval, however busy the process is. Does not count against the budget, so
  // that a busy second is not the one that nobody can explain.
  Periodic,
};

// Writes lines to a descriptor and never waits for its reader: what the reader doesn't take is kept
// up to a limit, and lines beyond it are counted. The count is written once there is room again.
class LineLog
{
public:
  LineLog(int aDescriptor, const LineLogSettings& aSettings);

  // Routine lines get no more than a part of the budget.
  void Write(TimePoint aNow, std::string_view aLine, LineKind aKind);
  void Flush();

  [[nodiscard]] std::int64_t Dropped() const { return mDropped; }

private:
  [[nodiscard]] bool HasBudget(TimePoint aNow, LineKind aKind);
  void Append(std::string_view aLine);

  int mDescriptor;
  LineLogSettings mSettings;
  std::string mBuffer;
  TimePoint mSecondBegan;
  std::int64_t mLinesInSecond = 0;
  std::int64_t mDropped = 0;
  std::int64_t mReportedDropped = 0;
};

}
