#include "LibSchedule/CallerRequests.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace sesameseam::schedule {

namespace {

constexpr std::size_t kJobIdLength = 16;
constexpr std::chrono::seconds kRetryAfter = 1s;
// Applies to requests without a timeout.
constexpr std::chrono::milliseconds kDefaultTimeout = 3s;
// Time reserved for the answer to reach the caller within the caller's timeout.
constexpr std::chrono::milliseconds kAnswerMargin = 150ms;

void
AddReply(Actions& aActions, RequestTicket aTicket, ReplyKind aKind, std::string aReason = {})
{
  Reply reply;
  reply.mTicket = aTicket;
  reply.mKind = aKind;
  reply.mReason = std::move(aReason);
  if (aKind == ReplyKind::Refused) {
    reply.mRetryAfter = kRetryAfter;
  }
  aActions.emplace_back(std::move(reply));
}

void
LogRequest(Actions& aActions, std::string_view aEvent, const std::string& aJob, std::string aReason)
{
  LogEntry entry{ LogLevel::Info, aEvent, aJob };
  entry.mReason = std::move(aReason);
  aActions.emplace_back(std::move(entry));
}

bool
IsJobId(std::string_view aText)
{
  return aText.size() == kJobIdLength &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
           return std::isxdigit(aCharacter) != 0;
         });
}

// Returns the id at the end of a path, if there is one.
std::string
JobIdIn(const std::string& aPath)
{
  if (aPath.size() < kJobIdLength) {
    return {};
  }
  auto id = aPath.substr(aPath.size() - kJobIdLength);
  return IsJobId(id) ? id : std::string();
}

// Refuses a request before its job or question has reached a partition of the log. `sesameseam
// explain` knows a refusal by these events.
void
RefuseEarly(Actions& aActions, const CallerRequest& aRequest, const std::string& aReason)
{
  AddReply(aActions, aRequest.mTicket, ReplyKind::Refused, aReason);
  auto event = aRequest.mKind == RequestKind::Submit ? "job-refused" : "state-unknown";
  LogRequest(aActions, event, JobIdIn(aRequest.mPath), aReason);
}

// A caller that is refused by the manifest may be refused by an old one, so the line says which one
// decided and how current it is.
void
LogUnknownQueue(const Follower& aFollower,
                const Now& aNow,
                const CallerRequest& aRequest,
                Actions& aActions)
{
  constexpr std::size_t kMaxLoggedPath = 100;
  LogEntry entry{ LogLevel::Info, "queue-unknown", JobIdIn(aRequest.mPath) };
  entry.mSubject = aRequest.mHost + aRequest.mPath.substr(0, kMaxLoggedPath);
  entry.mVersion = aFollower.mManifest->mVersion;
  entry.mAge = ManifestAge(aFollower, aNow.mAt);
  if (aFollower.mOperator.mInFlight) {
    auto waiting = ToMilliseconds(aNow.mAt - aFollower.mOperator.mSentAt).count();
    entry.mReason = "the read in flight was sent " + std::to_string(waiting) + " ms ago";
  }
  aActions.emplace_back(std::move(entry));
}

Instant
DeadlineOf(const CallerRequest& aRequest)
{
  auto timeout = aRequest.mTimeout.count() > 0 ? aRequest.mTimeout : kDefaultTimeout;
  return aRequest.mArrivedAt + std::max(timeout - kAnswerMargin, timeout / 2);
}

