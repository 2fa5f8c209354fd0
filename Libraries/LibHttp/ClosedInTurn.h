#pragma once

#include <chrono>
#include <cstdint>

namespace sesameseam {

// Counts how often in a row one process has closed a connection after the answer to an
// introduction, whether it said so or not. A process that ends closes its connections too, but all
// at once and only one time.
class ClosedInTurn
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // A connection on which the process has answered an introduction, which was sent at
  // aIntroducedAt, was found closed at aNow.
  void NoteClosed(std::int64_t aProcess, TimePoint aIntroducedAt, TimePoint aNow);

  // A connection has served for another answer.
  void NoteKept() { mCount = 0; }

  // Whether the process closes each connection after its answer.
  [[nodiscard]] bool Closes(std::int64_t aProcess) const;

private:
  std::int64_t mProcess = 0;
  int mCount = 0;
  TimePoint mLastClosedAt;
};

}
