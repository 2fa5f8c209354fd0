#include "LibExplain/Explain.h"

#include "LibBase/Json.h"

#include <algorithm>
#include <set>

namespace sesameseam::explain {

namespace {

using Lines = std::vector<LogLine>;

// Failures of other jobs on an executor count if they are this close to the job's last failure.
constexpr std::int64_t kRelatedFailureWindowMs = 10'000;
// An executor that failed at least this many other jobs is considered faulty itself.
constexpr std::size_t kMinOtherFailedJobs = 2;

std::string
StringMember(const JsonValue& aJson, const std::string& aName)
{
  const auto* value = aJson.Find(aName);
  return value != nullptr && value->mType == JsonValue::Type::String ? value->mString : "";
}

std::optional<std::int64_t>
IntegerMember(const JsonValue& aJson, const std::string& aName)
{
  const auto* value = aJson.Find(aName);
  if (value == nullptr || value->mType != JsonValue::Type::Integer) {
    return std::nullopt;
  }
  return value->mInteger;
}

template<typename Predicate>
Lines
Select(const Lines& aLines, Predicate aPredicate)
{
  Lines selected;
  std::copy_if(aLines.begin(), aLines.end(), std::back_inserter(selected), aPredicate);
  return selected;
}

Lines
SelectEvent(const Lines& aLines, const std::string& aEvent)
{
  return Select(aLines, [&](const LogLine& aLine) { return aLine.mEvent == aEvent; });
}

Explanation
MakeExplanation(Cause aCause, std::string aSentence, Lines aEvidence)
{
  return { aCause, std::move(aSentence), {}, std::move(aEvidence) };
}

// Returns the dependencies that a host had reported as lost, and not as regained, by the given
// time.
Lines
DependenciesLostAt(const Lines& aLines, const std::string& aHost, std::int64_t aTimeMs)
{
  Lines lost;
  for (const auto& line : aLines) {
    if (line.mHost != aHost || line.mTimeMs > aTimeMs) {
      continue;
    }
    if (line.mEvent == "dependency-lost") {
      lost.push_back(line);
    } else if (line.mEvent == "dependency-regained") {
      std::erase_if(lost, [&](const LogLine& aLost) { return aLost.mSubject == line.mSubject; });
    }
  }
  return lost;
}

// The host's next manifest shows whether it was behind when it refused.
Explanation
ExplainUnknownQueue(const Lines& aAll, const LogLine& aRefused)
{
  auto evidence = DependenciesLostAt(aAll, aRefused.mHost, aRefused.mTimeMs);
  evidence.push_back(aRefused);
  auto next = std::find_if(aAll.begin(), aAll.end(), [&](const LogLine& aLine) {
    return aLine.mHost == aRefused.mHost && aLine.mEvent == "manifest-in-force" &&
           aLine.mTimeMs >= aRefused.mTimeMs;
  });
  if (next != aAll.end()) {
    evidence.push_back(*next);
  }
  auto summary = "refused by " + aRefused.mHost + ": version " +
                 std::to_string(aRefused.mVersion.value_or(0)) + " of the manifest, confirmed " +
                 std::to_string(aRefused.mAgeMs.value_or(0)) + " ms before, has no queue for it";
  return MakeExplanation(Cause::RefusedByManifest, std::move(summary), std::move(evidence));
}

Explanation
ExplainRefusedKey(const Lines& aAll, const Lines& aRefusals)
{
  const auto& last = aRefusals.back();
  auto evidence = DependenciesLostAt(aAll, last.mHost, last.mTimeMs);
  evidence.insert(evidence.end(), aRefusals.begin(), aRefusals.end());
  auto summary = "refused by " + last.mHost + ": " + last.mReason + ", by version " +
                 std::to_string(last.mVersion.value_or(0)) + " of the manifest, proven " +
                 std::to_string(last.mAgeMs.value_or(0)) + " ms before";
  return MakeExplanation(Cause::RefusedForKey, std::move(summary), std::move(evidence));
}

Explanation
ExplainNotStored(const Lines& aAll, const Lines& aOwn)
{
  auto refused = SelectEvent(aOwn, "job-refused");
  auto unknown = SelectEvent(aOwn, "queue-unknown");
  if (refused.empty() && !unknown.empty()) {
    return ExplainUnknownQueue(aAll, unknown.back());
  }
  auto keyRefusals = Select(aOwn, [](const LogLine& aLine) {
    return aLine.mEvent == "call-unauthorized" || aLine.mEvent == "call-undecided";
  });
  if (refused.empty() && !keyRefusals.empty()) {
    return ExplainRefusedKey(aAll, keyRefusals);
  }
  if (refused.empty()) {
    return MakeExplanation(Cause::Unconfirmed, "no host logged whether it was stored", aOwn);
  }
  const auto& last = refused.back();
  auto evidence = DependenciesLostAt(aAll, last.mHost, last.mTimeMs);
  evidence.insert(evidence.end(), refused.begin(), refused.end());
  return MakeExplanation(
    Cause::RefusedByLog, "refused by " + last.mHost + ": " + last.mReason, evidence);
}

Explanation
ExplainFailed(const Lines& aAll, const Lines& aOwn)
{
  auto failures = SelectEvent(aOwn, "task-failed");
  auto crashes = SelectEvent(aOwn, "executor-crashed");
  if (failures.empty() && !crashes.empty()) {
    return MakeExplanation(
      Cause::JobFaulty, crashes.back().mReason + ", last " + crashes.back().mSubject, crashes);
  }
  std::set<std::string> executors;
  for (const auto& line : failures) {
    executors.insert(line.mSubject);
  }
  std::set<std::string> others;
  for (const auto& line : SelectEvent(aAll, "task-failed")) {
    auto isNear = !failures.empty() &&
                  std::abs(line.mTimeMs - failures.back().mTimeMs) < kRelatedFailureWindowMs;
    if (isNear && line.mJob != aOwn.front().mJob && executors.contains(line.mSubject)) {
      others.insert(line.mJob);
    }
  }
  auto runs = std::to_string(failures.size()) + " runs failed";
  if (executors.size() == 1 && others.size() >= kMinOtherFailedJobs) {
    return MakeExplanation(Cause::ExecutorFaulty,
                           runs + " on " + *executors.begin() + ", which failed " +
                             std::to_string(others.size()) + " other jobs",
                           failures);
  }
  return MakeExplanation(
    Cause::JobFaulty, runs + " on " + std::to_string(executors.size()) + " executors", failures);
}

Explanation
ExplainCompleted(const Lines& aAll, const Lines& aOwn, const LogLine& aEnd)
{
  auto start = aOwn.front().mTimeMs;
  auto took = "completed after " + std::to_string(aEnd.mTimeMs - start) + " ms";
  auto lost = Select(aOwn, [](const LogLine& aLine) {
    return aLine.mEvent == "task-lost" || aLine.mEvent == "start-unanswered";
  });
  if (!lost.empty()) {
    return MakeExplanation(
      Cause::ExecutorLost, took + ": lost runs on executor " + lost[0].mSubject, lost);
  }
  auto meanwhile = Select(aAll, [&](const LogLine& aLine) {
    return aLine.mHost == aEnd.mHost && aLine.mTimeMs >= start && aLine.mTimeMs <= aEnd.mTimeMs;
  });
  auto takeOvers = Select(meanwhile, [&](const LogLine& aLine) {
    return aLine.mEvent == "shard-owned" && aLine.mVersion == aEnd.mVersion;
  });
  if (!takeOvers.empty()) {
    return MakeExplanation(
      Cause::ShardTakenOver, took + ": " + aEnd.mHost + " took over its shard", takeOvers);
  }
  auto away = Select(meanwhile, [](const LogLine& aLine) {
    return aLine.mEvent == "dependency-lost" && aLine.mSubject.starts_with("progress of shard");
  });
  if (!away.empty()) {
    return MakeExplanation(Cause::LogUnavailable, took + ": placements could not be stored", away);
  }
  return MakeExplanation(Cause::NoFaultLogged, took + "; no line shows a fault", aOwn);
}

Explanation
ExplainOwn(const Lines& aLines, const Lines& aOwn)
{
  auto stored = SelectEvent(aOwn, "job-stored");
  auto ends = SelectEvent(aOwn, "job-finished");
  if (ends.empty()) {
    return stored.empty()
             ? ExplainNotStored(aLines, aOwn)
             : MakeExplanation(Cause::Unfinished, "stored; no line says that it ended", aOwn);
  }
  const auto& end = ends.back();
  if (end.mOutcome == "cancelled") {
    return MakeExplanation(Cause::Cancelled, "cancelled by its caller", stored);
  }
  return end.mOutcome == "failed" ? ExplainFailed(aLines, aOwn)
                                  : ExplainCompleted(aLines, aOwn, end);
}

}

absl::StatusOr<LogLine>
ParseLogLine(const std::string& aText)
{
  auto json = TRY(ParseJson(aText));
  LogLine line;
  line.mTimeMs = IntegerMember(json, "time_ms").value_or(0);
  line.mHost = StringMember(json, "host");
  line.mEvent = StringMember(json, "event");
  line.mJob = StringMember(json, "job");
  line.mSubject = StringMember(json, "subject");
  line.mTenant = StringMember(json, "tenant");
  line.mOutcome = StringMember(json, "outcome");
  line.mReason = StringMember(json, "reason");
  line.mVersion = IntegerMember(json, "version");
  line.mAgeMs = IntegerMember(json, "age_ms");
  return line;
}

Explanation
Explain(std::vector<LogLine> aLines, const std::string& aJob)
{
  std::stable_sort(aLines.begin(), aLines.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mTimeMs < aRight.mTimeMs;
  });
  auto own = Select(aLines, [&](const LogLine& aLine) { return aLine.mJob == aJob; });
  if (own.empty()) {
    return MakeExplanation(
      Cause::NotFound, "no line names the job", SelectEvent(aLines, "log-lines-dropped"));
  }
  auto explanation = ExplainOwn(aLines, own);
  for (const auto& line : own) {
    // Another tenant may have asked for the job, or for its id, too.
    if (!line.mTenant.empty() && (line.mEvent == "job-finished" || explanation.mTenant.empty())) {
      explanation.mTenant = line.mTenant;
    }
  }
  return explanation;
}

}
