#include "LibExperiment/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

constexpr int kEntryHosts = 4;
constexpr int kTargets = 4;
constexpr Duration kAttemptTimeout = 3s;

enum class FaultKind
{
  Kill,
  KillAndRestart,
  Pause,
  Dead,
  FailAll,
  LoseAnswers,
  Slow,
};

struct Faults
{
  std::vector<std::pair<Duration, FaultKind>> mFaults;
};

const PoolName kPool("previews");

Request
RandomRequest(Deployment& aDeployment, Duration aLongestRun)
{
  auto& random = aDeployment.mRandom;
  Request request;
  request.mPool = kPool;
  request.mClass = static_cast<RequestClass>(random() % kRequestClassCount);
  request.mTeam = TeamName("team" + std::to_string(random() % 3));
  request.mKind = "job";
  request.mDeadline = aDeployment.mNow + 200ms + random() % 2000 * 1ms;
  request.mIdempotent = random() % 2 == 0;
  if (!request.mIdempotent) {
    request.mKey = RequestKey("key" + std::to_string(aDeployment.mNextId));
  }
  request.mBody =
    std::to_string(10000 + random() % static_cast<std::uint64_t>(aLongestRun.count()));
  return request;
}

void
InjectFault(Deployment& aDeployment, FaultKind aKind)
{
  auto node = static_cast<std::size_t>(aDeployment.mRandom() % kEntryHosts);
  auto target = std::next(aDeployment.mExecutors.begin(),
                          static_cast<std::ptrdiff_t>(aDeployment.mRandom() % kTargets));
  auto host = target->first;
  switch (aKind) {
    case FaultKind::Kill:
    case FaultKind::KillAndRestart: {
      KillNode(aDeployment, node);
      auto back = aKind == FaultKind::Kill ? 8s : 100ms;
      auto incarnation = aDeployment.mNodes[node].mIncarnation;
      Schedule(aDeployment, aDeployment.mNow + back, [&aDeployment, node, incarnation] {
        if (aDeployment.mNodes[node].mIncarnation == incarnation) {
          RestartNode(aDeployment, node);
        }
      });
      return;
    }
    case FaultKind::Pause:
      PauseNode(aDeployment, node, 7s);
      return;
    case FaultKind::Dead:
      target->second.mDead = true;
      break;
    case FaultKind::FailAll:
      target->second.mFailAll = true;
      break;
    case FaultKind::LoseAnswers:
      target->second.mLoseAnswers = 0.5;
      break;
    case FaultKind::Slow:
      target->second.mSlowness = 8.0;
      break;
  }
  Schedule(aDeployment, aDeployment.mNow + 3s, [&aDeployment, host] {
    auto& executor = aDeployment.mExecutors[host];
    executor.mDead = false;
    executor.mFailAll = false;
    executor.mLoseAnswers = 0.0;
    executor.mSlowness = 1.0;
  });
}

struct Submitted
{
  RequestId mId;
  Request mRequest;
  std::size_t mNode = 0;
};

struct Scenario
{
  Deployment mDeployment;
  std::vector<Submitted> mSubmitted;
  Duration mLongestRun = 200ms;
};

void
RunScenario(Scenario& aScenario, std::uint64_t aSeed, const Faults& aFaults)
{
  auto& deployment = aScenario.mDeployment;
  DeploymentSettings settings;
  settings.mEntryHosts = kEntryHosts;
  settings.mSeed = aSeed;
  StartDeployment(deployment, settings);
  AddPool(deployment, kPool, kTargets, kAttemptTimeout);
  RunUntil(deployment, deployment.mNow + 8s);
  auto start = deployment.mNow;
  for (const auto& [at, kind] : aFaults.mFaults) {
    Schedule(deployment, start + at, [&deployment, kind = kind] { InjectFault(deployment, kind); });
  }
  while (deployment.mNow < start + 8s) {
    auto node = static_cast<std::size_t>(deployment.mRandom() % kEntryHosts);
    auto request = RandomRequest(deployment, aScenario.mLongestRun);
    if (deployment.mNodes[node].mAlive) {
      aScenario.mSubmitted.push_back({ Submit(deployment, node, request), request, node });
    }
    RunUntil(deployment, deployment.mNow + 1ms + deployment.mRandom() % 6000 * 1us);
  }
  RunUntil(deployment, deployment.mNow + 20s);
}

