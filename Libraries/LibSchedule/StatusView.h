#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/JobRecords.h"

#include <map>
#include <optional>
#include <vector>

// The state of a partition's jobs as seen by any entry host, read from the log when a caller asks.
// A query is answered from a read that was sent after the query arrived, except for final phases,
// which do not change.
namespace sesameseam::schedule {

struct ViewedJob
{
  JobPhase mPhase = JobPhase::Pending;
  bool mIsKnown = false;
  bool mIsRecurring = false;
  bool mIsCancelled = false;
};

// The read position in one stream of the partition.
struct ViewStream
{
  Stream mStream = Stream::Progress;
  std::int64_t mPosition = 0;
  bool mLoaded = false;
  bool mInFlight = false;
  std::string mPageKey;
  std::int64_t mPagedEnd = -1;
  Instant mRetryAt;
  // The view contains everything that was stored before this time, at which the last read that
  // reached the end of the partition was sent.
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
AddQuery(StatusView& aView, StatusQuery aQuery);
void
OnViewRead(StatusView& aView, const Now& aNow, const ReadAnswer& aAnswer);
void
OnViewReadNewest(StatusView& aView, const Now& aNow, const ReadNewestAnswer& aAnswer);

// The result of a query, from which the reply to the caller is made.
struct ViewAnswer
{
  StatusQuery mQuery;
  // Empty if the job is unknown, or if the deadline passed before the log answered.
  std::optional<ViewedJob> mJob;
  std::int64_t mCount = 0;
  bool mTimedOut = false;
};

// Sends the reads that are needed, and returns the results of the queries that are complete.
std::vector<ViewAnswer>
AdvanceView(StatusView& aView, const Now& aNow, Actions& aActions);

}
