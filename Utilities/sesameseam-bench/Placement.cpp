#include "Experiment.h"
#include "Figures.h"

#include "LibServe/PoolServer.h"

#include <array>
#include <chrono>
#include <deque>

// The time of one decision: a request arrives and is given a slot, with most slots in use.
namespace sesameseam {

namespace {

constexpr std::array kTargetCounts = { 50, 500, 3300 };
constexpr int kMembers = 9;
constexpr int kSlots = 8;
constexpr int kDecisions = 2000;
constexpr int kWaiting = 500;
constexpr double kBusyShare = 0.9;

PoolView
ViewWith(int aTargets)
{
  PoolView view;
  view.mPool = PoolName("placement");
  view.mVersion = 1;
  for (int i = 0; i < aTargets; ++i) {
    view.mTargets.push_back({ HostName("host-" + std::to_string(i)), "", kSlots });
  }
  for (int i = 0; i < kMembers; ++i) {
    view.mMembers.emplace_back("entry-" + std::to_string(i));
  }
  return view;
}

RequestPointer
RequestOf(std::int64_t aNumber, RequestClass aClass, TimePoint aNow)
{
  auto request = std::make_shared<Request>();
  request->mId = RequestId("r" + std::to_string(aNumber));
  request->mPool = PoolName("placement");
  request->mClass = aClass;
  request->mTeam = TeamName("team-" + std::to_string(aNumber % 100));
  request->mKind = "preview";
  request->mDeadline = aNow + std::chrono::hours(1);
  return request;
}

struct Loop
{
  PoolServer mServer;
  TimePoint mNow = TimePoint(std::chrono::hours(1));
  std::deque<AttemptId> mRunning;
  std::int64_t mNextRequest = 0;
};

void
Handle(Loop& aLoop, const PoolEvent& aEvent)
{
  aLoop.mNow += 10us;
  for (const auto& action : Step(aLoop.mServer, aLoop.mNow, aEvent)) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      aLoop.mRunning.push_back(dispatch->mAttempt);
    }
  }
}

void
Arrive(Loop& aLoop, RequestClass aClass)
{
  Handle(aLoop, RequestArrived{ RequestOf(aLoop.mNextRequest++, aClass, aLoop.mNow) });
}

void
EndOldest(Loop& aLoop)
{
  AttemptResult result;
  result.mEnd = AttemptEnd::Answered;
  auto attempt = aLoop.mRunning.front();
  aLoop.mRunning.pop_front();
  Handle(aLoop, AttemptEnded{ attempt, result });
}

Loop
BusyLoop(int aTargets, std::uint64_t aSeed)
{
  Loop loop;
  ServeSettings settings;
  settings.mSelf = MemberName("entry-0");
  settings.mSeed = aSeed;
  loop.mServer = MakePoolServer(settings, PoolName("placement"));
  Handle(loop, ViewChanged{ ViewWith(aTargets) });
  // The slots of a new entry host are fenced at first.
  loop.mNow += std::chrono::minutes(1);
  Handle(loop, ViewConfirmed{ loop.mNow });
  auto slots = static_cast<double>(loop.mServer.mSlots.mOwned.size());
  // Long work beyond its share waits, so that the queue is not empty either.
  auto longSlots = static_cast<int>(slots * loop.mServer.mView.mLongShare);
  for (int i = 0; i < longSlots + kWaiting; ++i) {
    Arrive(loop, RequestClass::Long);
  }
  while (static_cast<double>(loop.mRunning.size()) < kBusyShare * slots) {
    Arrive(loop, RequestClass::Urgent);
  }
  // Long attempts stay, urgent ones come and go.
  loop.mRunning.erase(loop.mRunning.begin(), loop.mRunning.begin() + longSlots);
  return loop;
}

double
NanosecondsPerDecision(int aTargets, std::uint64_t aSeed)
{
  auto loop = BusyLoop(aTargets, aSeed);
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    Arrive(loop, RequestClass::Urgent);
    EndOldest(loop);
  }
  auto took = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::nano>(took).count() / kDecisions;
}

// The least loaded target, found by looking at each of them.
double
NanosecondsPerScan(int aTargets, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::map<HostName, int> running;
  for (const auto& target : ViewWith(aTargets).mTargets) {
    running[target.mHost] = static_cast<int>(random() % kSlots);
  }
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    auto least = std::min_element(running.begin(), running.end(), [](auto& aLeft, auto& aRight) {
      return aLeft.second < aRight.second;
    });
    least->second += 1;
    std::next(running.begin(), i % aTargets)->second -= 1;
  }
  auto took = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::nano>(took).count() / kDecisions;
}

ExperimentFigures
MeasurePlacement(std::uint64_t aSeed)
{
  ExperimentFigures figures;
  auto& baseline = figures.mBaseline.Add("ns_per_decision");
  auto& chosen = figures.mChosen.Add("ns_per_decision");
  for (auto targets : kTargetCounts) {
    auto name = std::to_string(targets);
    baseline.Add(name) = JsonNumber(NanosecondsPerScan(targets, aSeed));
    chosen.Add(name) = JsonNumber(NanosecondsPerDecision(targets, aSeed));
  }
  return figures;
}

const bool kRegistered = RegisterExperiment("placement", MeasurePlacement);

}

}
