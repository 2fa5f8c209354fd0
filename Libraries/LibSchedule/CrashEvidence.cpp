#include "LibSchedule/CrashEvidence.h"

#include "LibSchedule/CrashIsolation.h"

#include <algorithm>
#include <cmath>

namespace sesameseam::schedule {

namespace {

// Executors that end without any cause that the owner sees: one in an hour each.
constexpr double kLeastRateOfEnds = 1.0 / 3600;
// An executor that ends together with this many others, and with this part of them, does not end
// because of its runs.
constexpr int kMinShared = 2;
constexpr double kSharedPart = 0.1;
// Each executor that crashed under a task makes it that many times as likely to be the cause.
constexpr double kOddsOfOneCrash = 20;
// The greatest likelihood of a coincidence at which a task is given up, given that as many as it
// takes have ended under it, which few sound tasks see.
constexpr double kMaxCoincidence = 1e-3;
// A task that does crash executors may be started twice more after three have, not thrice.
constexpr int kCrashesToGiveUpUnproven = 5;
// Answers may be noted in another order than things happened.
constexpr Duration kLeastTimeAtWork = 1ms;

double
InSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

bool
HasCrashedOn(const Task& aTask, const ExecutorId& aExecutor)
{
  return std::find(aTask.mCrashedOn.begin(), aTask.mCrashedOn.end(), aExecutor) !=
         aTask.mCrashedOn.end();
}

// A single one that ended in the same moment is no common cause.
double
PartThatEnded(const Bystanders& aTogether)
{
  return aTogether.mEnded < kMinShared ? 0
                                       : aTogether.mEnded / static_cast<double>(aTogether.mPresent);
}

}

EndsOfOthers
CountEndsOfOthers(const std::map<ExecutorId, Executor>& aExecutors,
                  const Executor& aEnded,
                  const Task& aTask,
                  Instant aSince,
                  Instant aNow)
{
  EndsOfOthers ends{ CountBystanders(aExecutors, aEnded), 0 };
  int count = 0;
  int listed = 0;
  for (const auto& [id, executor] : aExecutors) {
    auto hasEnded =
      &executor != &aEnded && HasEndedByItself(executor) && executor.mEnded->mLatest >= aSince;
    count += hasEnded && !HasCrashedOn(aTask, id) ? 1 : 0;
    listed += executor.mEntry.mState != ExecutorState::Gone ? 1 : 0;
  }
  auto seconds = std::max(1.0, InSeconds(aNow - aSince));
  ends.mRate = std::max(kLeastRateOfEnds, count / (std::max(1, listed) * seconds));
  return ends;
}

double
BlameOfOthers(const std::vector<int>& aCrashesOfOthers, int aCrashes)
{
  double blame = 0;
  for (auto crashes : aCrashesOfOthers) {
    blame += std::pow(kOddsOfOneCrash, std::min(0, crashes - aCrashes));
  }
  return std::min(1.0, blame);
}

CrashEvidence
EvidenceAgainst(const Executor& aEnded,
                const PlacedRun& aRun,
                const EndsOfOthers& aOthers,
                double aBlameOfOthers)
{
  CrashEvidence evidence;
  if (!HasCrashedUnder(aEnded, aRun) || PartThatEnded(aOthers.mTogether) >= kSharedPart) {
    return evidence;
  }
  evidence.mIsSuspicious = true;
  if (!aRun.mBeganAt || !aEnded.mEnded) {
    return evidence;
  }
  auto atWork = std::max(kLeastTimeAtWork, aEnded.mEnded->mLatest - *aRun.mBeganAt);
  auto byItself = aOthers.mRate * InSeconds(atWork);
  auto withOthers = PartThatEnded(aOthers.mTogether);
  evidence.mCoincidence = std::min(1.0, std::max(byItself, withOthers) + aBlameOfOthers);
  return evidence;
}

bool
IsToBeGivenUp(const Step& aStep, const Task& aTask, const CrashEvidence& aLast)
{
  // What lasts is started again however it ends; as a suspect it harms one executor at a time.
  if (aStep.mLongRunning) {
    return false;
  }
  auto isProven = aLast.mCoincidence < 1 && aTask.mCoincidence <= kMaxCoincidence;
  return aTask.mCrashes >= (isProven ? kCrashesToGiveUp : kCrashesToGiveUpUnproven);
}

}
