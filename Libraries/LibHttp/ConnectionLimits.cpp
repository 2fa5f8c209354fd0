#include "LibHttp/ConnectionLimits.h"

namespace sesameseam {

namespace {

// The one of those that aIsCandidate holds for that has been in its phase for the longest.
template<typename Predicate>
std::optional<ConnectionId>
Longest(const ConnectionTable& aTable, Predicate aIsCandidate)
{
  std::optional<ConnectionId> found;
  ConnectionInstant since;
  for (const auto& [id, state] : aTable.mConnections) {
    if (aIsCandidate(id, state) && (!found || state.mSince < since)) {
      found = id;
      since = state.mSince;
    }
  }
  return found;
}

bool
IsUnread(const ConnectionTable& aTable, const ConnectionState& aState, ConnectionInstant aNow)
{
  return aState.mPhase == ConnectionPhase::Sending &&
         aNow - aState.mSince >= aTable.mLimits.mReaderStall;
}

bool
IsAbandoned(const ConnectionTable& aTable, const ConnectionState& aState, ConnectionInstant aNow)
{
  return aState.mPhase == ConnectionPhase::Receiving &&
         aNow - aState.mSince >= aTable.mLimits.mRequestStall;
}

}

void
AddConnection(ConnectionTable& aTable, ConnectionId aId, ConnectionInstant aNow)
{
  aTable.mConnections.emplace(aId, ConnectionState{ ConnectionPhase::Idle, aNow });
}

void
RemoveConnection(ConnectionTable& aTable, ConnectionId aId)
{
  SetHeldBytes(aTable, aId, 0);
  aTable.mConnections.erase(aId);
}

void
EnterPhase(ConnectionTable& aTable,
           ConnectionId aId,
           ConnectionPhase aPhase,
           ConnectionInstant aNow)
{
  auto found = aTable.mConnections.find(aId);
  if (found != aTable.mConnections.end()) {
    found->second.mPhase = aPhase;
    found->second.mSince = aNow;
  }
}

void
SetHeldBytes(ConnectionTable& aTable, ConnectionId aId, std::size_t aBytes)
{
  auto found = aTable.mConnections.find(aId);
  if (found == aTable.mConnections.end()) {
    return;
  }
  aTable.mHeldBytes += aBytes;
  aTable.mHeldBytes -= found->second.mHeldBytes;
  found->second.mHeldBytes = aBytes;
}

std::optional<ConnectionId>
ChooseToFreeBytes(const ConnectionTable& aTable, ConnectionInstant aNow)
{
  if (aTable.mHeldBytes <= aTable.mLimits.mMaxHeldBytes) {
    return std::nullopt;
  }
  return Longest(aTable, [&](ConnectionId, const ConnectionState& aState) {
    return aState.mPhase == ConnectionPhase::Receiving || IsUnread(aTable, aState, aNow);
  });
}

std::optional<ConnectionId>
ChooseToMakeRoom(const ConnectionTable& aTable, ConnectionId aNewest, ConnectionInstant aNow)
{
  if (aTable.mConnections.size() <= aTable.mLimits.mMaxConnections) {
    return std::nullopt;
  }
  auto idle = Longest(aTable, [&](ConnectionId aId, const ConnectionState& aState) {
    return aId != aNewest && aState.mPhase == ConnectionPhase::Idle;
  });
  if (idle) {
    return idle;
  }
  auto stalled = Longest(aTable, [&](ConnectionId, const ConnectionState& aState) {
    return IsAbandoned(aTable, aState, aNow) || IsUnread(aTable, aState, aNow);
  });
  return stalled ? stalled : aNewest;
}

}
