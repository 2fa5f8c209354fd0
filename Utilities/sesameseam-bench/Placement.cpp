#include "Experiment.h"
#include "Statistics.h"

#include "LibServe/PoolServer.h"

#include <array>
#include <chrono>
#include <deque>

// Measures the time to assign a slot to an arriving request while most slots are in use.
namespace sesameseam {

namespace {

constexpr std::array kTargetCounts = { 50, 500, 3300 };
constexpr int kMembers = 9;
constexpr int kSlotsPerTarget = 8;
constexpr int kDecisions = 2000;
constexpr int kQueuedRequests = 500;
constexpr double kBusySlotShare = 0.9;

PoolView
MakeView(int aTargets)
{
  PoolView view;
  view.mPool = PoolName("placement");
  view.mVersion = 1;
  for (int i = 0; i < aTargets; ++i) {
    view.mTargets.push_back({ HostName("host-" + std::to_string(i)), "", kSlotsPerTarget });
  }
  for (int i = 0; i < kMembers; ++i) {
    view.mMembers.emplace_back("entry-" + std::to_string(i));
  }
  return view;
}

RequestPointer
MakeRequest(std::int64_t aNumber, RequestClass aClass, TimePoint aNow)
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

struct PoolHarness
{
  PoolServer mServer;
  TimePoint mNow = TimePoint(std::chrono::hours(1));
  std::deque<AttemptId> mRunning;
  std::int64_t mNextRequest = 0;
};

void
Handle(PoolHarness& aHarness, const PoolEvent& aEvent)
{
  aHarness.mNow += 10us;
  for (const auto& action : Step(aHarness.mServer, aHarness.mNow, aEvent)) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      aHarness.mRunning.push_back(dispatch->mAttempt);
    }
  }
}

void
SubmitRequest(PoolHarness& aHarness, RequestClass aClass)
{
  Handle(aHarness, RequestArrived{ MakeRequest(aHarness.mNextRequest++, aClass, aHarness.mNow) });
}

void
FinishOldest(PoolHarness& aHarness)
{
  AttemptResult result;
  result.mEnd = AttemptEnd::Answered;
  auto attempt = aHarness.mRunning.front();
  aHarness.mRunning.pop_front();
  Handle(aHarness, AttemptEnded{ attempt, result });
}

PoolHarness
MakeBusyHarness(int aTargets, std::uint64_t aSeed)
{
  PoolHarness harness;
  ServeSettings settings;
  settings.mSelf = MemberName("entry-0");
  settings.mSeed = aSeed;
  harness.mServer = MakePoolServer(settings, PoolName("placement"));
  Handle(harness, ViewChanged{ MakeView(aTargets) });
  // The slots of a new entry host are fenced at first; advance the clock until they can be used.
  harness.mNow += std::chrono::minutes(1);
  Handle(harness, ViewConfirmed{ harness.mNow });
  auto slots = static_cast<double>(harness.mServer.mSlots.mOwned.size());
  // Long-running requests beyond their share of the slots stay queued, to keep the queue non-empty.
  auto longSlots = static_cast<int>(slots * harness.mServer.mView.mLongShare);
  for (int i = 0; i < longSlots + kQueuedRequests; ++i) {
    SubmitRequest(harness, RequestClass::Long);
  }
  while (static_cast<double>(harness.mRunning.size()) < kBusySlotShare * slots) {
    SubmitRequest(harness, RequestClass::Urgent);
  }
  // Long-running attempts never end; only urgent ones are finished and replaced.
  harness.mRunning.erase(harness.mRunning.begin(), harness.mRunning.begin() + longSlots);
  return harness;
}

double
NanosecondsPerDecision(int aTargets, std::uint64_t aSeed)
{
  auto harness = MakeBusyHarness(aTargets, aSeed);
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    SubmitRequest(harness, RequestClass::Urgent);
    FinishOldest(harness);
  }
  auto took = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::nano>(took).count() / kDecisions;
}

// The baseline: finds the least loaded target by a linear scan over all targets.
double
NanosecondsPerScan(int aTargets, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::map<HostName, int> running;
  for (const auto& target : MakeView(aTargets).mTargets) {
    running[target.mHost] = static_cast<int>(random() % kSlotsPerTarget);
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

ExperimentResult
MeasurePlacement(std::uint64_t aSeed)
{
  ExperimentResult figures;
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
