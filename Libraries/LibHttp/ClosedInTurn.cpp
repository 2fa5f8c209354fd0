#include "LibHttp/ClosedInTurn.h"

namespace sesameseam {

namespace {

// With more than these the process is taken to close each connection. The last one may be its end.
constexpr int kMinClosedToReopen = 2;

}

void
ClosedInTurn::NoteClosed(std::int64_t aProcess, TimePoint aAskedAt, TimePoint aNow)
{
  if (aProcess != mProcess) {
    mProcess = aProcess;
    mCount = 0;
  }
  // Connections that were open beside each other may have been closed by one event.
  auto isInTurn = mCount == 0 || aAskedAt > mLastClosedAt;
  if (isInTurn) {
    ++mCount;
    mLastClosedAt = aNow;
  }
}

bool
ClosedInTurn::IsReached() const
{
  return mCount > kMinClosedToReopen;
}

bool
ClosedInTurn::Closes(std::int64_t aProcess) const
{
  return aProcess == mProcess && IsReached();
}

}
