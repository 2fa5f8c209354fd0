#pragma once

#include "LibBase/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

// Which connections of a server are closed so that all of them together stay within its limits.
namespace sesameseam {

using ConnectionId = std::int64_t;
using ConnectionInstant = std::chrono::steady_clock::time_point;

enum class ConnectionPhase
{
  // No request is under way.
  Idle,
  // Part of a request has arrived.
  Receiving,
  // The request is with the server's handler. Such a connection is never closed.
  Handling,
  // The answer is ready and not yet taken by the client.
  Sending,
};

struct ConnectionState
{
  ConnectionPhase mPhase = ConnectionPhase::Idle;
  // Since when the connection has been in its phase; while it is sending, when the client last took
  // something.
  ConnectionInstant mSince;
  // What has been received, waits for its answer, or waits to be sent.
  std::size_t mHeldBytes = 0;
};

struct ConnectionLimits
{
  std::size_t mMaxConnections = 1024;
  std::size_t mMaxHeldBytes = 32 * 1024 * 1024;
  // A client that takes nothing of its answer for this long doesn't read it.
  Duration mReaderStall = 2s;
  // A request that hasn't arrived whole for this long is taken to be abandoned when a new
  // connection needs its place.
  Duration mRequestStall = 1s;
};

struct ConnectionCounters
{
  // Closed while idle, to make room for a new connection.
  std::int64_t mClosedForRoom = 0;
  // Closed to bring the bytes held back within their limit.
  std::int64_t mClosedForBytes = 0;
  // New connections that found no room.
  std::int64_t mRefused = 0;

  bool operator==(const ConnectionCounters&) const = default;
};

struct ConnectionTable
{
  ConnectionLimits mLimits;
  std::map<ConnectionId, ConnectionState> mConnections;
  // The sum over all connections.
  std::size_t mHeldBytes = 0;
  ConnectionCounters mCounters;
};

void
AddConnection(ConnectionTable& aTable, ConnectionId aId, ConnectionInstant aNow);

void
RemoveConnection(ConnectionTable& aTable, ConnectionId aId);

// Changes the phase, or says that a client that is read to has taken something.
void
EnterPhase(ConnectionTable& aTable,
           ConnectionId aId,
           ConnectionPhase aPhase,
           ConnectionInstant aNow);

void
SetHeldBytes(ConnectionTable& aTable, ConnectionId aId, std::size_t aBytes);

// The connection to be closed because more bytes are held than may be: the one whose request has
// been unfinished, or whose client has taken nothing, for the longest. None while the limit holds,
// or if all that is held belongs to requests under way and answers that are being read.
[[nodiscard]] std::optional<ConnectionId>
ChooseToFreeBytes(const ConnectionTable& aTable, ConnectionInstant aNow);

// The connection to be closed because there are more than may be: the one that has been idle for
// the longest, else the one that has been stalled for the longest, else the newest one, which is
// aNewest. None while the limit holds.
[[nodiscard]] std::optional<ConnectionId>
ChooseToMakeRoom(const ConnectionTable& aTable, ConnectionId aNewest, ConnectionInstant aNow);

}
