#include "LibSchedule/CrashIsolation.h"
#include "LibSchedule/ExecutorBackOff.h"
#include "LibSchedule/ExecutorDrain.h"
#include "LibSchedule/ExecutorEnds.h"
#include "LibSchedule/ExecutorHeartbeat.h"
#include "LibSchedule/Shard.h"
#include "LibSchedule/ShardEnds.h"
#include "LibSchedule/ShardLosses.h"
#include "LibSchedule/Throttle.h"

#include <algorithm>
#include <utility>
#include <vector>

// The life cycle of runs on executors: how they are started, kept alive by leases, stopped, and
// reconciled with the runs that executors list.
namespace sesameseam::schedule {

namespace {

constexpr Duration kInitialRetryDelay = 100ms;
constexpr int kMaxRetryDoublings = 3;
// How often an executor is asked which process it is, while its entry names another one.
constexpr Duration kRestartCheckInterval = 500ms;
constexpr Duration kStopRetryDelay = 400ms;
// The longest delay before work that becomes due at a known time is noticed.
constexpr Duration kSweepInterval = 20ms;
// Each executor is checked at least this often: that it drains, say, is decided elsewhere.
constexpr Duration kMaxCheckInterval = 100ms;
// The maximum number of ends in one answer.
constexpr std::size_t kMaxListedEnds = 500;

Executor*
FindExecutor(Shard& aShard, const ExecutorAddress& aAddress)
{
  if (aAddress.mEpoch != aShard.mEpoch) {
    return nullptr;
  }
  auto found = aShard.mExecutors.find(aAddress.mExecutor);
  return found == aShard.mExecutors.end() ? nullptr : &found->second;
}

void
RecordUnansweredHeartbeat(Executor& aExecutor, const HeartbeatAnswer& aAnswer, Instant aNow)
{
  // A process of which only the absence is found has not ended in this moment.
  auto hasEnded = aAnswer.mIsFromAnother || aAnswer.mHasNoListener;
  auto wait = hasEnded ? 0ms : aAnswer.mCall.mWait;
  auto calledAt = hasEnded ? aExecutor.mHeartbeatAnsweredAt : aAnswer.mSentAt;
  NoteUnanswered(aExecutor, calledAt, wait, aNow);
  auto doublings = std::min(aExecutor.mUnansweredCalls, kMaxRetryDoublings);
  aExecutor.mRetryAt = aNow + kInitialRetryDelay * (1 << doublings);
  ++aExecutor.mUnansweredCalls;
}

void
LogIfFailureIsNew(Executor& aExecutor,
                  HeartbeatFailure aFailure,
                  const HeartbeatAnswer& aAnswer,
                  Instant aNow,
                  Actions& aActions)
{
  if (aExecutor.mFailure == aFailure) {
    return;
  }
  aExecutor.mFailure = aFailure;
  LogEntry entry{ LogLevel::Info, "executor-silent", {}, aExecutor.mEntry.mId.mValue };
  entry.mReason = std::string(NameOf(aFailure)) + "; process " +
                  std::to_string(aExecutor.mProcess.mIncarnation) + " answered last";
  entry.mAge = ToMilliseconds(aNow - aAnswer.mSentAt);
  aActions.emplace_back(std::move(entry));
}

// Adds a run that the executor lists and that this owner did not know of. It counts against the
// quota of its tenant if its job is known.
void
AddForeignRun(Shard& aShard, const Now& aNow, Executor& aExecutor, const TaskRun& aName)
{
  PlacedRun run;
  run.mStateSince = aNow.mAt;
  run.mState = RunState::Running;
  run.mIsForeign = true;
  auto* job = detail::FindJob(aShard, aName.mTask.mJob);
  if (job != nullptr && FindTask(*job, aName.mTask) != nullptr) {
    run.mTenant = job->mDefinition.mTenant;
    run.mCounted = detail::StepOf(*job, aName.mTask).mNeeds;
  }
  detail::AddRun(aShard, aExecutor, aName, run);
}

// Notes that a run is known to have begun. A later owner has to know it of a suspect, so that an
// executor that crashes under it counts.
void
NoteBegin(Shard& aShard, PlacedRun& aRun, const ExecutorId& aOn, const TaskRun& aName, Instant aNow)
{
  if (aRun.mBeganAt) {
    return;
  }
  // A run of a former owner may be as old as any.
  auto isOwn = aRun.mEpoch == aShard.mEpoch;
  aRun.mBeganAt = isOwn ? aNow : aShard.mTakenOverAt - aShard.mSettings.mLease.mMaximum;
  auto* job = detail::FindJob(aShard, aName.mTask.mJob);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aName.mTask);
  if (task == nullptr || task->mCrashes == 0 || IsFinal(job->mPhase) || aRun.mIsLongRunning) {
    return;
  }
  for (auto& attempt : task->mAttempts) {
    attempt.mHasBegun |= attempt.mRun == aName.mRun && attempt.mExecutor == aOn;
  }
  detail::MarkDirty(aShard, *job);
}

// Notes of a task that lasts that the process on which its run was placed has listed it. A later
// owner then knows by which clock its lease ends, and need not wait for longer.
void
NoteListedWherePlaced(Shard& aShard, Job& aJob, Task& aTask, const PlacedRun& aRun, int aNumber)
{
  if (!aRun.mIsLongRunning || aRun.mKnownIn == 0 || aRun.mKnownIn != aRun.mIncarnation) {
    return;
  }
  for (auto& attempt : aTask.mAttempts) {
    auto isThis = attempt.mRun == aNumber && attempt.mIncarnation == aRun.mIncarnation;
    if (isThis && !attempt.mHasBegun) {
      attempt.mHasBegun = true;
      detail::MarkDirty(aShard, aJob);
    }
  }
}

// When a start was given up, and which process it was for, for the log.
std::string
DescribeUnanswered(const Executor& aExecutor, const StartAnswer& aAnswer, Instant aNow)
{
  auto waited = ToMilliseconds(aNow - aAnswer.mSentAt).count();
  return "no answer after " + std::to_string(waited) + " ms; it was for process " +
         std::to_string(aAnswer.mCall.mTo.mIncarnation) + ", process " +
         std::to_string(aExecutor.mProcess.mIncarnation) + " answered last";
}

std::string
DescribeRefusal(const StartAnswer& aAnswer)
{
  auto process = std::to_string(aAnswer.mCall.mTo.mIncarnation);
  if (aAnswer.mRefusal == StartRefusal::NotReached) {
    return "not sent: process " + process + " did not answer";
  }
  if (aAnswer.mRefusal == StartRefusal::OtherIncarnation) {
    return "not run: it was for process " + process + ", and another one answered";
  }
  return "refusal " + std::to_string(static_cast<int>(aAnswer.mRefusal));
}

// Whether the list says nothing of the run that has to be acted on. What the end of its job asks of
// a run was decided when the job ended.
bool
IsAsKnown(const PlacedRun& aRun, const RunningTask& aRunning)
{
  return aRun.mState == RunState::Running && aRun.mPercent == aRunning.mPercent &&
         aRunning.mCheckpoint.empty() && aRun.mIsolation == Isolation::None && !aRun.mIsForeign &&
         !aRun.mIsLongRunning && !aRun.mIsLatencySensitive;
}

void
ApplyRunningTask(Shard& aShard,
                 const Now& aNow,
                 Executor& aExecutor,
                 const RunningTask& aRunning,
                 Actions& aActions)
{
  auto found = aExecutor.mRuns.find(aRunning.mRun);
  auto isNew = found == aExecutor.mRuns.end();
  if (isNew) {
    detail::NoteReturnedRun(aShard, aExecutor, aRunning.mRun, std::nullopt, aActions);
    AddForeignRun(aShard, aNow, aExecutor, aRunning.mRun);
    found = aExecutor.mRuns.find(aRunning.mRun);
  }
  auto& run = found->second;
  run.mKnownIn = aExecutor.mProcess.mIncarnation;
  NoteBegin(aShard, run, aExecutor.mEntry.mId, aRunning.mRun, aNow.mAt);
  if (IsAsKnown(run, aRunning)) {
    run.mLoad = aRunning.mLoad;
    return;
  }
  if (run.mState == RunState::Uncertain && !run.mStopRequested) {
    run.mState = RunState::Running;
    run.mStateSince = aNow.mAt;
  }
  if (run.mPercent != kFullSpeed && aRunning.mPercent == kFullSpeed) {
    aShard.mNeedsPlacementPass = true;
  }
  run.mPercent = aRunning.mPercent;
  run.mLoad = aRunning.mLoad;
  auto* job = detail::FindJob(aShard, aRunning.mRun.mTask.mJob);
  detail::RecordBegin(aShard, job);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aRunning.mRun.mTask);
  if (task == nullptr || IsFinal(job->mPhase) || task->mState == TaskState::Done || isNew) {
    // Its outcome is no longer needed.
    detail::RequestStop(aExecutor, aRunning.mRun);
    return;
  }
  if (run.mIsLongRunning && aRunning.mPercent == kFullSpeed) {
    detail::NoteStepSucceeded(aShard, aNow.mAt, *job, aRunning.mRun.mTask, aActions);
  }
  NoteListedWherePlaced(aShard, *job, *task, run, aRunning.mRun.mRun);
  run.mTargetTailLatency = detail::StepOf(*job, aRunning.mRun.mTask).mTargetTailLatency;
  KeepCheckpoint(*job, aRunning.mRun, aRunning.mCheckpoint);
  if (task->mCrashes > 0 && HasProvenHarmless(run, aNow.mAt)) {
    ClearCrashes(*job, aRunning.mRun.mTask);
    detail::MarkDirty(aShard, *job);
    run.mIsolation = Isolation::None;
    NoteChange(aShard.mPlacement, aExecutor);
    aShard.mNeedsPlacementPass = true;
  }
}

