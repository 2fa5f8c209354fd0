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
  // The latest start at which the request is still likely to meet its deadline.
  TimePoint mLatestStart;
};

// The requests of one team, ordered by deadline and then by arrival.
using TeamQueue = std::map<std::pair<TimePoint, std::int64_t>, QueuedRequest>;

struct ClassQueue
{
  // Only teams with queued requests.
  std::map<TeamName, TeamQueue> mTeams;
  // The work served to each team, divided by the team's weight.
  std::map<TeamName, double> mServed;
  // The same for teams with queued requests, in ascending order; the least served team is next.
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

// Requests waiting for a slot: weighted fair queueing among the teams of each class, earliest
// deadline first within a team. All operations take logarithmic time.
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

// Returns the next request of the class without removing it, or nullptr.
const QueuedRequest*
Peek(const RequestQueue& aQueue, RequestClass aClass);

// Removes and returns the next request of the class. Teams without a quota have weight 1.
std::optional<QueuedRequest>
Pop(RequestQueue& aQueue, RequestClass aClass, const std::map<TeamName, double>& aQuotas);

// Removes and returns all requests whose latest start has passed.
std::vector<QueuedRequest>
TakeExpired(RequestQueue& aQueue, TimePoint aNow);

std::optional<QueuedRequest>
Remove(RequestQueue& aQueue, const RequestId& aRequest);

std::size_t
Size(const RequestQueue& aQueue);

}
