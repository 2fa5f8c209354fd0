#include "LibSchedule/ExecutorBackOff.h"

#include <algorithm>

namespace sesameseam::schedule {

namespace {

// A single failure may be the task's fault; this many in a row are attributed to the executor.
constexpr int kFailuresBeforeBackOff = 3;
constexpr Duration kInitialBackOff = 2s;
constexpr int kMaxBackOffDoublings = 3;
constexpr Duration kBackOffAfterRefusal = 400ms;
// A step whose runs have failed on this many executors, and on no other one succeeded, is at fault.
constexpr std::size_t kExecutorsToBlameStep = 2;
// An executor that has failed this many steps in a row may fail everything.
constexpr std::size_t kStepsToBlameExecutor = 3;
// The steps that are kept for an executor.
constexpr std::size_t kMaxFailedSteps = 64;

FailedStep&
FindOrAdd(std::vector<FailedStep>& aSteps, const StepName& aName)
{
  auto found = std::find_if(
    aSteps.begin(), aSteps.end(), [&](const FailedStep& aStep) { return aStep.mName == aName; });
  if (found != aSteps.end()) {
    return *found;
  }
  if (aSteps.size() == kMaxFailedSteps) {
    aSteps.erase(aSteps.begin());
  }
  return aSteps.emplace_back(FailedStep{ aName });
}

// Reckons anew how long the executor gets no work.
void
UpdateBackOff(ExecutorProcess& aProcess)
{
  int failures = 0;
  Instant last;
  for (const auto& step : aProcess.mFailedSteps) {
    if (!step.mIsAtFault) {
      failures += step.mRuns;
      last = std::max(last, step.mLastAt);
    }
  }
  auto excess = failures - kFailuresBeforeBackOff;
  aProcess.mBackOffUntil = aProcess.mRefusedUntil;
  if (excess >= 0) {
    auto time = kInitialBackOff * (1 << std::min(excess, kMaxBackOffDoublings));
    aProcess.mBackOffUntil = std::max(aProcess.mBackOffUntil, last + time);
  }
}

// Whether it has failed so many steps since its last success that it may fail whatever it gets.
bool
FailsEverything(const Executor& aExecutor)
{
  return aExecutor.mProcess.mFailedSteps.size() >= kStepsToBlameExecutor;
}

// Those of a pool that may get work, and how many of them a condition holds for.
struct PoolCount
{
  int mPresent = 0;
  int mMatching = 0;
};

template<typename Condition>
PoolCount
CountInPool(const Executors& aExecutors, const ServiceName& aPool, Condition aCondition)
{
  PoolCount count;
  for (const auto& [id, executor] : aExecutors) {
    if (executor.mEntry.mService == aPool && executor.mEntry.mState == ExecutorState::Ready) {
      ++count.mPresent;
      count.mMatching += aCondition(executor) ? 1 : 0;
    }
  }
  return count;
}

// Whether the step has failed only on executors that fail everything, which most of their pool
// don't.
bool
HasFailedOnlyWhereAllFails(const StepOutcomes& aOutcomes, const Executors& aExecutors)
{
  ServiceName pool;
  for (const auto& id : aOutcomes.mFailedOn) {
    auto found = aExecutors.find(id);
    if (found == aExecutors.end() || !FailsEverything(found->second)) {
      return false;
    }
    pool = found->second.mEntry.mService;
  }
  auto count = CountInPool(aExecutors, pool, FailsEverything);
  return count.mMatching * 2 <= count.mPresent;
}

}

bool
IsAtFault(const StepOutcomes& aOutcomes, const Executors& aExecutors)
{
  return !aOutcomes.mHasSucceeded && aOutcomes.mFailedOn.size() >= kExecutorsToBlameStep &&
         !HasFailedOnlyWhereAllFails(aOutcomes, aExecutors);
}

void
RecordFailure(Executor& aExecutor, const StepName& aStep, bool aIsStepAtFault, Instant aNow)
{
  auto& step = FindOrAdd(aExecutor.mProcess.mFailedSteps, aStep);
  ++step.mRuns;
  step.mLastAt = aNow;
  step.mIsAtFault = aIsStepAtFault;
  UpdateBackOff(aExecutor.mProcess);
}

void
RecordRefusal(Executor& aExecutor, Instant aNow)
{
  aExecutor.mProcess.mRefusedUntil = aNow + kBackOffAfterRefusal;
  RecordFailure(aExecutor, StepName(), false, aNow);
}

void
RecordSuccess(Executor& aExecutor)
{
  aExecutor.mProcess.mFailedSteps.clear();
  aExecutor.mProcess.mRefusedUntil = Instant();
  aExecutor.mProcess.mBackOffUntil = Instant();
}

void
SetStepAtFault(Executor& aExecutor, const StepName& aStep, bool aIsStepAtFault)
{
  for (auto& step : aExecutor.mProcess.mFailedSteps) {
    if (step.mName == aStep && step.mIsAtFault != aIsStepAtFault) {
      step.mIsAtFault = aIsStepAtFault;
      UpdateBackOff(aExecutor.mProcess);
    }
  }
}

void
LimitBackOff(const Executors& aExecutors, Executor& aExecutor, Instant aNow)
{
  auto isPutOff = [&](const Executor& aOther) { return aOther.mProcess.mBackOffUntil > aNow; };
  if (!isPutOff(aExecutor)) {
    return;
  }
  auto count = CountInPool(aExecutors, aExecutor.mEntry.mService, isPutOff);
  if (count.mMatching * 2 > count.mPresent) {
    aExecutor.mProcess.mBackOffUntil = Instant();
  }
}

int
CountFailures(const Executor& aExecutor)
{
  int failures = 0;
  for (const auto& step : aExecutor.mProcess.mFailedSteps) {
    failures += step.mIsAtFault ? 0 : step.mRuns;
  }
  return failures;
}

}