// Takes note of which process has answered. Only its list decides which runs remain, because a run
// may have been started after a restart.
void
ApplyIncarnation(Shard& aShard,
                 Executor& aExecutor,
                 const HeartbeatAnswer& aAnswer,
                 Instant aNow,
                 Actions& aActions)
{
  auto known = aExecutor.mProcess.mIncarnation;
  if (known == aAnswer.mIncarnation) {
    detail::WithdrawCrashes(aShard, aExecutor, aActions);
    return;
  }
  aExecutor.mDoubtfulCrashes.clear();
  if (known != 0) {
    LogEntry entry{ LogLevel::Info, "executor-restarted", {}, aExecutor.mEntry.mId.mValue };
    auto expiresIn = ToMilliseconds(std::max(Duration(0), aExecutor.mAllLeasesExpiredAt - aNow));
    entry.mReason = "process " + std::to_string(aAnswer.mIncarnation) + " has answered after " +
                    std::to_string(known) + "; what was sent before may keep runs there for " +
                    std::to_string(expiresIn.count()) + " ms";
    aActions.emplace_back(std::move(entry));
    aShard.mEndsToRecord.erase(aExecutor.mEntry.mId);
    if (aShard.mWrite) {
      aShard.mWrite->mEnds.erase(aExecutor.mEntry.mId);
    }
  }
  aExecutor.mProcess = {};
  aExecutor.mProcess.mIncarnation = aAnswer.mIncarnation;
  aExecutor.mProcess.mLeasesExpiredAt = aExecutor.mAllLeasesExpiredAt;
  aExecutor.mProcess.mFormerLeasesExpiredAt = aExecutor.mAllLeasesExpiredAt;
}

