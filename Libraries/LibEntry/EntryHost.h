#pragma once

#include "LibEntry/Control.h"
#include "LibServe/PoolServer.h"

#include <map>
#include <variant>
#include <vector>

// A complete entry host as one single-threaded state machine, for test harnesses that run many of
// them in one thread. The daemon drives the same components, each under its own lock.
namespace sesameseam {

struct EntryHost
{
  Control mControl;
  ServeSettings mServeSettings;
  std::map<PoolName, PoolServer> mPools;
};

struct PoolEventFor
{
  PoolName mPool;
  PoolEvent mEvent;
};

using EntryEvent = std::variant<ControlEvent, PoolEventFor>;

// Actions for the environment; actions between the components are handled internally.
using EntryAction = std::variant<Dispatch,
                                 Forward,
                                 Answer,
                                 WakeAt,
                                 AppendRecords,
                                 ChangeDecided,
                                 RebootHost,
                                 StartTask,
                                 StopTask,
                                 FetchFromPeer>;

using EntryActions = std::vector<EntryAction>;

EntryHost
MakeEntryHost(const ControlSettings& aControl, const ServeSettings& aServe, TimePoint aNow);

EntryActions
Step(EntryHost& aHost, TimePoint aNow, const EntryEvent& aEvent);

// Submits a request. It is refused if the entry host does not know the pool.
EntryActions
SubmitRequest(EntryHost& aHost, TimePoint aNow, const RequestPointer& aRequest);

// Ticks every pool, then passes their loads to the control plane and ticks it.
EntryActions
TickAll(EntryHost& aHost, TimePoint aNow);

// The claim of the request's key. Teams choose their keys independently, so the claimed key
// includes the team.
Claim
ClaimOf(const Request& aRequest);

// The record of a claimed request's result.
ClaimResult
ClaimResultOf(const EndClaim& aEnd);

}
