#pragma once

#include "LibBase/Error.h"
#include "LibBase/Json.h"
#include "LibHttp/Address.h"
#include "LibServe/Outcome.h"
#include "LibServe/Request.h"

#include <vector>

namespace sesameseam {

// An entry of the request file: a kind of request and how many of them to send.
struct RequestTemplate
{
  std::string mName;
  std::string mPool;
  RequestClass mClass = RequestClass::Ordinary;
  std::string mTeam;
  Duration mDeadline = 5s;
  bool mIdempotent = true;
  // Run time of the request on the executor.
  Duration mWork = 10ms;
  std::int64_t mCount = 1;
};

template<typename V>
void
VisitFields(V& aVisit, RequestTemplate& aTemplate)
{
  aVisit("name", aTemplate.mName, Presence::Required);
  aVisit("pool", aTemplate.mPool, Presence::Required);
  aVisit("class", aTemplate.mClass);
  aVisit("team", aTemplate.mTeam);
  aVisit("deadline", aTemplate.mDeadline);
  aVisit("idempotent", aTemplate.mIdempotent);
  aVisit("work", aTemplate.mWork);
  aVisit("count", aTemplate.mCount);
}

struct LoadOptions
{
  std::vector<Address> mEntryHosts;
  std::vector<Address> mExecutors;
  double mRate = 100.0;
  int mThreads = 64;
  std::uint64_t mSeed = 1;
  // Maximum number of retries of a request that was not answered. Each goes to the next entry host.
  int mMaxRetries = 3;
};

// Outcome of one request over all its tries.
struct RequestReport
{
  std::string mToken;
  std::string mName;
  bool mIdempotent = true;
  OutcomeKind mOutcome = OutcomeKind::Unknown;
  std::string mReason;
  int mStatus = 0;
  int mTries = 0;
  // All tries up to this number are known not to have run.
  int mTriesNotRun = 0;
  bool mOnTime = false;
  Duration mLatency = Duration::zero();
  // Number of runs of the request according to the executors' ledgers.
  std::int64_t mRuns = 0;
};

template<typename V>
void
VisitFields(V& aVisit, RequestReport& aReport)
{
  aVisit("token", aReport.mToken);
  aVisit("name", aReport.mName);
  aVisit("idempotent", aReport.mIdempotent);
  aVisit("outcome", aReport.mOutcome);
  aVisit("reason", aReport.mReason);
  aVisit("status", aReport.mStatus);
  aVisit("tries", aReport.mTries);
  aVisit("on_time", aReport.mOnTime);
  aVisit("latency", aReport.mLatency);
  aVisit("runs", aReport.mRuns);
}

struct LoadReport
{
  std::uint64_t mSeed = 0;
  std::int64_t mRequests = 0;
  std::int64_t mOnTime = 0;
  std::int64_t mAnswered = 0;
  std::int64_t mNotRun = 0;
  std::int64_t mUnknown = 0;
  // Number of non-idempotent requests that ran more than once.
  std::int64_t mRanMoreThanOnce = 0;
  // Number of requests whose final outcome was "not run" although an executor ran them.
  std::int64_t mNotRunButRan = 0;
  Duration mP50 = Duration::zero();
  Duration mP99 = Duration::zero();
  Duration mMaxLatency = Duration::zero();
  std::vector<RequestReport> mRequestReports;
};

template<typename V>
void
VisitFields(V& aVisit, LoadReport& aReport)
{
  aVisit("seed", aReport.mSeed);
  aVisit("requests", aReport.mRequests);
  aVisit("on_time", aReport.mOnTime);
  aVisit("answered", aReport.mAnswered);
  aVisit("not_run", aReport.mNotRun);
  aVisit("unknown", aReport.mUnknown);
  aVisit("doubled", aReport.mRanMoreThanOnce);
  aVisit("not_run_but_ran", aReport.mNotRunButRan);
  aVisit("p50", aReport.mP50);
  aVisit("p99", aReport.mP99);
  aVisit("longest", aReport.mMaxLatency);
  aVisit("each", aReport.mRequestReports);
}

// Sends every request of the templates. The seed determines the order of the requests and the first
// entry host of each.
absl::StatusOr<LoadReport>
RunLoad(const LoadOptions& aOptions, const std::vector<RequestTemplate>& aTemplates);

}