void
SendHeartbeat(Shard& aShard, Executor& aExecutor, Instant aNow, Actions& aActions)
{
  HeartbeatCall call;
  call.mTo = detail::AddressOf(aShard, aExecutor);
  call.mLastSeen = EndsToAcknowledge(aExecutor, aNow);
  call.mWait = HeartbeatPollTime(aExecutor, aNow);
  if (aExecutor.mUnansweredCalls == 0 && !aExecutor.mIsUnresponsive) {
    // No lease is renewed on an unresponsive executor, so that its runs are certain to end.
    call.mLeaseEnd = LeaseEnd(aExecutor, aShard.mSettings.mLease, aShard.mConfirmedAt, aNow);
    NoteLeaseRequest(
      aExecutor, aShard.mSettings.mLease, { call.mLeaseEnd, LatestArrival(aNow, call.mWait) });
    aExecutor.mRenewedAt = aNow;
  }
  aExecutor.mHeartbeatPending = true;
  aExecutor.mHeartbeatSentAt = aNow;
  aActions.emplace_back(std::move(call));
}

// Returns whether stops remain that were requested and are not sent yet.
bool
SendStops(Shard& aShard, Executor& aExecutor, Instant aNow, Actions& aActions)
{
  bool remains = false;
  for (auto& [name, run] : aExecutor.mRuns) {
    auto isSent = run.mState != RunState::Recording && run.mState != RunState::Starting;
    if (!run.mStopRequested || run.mStopPending || !isSent || aNow < run.mStopRetryAt ||
        !detail::MaySendStop(aShard, aExecutor, name, run, aNow)) {
      remains |= run.mStopRequested && !run.mStopPending;
      continue;
    }
    StopCall call;
    call.mTo = detail::AddressOf(aShard, aExecutor);
    call.mRun = name;
    run.mStopPending = true;
    aActions.emplace_back(std::move(call));
  }
  return remains;
}

