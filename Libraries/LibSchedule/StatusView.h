#pragma once

#include "LibSchedule/Calls.h"
#include "LibSchedule/JobRecords.h"

#include <map>
#include <optional>
#include <vector>

// The state of a partition's jobs as seen by any entry host, read from the log when a caller asks.
// States come from the compact stream that the owner of the shard publishes. A job that the owner
// has not published yet is looked up in the part of the jobs stream that the published states do
// not cover. A query is answered from a read that was sent after the query arrived, except for
// final phases, which do not change.
namespace sesameseam::schedule {

// The read position in one stream of the partition.
struct ViewStream
{
  Stream mStream = Stream::JobStates;
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
  // Whose jobs the caller may ask for; empty if calls need no key.
  std::optional<TenantHash> mTenantHash;
  bool mIsCountQuery = false;
  // What was counted in other partitions, and the services whose partitions are still to be asked.
  std::int64_t mCounted = 0;
  std::vector<ServiceName> mToAsk;
  // The state is looked up where the job was handed over to.
  bool mIsHandedOver = false;
  Instant mReceivedAt;
  Instant mDeadline;
};

// A job of the jobs stream that the published states do not cover.
struct UncoveredJob
{
  std::int64_t mOffset = 0;
  // The queue in which it counts as pending; empty for a recurring job.
  QueueName mQueue;
  TenantHash mTenantHash = 0;
};

struct StatusView
{
  int mPartition = 0;
  std::map<JobId, JobState> mJobs;
  // The number of jobs in mJobs that count as pending in each queue.
  std::map<QueueName, std::int64_t> mPendingCounts;
  // The number of jobs in mJobs that each service has been given from the queue.
  std::map<QueueName, std::map<ServiceName, std::int64_t>> mHandedOver;
  // Jobs at offsets of the jobs stream from here on may be missing from mJobs.
  std::int64_t mCoveredJobsEnd = 0;
  std::map<JobId, UncoveredJob> mUncoveredJobs;
  ViewStream mStates{ Stream::JobStates };
  // Follows the jobs stream from mCoveredJobsEnd on; it needs no load unless history is gone.
  ViewStream mUncovered{ .mStream = Stream::Jobs, .mLoaded = true };
  // The position at which the jobs stream was last found to be trimmed, or -1.
  std::int64_t mTrimmedAt = -1;
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
  std::optional<JobPhase> mPhase;
  // Whose job it is.
  TenantHash mTenantHash = 0;
  std::int64_t mCount = 0;
  // The service that the job was handed over to; empty if it lies here.
  ServiceName mRunBy;
  // Services that have been given jobs of the queue that is counted.
  std::vector<ServiceName> mOthers;
  bool mTimedOut = false;
};

// Sends the reads that are needed, and returns the results of the queries that are complete.
std::vector<ViewAnswer>
AdvanceView(StatusView& aView, const Now& aNow, Actions& aActions);

}
