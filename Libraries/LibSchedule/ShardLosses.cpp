#include "LibSchedule/ShardLosses.h"

#include "LibSchedule/CrashIsolation.h"
#include "LibSchedule/ExecutorEnds.h"
#include "LibSchedule/ShardEnds.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sesameseam::schedule::detail {

namespace {

// How many executors have crashed under the tasks of the other runs that were there. Runs that have
// shown that they are harmless are left out.
std::vector<int>
CrashesOfOthers(Shard& aShard, const Executor& aExecutor, const TaskRun& aRun)
{
  std::vector<int> crashes;
  for (const auto& [name, run] : aExecutor.mRuns) {
    auto isHarmless = aExecutor.mEnded && HasProvenHarmless(run, aExecutor.mEnded->mEarliest);
    if (name == aRun || isHarmless || !HasCrashedUnder(aExecutor, run)) {
      continue;
    }
    auto* job = FindJob(aShard, name.mTask.mJob);
    auto* task = job == nullptr ? nullptr : FindTask(*job, name.mTask);
    crashes.push_back(task == nullptr ? 0 : task->mCrashes);
  }
  return crashes;
}

CrashEvidence
EvidenceAgainst(Shard& aShard, const Now& aNow, const Executor& aExecutor, const TaskRun& aRun)
{
  constexpr Duration kTimeToCountEnds = 30s;
  const auto& run = aExecutor.mRuns.at(aRun);
  auto* job = FindJob(aShard, aRun.mTask.mJob);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aRun.mTask);
  if (task == nullptr || !HasCrashedUnder(aExecutor, run)) {
    return {};
  }
  auto since = std::max(aNow.mAt - kTimeToCountEnds, aShard.mTakenOverAt);
  auto others = CountEndsOfOthers(aShard.mExecutors, aExecutor, *task, since, aNow.mAt);
  auto blame = BlameOfOthers(CrashesOfOthers(aShard, aExecutor, aRun), task->mCrashes);
  return EvidenceAgainst(aExecutor, run, others, blame);
}

void
MarkRunLost(Shard& aShard,
            Executor& aExecutor,
            const TaskRun& aRun,
            const CrashEvidence& aEvidence,
            std::string aReason,
            Actions& aActions)
{
  ++aShard.mCounters.mTasksLost;
  LogRun("task-lost", aRun, aExecutor, std::move(aReason), aActions);
  auto run = aExecutor.mRuns.at(aRun);
  DropRun(aShard, aExecutor, aRun);
  if (HasCrashedUnder(aExecutor, run)) {
    RecordCrash(aShard, aExecutor, aRun, run, aEvidence, aActions);
  }
}

// A run that has stopped without reporting an end, and how that is known.
struct LostRun
{
  TaskRun mName;
  std::string mReason;
};

// Drops runs that have stopped without reporting an end, and counts them as lost. The loss is
// stored before their tasks are started again.
void
MarkRunsLost(Shard& aShard,
             const Now& aNow,
             Executor& aExecutor,
             const std::vector<LostRun>& aRuns,
             Actions& aActions)
{
  auto hasEnded = std::any_of(aRuns.begin(), aRuns.end(), [&](const LostRun& aLost) {
    return HasCrashedUnder(aExecutor, aExecutor.mRuns.at(aLost.mName));
  });
  if (hasEnded) {
    NoteEnd(aExecutor, aNow.mAt);
  }
  // Before any of them is dropped: each is judged by what was beside it.
  std::vector<CrashEvidence> evidence;
  evidence.reserve(aRuns.size());
  for (const auto& lost : aRuns) {
    evidence.push_back(EvidenceAgainst(aShard, aNow, aExecutor, lost.mName));
  }
  for (std::size_t i = 0; i < aRuns.size(); ++i) {
    MarkRunLost(aShard, aExecutor, aRuns[i].mName, evidence[i], aRuns[i].mReason, aActions);
  }
}

