#include "LoadRun.h"

#include "LibHttp/HttpCall.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace sesameseam {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr Duration kDeadlineMargin = 1s;
constexpr Duration kMaxRetryDelay = 2s;
constexpr Duration kLedgerTimeout = 5s;

struct PlannedRequest
{
  const RequestTemplate* mTemplate = nullptr;
  std::string mToken;
  std::size_t mFirstEntryHost = 0;
};

struct Ledger
{
  std::map<std::string, std::int64_t> mRuns;
  std::int64_t mRunning = 0;
  std::int64_t mMaxRunning = 0;
};

template<typename V>
void
VisitFields(V& aVisit, Ledger& aLedger)
{
  aVisit("runs", aLedger.mRuns);
  aVisit("running", aLedger.mRunning);
  aVisit("most_running", aLedger.mMaxRunning);
}

struct Refusal
{
  std::string mOutcome;
  std::string mReason;
  Duration mRetryAfter = Duration::zero();
};

template<typename V>
void
VisitFields(V& aVisit, Refusal& aRefusal)
{
  aVisit("outcome", aRefusal.mOutcome);
  aVisit("reason", aRefusal.mReason);
  aVisit("retry_after", aRefusal.mRetryAfter);
}

std::vector<PlannedRequest>
PlanRequests(const LoadOptions& aOptions, const std::vector<RequestTemplate>& aTemplates)
{
  std::mt19937_64 random(aOptions.mSeed);
  std::vector<PlannedRequest> plan;
  for (const auto& entry : aTemplates) {
    for (std::int64_t i = 0; i < entry.mCount; ++i) {
      auto token = entry.mName + "-" + std::to_string(aOptions.mSeed) + "-" + std::to_string(i);
      plan.push_back({ &entry, token, random() % aOptions.mEntryHosts.size() });
    }
  }
  std::shuffle(plan.begin(), plan.end(), random);
  return plan;
}

HttpRequest
MakeRequest(const PlannedRequest& aPlanned)
{
  const auto& entry = *aPlanned.mTemplate;
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = "/request";
  request.mHeaders = {
    { "X-Pool", entry.mPool },
    { "X-Class", std::string(EnumName(entry.mClass)) },
    { "X-Team", entry.mTeam },
    { "X-Kind", entry.mName },
    { "X-Deadline", FormatDuration(entry.mDeadline) },
    { "X-Idempotent", entry.mIdempotent ? "true" : "false" },
    { "X-Request-Id", aPlanned.mToken },
  };
  if (!entry.mIdempotent) {
    request.mHeaders.push_back({ "Idempotency-Key", aPlanned.mToken });
  }
  request.mBody =
    R"({"token":")" + aPlanned.mToken + R"(","work":")" + FormatDuration(entry.mWork) + R"("})";
  return request;
}

// Numbers the tries of a non-idempotent request, so that the answer accounts for the earlier tries
// too.
HttpRequest
MakeRequestForTry(const HttpRequest& aRequest, const RequestReport& aReport)
{
  auto request = aRequest;
  if (!aReport.mIdempotent) {
    request.mHeaders.push_back({ "X-Try", std::to_string(aReport.mTries + 1) });
    request.mHeaders.push_back({ "X-Tries-Not-Run", std::to_string(aReport.mTriesNotRun) });
  }
  return request;
}

// A try that ended without an outcome makes that of the request unknown, unless the connection was
// refused, so that nothing was sent, and all earlier tries are known not to have run.
void
RecordFailedTry(RequestReport& aReport, const absl::Status& aError)
{
  bool resolvedSoFar = aReport.mTriesNotRun + 1 == aReport.mTries;
  if (KindOf(aError) == ErrorKind::ConnectionRefused && resolvedSoFar) {
    aReport.mTriesNotRun = aReport.mTries;
    aReport.mOutcome = OutcomeKind::NotRun;
    aReport.mReason = "connection refused";
  } else {
    aReport.mOutcome = OutcomeKind::Unknown;
    aReport.mReason = "connection broken";
  }
}

// "Not run" covers all tries of a request with an idempotency key, and only the last try of any
// other request.
void
RecordNotRun(RequestReport& aReport)
{
  if (!aReport.mIdempotent || aReport.mTriesNotRun + 1 == aReport.mTries) {
    aReport.mTriesNotRun = aReport.mTries;
  } else {
    aReport.mOutcome = OutcomeKind::Unknown;
  }
}

