#pragma once

#include "LibSchedule/Model.h"

namespace sesameseam::schedule {

struct Job;

// A step with waiting tasks that may start, and what its place in the queue depends on.
struct ReadyStep
{
  Job* mJob = nullptr;
  int mOccurrence = 0;
  int mStep = 0;
  // By the estimates, the job can no longer meet its completion objective.
  bool mIsLate = false;
  // The job could be in time, but there is not room for all, and it yields to others.
  bool mYields = false;
  bool mIsLongRunning = false;
  bool mIsGang = false;
  // Executors have crashed under some of its tasks.
  bool mHasSuspects = false;
  int mPriority = 0;
  std::int64_t mWork = 0;
  TimePoint mLatestStart;
  // What one of its tasks needs.
  Resources mNeeds;
  // The number of its job's pool in the ready queue.
  std::size_t mPool = 0;
};

}