// The names of the listed runs, in order.
std::vector<const TaskRun*>
ListedRuns(const std::vector<RunningTask>& aRunning)
{
  std::vector<const TaskRun*> listed;
  listed.reserve(aRunning.size());
  for (const auto& running : aRunning) {
    listed.push_back(&running.mRun);
  }
  std::sort(listed.begin(), listed.end(), [](const TaskRun* aLeft, const TaskRun* aRight) {
    return *aLeft < *aRight;
  });
  return listed;
}

bool
IsListed(const TaskRun& aRun, const std::vector<const TaskRun*>& aListed)
{
  auto found = std::lower_bound(
    aListed.begin(), aListed.end(), aRun, [](const TaskRun* aLeft, const TaskRun& aRight) {
      return *aLeft < aRight;
    });
  return found != aListed.end() && **found == aRun;
}

// By which sign a run that is not listed is taken for ended, for the log.
std::string
DescribeUnlisted(const Executor& aExecutor, const PlacedRun& aRun, Instant aNow)
{
  std::string reason = "the executor does not list it";
  if (aRun.mBeganAt) {
    return reason;
  }
  auto since = std::to_string(ToMilliseconds(aNow - aRun.mStateSince).count()) + " ms ago";
  reason += aRun.mState == RunState::Stopping ? "; a stop was answered " + since
                                              : "; it is not known to have begun";
  return reason + "; process " + std::to_string(aExecutor.mProcess.mIncarnation) + " has answered";
}

}

void
DropUnlistedRuns(Shard& aShard,
                 const Now& aNow,
                 Executor& aExecutor,
                 const HeartbeatAnswer& aAnswer,
                 Actions& aActions)
{
  auto listed = ListedRuns(aAnswer.mRunning);
  std::vector<LostRun> ended;
  for (auto& [name, run] : aExecutor.mRuns) {
    auto isSettled = run.mState != RunState::Recording && run.mState != RunState::Starting;
    if (!isSettled || run.mStateSince >= aAnswer.mSentAt || IsListed(name, listed)) {
      continue;
    }
    if (run.mState == RunState::Uncertain && run.mEpoch == aShard.mEpoch) {
      // Its start may still arrive. Once a stop has been answered, it has no effect any more.
      RequestStop(aExecutor, name);
      continue;
    }
    ended.push_back({ name, DescribeUnlisted(aExecutor, run, aNow.mAt) });
  }
  MarkRunsLost(aShard, aNow, aExecutor, ended, aActions);
}

void
NoteReturnedRun(Shard& aShard,
                const Executor& aExecutor,
                const TaskRun& aRun,
                std::optional<EndKind> aEnd,
                Actions& aActions)
{
  auto* job = FindJob(aShard, aRun.mTask.mJob);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aRun.mTask);
  if (task == nullptr || (aEnd && *aEnd != EndKind::Done && *aEnd != EndKind::Failed)) {
    return;
  }
  std::string how = "listed as at work";
  if (aEnd) {
    how = *aEnd == EndKind::Done ? "ended as done" : "ended as failed";
  } else {
    ++aShard.mCounters.mRunsReturned;
  }
  auto reason = how + " in process " + std::to_string(aExecutor.mProcess.mIncarnation) +
                "; the highest run of its task is " + std::to_string(task->mHighestRun);
  LogRun("run-returned", aRun, aExecutor, std::move(reason), aActions);
}

void
DropExpiredRuns(Shard& aShard, const Now& aNow, Executor& aExecutor, Actions& aActions)
{
  std::vector<LostRun> expired;
  for (const auto& [name, run] : aExecutor.mRuns) {
    if (run.mState != RunState::Recording && LeaseExpiryOf(aExecutor, run) < aNow.mAt) {
      expired.push_back({ name, DescribeLease(aExecutor, run, aNow.mAt) });
    }
  }
  MarkRunsLost(aShard, aNow, aExecutor, expired, aActions);
  if (!expired.empty() && aExecutor.mIsUnresponsive) {
    aShard.mResponsivenessToRecord.insert(aExecutor.mEntry.mId);
  }
}

}