// Names on whose behalf the caller calls, or refuses the call; it has done nothing then.
std::optional<TenantName>
TenantOf(Node& aNode,
         const Now& aNow,
         const CallerRequest& aRequest,
         const Route& aRoute,
         Actions& aActions)
{
  const auto& follower = aNode.mFollower;
  auto age = ProvenAge(follower, aNow.mAt);
  auto result = Authenticate(
    follower.mKeys, LimitsOf(aNode.mSettings.mFollower), age, aRoute, aRequest.mCredential);
  if (result.mVerdict == Verdict::Granted) {
    return std::move(result.mTenant);
  }
  auto isUnknown = result.mVerdict == Verdict::Unknown;
  ++(isUnknown ? aNode.mCounters.mUnauthorized : aNode.mCounters.mUndecidedKeys);
  LogEntry entry{ LogLevel::Info,
                  isUnknown ? "call-unauthorized" : "call-undecided",
                  JobIdIn(aRequest.mPath) };
  entry.mSubject = aRoute.mQueue.mValue;
  entry.mTenant = result.mTenant.mValue;
  entry.mReason = result.mReason;
  entry.mVersion = follower.mManifest->mVersion;
  if (age) {
    entry.mAge = ToMilliseconds(*age);
  }
  aActions.emplace_back(std::move(entry));
  auto kind = isUnknown ? ReplyKind::Unauthorized : ReplyKind::Refused;
  AddReply(aActions, aRequest.mTicket, kind, std::move(result.mReason));
  return std::nullopt;
}

void
Submit(Node& aNode,
       const Now& aNow,
       const CallerRequest& aRequest,
       const Route& aRoute,
       const TenantName& aTenant,
       const JobId& aId,
       Actions& aActions)
{
  if (!aRequest.mJob) {
    ++aNode.mCounters.mBadRequests;
    LogRequest(aActions, "request-bad", aId.mValue, aRequest.mProblem);
    AddReply(aActions, aRequest.mTicket, ReplyKind::BadRequest, aRequest.mProblem);
    return;
  }
  auto job = *aRequest.mJob;
  auto problem = ValidationError(job);
  if (!problem.empty()) {
    ++aNode.mCounters.mBadRequests;
    LogRequest(aActions, "request-bad", aId.mValue, problem);
    auto isTooLarge = job.mSpec.size() > kMaxSpecBytes;
    auto kind = isTooLarge ? ReplyKind::TooLarge : ReplyKind::BadRequest;
    AddReply(aActions, aRequest.mTicket, kind, problem);
    return;
  }
  auto home = HomeForSubmission(aNode.mQueues, aRoute);
  if (!home) {
    auto deadline = std::min(DeadlineOf(aRequest), aRequest.mArrivedAt + kMaxUnsentAge);
    aNode.mQueues.mWaiting.push_back({ aRequest, deadline });
    return;
  }
  ApplyRoute(job, aRoute);
  if (*home != aRoute.mService) {
    job.mHome = *home;
  }
  job.mTenant = aTenant;
  job.mAcceptedAt = aNow.mWall;
  WaitingCaller caller;
  caller.mTicket = aRequest.mTicket;
  caller.mJob = aId;
  caller.mTenant = aTenant;
  caller.mArrivedAt = aRequest.mArrivedAt;
  caller.mDeadline = DeadlineOf(aRequest);
  EnqueueRecord(aNode.mIntake,
                PartitionOf(*home, aNode.mSettings.mPartitions),
                { aId.mValue, EncodeJob(job) },
                caller);
}

void
QueryView(Node& aNode,
          const CallerRequest& aRequest,
          const Route& aRoute,
          const TenantName& aTenant,
          const JobId& aId)
{
  auto home = HomeForQuery(aNode.mQueues, aRoute, aRequest.mArrivedAt);
  if (!home) {
    aNode.mQueues.mWaiting.push_back({ aRequest, DeadlineOf(aRequest) });
    return;
  }
  StatusQuery query;
  query.mTicket = aRequest.mTicket;
  query.mKind = aRequest.mKind;
  query.mJob = aId;
  query.mQueue = aRoute.mQueue;
  if (aNode.mFollower.mKeys.mIsRequired) {
    query.mTenantHash = TenantHashOf(aTenant);
  }
  query.mIsCountQuery = aId.IsEmpty();
  query.mReceivedAt = aRequest.mArrivedAt;
  query.mDeadline = DeadlineOf(aRequest);
  AddQuery(ViewOf(aNode, PartitionOf(*home, aNode.mSettings.mPartitions)), query);
}

