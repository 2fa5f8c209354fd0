#include "LibSchedule/ExecutorEnds.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// Ends that are noticed within this time of each other may have one cause, such as a rack without
// power.
constexpr Duration kSameMoment = 250ms;
// The entry of an executor is removed from the list about this long after its end at the most.
constexpr Duration kMaxTimeListed = 5s;

bool
IsSameMoment(const TimeOfEnd& aLeft, const TimeOfEnd& aRight)
{
  return aLeft.mEarliest <= aRight.mLatest + kSameMoment &&
         aRight.mEarliest <= aLeft.mLatest + kSameMoment;
}

bool
IsAtWork(const Executor& aExecutor)
{
  return std::any_of(aExecutor.mRuns.begin(), aExecutor.mRuns.end(), [](const auto& aEntry) {
    return aEntry.second.mState != RunState::Recording;
  });
}

bool
HasSuspects(const Executor& aExecutor)
{
  return std::any_of(aExecutor.mRuns.begin(), aExecutor.mRuns.end(), [](const auto& aEntry) {
    return aEntry.second.mIsolation != Isolation::None;
  });
}

TimeOfEnd
MakeTimeOfEnd(const Executor& aExecutor, Instant aEarliest, Instant aNow)
{
  auto earliest = std::max(aEarliest, aExecutor.mHeartbeatAnsweredAt);
  return { earliest, aNow, IsAtWork(aExecutor), HasSuspects(aExecutor) };
}

// The first sign since the last answer counts.
void
NoteMissing(Executor& aExecutor, Instant aEarliest, Instant aNow)
{
  if (!aExecutor.mIsMissing) {
    aExecutor.mIsMissing = true;
    aExecutor.mEnded = MakeTimeOfEnd(aExecutor, aEarliest, aNow);
  }
}

}

void
NoteUnanswered(Executor& aExecutor, Instant aSentAt, std::chrono::milliseconds aWait, Instant aNow)
{
  NoteMissing(aExecutor, aNow - aSentAt > aWait ? aSentAt : aNow, aNow);
}

void
NoteUnlisted(Executor& aExecutor, Instant aNow)
{
  NoteMissing(aExecutor, aNow - kMaxTimeListed, aNow);
}

void
NoteEnd(Executor& aExecutor, Instant aNow)
{
  if (!aExecutor.mEnded) {
    aExecutor.mEnded = MakeTimeOfEnd(aExecutor, aNow - kMaxTimeListed, aNow);
  }
}

void
NoteAnswered(Executor& aExecutor, std::int64_t aIncarnation, Instant aNow)
{
  auto known = aExecutor.mProcess.mIncarnation;
  if (known != 0 && known != aIncarnation) {
    NoteMissing(aExecutor, aExecutor.mHeartbeatAnsweredAt, aNow);
  } else if (aExecutor.mIsMissing) {
    aExecutor.mEnded.reset();
  }
  aExecutor.mIsMissing = false;
}

std::string_view
NameOf(EndSign aSign)
{
  switch (aSign) {
    case EndSign::None:
      return "no sign of its end";
    case EndSign::Restarted:
      return "it has restarted";
    case EndSign::LeftList:
      return "it has left the list";
  }
  return "unknown";
}

EndSign
SignOfEnd(const Executor& aExecutor, const PlacedRun& aRun)
{
  auto hasRestarted = aRun.mIncarnation != 0 && aExecutor.mProcess.mIncarnation != 0 &&
                      aRun.mIncarnation != aExecutor.mProcess.mIncarnation;
  if (hasRestarted) {
    return EndSign::Restarted;
  }
  if (aExecutor.mHasAnnouncedLeave || aExecutor.mDrainReason != DrainReason::None) {
    return EndSign::None;
  }
  return aExecutor.mEntry.mState == ExecutorState::Gone ? EndSign::LeftList : EndSign::None;
}

bool
HasEndedByItself(const Executor& aExecutor)
{
  auto isOrdered = aExecutor.mHasAnnouncedLeave || aExecutor.mDrainReason != DrainReason::None ||
                   aExecutor.mEntry.mState == ExecutorState::Draining;
  return aExecutor.mEnded && aExecutor.mEnded->mHadRuns && !aExecutor.mEnded->mHadSuspects &&
         !isOrdered;
}

Bystanders
CountBystanders(const std::map<ExecutorId, Executor>& aExecutors, const Executor& aEnded)
{
  Bystanders bystanders;
  for (const auto& [id, executor] : aExecutors) {
    if (&executor == &aEnded) {
      continue;
    }
    auto isTogether =
      HasEndedByItself(executor) && aEnded.mEnded && IsSameMoment(*executor.mEnded, *aEnded.mEnded);
    auto isAtWork = executor.mEntry.mState != ExecutorState::Gone && IsAtWork(executor);
    bystanders.mEnded += isTogether ? 1 : 0;
    bystanders.mPresent += isTogether || isAtWork ? 1 : 0;
  }
  return bystanders;
}

}