// Records the outcome of one try. Returns the delay before a retry, or nullopt if a retry makes no
// sense.
std::optional<Duration>
RecordTry(RequestReport& aReport, const absl::StatusOr<HttpReply>& aReply)
{
  aReport.mTries += 1;
  if (!aReply.ok()) {
    RecordFailedTry(aReport, aReply.status());
    return Duration::zero();
  }
  aReport.mStatus = aReply->mStatus;
  auto kind = EnumValue<OutcomeKind>(HeaderOf(aReply->mHeaders, "X-Outcome"));
  aReport.mOutcome = kind.value_or(OutcomeKind::Unknown);
  if (aReport.mOutcome == OutcomeKind::Answered) {
    bool correct = aReply->mBody == "done " + aReport.mToken;
    aReport.mReason = correct ? "" : "WRONG ANSWER";
    return std::nullopt;
  }
  if (aReport.mOutcome == OutcomeKind::NotRun) {
    RecordNotRun(aReport);
  }
  auto refusal = FromJson<Refusal>(aReply->mBody);
  if (!refusal.ok()) {
    aReport.mReason = aReply->mBody;
    return std::nullopt;
  }
  aReport.mReason = refusal->mReason;
  return refusal->mRetryAfter;
}

RequestReport
SendWithRetries(const LoadOptions& aOptions, const PlannedRequest& aPlanned)
{
  RequestReport report;
  report.mToken = aPlanned.mToken;
  report.mName = aPlanned.mTemplate->mName;
  report.mIdempotent = aPlanned.mTemplate->mIdempotent;
  auto request = MakeRequest(aPlanned);
  auto start = SteadyClock::now();
  for (int i = 0; i <= aOptions.mMaxRetries; ++i) {
    auto index =
      (aPlanned.mFirstEntryHost + static_cast<std::size_t>(i)) % aOptions.mEntryHosts.size();
    auto reply = CallHttp(aOptions.mEntryHosts[index],
                          MakeRequestForTry(request, report),
                          aPlanned.mTemplate->mDeadline + kDeadlineMargin);
    auto retryDelay = RecordTry(report, reply);
    if (!retryDelay || i == aOptions.mMaxRetries) {
      break;
    }
    std::this_thread::sleep_for(std::min(*retryDelay, kMaxRetryDelay));
  }
  report.mLatency = std::chrono::duration_cast<Duration>(SteadyClock::now() - start);
  report.mOnTime =
    report.mOutcome == OutcomeKind::Answered && report.mLatency <= aPlanned.mTemplate->mDeadline;
  return report;
}

absl::Status
CountRuns(const LoadOptions& aOptions, std::vector<RequestReport>& aReports)
{
  std::map<std::string, std::int64_t> runs;
  for (const auto& executor : aOptions.mExecutors) {
    HttpRequest request;
    request.mPath = "/ledger";
    auto reply = TRY(CallHttp(executor, request, kLedgerTimeout));
    auto ledger = TRY(FromJson<Ledger>(reply.mBody));
    for (const auto& [token, count] : ledger.mRuns) {
      runs[token] += count;
    }
  }
  for (auto& report : aReports) {
    report.mRuns = runs[report.mToken];
  }
  return absl::OkStatus();
}

Duration
Percentile(const std::vector<Duration>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return Duration::zero();
  }
  auto index = static_cast<std::size_t>(aQuantile * static_cast<double>(aSorted.size() - 1));
  return aSorted[index];
}

LoadReport
Summarize(const LoadOptions& aOptions, std::vector<RequestReport> aReports)
{
  LoadReport report;
  report.mSeed = aOptions.mSeed;
  std::vector<Duration> latencies;
  for (const auto& each : aReports) {
    report.mRequests += 1;
    report.mOnTime += each.mOnTime ? 1 : 0;
    report.mAnswered += each.mOutcome == OutcomeKind::Answered ? 1 : 0;
    report.mNotRun += each.mOutcome == OutcomeKind::NotRun ? 1 : 0;
    report.mUnknown += each.mOutcome == OutcomeKind::Unknown ? 1 : 0;
    report.mRanMoreThanOnce += !each.mIdempotent && each.mRuns > 1 ? 1 : 0;
    report.mNotRunButRan += each.mOutcome == OutcomeKind::NotRun && each.mRuns > 0 ? 1 : 0;
    if (each.mOutcome == OutcomeKind::Answered) {
      latencies.push_back(each.mLatency);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  report.mP50 = Percentile(latencies, 0.5);
  report.mP99 = Percentile(latencies, 0.99);
  report.mMaxLatency = Percentile(latencies, 1.0);
  report.mRequestReports = std::move(aReports);
  return report;
}

}

absl::StatusOr<LoadReport>
RunLoad(const LoadOptions& aOptions, const std::vector<RequestTemplate>& aTemplates)
{
  auto plan = PlanRequests(aOptions, aTemplates);
  std::vector<RequestReport> reports(plan.size());
  std::atomic<std::size_t> next{ 0 };
  auto start = SteadyClock::now();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aOptions.mThreads));
  for (int i = 0; i < aOptions.mThreads; ++i) {
    threads.emplace_back([&] {
      for (auto index = next++; index < plan.size(); index = next++) {
        auto due = std::chrono::duration<double>(static_cast<double>(index) / aOptions.mRate);
        std::this_thread::sleep_until(start + due);
        reports[index] = SendWithRetries(aOptions, plan[index]);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  TRY(CountRuns(aOptions, reports));
  return Summarize(aOptions, std::move(reports));
}

}
