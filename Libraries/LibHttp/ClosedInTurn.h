#pragma once

#include <chrono>
#include <cstdint>

namespace sesameseam {

// Counts how often in a row one process has closed a connection right after an answer, whether it
// said so or not. A process that ends closes its connections too, but all at once and only one
// time.
class ClosedInTurn
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // A connection on which the process has answered a request, which was sent at aAskedAt, was found
  // closed at aNow.
  void NoteClosed(std::int64_t aProcess, TimePoint aAskedAt, TimePoint aNow);

  // A connection has served for another answer.
  void NoteKept() { mCount = 0; }

  // Whether the process that was noted last closes each connection.
  [[nodiscard]] bool IsReached() const;
  // Whether the process closes each connection after its answer.
  [[nodiscard]] bool Closes(std::int64_t aProcess) const;

private:
  std::int64_t mProcess = 0;
  int mCount = 0;
  TimePoint mLastClosedAt;
};

}