// Asks the shard of another service. What was handed over to it was stored there before the first
// shard has published so, but maybe after the query arrived.
void
AskOtherShard(Node& aNode, const Now& aNow, const ServiceName& aService, StatusQuery aQuery)
{
  aQuery.mReceivedAt = aNow.mAt;
  aQuery.mIsHandedOver = true;
  auto partition = PartitionOf(aService, aNode.mSettings.mPartitions);
  AddQuery(ViewOf(aNode, partition), std::move(aQuery));
}

// Returns whether another shard has to be asked before the query can be answered.
bool
AskFurther(Node& aNode, const Now& aNow, const ViewAnswer& aAnswer)
{
  auto query = aAnswer.mQuery;
  if (!query.mIsCountQuery) {
    if (aAnswer.mRunBy.IsEmpty()) {
      return false;
    }
    AskOtherShard(aNode, aNow, aAnswer.mRunBy, query);
    return true;
  }
  query.mCounted += aAnswer.mCount;
  if (!query.mIsHandedOver) {
    query.mToAsk = aAnswer.mOthers;
  }
  if (query.mToAsk.empty()) {
    return false;
  }
  auto service = query.mToAsk.back();
  query.mToAsk.pop_back();
  AskOtherShard(aNode, aNow, service, query);
  return true;
}

void
CancelJob(Node& aNode, const Now& aNow, int aPartition, const StatusQuery& aQuery)
{
  WaitingCaller caller;
  caller.mTicket = aQuery.mTicket;
  caller.mReplyOnStored = ReplyKind::Cancelled;
  caller.mJob = aQuery.mJob;
  caller.mArrivedAt = aNow.mAt;
  caller.mDeadline = aQuery.mDeadline;
  EnqueueRecord(aNode.mIntake,
                aPartition,
                { CancellationKey(aQuery.mJob), EncodeCancellation(aNow.mWall) },
                caller);
}

// A job without a tenant may have been stored by a version that had none, so that all may ask.
bool
IsForeign(const ViewAnswer& aAnswer)
{
  const auto& caller = aAnswer.mQuery.mTenantHash;
  return caller && aAnswer.mPhase && aAnswer.mTenantHash != 0 && aAnswer.mTenantHash != *caller;
}

void
AnswerQuery(Node& aNode,
            const Now& aNow,
            int aPartition,
            const ViewAnswer& aAnswer,
            Actions& aActions)
{
  const auto& query = aAnswer.mQuery;
  if (aAnswer.mTimedOut) {
    AddReply(aActions, query.mTicket, ReplyKind::Refused, "the log does not answer");
    LogRequest(aActions, "state-unknown", query.mJob.mValue, "the log does not answer");
    return;
  }
  if (!IsForeign(aAnswer) && AskFurther(aNode, aNow, aAnswer)) {
    return;
  }
  if (query.mIsCountQuery) {
    Reply reply;
    reply.mTicket = query.mTicket;
    reply.mKind = ReplyKind::Count;
    reply.mCount = query.mCounted + aAnswer.mCount;
    aActions.emplace_back(std::move(reply));
    return;
  }
  if (IsForeign(aAnswer)) {
    ++aNode.mCounters.mForeignJobs;
    AddReply(aActions, query.mTicket, ReplyKind::Gone);
    LogRequest(aActions, "job-not-known", query.mJob.mValue, "it is another tenant's");
    return;
  }
  if (!aAnswer.mPhase) {
    AddReply(aActions, query.mTicket, ReplyKind::Gone);
    LogRequest(aActions, "job-not-known", query.mJob.mValue, "neither stream has it");
    return;
  }
  if (query.mKind == RequestKind::Cancel) {
    if (IsFinal(*aAnswer.mPhase)) {
      AddReply(aActions, query.mTicket, ReplyKind::Cancelled);
    } else {
      CancelJob(aNode, aNow, aPartition, query);
    }
    return;
  }
  Reply reply;
  reply.mTicket = query.mTicket;
  reply.mKind = ReplyKind::State;
  reply.mPhase = *aAnswer.mPhase;
  aActions.emplace_back(std::move(reply));
}

}