// Whether the executor of each attempt of the task has room for all that is placed there. It may
// have shrunk since the placement.
bool
FitsItsExecutors(const Shard& aShard, const Task& aTask)
{
  return !aTask.mAttempts.empty() &&
         std::all_of(aTask.mAttempts.begin(), aTask.mAttempts.end(), [&](const Attempt& aAttempt) {
           const auto& executor = aShard.mExecutors.at(aAttempt.mExecutor);
           return Covers(executor.mEntry.mCapacity, ReservedResources(executor));
         });
}

// The tasks of a gang are started all or none.
bool
FitsItsExecutors(const Shard& aShard, const Job& aJob, const TaskId& aName)
{
  const auto& tasks = aJob.mOccurrences[static_cast<std::size_t>(aName.mOccurrence)]
                        .mSteps[static_cast<std::size_t>(aName.mStep)]
                        .mTasks;
  if (!detail::StepOf(aJob, aName).mGang) {
    return FitsItsExecutors(aShard, tasks[static_cast<std::size_t>(aName.mIndex)]);
  }
  return std::all_of(
    tasks.begin(), tasks.end(), [&](const Task& aTask) { return FitsItsExecutors(aShard, aTask); });
}

bool
IsUnreachable(const Executor& aExecutor)
{
  return aExecutor.mUnansweredCalls > 0 || aExecutor.mEntry.mState == ExecutorState::Gone;
}

// When the executor has to be checked again, if nothing happens to it before.
Instant
NextCheckAt(const Executor& aExecutor, bool aHasStops, Instant aNow)
{
  auto drains = aExecutor.mDrainReason != DrainReason::None ||
                aExecutor.mEntry.mState == ExecutorState::Draining;
  if (aHasStops || drains) {
    return aNow + kSweepInterval;
  }
  auto next = aNow + kMaxCheckInterval;
  if (!aExecutor.mHeartbeatPending && aExecutor.mRetryAt > aNow) {
    next = std::min(next, aExecutor.mRetryAt);
  }
  if (IsUnreachable(aExecutor) && !aExecutor.mRuns.empty()) {
    next = std::min(next, std::max(aNow, aExecutor.mProcess.mLeasesExpiredAt));
  }
  return next;
}

void
AdvanceExecutor(Shard& aShard, Executor& aExecutor, const Now& aNow, Actions& aActions)
{
  if (IsUnreachable(aExecutor)) {
    detail::DropExpiredRuns(aShard, aNow, aExecutor, aActions);
  }
  detail::StopLongRunningTasks(aShard, aExecutor, aNow.mAt);
  if (NeedsHeartbeat(aExecutor, aNow.mAt)) {
    SendHeartbeat(aShard, aExecutor, aNow.mAt, aActions);
  }
  auto hasStops = SendStops(aShard, aExecutor, aNow.mAt, aActions);
  if (aExecutor.mCheckIndex < aShard.mChecks.size()) {
    aShard.mChecks[aExecutor.mCheckIndex].mAt = NextCheckAt(aExecutor, hasStops, aNow.mAt);
  }
}

