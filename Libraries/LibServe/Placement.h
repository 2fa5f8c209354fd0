#pragma once

#include "LibServe/PoolServer.h"

namespace sesameseam {

struct PeerChoice
{
  MemberName mMember;
  // The peer may queue the request.
  bool mMayQueue = false;
};

// The slots of this entry host that requests of the class may hold at once. Those of ejected
// targets do not count.
int
SlotsFor(const PoolServer& aServer, RequestClass aClass);

int
FreeSlots(const PoolServer& aServer);
int
FreeSlotsFor(const PoolServer& aServer, RequestClass aClass);

// The order in which classes are offered the next slot: those that were given less than their
// guaranteed share of the work first, then the more urgent ones.
std::vector<RequestClass>
ClassOrder(const PoolServer& aServer);

// A free slot on a healthy target, or nothing. All targets count as healthy when most fail.
std::optional<SlotId>
ChooseSlot(PoolServer& aServer, RequestClass aClass);

// The wait here from which on requests of the class move to the peer with the shortest wait.
std::optional<Duration>
LowestMoveThreshold(const PoolServer& aServer, TimePoint aNow, RequestClass aClass);

// A peer where a request of the class would wait for much less time than here, or nothing.
std::optional<PeerChoice>
ChooseShorterQueue(PoolServer& aServer, TimePoint aNow, RequestClass aClass);

// A peer with a free slot, or nothing. An entry host without slots of its own takes any peer that
// serves the pool.
std::optional<PeerChoice>
ChoosePeer(PoolServer& aServer, TimePoint aNow, RequestClass aClass);

}