void
OnCallerRequest(Node& aNode, const Now& aNow, CallerRequest aRequest, Actions& aActions)
{
  if (aRequest.mArrivedAt == Instant()) {
    aRequest.mArrivedAt = aNow.mAt;
    ++aNode.mCounters.mRequests;
  }
  const auto& manifest = aNode.mFollower.mManifest;
  if (!manifest) {
    RefuseEarly(aActions, aRequest, "no manifest is known yet");
    return;
  }
  const auto* route = FindRoute(*manifest, aRequest.mHost, aRequest.mPath);
  if (route == nullptr) {
    ++aNode.mCounters.mUnknownQueues;
    LogUnknownQueue(aNode.mFollower, aNow, aRequest, aActions);
    AddReply(aActions, aRequest.mTicket, ReplyKind::NoQueue);
    return;
  }
  // Queues are no secret, so that a caller is told that there is none whatever key it shows.
  auto tenant = TenantOf(aNode, aNow, aRequest, *route, aActions);
  if (!tenant) {
    return;
  }
  auto name = aRequest.mPath.substr(route->mPrefix.size());
  auto isCountQuery = name.empty() && aRequest.mKind == RequestKind::State;
  if (!isCountQuery && !IsJobId(name)) {
    ++aNode.mCounters.mBadRequests;
    AddReply(aActions, aRequest.mTicket, ReplyKind::BadRequest, "the id is not 16 hex digits");
    return;
  }
  JobId id(name);
  if (aRequest.mKind == RequestKind::Submit) {
    Submit(aNode, aNow, aRequest, *route, *tenant, id, aActions);
    return;
  }
  // The jobs of a public queue may be older than the manifest that made it public.
  const auto& credential = aRequest.mCredential;
  if (route->mIsPublic && credential.mKind == CredentialKind::Bearer) {
    const auto* known = FindTenant(aNode.mFollower.mKeys, credential.mKey);
    tenant = known == nullptr ? TenantName() : *known;
  }
  QueryView(aNode, aRequest, *route, *tenant, id);
}

void
ResumeWaitingRequests(Node& aNode, const Now& aNow, Actions& aActions)
{
  std::erase_if(aNode.mQueues.mWaiting, [&](const WaitingRequest& aWaiting) {
    if (aNow.mAt < aWaiting.mDeadline) {
      return false;
    }
    RefuseEarly(aActions,
                aWaiting.mRequest,
                "where jobs of its queue are stored is not known: the log does not answer");
    return true;
  });
  if (!std::exchange(aNode.mQueues.mHasNews, false)) {
    return;
  }
  for (auto& waiting : std::exchange(aNode.mQueues.mWaiting, {})) {
    OnCallerRequest(aNode, aNow, std::move(waiting.mRequest), aActions);
  }
}

StatusView&
ViewOf(Node& aNode, int aPartition)
{
  auto& view = aNode.mViews[aPartition];
  view.mPartition = aPartition;
  return view;
}

void
AnswerQueries(Node& aNode, const Now& aNow, Actions& aActions)
{
  // A query may have to be passed on to a view that was not there before.
  std::vector<int> partitions;
  for (const auto& [partition, view] : aNode.mViews) {
    partitions.push_back(partition);
  }
  for (auto partition : partitions) {
    for (const auto& answer : AdvanceView(ViewOf(aNode, partition), aNow, aActions)) {
      AnswerQuery(aNode, aNow, partition, answer, aActions);
    }
  }
}

}
