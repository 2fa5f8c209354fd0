#include "LibDaemon/JobApi.h"

#include <algorithm>

namespace sesameseam {

namespace {

constexpr Duration kAcceptTimeout = 5s;
constexpr Duration kMaxJobDeadline = std::chrono::hours(24 * 14);
constexpr Duration kRetryAfter = 1s;
constexpr double kMaxSlots = 1024.0;
constexpr std::size_t kMaxNameBytes = 200;

// The body of POST /job.
struct JobSubmission
{
  JobId mId;
  PoolName mPool;
  TeamName mTeam;
  std::string mKind;
  double mSlots = 1.0;
  Duration mDeadline = Duration::zero();
  std::string mBody;
};

template<typename V>
void
VisitFields(V& aVisit, JobSubmission& aSubmission)
{
  aVisit("id", aSubmission.mId, Presence::Required);
  aVisit("pool", aSubmission.mPool, Presence::Required);
  aVisit("team", aSubmission.mTeam);
  aVisit("kind", aSubmission.mKind);
  aVisit("slots", aSubmission.mSlots);
  aVisit("deadline", aSubmission.mDeadline, Presence::Required);
  aVisit("body", aSubmission.mBody);
}

struct JobError
{
  std::string mError;
  std::string mReason;
  // "unknown" if the job may still be accepted. Submitting the same id again is idempotent.
  std::string mOutcome = "not-run";
};

template<typename V>
void
VisitFields(V& aVisit, JobError& aError)
{
  aVisit("error", aError.mError);
  aVisit("reason", aError.mReason);
  aVisit("outcome", aError.mOutcome);
}

HttpReply
ErrorReply(int aStatus, const absl::Status& aError, const std::string& aOutcome = "not-run")
{
  JobError error{ std::string(NameOf(KindOf(aError))), std::string(aError.message()), aOutcome };
  auto reply = JsonReply(aStatus, ToJson(error));
  reply.mHeaders.push_back({ "X-Outcome", aOutcome });
  return reply;
}

HttpReply
WithRetryAfter(HttpReply aReply)
{
  auto seconds = std::chrono::ceil<std::chrono::seconds>(kRetryAfter).count();
  aReply.mHeaders.push_back({ "Retry-After", std::to_string(seconds) });
  return aReply;
}

bool
IsValidName(const std::string& aText, bool aRequired)
{
  bool printable =
    std::all_of(aText.begin(), aText.end(), [](char aByte) { return aByte > ' ' && aByte < 0x7f; });
  return printable && aText.size() <= kMaxNameBytes && (!aRequired || !aText.empty());
}

absl::Status
ValidateSubmission(const JobSubmission& aSubmission)
{
  if (!IsValidName(aSubmission.mId.mValue, true) || !IsValidName(aSubmission.mPool.mValue, true) ||
      !IsValidName(aSubmission.mTeam.mValue, false) || !IsValidName(aSubmission.mKind, false)) {
    return MakeError(ErrorKind::BadField,
                     "names must be at most 200 printable characters without spaces");
  }
  if (!(aSubmission.mSlots > 0.0) || aSubmission.mSlots > kMaxSlots) {
    return MakeError(ErrorKind::BadField, "slots must be above 0 and at most 1024");
  }
  if (aSubmission.mDeadline <= Duration::zero() || aSubmission.mDeadline > kMaxJobDeadline) {
    return MakeError(ErrorKind::BadField, "deadline must be above 0s and at most 336h");
  }
  return absl::OkStatus();
}

std::optional<JobState>
FindJob(Daemon& aDaemon, const JobId& aId)
{
  return aDaemon.ReadControl([&](const auto& aControl) -> std::optional<JobState> {
    const auto& jobs = aControl.mFleet.mJobs.mJobs;
    auto found = jobs.find(aId);
    return found == jobs.end() ? std::nullopt : std::optional<JobState>(found->second);
  });
}

JobAccepted
MakeJobAccepted(const JobSubmission& aSubmission, TimePoint aNow)
{
  JobAccepted accepted;
  accepted.mJob = aSubmission.mId;
  accepted.mPool = aSubmission.mPool;
  accepted.mTeam = aSubmission.mTeam;
  accepted.mKind = aSubmission.mKind;
  accepted.mSlots = aSubmission.mSlots;
  accepted.mDeadline = aNow + aSubmission.mDeadline;
  accepted.mBody = aSubmission.mBody;
  return accepted;
}

HttpReply
SubmitJob(Daemon& aDaemon, const HttpRequest& aMessage)
{
  auto submission = FromJson<JobSubmission>(aMessage.mBody);
  if (!submission.ok()) {
    return ErrorReply(400, submission.status());
  }
  auto checked = ValidateSubmission(*submission);
  if (!checked.ok()) {
    return ErrorReply(400, checked);
  }
  auto known = FindJob(aDaemon, submission->mId);
  if (known) {
    return JsonReply(200, ToJson(*known));
  }
  Record record;
  record.mId = RecordId(aDaemon.NewId());
  record.mTime = aDaemon.Now();
  record.mAuthor = "caller " + submission->mTeam.mValue;
  record.mChange = MakeJobAccepted(*submission, aDaemon.Now());
  auto decision = aDaemon.ChangeConfiguration(std::move(record), kAcceptTimeout);
  if (!decision.ok()) {
    return WithRetryAfter(ErrorReply(504, decision.status(), "unknown"));
  }
  auto accepted = FindJob(aDaemon, submission->mId);
  if (!accepted) {
    return ErrorReply(404, MakeError(ErrorKind::UnknownPool, decision->mReason));
  }
  return JsonReply(decision->mAccepted ? 201 : 200, ToJson(*accepted));
}

}

HttpReply
ServeJob(Daemon& aDaemon, const HttpRequest& aMessage)
{
  if (aMessage.mMethod == "POST") {
    return SubmitJob(aDaemon, aMessage);
  }
  auto id = ParameterOf(aMessage, "id");
  auto job = FindJob(aDaemon, JobId(id));
  if (!job) {
    return ErrorReply(404, MakeError(ErrorKind::UnknownJob, "no job '" + id + "'"));
  }
  return JsonReply(200, ToJson(*job));
}

}
