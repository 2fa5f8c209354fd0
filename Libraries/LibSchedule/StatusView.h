#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/JobRecords.h"

#include <map>
#include <optional>
#include <vector>

// What any entry host can tell of the jobs of a partition, read from the log when a caller asks.
// An answer rests on a read that began after the question came.
namespace sesameseam::schedule {

struct ViewedJob
{
  JobPhase mPhase = JobPhase::Pending;
  bool mIsKnown = false;
  bool mIsRecurring = false;
  bool mIsCancelled = false;
};

// How far one stream of the partition has been read.
struct ViewStream
{
  Stream mStream = Stream::Progress;
  std::int64_t mPosition = 0;
  bool mLoaded = false;
  bool mInFlight = false;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
  Instant mRetryAt;
  // When the read was sent after which all that was stored until then is known here.
  Instant mCurrentAsOf;
};

struct StatusQuery
{
  RequestTicket mTicket = 0;
  RequestKind mKind = RequestKind::State;
  JobId mJob;
  QueueName mQueue;
  bool mIsCountQuery = false;
  Instant mReceivedAt;
  Instant mDeadline;
};

struct StatusView
{
  int mPartition = 0;
  std::map<JobId, ViewedJob> mJobs;
  std::map<JobId, QueueName> mPendingJobQueues;
  ViewStream mProgress{ Stream::Progress };
  ViewStream mDefinitions{ Stream::Jobs };
  std::vector<StatusQuery> mQueries;
};

void
AddQuery(StatusView& aView, StatusQuery aQuestion);
void
OnViewRead(StatusView& aView, const Now& aNow, const ReadAnswer& aAnswer);
void
OnViewReadNewest(StatusView& aView, const Now& aNow, const ReadNewestAnswer& aAnswer);

// An answered question, for the part that knows what a caller is told.
struct ViewAnswer
{
  StatusQuery mQuery;
  // Empty where the time ran out before the log answered.
  std::optional<ViewedJob> mJob;
  std::int64_t mCount = 0;
  bool mTimedOut = false;
};

// Sends the reads that are needed, and gives the questions that can be answered.
std::vector<ViewAnswer>
AdvanceView(StatusView& aView, const Now& aNow, Actions& aActions);

}
