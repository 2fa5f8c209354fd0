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

// Writes lines to a descriptor and never waits for its reader: what the reader doesn't take is kept
// up to a limit, and lines beyond it are counted. The count is written once there is room again.
class LineLog
{
public:
  LineLog(int aDescriptor, const LineLogSettings& aSettings);

  // Routine lines are left out first: they get no more than a part of the budget.
  void Write(TimePoint aNow, std::string_view aLine, bool aIsRoutine);
  void Flush();

  [[nodiscard]] std::int64_t Dropped() const { return mDropped; }

private:
  [[nodiscard]] bool HasBudget(TimePoint aNow, bool aIsRoutine);
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
