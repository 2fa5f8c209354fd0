#include "LibBase/LineLog.h"

#include <fcntl.h>
#include <unistd.h>

namespace sesameseam {

namespace {

// The rest of the budget is for lines that say how a request ended.
constexpr double kRoutineShare = 0.7;

}

LineLog::LineLog(int aDescriptor, const LineLogSettings& aSettings)
  : mDescriptor(aDescriptor)
  , mSettings(aSettings)
{
  auto flags = fcntl(mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void
LineLog::Write(TimePoint aNow, std::string_view aLine, LineKind aKind)
{
  if (!HasBudget(aNow, aKind) || mBuffer.size() + aLine.size() > mSettings.mBufferBytes) {
    ++mDropped;
    return;
  }
  mLinesInSecond += aKind == LineKind::Periodic ? 0 : 1;
  if (mDropped > mReportedDropped) {
    auto count = mDropped - mReportedDropped;
    mReportedDropped = mDropped;
    Append("{\"event\":\"log-lines-dropped\",\"count\":" + std::to_string(count) + "}");
  }
  Append(aLine);
}

void
LineLog::Flush()
{
  while (!mBuffer.empty()) {
    auto written = write(mDescriptor, mBuffer.data(), mBuffer.size());
    if (written <= 0) {
      return;
    }
    mBuffer.erase(0, static_cast<std::size_t>(written));
  }
}

bool
LineLog::HasBudget(TimePoint aNow, LineKind aKind)
{
  if (aNow - mSecondBegan >= 1s || aNow < mSecondBegan) {
    mSecondBegan = aNow;
    mLinesInSecond = 0;
  }
  if (aKind == LineKind::Periodic) {
    return true;
  }
  auto share = aKind == LineKind::Routine ? kRoutineShare : 1.0;
  auto limit = static_cast<double>(mSettings.mLinesPerSecond) * share;
  return static_cast<double>(mLinesInSecond) < limit;
}

void
LineLog::Append(std::string_view aLine)
{
  mBuffer.append(aLine);
  mBuffer.push_back('\n');
}

}
