#include "LibExplain/Explain.h"

#include "LibBase/Json.h"

#include <algorithm>
#include <set>

namespace sesameseam::explain {

namespace {

using Lines = std::vector<LoggedLine>;

// What an executor did to other jobs counts within this time.
constexpr std::int64_t kNearbyMs = 10'000;
// An executor that fails so many other jobs is at fault itself.
constexpr std::size_t kOtherJobs = 2;

std::string
TextOf(const JsonValue& aJson, const std::string& aName)
{
  const auto* value = aJson.Find(aName);
  return value != nullptr && value->mType == JsonValue::Type::String ? value->mString : "";
}

std::optional<std::int64_t>
NumberOf(const JsonValue& aJson, const std::string& aName)
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
WithEvent(const Lines& aLines, const std::string& aEvent)
{
  return Select(aLines, [&](const LoggedLine& aLine) { return aLine.mEvent == aEvent; });
}

Explanation
Make(Cause aCause, std::string aSentence, Lines aEvidence)
{
  return { aCause, std::move(aSentence), std::move(aEvidence) };
}

// Losses of dependencies that a host had told, and not taken back, by the time.
Lines
LostBy(const Lines& aLines, const std::string& aHost, std::int64_t aTimeMs)
{
  Lines lost;
  for (const auto& line : aLines) {
    if (line.mHost != aHost || line.mTimeMs > aTimeMs) {
      continue;
    }
    if (line.mEvent == "dependency-lost") {
      lost.push_back(line);
    } else if (line.mEvent == "dependency-regained") {
      std::erase_if(lost, [&](const LoggedLine& aLost) { return aLost.mSubject == line.mSubject; });
    }
  }
  return lost;
}

Explanation
ExplainUnstored(const Lines& aAll, const Lines& aOwn)
{
  auto refused = WithEvent(aOwn, "job-refused");
  if (refused.empty()) {
    return Make(Cause::NotConfirmed, "no host knows whether it was stored", aOwn);
  }
  const auto& last = refused.back();
  auto evidence = LostBy(aAll, last.mHost, last.mTimeMs);
  evidence.insert(evidence.end(), refused.begin(), refused.end());
  return Make(Cause::RefusedByLog, "refused by " + last.mHost + ": " + last.mReason, evidence);
}

Explanation
ExplainFailed(const Lines& aAll, const Lines& aOwn)
{
  auto failures = WithEvent(aOwn, "task-failed");
  std::set<std::string> executors;
  for (const auto& line : failures) {
    executors.insert(line.mSubject);
  }
  std::set<std::string> others;
  for (const auto& line : WithEvent(aAll, "task-failed")) {
    auto isNear = !failures.empty() && std::abs(line.mTimeMs - failures.back().mTimeMs) < kNearbyMs;
    if (isNear && line.mJob != aOwn.front().mJob && executors.contains(line.mSubject)) {
      others.insert(line.mJob);
    }
  }
  auto runs = std::to_string(failures.size()) + " runs failed";
  if (executors.size() == 1 && others.size() >= kOtherJobs) {
    return Make(Cause::ExecutorFails,
                runs + " on " + *executors.begin() + ", which failed " +
                  std::to_string(others.size()) + " other jobs",
                failures);
  }
  return Make(Cause::FailsByItself,
              runs + " on " + std::to_string(executors.size()) + " executors",
              failures);
}

Explanation
ExplainCompleted(const Lines& aAll, const Lines& aOwn, const LoggedLine& aEnd)
{
  auto start = aOwn.front().mTimeMs;
  auto took = "completed after " + std::to_string(aEnd.mTimeMs - start) + " ms";
  auto lost = Select(aOwn, [](const LoggedLine& aLine) {
    return aLine.mEvent == "task-lost" || aLine.mEvent == "start-unanswered";
  });
  if (!lost.empty()) {
    return Make(Cause::ExecutorLost, took + ": lost runs on executor " + lost[0].mSubject, lost);
  }
  auto meanwhile = Select(aAll, [&](const LoggedLine& aLine) {
    return aLine.mHost == aEnd.mHost && aLine.mTimeMs >= start && aLine.mTimeMs <= aEnd.mTimeMs;
  });
  auto takeOvers = Select(meanwhile, [&](const LoggedLine& aLine) {
    return aLine.mEvent == "shard-owned" && aLine.mVersion == aEnd.mVersion;
  });
  if (!takeOvers.empty()) {
    return Make(Cause::OwnerLost, took + ": " + aEnd.mHost + " took its shard over", takeOvers);
  }
  auto away = Select(meanwhile, [](const LoggedLine& aLine) {
    return aLine.mEvent == "dependency-lost" && aLine.mSubject.starts_with("progress of shard");
  });
  if (!away.empty()) {
    return Make(Cause::LogAway, took + ": placements could not be stored", away);
  }
  return Make(Cause::Waited, took + ", and no line tells of a fault", aOwn);
}

}

absl::StatusOr<LoggedLine>
ParseLoggedLine(const std::string& aText)
{
  auto json = TRY(ParseJson(aText));
  LoggedLine line;
  line.mTimeMs = NumberOf(json, "time_ms").value_or(0);
  line.mHost = TextOf(json, "host");
  line.mEvent = TextOf(json, "event");
  line.mJob = TextOf(json, "job");
  line.mSubject = TextOf(json, "subject");
  line.mOutcome = TextOf(json, "outcome");
  line.mReason = TextOf(json, "reason");
  line.mVersion = NumberOf(json, "version");
  line.mAgeMs = NumberOf(json, "age_ms");
  return line;
}

Explanation
Explain(std::vector<LoggedLine> aLines, const std::string& aJob)
{
  std::stable_sort(aLines.begin(), aLines.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mTimeMs < aRight.mTimeMs;
  });
  auto own = Select(aLines, [&](const LoggedLine& aLine) { return aLine.mJob == aJob; });
  if (own.empty()) {
    return Make(Cause::NotFound, "no line names the job", WithEvent(aLines, "log-lines-dropped"));
  }
  auto stored = WithEvent(own, "job-stored");
  auto ends = WithEvent(own, "job-finished");
  if (ends.empty()) {
    return stored.empty() ? ExplainUnstored(aLines, own)
                          : Make(Cause::Open, "stored, and not ended by these lines", own);
  }
  const auto& end = ends.back();
  if (end.mOutcome == "cancelled") {
    return Make(Cause::Cancelled, "cancelled by its caller", stored);
  }
  return end.mOutcome == "failed" ? ExplainFailed(aLines, own) : ExplainCompleted(aLines, own, end);
}

}
