#include "LibSchedule/StatePublisher.h"

#include <utility>

namespace sesameseam::schedule {

namespace {

constexpr Duration kRetryDelay = 100ms;
// States that change within this time share an append. Callers see a state this much later.
constexpr Duration kMinInterval = 25ms;
// While only the coverage changes, it is published at this interval: entry hosts read the jobs
// stream beyond it to answer for unknown jobs.
constexpr Duration kCoverageInterval = 1s;
// Keeps an append well below the maximum request size of the store.
constexpr std::size_t kMaxStatesPerAppend = 10'000;

bool
IsCovered(const StateCoverage& aCoverage, const LoadedState& aState)
{
  auto end = aState.mSource == StateSource::Jobs ? aCoverage.mJobsEnd : aCoverage.mProgressEnd;
  return aState.mOffset < end;
}

AppendCall
MakeAppend(const StatePublisher& aPublisher)
{
  AppendCall call;
  call.mStream = Stream::JobStates;
  call.mPartition = aPublisher.mPartition;
  call.mTicket = aPublisher.mEpoch;
  call.mFence = AppendFence{ aPublisher.mEpoch, aPublisher.mSequence };
  return call;
}

// The coverage comes last, so that a reader that receives an append in parts has all states of it
// before the coverage.
AppendCall
TakeStates(StatePublisher& aPublisher)
{
  auto call = MakeAppend(aPublisher);
  while (!aPublisher.mUnpublished.empty() && call.mRecords.size() < kMaxStatesPerAppend) {
    auto first = aPublisher.mUnpublished.begin();
    auto value = first->second ? EncodeJobState(*first->second) : std::string();
    call.mRecords.push_back({ first->first.mValue, std::move(value) });
    aPublisher.mUnpublished.erase(first);
  }
  if (aPublisher.mUnpublished.empty()) {
    call.mRecords.push_back(
      { std::string(kStateCoverageKey), EncodeStateCoverage(aPublisher.mCoverage) });
    aPublisher.mPublishedCoverage = aPublisher.mCoverage;
  }
  return call;
}

void
SendCoverageRead(StatePublisher& aPublisher, Actions& aActions)
{
  ReadNewestCall call;
  call.mStream = Stream::JobStates;
  call.mPartition = aPublisher.mPartition;
  call.mReader = Reader::Owner;
  call.mTicket = aPublisher.mEpoch;
  aPublisher.mCallPending = true;
  aActions.emplace_back(std::move(call));
}

bool
IsPublicationDue(const StatePublisher& aPublisher, Instant aNow)
{
  if (!aPublisher.mUnpublished.empty()) {
    return true;
  }
  return aPublisher.mCoverage != aPublisher.mPublishedCoverage &&
         aNow >= aPublisher.mNextAt - kMinInterval + kCoverageInterval;
}

}

void
AddLoadedState(StatePublisher& aPublisher, LoadedState aState)
{
  if (aPublisher.mPhase != PublisherPhase::Publishing) {
    aPublisher.mLoaded.push_back(std::move(aState));
  } else if (!IsCovered(aPublisher.mPublishedCoverage, aState)) {
    aPublisher.mUnpublished[aState.mJob] = std::move(aState.mState);
  }
}

void
AddState(StatePublisher& aPublisher, const JobId& aJob, std::optional<JobState> aState)
{
  aPublisher.mUnpublished[aJob] = std::move(aState);
}

PublishOutcome
OnPublishAnswer(StatePublisher& aPublisher, const Now& aNow, const AppendAnswer& aAnswer)
{
  if (aAnswer.mCall.mTicket != aPublisher.mEpoch) {
    return PublishOutcome::Continue;
  }
  aPublisher.mCallPending = false;
  if (aAnswer.mRefusal == AppendRefusal::Fenced) {
    return PublishOutcome::Fenced;
  }
  if (aAnswer.mRefusal == AppendRefusal::Sequence) {
    // The store returns the number that it expects: this append was not stored under any other.
    aPublisher.mSequence = aAnswer.mExpectedSequence;
    return PublishOutcome::Continue;
  }
  if (aAnswer.mResult != CallResult::Done) {
    aPublisher.mNextAt = aNow.mAt + kRetryDelay;
    return PublishOutcome::Continue;
  }
  if (aPublisher.mPhase == PublisherPhase::Fencing) {
    aPublisher.mPhase = PublisherPhase::LoadingCoverage;
    return PublishOutcome::Continue;
  }
  aPublisher.mAppend.reset();
  ++aPublisher.mSequence;
  aPublisher.mNextAt = aNow.mAt + kMinInterval;
  return PublishOutcome::Continue;
}

void
OnCoverageAnswer(StatePublisher& aPublisher,
                 const Now& aNow,
                 const ReadNewestAnswer& aAnswer,
                 Actions& aActions)
{
  if (aAnswer.mCall.mTicket != aPublisher.mEpoch) {
    return;
  }
  aPublisher.mCallPending = false;
  if (aAnswer.mResult != CallResult::Done) {
    aPublisher.mNextAt = aNow.mAt + kRetryDelay;
    return;
  }
  // Without a readable record, all states are published again, which does no harm.
  StateCoverage published;
  for (const auto& record : aAnswer.mRecords) {
    if (record.mKey != kStateCoverageKey) {
      continue;
    }
    auto coverage = DecodeStateCoverage(record.mValue);
    if (coverage.ok()) {
      published = *coverage;
      continue;
    }
    LogEntry entry{ LogLevel::Warning, "record-unreadable", {}, record.mKey };
    entry.mOutcome = "all job states are published again";
    entry.mReason = std::string(coverage.status().message());
    entry.mVersion = record.mOffset;
    aActions.emplace_back(std::move(entry));
  }
  aPublisher.mPublishedCoverage = published;
  aPublisher.mPhase = PublisherPhase::Publishing;
  for (auto& state : std::exchange(aPublisher.mLoaded, {})) {
    if (!IsCovered(published, state)) {
      // A state that was added since is newer.
      aPublisher.mUnpublished.try_emplace(state.mJob, std::move(state.mState));
    }
  }
}

void
AdvancePublisher(StatePublisher& aPublisher,
                 const Now& aNow,
                 const StateCoverage& aCoverage,
                 Actions& aActions)
{
  aPublisher.mCoverage = aCoverage;
  if (aPublisher.mCallPending || aNow.mAt < aPublisher.mNextAt) {
    return;
  }
  if (aPublisher.mPhase == PublisherPhase::Fencing) {
    aPublisher.mCallPending = true;
    aActions.emplace_back(MakeAppend(aPublisher));
    return;
  }
  if (aPublisher.mPhase == PublisherPhase::LoadingCoverage) {
    SendCoverageRead(aPublisher, aActions);
    return;
  }
  if (!aPublisher.mAppend) {
    if (!IsPublicationDue(aPublisher, aNow.mAt)) {
      return;
    }
    aPublisher.mAppend = TakeStates(aPublisher);
  }
  aPublisher.mCallPending = true;
  aPublisher.mAppend->mFence = AppendFence{ aPublisher.mEpoch, aPublisher.mSequence };
  aActions.emplace_back(*aPublisher.mAppend);
}

}
