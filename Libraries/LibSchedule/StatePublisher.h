#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/JobRecords.h"

#include <map>
#include <optional>
#include <vector>

// Publishes the states of a shard's jobs for callers. The progress stream holds every placement of
// every task, and only the owner reads it. What callers ask for is a few bytes a job, in a stream
// of its own that every entry host can afford to read. A state is published only once it is a fact:
// a new job and an ended one are stored in the stream that they come from, and a job that runs has
// a task that an executor has begun. States are fenced like progress.
namespace sesameseam::schedule {

enum class PublisherPhase
{
  // Fences the former owner off from the stream.
  Fencing,
  // Reads how much the former owner has published.
  LoadingCoverage,
  Publishing,
};

// The stream that a state was read from when the shard was taken over.
enum class StateSource
{
  Jobs,
  Progress,
};

struct LoadedState
{
  JobId mJob;
  JobState mState;
  StateSource mSource = StateSource::Jobs;
  std::int64_t mOffset = 0;
};

struct StatePublisher
{
  int mPartition = 0;
  // The fencing token of the shard's owner.
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
  PublisherPhase mPhase = PublisherPhase::Fencing;
  // States that were loaded before the coverage was known.
  std::vector<LoadedState> mLoaded;
  // States to publish: the newest of each job. An empty value removes the job.
  std::map<JobId, std::optional<JobState>> mUnpublished;
  // What is covered once all of mUnpublished is published.
  StateCoverage mCoverage;
  StateCoverage mPublishedCoverage;
  // The append that is in flight or waits to be sent again.
  std::optional<AppendCall> mAppend;
  bool mCallPending = false;
  Instant mNextAt;
};

// Adds a state that was read while the shard was being taken over. It is published only if the
// former owner has not done so.
void
AddLoadedState(StatePublisher& aPublisher, LoadedState aState);

// Adds a state that is a fact from now on.
void
AddState(StatePublisher& aPublisher, const JobId& aJob, std::optional<JobState> aState);

enum class PublishOutcome
{
  Continue,
  // A later owner has fenced the stream.
  Fenced,
};

PublishOutcome
OnPublishAnswer(StatePublisher& aPublisher, const Now& aNow, const AppendAnswer& aAnswer);

void
OnCoverageAnswer(StatePublisher& aPublisher,
                 const Now& aNow,
                 const ReadNewestAnswer& aAnswer,
                 Actions& aActions);

// Sends the call that is due. The shard's owner has read the jobs stream up to aCoverage.mJobsEnd,
// and has added all states of the progress stream up to aCoverage.mProgressEnd.
void
AdvancePublisher(StatePublisher& aPublisher,
                 const Now& aNow,
                 const StateCoverage& aCoverage,
                 Actions& aActions);

}
