#include "RandomFaults.h"

#include "Steps.h"

#include <array>
#include <random>

namespace sesameseam::standin {

using namespace schedule;

namespace {

constexpr int kHosts = 3;
constexpr int kExecutors = 4;
constexpr int kRounds = 60;

struct RandomPlay
{
  PlayOptions mOptions;
  // How many in a hundred jobs crash their executors.
  int mDeadlyJobs = 0;
  Simulation mSimulation;
  std::mt19937_64 mRandom;
  std::vector<JobId> mJobs;

  RandomPlay(const SimulationSettings& aSettings, const PlayOptions& aOptions)
    : mOptions(aOptions)
    , mDeadlyJobs(aSettings.mDeadlyJobs)
    , mSimulation(aSettings)
    , mRandom(aSettings.mSeed)
  {
  }

  // One number a statement: compilers differ in the order in which they evaluate arguments, and a
  // seed has to mean the same play on all of them.
  int Pick(int aBelow) { return static_cast<int>(mRandom() % static_cast<unsigned>(aBelow)); }

  JobId PickJob() { return mJobs.empty() ? JobId() : mJobs[mRandom() % mJobs.size()]; }

  Step PickStep(int aMaxTasks, int aMaxCores)
  {
    auto tasks = 1 + Pick(aMaxTasks);
    auto cores = 1 + Pick(aMaxCores);
    return MakeStep(tasks, cores);
  }
};

// Whether the host shows each of the accepted jobs as ended. Calls may still be lost, so that a
// query may be refused.
bool
ShowsAllAsEnded(Simulation& aSimulation, int aHost, std::vector<JobId> aJobs)
{
  constexpr int kTries = 4;
  std::erase_if(aJobs, [&](const JobId& aJob) { return !aSimulation.mJobs.at(aJob).mAccepted; });
  for (int i = 0; i < kTries && !aJobs.empty(); ++i) {
    for (const auto& job : aJobs) {
      aSimulation.AskState(aHost, job);
    }
    aSimulation.RunFor(4s);
    std::erase_if(aJobs, [&](const JobId& aJob) {
      return aSimulation.LastReply(aJob) == ReplyKind::State && IsFinal(aSimulation.PhaseAt(aJob));
    });
  }
  return aJobs.empty();
}

void
SubmitJob(RandomPlay& aPlay)
{
  auto host = aPlay.Pick(kHosts);
  if (!aPlay.mSimulation.mHosts[static_cast<std::size_t>(host)].mIsUp) {
    return;
  }
  auto isDeadly = aPlay.mDeadlyJobs > 0 && aPlay.Pick(100) < aPlay.mDeadlyJobs;
  auto first = aPlay.PickStep(4, 3);
  auto second = After(MakeStep(1 + aPlay.Pick(3), 1), { 0 });
  auto spec = isDeadly ? std::string("crashes") : aPlay.mOptions.mWork;
  aPlay.mJobs.push_back(aPlay.mSimulation.Submit(host, { first, second }, spec));
}

// Has one of the faults happen, or none.
void
CauseFault(RandomPlay& aPlay, int aExecutor)
{
  auto& simulation = aPlay.mSimulation;
  switch (aPlay.Pick(14)) {
    case 0:
      simulation.Kill(aPlay.Pick(kHosts));
      break;
    case 1:
      simulation.Freeze(aPlay.Pick(kHosts));
      break;
    case 2:
      simulation.CutFromStore(aPlay.Pick(kHosts), true);
      break;
    case 3:
      simulation.CrashExecutor(aExecutor);
      break;
    case 4:
      simulation.CutExecutor(aExecutor, true);
      break;
    case 5:
      ReassignPartitions(simulation.mStore);
      break;
    case 6:
      TrimHistory(simulation.mStore);
      break;
    case 7:
      simulation.StoreDown(true);
      break;
    case 8: {
      auto at = aPlay.Pick(kHosts);
      simulation.Cancel(at, aPlay.PickJob());
      break;
    }
    case 9:
    case 10:
      if (aPlay.mOptions.mReplacesExecutors) {
        simulation.CrashExecutorFor(aExecutor, 3s, aPlay.Pick(4) == 0);
      }
      break;
    default:
      break;
  }
}

void
MoveQueueAndRepeatJob(RandomPlay& aPlay)
{
  if (aPlay.Pick(6) == 0) {
    constexpr std::array kServices{ "previews", "archives", "archives", "" };
    aPlay.mSimulation.MoveQueue(kServices.at(static_cast<std::size_t>(aPlay.Pick(4))));
  }
  if (aPlay.mJobs.empty()) {
    return;
  }
  auto job = aPlay.PickJob();
  if (aPlay.mSimulation.mJobs.at(job).mAccepted) {
    aPlay.mSimulation.Repeat(aPlay.Pick(kHosts), job);
  }
}

void
AskHosts(RandomPlay& aPlay)
{
  auto host = aPlay.Pick(kHosts);
  aPlay.mSimulation.AskState(host, aPlay.PickJob());
  for (int i = 0; i < kHosts && aPlay.mOptions.mHasCountQueries; ++i) {
    aPlay.mSimulation.AskCount(i);
  }
}

// Ends the faults of the store and of all hosts.
void
EndFaults(Simulation& aSimulation)
{
  aSimulation.StoreDown(false);
  for (int i = 0; i < kHosts; ++i) {
    aSimulation.Thaw(i);
    aSimulation.Revive(i);
    aSimulation.CutFromStore(i, false);
  }
}

void
PlayRound(RandomPlay& aPlay)
{
  SubmitJob(aPlay);
  auto executor = aPlay.Pick(kExecutors);
  CauseFault(aPlay, executor);
  if (aPlay.mOptions.mMovesQueue) {
    MoveQueueAndRepeatJob(aPlay);
  }
  AskHosts(aPlay);
  aPlay.mSimulation.RunFor(std::chrono::milliseconds(aPlay.Pick(400)));
  if (aPlay.Pick(3) == 0) {
    EndFaults(aPlay.mSimulation);
    aPlay.mSimulation.CutExecutor(executor, false);
  }
}

// Waits until all has recovered. Returns what has not, and the invariants that were broken.
std::vector<std::string>
FindProblems(RandomPlay& aPlay)
{
  auto& simulation = aPlay.mSimulation;
  simulation.RunFor(60s);
  auto problems = simulation.Violations();
  if (!simulation.AllEnded()) {
    problems.push_back("an accepted job has not ended");
  }
  for (int host = 0; host < kHosts; ++host) {
    if (!ShowsAllAsEnded(simulation, host, aPlay.mJobs)) {
      problems.push_back("host " + std::to_string(host) + " does not show all jobs as ended");
    }
  }
  return problems;
}

}

std::vector<std::string>
PlayRandomFaults(const SimulationSettings& aSettings, const PlayOptions& aOptions)
{
  RandomPlay play(aSettings, aOptions);
  play.mSimulation.RunFor(1s);
  for (int round = 0; round < kRounds; ++round) {
    PlayRound(play);
  }
  EndFaults(play.mSimulation);
  for (int i = 0; i < kExecutors; ++i) {
    play.mSimulation.CutExecutor(i, false);
  }
  if (aOptions.mMovesQueue) {
    play.mSimulation.MoveQueue("archives");
  }
  return FindProblems(play);
}

}