Faults
RandomFaults()
{
  Faults faults;
  auto count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < count; ++i) {
    auto at = *rc::gen::inRange(0, 6000) * Duration(1ms);
    faults.mFaults.emplace_back(at, static_cast<FaultKind>(*rc::gen::inRange(0, 7)));
  }
  return faults;
}

int
CountRuns(const Scenario& aScenario, const Submitted& aSubmitted)
{
  const auto& key = aSubmitted.mRequest.mKey;
  auto found = aScenario.mDeployment.mRuns.find(key.IsEmpty() ? aSubmitted.mId.mValue : key.mValue);
  return found == aScenario.mDeployment.mRuns.end() ? 0 : found->second;
}

std::int64_t
CountOvercommits(const Scenario& aScenario)
{
  std::int64_t sum = 0;
  for (const auto& [host, executor] : aScenario.mDeployment.mExecutors) {
    sum += executor.mOvercommits;
  }
  return sum;
}

}

BOOST_AUTO_TEST_SUITE(TestServing)

BOOST_AUTO_TEST_CASE(OutcomesAndSlotLimitsHoldUnderFaults)
{
  bool held = rc::check("no over-commit, one outcome, not run means not run", [] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    Scenario scenario;
    RunScenario(scenario, seed, RandomFaults());
    RC_ASSERT(CountOvercommits(scenario) == 0);
    for (const auto& submitted : scenario.mSubmitted) {
      auto runs = CountRuns(scenario, submitted);
      RC_ASSERT(submitted.mRequest.mIdempotent || runs <= 1);
      auto answer = scenario.mDeployment.mAnswers.find(submitted.mId);
      if (answer == scenario.mDeployment.mAnswers.end()) {
        // Only a killed entry host may leave callers without an answer.
        RC_ASSERT(scenario.mDeployment.mNodes[submitted.mNode].mIncarnation > 0);
        continue;
      }
      RC_ASSERT(answer->second.mCount == 1);
      RC_ASSERT(answer->second.mOutcome.mKind != OutcomeKind::NotRun || runs == 0);
      RC_ASSERT(answer->second.mOutcome.mKind != OutcomeKind::Answered || runs >= 1);
    }
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(ARestartedHostDoesNotUseSlotsThatItsLastIncarnationLeftBusy)
{
  Scenario scenario;
  scenario.mLongestRun = 2500ms;
  Faults faults;
  for (int i = 0; i < 4; ++i) {
    faults.mFaults.emplace_back(i * 2s, FaultKind::KillAndRestart);
  }
  RunScenario(scenario, 3, faults);
  BOOST_TEST(CountOvercommits(scenario) == 0);
}

BOOST_AUTO_TEST_CASE(ATargetThatLeavesGetsNoNewWorkAfterASecond)
{
  Scenario scenario;
  auto& deployment = scenario.mDeployment;
  TimePoint left = TimePoint::max();
  TimePoint last;
  deployment.mOnRun = [&](const ExecutorRun& aRun) {
    if (aRun.mHost == HostName("previews-h1")) {
      last = std::max(last, aRun.mFrom);
    }
  };
  Schedule(deployment, TimePoint(std::chrono::hours(1)) + 12s, [&] {
    left = deployment.mNow;
    HostLeaving leave;
    leave.mHost = HostName("previews-h1");
    leave.mReason = LeaveReason::Removal;
    ChangeBy(deployment, 0, "test", std::nullopt, leave);
  });
  RunScenario(scenario, 5, {});
  BOOST_TEST((last > left - 1s));
  BOOST_TEST((last < left + 1s));
}

BOOST_AUTO_TEST_CASE(FailuresOfAllTargetsDoNotEmptyThePool)
{
  Scenario scenario;
  auto& deployment = scenario.mDeployment;
  auto from = TimePoint(std::chrono::hours(1)) + 10s;
  auto setAll = [&](bool aFail) {
    for (auto& [host, executor] : deployment.mExecutors) {
      executor.mFailAll = aFail;
    }
  };
  Schedule(deployment, from, [&] { setAll(true); });
  Schedule(deployment, from + 3s, [&] { setAll(false); });
  int answered = 0;
  deployment.mOnAnswer = [&](const RequestId&, const GivenAnswer& aAnswer) {
    bool soon = aAnswer.mAt > from + 3s && aAnswer.mAt < from + 4s;
    answered += soon && aAnswer.mOutcome.mKind == OutcomeKind::Answered ? 1 : 0;
  };
  RunScenario(scenario, 7, {});
  BOOST_TEST(answered > 100);
}

BOOST_AUTO_TEST_SUITE_END()
