#pragma once

#include "LibServe/PoolServer.h"

namespace sesameseam {

struct PeerChoice
{
  MemberName mMember;
  // Whether the peer may queue the request instead of declining it if no slot is free.
  bool mMayQueue = false;
};

// The number of slots of this entry host that requests of the class may occupy at a time, without
// the slots of ejected targets.
int
SlotsFor(const PoolServer& aServer, RequestClass aClass);

int
FreeSlots(const PoolServer& aServer);
int
FreeSlotsFor(const PoolServer& aServer, RequestClass aClass);

// The order in which classes are offered the next free slot: first the classes below their
// guaranteed share of the started work, then the others by urgency.
std::vector<RequestClass>
ClassOrder(const PoolServer& aServer);

// Chooses a free slot on a healthy target, the less loaded of two random targets; nullopt if none
// is free. When most targets are ejected, ejections are ignored and all targets count as healthy.
std::optional<SlotId>
ChooseSlot(PoolServer& aServer, RequestClass aClass);

// The lowest local wait above which requests of the class are moved to some peer.
std::optional<Duration>
LowestMoveThreshold(const PoolServer& aServer, TimePoint aNow, RequestClass aClass);

// Chooses a peer where a request of the class would wait much less than here, or nullopt.
std::optional<PeerChoice>
ChooseShorterQueue(PoolServer& aServer, TimePoint aNow, RequestClass aClass);

// Chooses a peer with a free slot, or nullopt. An entry host that owns no slots falls back to any
// peer that serves the pool.
std::optional<PeerChoice>
ChoosePeer(PoolServer& aServer, TimePoint aNow, RequestClass aClass);

}
