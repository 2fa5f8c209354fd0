#pragma once

#include "LibSchedule/Executor.h"

// When the leases on an executor expire at the latest.
//
// An executor ends all its runs when its lease expires. Its owner asks for a lease until a time on
// the executor's clock. An executor never grants more than LeaseLimits::mMaximum from the arrival
// of the call on. Its process may have restarted unnoticed, and the clock of another process may
// show anything. Three bounds follow:
//
// - For a run that is known to be in the process whose clock was read: only calls that this process
//   has received count, and they name a time on its own clock. That clock reaches it, at the
//   slowest rate, at a time that is known when the call is sent, however late the call arrives.
// - For any run: a call has arrived by the time at which its sender gave up and reset the
//   connection, and a lease lasts for the maximum from then on.
// - For a run whose start was answered, the answer shows the clock of the process that has it,
//   whichever that is. No lease there goes beyond the latest end that was asked for, by that clock.
//
// A process that becomes known may have received each call that was sent before. Its leases
// therefore expire no later than by the second bound.
//
// An owner that is cut off from the log, or has ended, must not keep its follower waiting. No lease
// that it asks for goes far beyond the longest one from its last confirmation by the log on. A
// follower waits for that time, from the moment at which it has fenced the log, for runs that the
// process on which they were placed has listed. Any other run may be in a process that nobody has
// heard of, and may have arrived there late.
//
// Calls that ask for a lease name the process that they are for, and go out on a connection on
// which it has named itself, so that none reaches a later process. The second bound is for
// executors that keep no connection open, to which that can't be applied.
namespace sesameseam::schedule {

struct LeaseLimits
{
  // The longest lease that an executor grants.
  std::chrono::milliseconds mMaximum{ 6000 };
};

// The end of a lease that is renewed now by an owner which the log has confirmed last at
// aConfirmedAt, on the executor's clock; 0 while that clock is unknown.
std::chrono::milliseconds
LeaseEnd(const Executor& aExecutor, const LeaseLimits& aLimits, Instant aConfirmedAt, Instant aNow);

// The time by which each lease has expired that such an owner has asked for.
Instant
LeaseExpiryOfOwner(const LeaseLimits& aLimits, Instant aConfirmedAt);

// A call that asks for a lease: until when on the executor's clock (0 asks for none), and the last
// moment at which it may arrive there.
struct LeaseRequest
{
  std::chrono::milliseconds mEnd{ 0 };
  Instant mArrivesBy;
};

// Notes that a call is sent which asks for a lease.
void
NoteLeaseRequest(Executor& aExecutor, const LeaseLimits& aLimits, const LeaseRequest& aRequest);

// The time by which the longest lease that an executor may grant now has expired.
Instant
LatestLeaseExpiry(const LeaseLimits& aLimits, Instant aNow);

// The time by which the run has ended, unless a lease is renewed.
Instant
LeaseExpiryOf(const Executor& aExecutor, const PlacedRun& aRun);

// The time by which all runs of the executor have ended, unless a lease is renewed.
Instant
LeaseExpiryOfAll(const Executor& aExecutor);

// What a heartbeat answer says of the clock of the process that gave it.
void
UpdateClock(Executor& aExecutor, std::chrono::milliseconds aClock, Instant aNow);

// Notes that a call that asked for a lease was answered or given up: it has arrived by now, or
// never will. That is later than was expected if this host was suspended in between.
void
NoteLeaseOutcome(Executor& aExecutor,
                 const LeaseLimits& aLimits,
                 std::chrono::milliseconds aEnd,
                 Instant aNow);

// What the bounds for a run rest on, for the log.
std::string
DescribeLease(const Executor& aExecutor, const PlacedRun& aRun, Instant aNow);

}
