#pragma once

#include "LibServe/Request.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace sesameseam {

struct QueuedRequest
{
  RequestPointer mRequest;
  Duration mExpectedRunTime = Duration::zero();
  // Started later than this, the request would likely miss its deadline.
  TimePoint mLatestStart;
};

// The requests of one team, by deadline and then by arrival.
using TeamQueue = std::map<std::pair<TimePoint, std::int64_t>, QueuedRequest>;

struct ClassQueue
{
  // Teams that have requests here.
  std::map<TeamName, TeamQueue> mTeams;
  // The work that each team was given, divided by its weight.
  std::map<TeamName, double> mServed;
  // The same for the teams that wait; the least served team is next.
  std::set<std::pair<double, TeamName>> mOrder;
  std::size_t mSize = 0;
  Duration mWork = Duration::zero();
};

struct QueuePosition
{
  RequestClass mClass = RequestClass::Ordinary;
  TeamName mTeam;
  std::pair<TimePoint, std::int64_t> mKey;
  TimePoint mLatestStart;
};

// Requests that wait for a slot: by class, fair among teams, by deadline within a team. All
// operations take logarithmic time.
struct RequestQueue
{
  std::array<ClassQueue, kRequestClassCount> mClasses;
  std::map<RequestId, QueuePosition> mPositions;
  std::set<std::pair<TimePoint, RequestId>> mByLatestStart;
  std::int64_t mNextArrival = 0;
};

ClassQueue&
QueueOf(RequestQueue& aQueue, RequestClass aClass);
const ClassQueue&
QueueOf(const RequestQueue& aQueue, RequestClass aClass);

void
Push(RequestQueue& aQueue, QueuedRequest aRequest);

// The next request of the class, which stays in the queue.
const QueuedRequest*
Peek(const RequestQueue& aQueue, RequestClass aClass);

// Takes the next request of the class. Teams without a quota have the weight 1.
std::optional<QueuedRequest>
Pop(RequestQueue& aQueue, RequestClass aClass, const std::map<TeamName, double>& aQuotas);

// Takes out every request whose latest start has passed.
std::vector<QueuedRequest>
TakeExpired(RequestQueue& aQueue, TimePoint aNow);

std::optional<QueuedRequest>
Remove(RequestQueue& aQueue, const RequestId& aRequest);

std::size_t
Size(const RequestQueue& aQueue);

}
