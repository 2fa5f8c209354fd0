// Stands between the processes of a soak: each link passes connections on from one loopback address
// to another, and delays, holds back or resets them as it is told to.
//
// POST /set?link=N[&delay=MS][&to=open|held][&from=open|held][&reset=1][&silence=1][&park=1]
//   [&pass=TEXT][&close-after=TEXT][&refuse=1|0][&target=ADDRESS][&keep=1|0]
// GET /parked?link=N: how many of the link's parked connections hold bytes for the target
// GET /held?link=N: these bytes
//
// "silence" drops for good what the link's present connections carry, without closing them. "park"
// holds the link's present connections either way, whatever is opened or reset later; "pass" passes
// on what those of them hold for the target that has the text in it, and still nothing back.
//
// "close-after" closes the connection of the next answer that has the text in it, once that is
// passed on, and holds from then on what comes to the target.
//
// "refuse" closes the link's own listener, so that what connects is refused, or opens it again; the
// connections that are open stay. "target" leads connections that are opened from now on elsewhere.
//
// "keep" keeps the caller's connection when the target closes its own: what is held or comes on it
// goes to a new connection to the target, as a pool of connections may do it.
//
// As in a queue of new connections, the target sees a connection when something is passed on, and
// what has arrived here is passed on also if its sender has reset the connection since.

#include "LibHttp/EventHttpServer.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstring>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <iostream>
#include <list>
#include <sys/socket.h>

namespace {

using namespace sesameseam;
using Clock = std::chrono::steady_clock;

constexpr int kPumpMicroseconds = 2000;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

sockaddr_in
ParseAddress(const std::string& aText)
{
  auto colon = aText.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(aText.c_str() + colon + 1)));
  inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

// One direction of a connection.
struct Flow
{
  struct Chunk
  {
    Clock::time_point mDue;
    std::string mBytes;
  };

  bufferevent* mFrom = nullptr;
  bufferevent* mTo = nullptr;
  std::deque<Chunk> mChunks;
  bool mEnded = false;
};

struct Connection
{
  Flow mToTarget;
  Flow mFromTarget;
  bool mIsSilent = false;
  bool mIsConnected = false;
  bool mIsParked = false;
  // What a parked connection holds for the target is passed on.
  bool mPasses = false;
};

struct Link
{
  event_base* mBase = nullptr;
  sockaddr_in mListen{};
  evconnlistener* mListener = nullptr;
  sockaddr_in mTarget{};
  std::chrono::milliseconds mDelay{ 0 };
  bool mHoldsTo = false;
  bool mHoldsFrom = false;
  bool mKeepsCallers = false;
  std::string mCloseAfter;
  std::list<std::unique_ptr<Connection>> mConnections;
};

struct Reading
{
  Link* mLink = nullptr;
  Flow* mFlow = nullptr;
};

void
OnBytes(bufferevent* aFrom, void* aReading)
{
  const auto& reading = *static_cast<Reading*>(aReading);
  auto* input = bufferevent_get_input(aFrom);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  reading.mFlow->mChunks.push_back({ Clock::now() + reading.mLink->mDelay, std::move(bytes) });
}

void
OnEnd(bufferevent* /*aFrom*/, short aWhat, void* aReading)
{
  if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<Reading*>(aReading)->mFlow->mEnded = true;
  }
}