// Executors that are new are checked at once.
void
AddMissingChecks(Shard& aShard)
{
  if (aShard.mChecks.size() == aShard.mExecutors.size()) {
    return;
  }
  aShard.mChecks.clear();
  for (auto& [id, executor] : aShard.mExecutors) {
    executor.mCheckIndex = aShard.mChecks.size();
    aShard.mChecks.push_back({ &executor, Instant() });
  }
}

}

void
OnHeartbeatAnswer(Shard& aShard, const Now& aNow, const HeartbeatAnswer& aAnswer, Actions& aActions)
{
  auto* executor = FindExecutor(aShard, aAnswer.mCall.mTo);
  if (executor == nullptr) {
    return;
  }
  executor->mHeartbeatPending = false;
  detail::ScheduleCheck(aShard, *executor);
  if (aAnswer.mFenced) {
    detail::LoseOwnership(aShard, "an executor knows a later owner", aActions);
    return;
  }
  if (aAnswer.mIsRelayFailure) {
    // Called anew at once. Whether it is silent only its own answers tell.
    return;
  }
  NoteLeaseOutcome(*executor, aShard.mSettings.mLease, aAnswer.mCall.mLeaseEnd, aNow.mAt);
  auto failure = FailureOf(*executor, aAnswer, aNow.mAt);
  if (failure != HeartbeatFailure::None) {
    LogIfFailureIsNew(*executor, failure, aAnswer, aNow.mAt, aActions);
    RecordUnansweredHeartbeat(*executor, aAnswer, aNow.mAt);
    ++aShard.mAnswerChanges;
    if (!executor->mIsUnresponsive && !executor->mRuns.empty()) {
      aShard.mResponsivenessToRecord.insert(executor->mEntry.mId);
    }
    return;
  }
  if (executor->mIsUnresponsive) {
    aShard.mResponsivenessToRecord.insert(executor->mEntry.mId);
  }
  auto hasBegunToAnswer = !executor->mHasAnsweredHeartbeat || executor->mUnansweredCalls > 0;
  aShard.mNeedsPlacementPass |= hasBegunToAnswer;
  aShard.mAnswerChanges += hasBegunToAnswer ? 1 : 0;
  executor->mUnansweredCalls = 0;
  executor->mFailure = HeartbeatFailure::None;
  NoteAnswered(*executor, aAnswer.mIncarnation, aNow.mAt);
  executor->mHeartbeatAnsweredAt = aNow.mAt - aAnswer.mAge;
  if (!executor->mHasAnsweredHeartbeat) {
    // The former owner is fenced off, and the last lease that it renewed expires by itself.
    executor->mAllLeasesExpiredAt = LatestLeaseExpiry(aShard.mSettings.mLease, aNow.mAt);
  }
  executor->mHasAnsweredHeartbeat = true;
  auto& acknowledged = executor->mProcess.mAcknowledgedEnds;
  acknowledged = std::max(acknowledged, aAnswer.mCall.mLastSeen);
  ApplyIncarnation(aShard, *executor, aAnswer, aNow.mAt, aActions);
  UpdateClock(*executor, aAnswer.mClock, aNow.mAt);
  if (MayHaveRestarted(*executor)) {
    executor->mRetryAt = aNow.mAt + kRestartCheckInterval;
  }
  detail::ApplyEnds(aShard, aNow, *executor, aAnswer, aActions);
  for (const auto& running : aAnswer.mRunning) {
    ApplyRunningTask(aShard, aNow, *executor, running, aActions);
  }
  if (aAnswer.mUnreadable > 0) {
    LogEntry entry{ LogLevel::Warning, "list-unreadable", {}, executor->mEntry.mId.mValue };
    entry.mOutcome = std::to_string(aAnswer.mUnreadable) + " rows left out";
    aActions.emplace_back(std::move(entry));
  }
  // A run that is missing from an incomplete list may still exist.
  if (aAnswer.mEnds.size() < kMaxListedEnds && aAnswer.mUnreadable == 0) {
    detail::DropUnlistedRuns(aShard, aNow, *executor, aAnswer, aActions);
  }
  detail::AdjustThrottle(aShard, *executor, aNow.mAt, aActions);
}

