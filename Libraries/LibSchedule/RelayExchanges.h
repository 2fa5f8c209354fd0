#pragma once

#include "LibSchedule/RelayedCalls.h"

// The exchanges of an owner with a relay: their session, what they carry, and when they are due.
namespace sesameseam::schedule::detail {

// A session is given up if no exchange has been answered for this long. After such a time without
// calls a new one begins, since a relay forgets sessions that are not used.
inline constexpr Duration kMaxSilence = 1s;

// Whether the relay's clock is known well enough for calls to be handed over.
bool
HasClock(const Relay& aRelay, Instant aNow);

// Has the exchange that the relay needs made in time.
void
ScheduleExchange(RelayedCalls& aCalls, const Relay& aRelay);

// Has the relay make the call: it goes with the next exchange.
void
HandOver(RelayedCalls& aCalls, Relay& aRelay, ExecutorCall aCall, const Now& aNow);

// Makes the exchanges that are due.
void
MakeExchanges(RelayedCalls& aCalls, const Now& aNow, Actions& aActions);

// Takes note of a reading of the relay's clock.
void
ReadClock(Relay& aRelay, Instant aClock, Instant aNow);

// Plans the next exchange after an answer. One that carries calls is not put off.
void
PlanNextExchange(const RelayedCalls& aCalls,
                 Relay& aRelay,
                 const RelayResponse& aResponse,
                 Instant aNow);

}
