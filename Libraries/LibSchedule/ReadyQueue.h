#pragma once

#include "LibSchedule/QueueOrder.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

// The ready steps of a shard's jobs in their order, kept up to date as jobs change, so that a
// placement pass neither collects nor sorts them anew.
namespace sesameseam::schedule {

// Holds pointers into the jobs, and must not be copied.
struct ReadyQueue
{
  ReadyQueue() = default;
  ReadyQueue(const ReadyQueue&) = delete;
  ReadyQueue(ReadyQueue&&) = default;
  ReadyQueue& operator=(const ReadyQueue&) = delete;
  ReadyQueue& operator=(ReadyQueue&&) = default;
  ~ReadyQueue() = default;

  // Members of Job::mReadySteps.
  std::set<const ReadyStep*, GoesFirst> mOrder;
  // Jobs with occurrences to come, by when the next one is due.
  std::set<std::pair<TimePoint, Job*>> mDue;
  // Numbers the pools of the jobs.
  std::map<ServiceName, std::size_t> mPools;
  // What ReadySteps() returned last, and working memory.
  std::vector<ReadyStep> mSteps;
  std::vector<ReadyStep> mLateSteps;
  std::vector<ReadyStep> mCollected;
};

// Takes over what has changed of a job.
void
UpdateJob(ReadyQueue& aQueue, Job& aJob, TimePoint aWall);

void
RemoveJob(ReadyQueue& aQueue, Job& aJob);

// Takes over the steps of jobs whose next occurrence has become due.
void
UpdateDueJobs(ReadyQueue& aQueue, TimePoint aWall);

// All ready steps in the order of SortReadySteps(), none of them yielding. Valid until the next
// call.
std::vector<ReadyStep>&
ReadySteps(ReadyQueue& aQueue, TimePoint aWall);

}
