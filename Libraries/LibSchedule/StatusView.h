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
  bool mIsTimed = false;
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
  Instant mCompleteAt;
};

struct Question
{
  RequestTicket mTicket = 0;
  RequestKind mKind = RequestKind::State;
  JobId mJob;
  QueueName mQueue;
  bool mAsksCount = false;
  Instant mAskedAt;
  Instant mDeadline;
};

struct StatusView
{
  int mPartition = 0;
  std::map<JobId, ViewedJob> mJobs;
  std::map<JobId, QueueName> mQueueOfPending;
  ViewStream mProgress{ Stream::Progress };
  ViewStream mDefinitions{ Stream::Jobs };
  std::vector<Question> mQuestions;
};

void
Ask(StatusView& aView, Question aQuestion);
void
OnViewRead(StatusView& aView, const Now& aNow, const ReadAnswer& aAnswer);
void
OnViewNewest(StatusView& aView, const Now& aNow, const NewestAnswer& aAnswer);

// An answered question, for the part that knows what a caller is told.
struct ViewAnswer
{
  Question mQuestion;
  // Empty where the time ran out before the log answered.
  std::optional<ViewedJob> mJob;
  std::int64_t mCount = 0;
  bool mTimedOut = false;
};

// Sends the reads that are needed, and gives the questions that can be answered.
std::vector<ViewAnswer>
AdvanceView(StatusView& aView, const Now& aNow, Actions& aActions);

}