void
OnStartAnswer(Shard& aShard, const Now& aNow, const StartAnswer& aAnswer, Actions& aActions)
{
  auto* executor = FindExecutor(aShard, aAnswer.mCall.mTo);
  if (executor == nullptr) {
    return;
  }
  if (!aAnswer.mIsRelayFailure && aAnswer.mRefusal != StartRefusal::NotReached) {
    NoteLeaseOutcome(*executor, aShard.mSettings.mLease, aAnswer.mCall.mLeaseEnd, aNow.mAt);
  }
  if (aAnswer.mResult == CallResult::Done) {
    detail::RecordBegin(aShard, detail::FindJob(aShard, aAnswer.mCall.mRun.mTask.mJob));
  }
  auto found = executor->mRuns.find(aAnswer.mCall.mRun);
  if (found == executor->mRuns.end()) {
    return;
  }
  auto& run = found->second;
  run.mStateSince = aNow.mAt;
  if (aAnswer.mResult == CallResult::Done) {
    run.mState = RunState::Running;
    NoteBegin(aShard, run, executor->mEntry.mId, aAnswer.mCall.mRun, aNow.mAt);
    if (aAnswer.mClock.count() != 0) {
      run.mClockAtStart = ClockReading{ aAnswer.mClock, aNow.mAt };
    }
    return;
  }
  if (aAnswer.mResult == CallResult::Unanswered) {
    ++aShard.mCounters.mStartsUnanswered;
    run.mState = RunState::Uncertain;
    if (!aAnswer.mIsRelayFailure) {
      executor->mUnansweredCalls = std::max(executor->mUnansweredCalls, 1);
      NoteUnanswered(*executor, aAnswer.mSentAt, 0ms, aNow.mAt);
    }
    detail::LogRun("start-unanswered",
                   aAnswer.mCall.mRun,
                   *executor,
                   DescribeUnanswered(*executor, aAnswer, aNow.mAt),
                   aActions);
    return;
  }
  ++aShard.mCounters.mStartsRefused;
  detail::LogRun(
    "start-refused", aAnswer.mCall.mRun, *executor, DescribeRefusal(aAnswer), aActions);
  if (aAnswer.mRefusal == StartRefusal::Fenced) {
    detail::LoseOwnership(aShard, "an executor knows a later owner", aActions);
    return;
  }
  if (aAnswer.mRefusal == StartRefusal::NotReached) {
    executor->mUnansweredCalls = std::max(executor->mUnansweredCalls, 1);
    NoteUnanswered(*executor, aAnswer.mSentAt, 0ms, aNow.mAt);
    RecordRefusal(*executor, aNow.mAt);
  } else if (aAnswer.mRefusal == StartRefusal::Unhealthy ||
             aAnswer.mRefusal == StartRefusal::InsufficientCapacity) {
    RecordRefusal(*executor, aNow.mAt);
  } else if (aAnswer.mRefusal != StartRefusal::NotSent) {
    // Its clock or its runs differ from what is known here; the next heartbeat answer updates them.
    executor->mUnansweredCalls = std::max(executor->mUnansweredCalls, 1);
  }
  detail::DropRun(aShard, *executor, aAnswer.mCall.mRun);
}

void
OnStopAnswer(Shard& aShard, const Now& aNow, const StopAnswer& aAnswer, Actions& /*aActions*/)
{
  auto* executor = FindExecutor(aShard, aAnswer.mCall.mTo);
  if (executor == nullptr) {
    return;
  }
  auto found = executor->mRuns.find(aAnswer.mCall.mRun);
  if (found == executor->mRuns.end()) {
    return;
  }
  auto& run = found->second;
  run.mStopPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    run.mStopRetryAt = aNow.mAt + kStopRetryDelay;
    return;
  }
  run.mStopRequested = false;
  run.mState = RunState::Stopping;
  run.mStateSince = aNow.mAt;
}