// The other side sees a reset, not an orderly end.
void
CloseWithReset(bufferevent* aEnd)
{
  linger immediate{ 1, 0 };
  setsockopt(bufferevent_getfd(aEnd), SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
  bufferevent_free(aEnd);
}

// Passes on what is due. Whether the flow is over.
bool
Pump(Flow& aFlow, bool aIsHeld)
{
  if (aIsHeld) {
    return false;
  }
  while (!aFlow.mChunks.empty() && aFlow.mChunks.front().mDue <= Clock::now()) {
    const auto& bytes = aFlow.mChunks.front().mBytes;
    bufferevent_write(aFlow.mTo, bytes.data(), bytes.size());
    aFlow.mChunks.pop_front();
  }
  auto isWritten = evbuffer_get_length(bufferevent_get_output(aFlow.mTo)) == 0;
  return aFlow.mEnded && aFlow.mChunks.empty() && isWritten;
}

// Drops what has arrived. Whether the caller has closed the connection.
bool
DropSilently(Connection& aConnection)
{
  aConnection.mToTarget.mChunks.clear();
  aConnection.mFromTarget.mChunks.clear();
  return aConnection.mToTarget.mEnded;
}

bool
HoldsText(const Flow& aFlow, const std::string& aText)
{
  std::string bytes;
  for (const auto& chunk : aFlow.mChunks) {
    bytes += chunk.mBytes;
  }
  return bytes.find(aText) != std::string::npos;
}

// Sends what the flow holds at once, so that the end of the connection can follow right behind it.
void
SendAll(Flow& aFlow)
{
  for (const auto& chunk : aFlow.mChunks) {
    auto sent =
      send(bufferevent_getfd(aFlow.mTo), chunk.mBytes.data(), chunk.mBytes.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(chunk.mBytes.size())) {
      std::cerr << "an answer was cut short\n";
    }
  }
  aFlow.mChunks.clear();
}

void
Connect(const Link& aLink, Connection& aConnection)
{
  aConnection.mIsConnected = true;
  auto address = aLink.mTarget;
  bufferevent_socket_connect(
    aConnection.mToTarget.mTo, reinterpret_cast<sockaddr*>(&address), sizeof address);
}

bufferevent*
OpenEnd(Link& aLink, evutil_socket_t aSocket, Flow& aFlow)
{
  auto* end = bufferevent_socket_new(aLink.mBase, aSocket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(end, OnBytes, nullptr, OnEnd, new Reading{ &aLink, &aFlow });
  bufferevent_enable(end, EV_READ | EV_WRITE);
  return end;
}

void
FreeEnd(bufferevent* aEnd, bool aWithReset)
{
  void* reading = nullptr;
  bufferevent_getcb(aEnd, nullptr, nullptr, nullptr, &reading);
  delete static_cast<Reading*>(reading);
  if (aWithReset) {
    CloseWithReset(aEnd);
  } else {
    bufferevent_free(aEnd);
  }
}

void
Free(Connection& aConnection, bool aWithReset)
{
  FreeEnd(aConnection.mToTarget.mFrom, aWithReset);
  FreeEnd(aConnection.mToTarget.mTo, aWithReset);
}

// The next connection to the target is opened once there is something to pass on.
void
ReplaceTarget(Link& aLink, Connection& aConnection)
{
  FreeEnd(aConnection.mToTarget.mTo, false);
  aConnection.mFromTarget.mEnded = false;
  aConnection.mIsConnected = false;
  auto* target = OpenEnd(aLink, -1, aConnection.mFromTarget);
  aConnection.mToTarget.mTo = aConnection.mFromTarget.mFrom = target;
}

void
PumpLink(Link& aLink)
{
  aLink.mConnections.remove_if([&](auto& aConnection) {
    if (aConnection->mIsSilent) {
      auto isClosed = DropSilently(*aConnection);
      if (isClosed) {
        Free(*aConnection, false);
      }
      return isClosed;
    }
    auto& connection = *aConnection;
    auto holdsTo = connection.mIsParked ? !connection.mPasses : aLink.mHoldsTo;
    auto holdsFrom = connection.mIsParked || aLink.mHoldsFrom;
    if (aLink.mKeepsCallers && connection.mFromTarget.mEnded) {
      ReplaceTarget(aLink, connection);
    }
    auto isWanted = !aLink.mKeepsCallers || !connection.mToTarget.mChunks.empty();
    if (!holdsTo && !connection.mIsConnected && isWanted) {
      Connect(aLink, connection);
    }
    if (!holdsFrom && !aLink.mCloseAfter.empty() &&
        HoldsText(connection.mFromTarget, aLink.mCloseAfter)) {
      aLink.mCloseAfter.clear();
      aLink.mHoldsTo = true;
      SendAll(connection.mFromTarget);
      Free(connection, false);
      return true;
    }
    auto isOver = Pump(connection.mToTarget, holdsTo);
    isOver |= Pump(connection.mFromTarget, holdsFrom);
    if (isOver) {
      Free(connection, false);
    }
    return isOver;
  });
}

void
OnAccept(evconnlistener* /*aListener*/, evutil_socket_t aSocket, sockaddr*, int, void* aLink)
{
  auto& link = *static_cast<Link*>(aLink);
  auto& connection = *link.mConnections.emplace_back(std::make_unique<Connection>());
  auto* caller = OpenEnd(link, aSocket, connection.mToTarget);
  auto* target = OpenEnd(link, -1, connection.mFromTarget);
  connection.mToTarget.mFrom = connection.mFromTarget.mTo = caller;
  connection.mToTarget.mTo = connection.mFromTarget.mFrom = target;
}

bool
Listen(Link& aLink)
{
  auto address = aLink.mListen;
  auto flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
  aLink.mListener = evconnlistener_new_bind(aLink.mBase,
                                            OnAccept,
                                            &aLink,
                                            flags,
                                            -1,
                                            reinterpret_cast<sockaddr*>(&address),
                                            sizeof address);
  return aLink.mListener != nullptr;
}

void
Refuse(Link& aLink, bool aRefuses)
{
  if (aRefuses && aLink.mListener != nullptr) {
    evconnlistener_free(aLink.mListener);
    aLink.mListener = nullptr;
  } else if (!aRefuses && aLink.mListener == nullptr && !Listen(aLink)) {
    std::cerr << "can't listen again: " << std::strerror(errno) << "\n";
  }
}

void
Set(Link& aLink, const std::string& aName, const std::string& aValue)
{
  if (aName == "delay") {
    aLink.mDelay = std::chrono::milliseconds(std::atoi(aValue.c_str()));
  } else if (aName == "to") {
    aLink.mHoldsTo = aValue == "held";
  } else if (aName == "from") {
    aLink.mHoldsFrom = aValue == "held";
  } else if (aName == "keep") {
    aLink.mKeepsCallers = aValue == "1";
  } else if (aName == "silence") {
    for (auto& connection : aLink.mConnections) {
      connection->mIsSilent = true;
    }
  } else if (aName == "park") {
    for (auto& connection : aLink.mConnections) {
      connection->mIsParked = true;
    }
  } else if (aName == "pass") {
    for (auto& connection : aLink.mConnections) {
      connection->mPasses |= connection->mIsParked && HoldsText(connection->mToTarget, aValue);
    }
  } else if (aName == "close-after") {
    aLink.mCloseAfter = aValue;
  } else if (aName == "refuse") {
    Refuse(aLink, aValue == "1");
  } else if (aName == "target") {
    aLink.mTarget = ParseAddress(aValue);
  } else if (aName == "reset") {
    aLink.mConnections.remove_if([](auto& aConnection) {
      if (!aConnection->mIsParked) {
        Free(*aConnection, true);
      }
      return !aConnection->mIsParked;
    });
  }
}

// The parked connections that hold bytes for a target that hasn't seen them.
std::int64_t
ParkedWithBytes(const Link& aLink)
{
  return std::count_if(
    aLink.mConnections.begin(), aLink.mConnections.end(), [](const auto& aEntry) {
      return aEntry->mIsParked && !aEntry->mIsConnected && !aEntry->mToTarget.mChunks.empty();
    });
}

std::string
HeldBytes(const Link& aLink)
{
  std::string bytes;
  for (const auto& connection : aLink.mConnections) {
    if (connection->mIsParked && !connection->mIsConnected) {
      for (const auto& chunk : connection->mToTarget.mChunks) {
        bytes += chunk.mBytes + "\n";
      }
    }
  }
  return bytes;
}

struct Proxy
{
  std::vector<std::unique_ptr<Link>> mLinks;

  EventHttpReply Control(const EventHttpIncoming& aIncoming)
  {
    Link* link = nullptr;
    std::istringstream query(aIncoming.mQuery);
    for (std::string part; std::getline(query, part, '&');) {
      auto name = part.substr(0, part.find('='));
      auto value = part.substr(std::min(part.size(), name.size() + 1));
      if (name == "link") {
        auto index = static_cast<std::size_t>(std::atoi(value.c_str()));
        link = index < mLinks.size() ? mLinks[index].get() : nullptr;
      } else if (link != nullptr) {
        Set(*link, name, value);
      }
    }
    if (link == nullptr) {
      return { kBadRequest };
    }
    if (aIncoming.mPath == "/parked") {
      return { kOk, "text/plain", std::to_string(ParkedWithBytes(*link)) + "\n" };
    }
    if (aIncoming.mPath == "/held") {
      return { kOk, "text/plain", HeldBytes(*link) };
    }
    return { kOk };
  }
};

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Passes connections on, and does harm to them as it is told to");
  std::string control;
  std::vector<std::string> links;
  app.add_option("--control", control, "Address for orders")->required();
  app.add_option("--link", links, "LISTEN=TARGET; links are numbered from 0")->required();
  CLI11_PARSE(app, aCount, aArguments);

  signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  Proxy proxy;
  for (const auto& text : links) {
    auto equals = text.find('=');
    auto& link = *proxy.mLinks.emplace_back(std::make_unique<Link>());
    link.mBase = base;
    link.mTarget = ParseAddress(text.substr(equals + 1));
    link.mListen = ParseAddress(text.substr(0, equals));
    if (!Listen(link)) {
      std::cerr << "can't listen at " << text << ": " << std::strerror(errno) << "\n";
      return 1;
    }
  }
  EventHttpServer* server = nullptr;
  EventHttpServer orders(
    base, EventHttpServerSettings{ control }, [&](const EventHttpIncoming& aIncoming) {
      server->Reply(aIncoming.mTicket, proxy.Control(aIncoming));
    });
  server = &orders;
  auto started = orders.Start();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return 1;
  }
  timeval interval{ 0, kPumpMicroseconds };
  auto* pump = event_new(
    base,
    -1,
    EV_PERSIST,
    [](int, short, void* aProxy) {
      for (auto& link : static_cast<Proxy*>(aProxy)->mLinks) {
        PumpLink(*link);
      }
    },
    &proxy);
  event_add(pump, &interval);
  event_base_dispatch(base);
  return 0;
}
