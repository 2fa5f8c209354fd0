#include "LibServe/RequestQueue.h"

#include <algorithm>

namespace sesameseam {

namespace {

constexpr double kDefaultWeight = 1.0;
constexpr double kMinWeight = 0.01;

double
WeightOf(const std::map<TeamName, double>& aQuotas, const TeamName& aTeam)
{
  auto found = aQuotas.find(aTeam);
  return found == aQuotas.end() ? kDefaultWeight : std::max(found->second, kMinWeight);
}

// An idle team must not accumulate credit, so it starts level with the least served team that has
// queued requests.
void
AddTeam(ClassQueue& aClass, const TeamName& aTeam)
{
  auto& served = aClass.mServed[aTeam];
  if (!aClass.mOrder.empty()) {
    served = std::max(served, aClass.mOrder.begin()->first);
  }
  aClass.mOrder.emplace(served, aTeam);
}

void
DropTeamIfEmpty(ClassQueue& aClass, const TeamName& aTeam)
{
  auto found = aClass.mTeams.find(aTeam);
  if (!found->second.empty()) {
    return;
  }
  aClass.mTeams.erase(found);
  aClass.mOrder.erase({ aClass.mServed[aTeam], aTeam });
  if (aClass.mTeams.empty()) {
    aClass.mServed.clear();
  }
}

void
ChargeTeam(ClassQueue& aClass, const TeamName& aTeam, double aWork)
{
  auto& served = aClass.mServed[aTeam];
  aClass.mOrder.erase({ served, aTeam });
  served += aWork;
  aClass.mOrder.emplace(served, aTeam);
}

}

ClassQueue&
QueueOf(RequestQueue& aQueue, RequestClass aClass)
{
  return aQueue.mClasses[static_cast<std::size_t>(aClass)];
}

const ClassQueue&
QueueOf(const RequestQueue& aQueue, RequestClass aClass)
{
  return aQueue.mClasses[static_cast<std::size_t>(aClass)];
}

void
Push(RequestQueue& aQueue, QueuedRequest aRequest)
{
  const auto& request = *aRequest.mRequest;
  auto& queue = QueueOf(aQueue, request.mClass);
  if (!queue.mTeams.contains(request.mTeam)) {
    AddTeam(queue, request.mTeam);
  }
  queue.mSize += 1;
  queue.mWork += aRequest.mExpectedRunTime;
  QueuePosition position;
  position.mClass = request.mClass;
  position.mTeam = request.mTeam;
  position.mKey = { request.mDeadline, aQueue.mNextArrival++ };
  position.mLatestStart = aRequest.mLatestStart;
  aQueue.mByLatestStart.emplace(position.mLatestStart, request.mId);
  aQueue.mPositions.emplace(request.mId, position);
  queue.mTeams[position.mTeam].emplace(position.mKey, std::move(aRequest));
}

const QueuedRequest*
Peek(const RequestQueue& aQueue, RequestClass aClass)
{
  const auto& queue = QueueOf(aQueue, aClass);
  if (queue.mOrder.empty()) {
    return nullptr;
  }
  return &queue.mTeams.at(queue.mOrder.begin()->second).begin()->second;
}

std::optional<QueuedRequest>
Pop(RequestQueue& aQueue, RequestClass aClass, const std::map<TeamName, double>& aQuotas)
{
  const auto* next = Peek(aQueue, aClass);
  if (next == nullptr) {
    return std::nullopt;
  }
  auto work = std::chrono::duration<double>(next->mExpectedRunTime).count();
  const auto team = next->mRequest->mTeam;
  ChargeTeam(QueueOf(aQueue, aClass), team, work / WeightOf(aQuotas, team));
  return Remove(aQueue, next->mRequest->mId);
}

std::vector<QueuedRequest>
TakeExpired(RequestQueue& aQueue, TimePoint aNow)
{
  std::vector<QueuedRequest> expired;
  while (!aQueue.mByLatestStart.empty() && aQueue.mByLatestStart.begin()->first < aNow) {
    auto request = Remove(aQueue, aQueue.mByLatestStart.begin()->second);
    expired.push_back(std::move(*request));
  }
  return expired;
}

std::optional<QueuedRequest>
Remove(RequestQueue& aQueue, const RequestId& aRequest)
{
  auto found = aQueue.mPositions.find(aRequest);
  if (found == aQueue.mPositions.end()) {
    return std::nullopt;
  }
  auto position = std::move(found->second);
  auto& queue = QueueOf(aQueue, position.mClass);
  auto entry = queue.mTeams.at(position.mTeam).extract(position.mKey);
  auto request = std::move(entry.mapped());
  aQueue.mByLatestStart.erase({ position.mLatestStart, request.mRequest->mId });
  aQueue.mPositions.erase(found);
  queue.mSize -= 1;
  queue.mWork -= request.mExpectedRunTime;
  DropTeamIfEmpty(queue, position.mTeam);
  return request;
}

std::size_t
Size(const RequestQueue& aQueue)
{
  return aQueue.mPositions.size();
}

}