namespace detail {

void
RequestStop(Executor& aExecutor, const TaskRun& aRun)
{
  auto found = aExecutor.mRuns.find(aRun);
  if (found != aExecutor.mRuns.end() && found->second.mState != RunState::Stopping) {
    found->second.mStopRequested = true;
  }
}

void
StopOrDiscard(Shard& aShard, Executor& aExecutor, const TaskRun& aRun)
{
  auto found = aExecutor.mRuns.find(aRun);
  if (found != aExecutor.mRuns.end() && found->second.mState == RunState::Recording) {
    RemoveRun(aShard, aExecutor, aRun);
    return;
  }
  RequestStop(aExecutor, aRun);
}

void
DropRun(Shard& aShard, Executor& aExecutor, const TaskRun& aRun)
{
  RemoveRun(aShard, aExecutor, aRun);
  aShard.mNeedsPlacementPass = true;
  auto* job = FindJob(aShard, aRun.mTask.mJob);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aRun.mTask);
  if (task == nullptr || IsFinal(job->mPhase)) {
    return;
  }
  RemoveAttempt(*task, aExecutor.mEntry.mId, aRun.mRun);
  MarkDirty(aShard, *job);
  if (task->mState == TaskState::Placed && task->mAttempts.empty()) {
    SetTaskState(*job, aRun.mTask, TaskState::Waiting);
  }
}

void
SendStart(Shard& aShard, const Now& aNow, const TaskRun& aRun, Actions& aActions)
{
  auto* job = FindJob(aShard, aRun.mTask.mJob);
  auto* task = job == nullptr ? nullptr : FindTask(*job, aRun.mTask);
  if (task == nullptr || task->mAttempts.empty()) {
    return;
  }
  auto& executor = aShard.mExecutors.at(task->mAttempts.back().mExecutor);
  auto found = executor.mRuns.find(aRun);
  if (found == executor.mRuns.end() || found->second.mState != RunState::Recording) {
    return;
  }
  auto isStillValid =
    !IsFinal(job->mPhase) && !found->second.mStopRequested && MayStartTasks(aShard, aNow.mAt) &&
    aNow.mAt - aShard.mConfirmedAt < kMaxUnconfirmedToStart && IsSchedulable(executor, aNow.mAt) &&
    FitsItsExecutors(aShard, *job, aRun.mTask) &&
    !IsFrozen(aShard.mUsage, job->mDefinition.mTenant);
  if (!isStillValid) {
    DropRun(aShard, executor, aRun);
    return;
  }
  StartCall call;
  call.mTo = AddressOf(aShard, executor);
  call.mRun = aRun;
  call.mSpec = job->mDefinition.mSpec;
  call.mCheckpoint = CheckpointOf(*job, aRun.mTask).mValue;
  call.mLeaseEnd = LeaseEnd(executor, aShard.mSettings.mLease, aShard.mConfirmedAt, aNow.mAt);
  NoteLeaseRequest(
    executor, aShard.mSettings.mLease, { call.mLeaseEnd, LatestArrival(aNow.mAt, 0ms) });
  found->second.mState = RunState::Starting;
  found->second.mEpoch = aShard.mEpoch;
  found->second.mThrottlePercent = kFullSpeed;
  found->second.mStateSince = aNow.mAt;
  ScheduleCheck(aShard, executor);
  ++aShard.mCounters.mStarts;
  aActions.emplace_back(std::move(call));
}

void
ScheduleCheck(Shard& aShard, Executor& aExecutor)
{
  if (!aExecutor.mIsCheckScheduled) {
    aExecutor.mIsCheckScheduled = true;
    aShard.mExecutorsToCheck.push_back(&aExecutor);
  }
}

void
AdvanceExecutors(Shard& aShard, const Now& aNow, Actions& aActions)
{
  if (!MayRenewLeases(aShard, aNow.mAt)) {
    return;
  }
  if (aNow.mAt >= aShard.mNextSweepAt) {
    aShard.mNextSweepAt = aNow.mAt + kSweepInterval;
    AddMissingChecks(aShard);
    for (const auto& check : aShard.mChecks) {
      if (aNow.mAt >= check.mAt) {
        AdvanceExecutor(aShard, *check.mExecutor, aNow, aActions);
      }
    }
  }
  for (auto* executor : std::exchange(aShard.mExecutorsToCheck, {})) {
    executor->mIsCheckScheduled = false;
    AdvanceExecutor(aShard, *executor, aNow, aActions);
  }
}

}

}
