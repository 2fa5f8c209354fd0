#pragma once

#include "LibSchedule/Executor.h"

#include <map>

// When and by which sign the owner of a shard has learned that the processes of executors may have
// ended, and how many ended together.
namespace sesameseam::schedule {

// Notes that a call that the executor should have answered within aWait was not answered. A call
// that broke off before tells the moment.
void
NoteUnanswered(Executor& aExecutor, Instant aSentAt, std::chrono::milliseconds aWait, Instant aNow);

// Notes that the entry of the executor was removed from the list.
void
NoteUnlisted(Executor& aExecutor, Instant aNow);

// Notes that the executor has ended, if there was no sign of it before: this owner has never
// reached it.
void
NoteEnd(Executor& aExecutor, Instant aNow);

// Notes that the executor has answered. Unless it is another incarnation, it had not ended.
void
NoteAnswered(Executor& aExecutor, std::int64_t aIncarnation, Instant aNow);

// How the owner knows that the process of an executor has ended.
enum class EndSign
{
  // It may only be cut off: its runs have ended with their leases.
  None,
  // It has answered as another incarnation.
  Restarted,
  // Its entry was removed from the list, which was not announced.
  LeftList,
};

std::string_view
NameOf(EndSign aSign);

// The sign that the executor ended after the run was placed there, and not as announced or on our
// own order.
EndSign
SignOfEnd(const Executor& aExecutor, const PlacedRun& aRun);

// Whether the executor ended, or may have, with runs there of which none was a suspect, and neither
// as announced nor on our own order.
bool
HasEndedByItself(const Executor& aExecutor);

// The other executors at work when one of them ended.
struct Bystanders
{
  // Those that may have ended by themselves in the same moment.
  int mEnded = 0;
  // All of them.
  int mPresent = 0;
};

Bystanders
CountBystanders(const std::map<ExecutorId, Executor>& aExecutors, const Executor& aEnded);

}
