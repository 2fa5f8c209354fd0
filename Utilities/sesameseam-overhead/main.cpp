#include "LibBase/Json.h"
#include "LibHttp/HttpCall.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

// Measures the latency that an entry host adds. Sends the same request in turn directly to an
// executor, through an entry host, and through an entry host with an idempotency key, and compares
// the latencies.
namespace {

using namespace sesameseam;

using SteadyClock = std::chrono::steady_clock;

constexpr Duration kTimeout = 5s;
constexpr double kMicrosecondsInMillisecond = 1000.0;

struct Figures
{
  std::int64_t mRequests = 0;
  double mP50 = 0.0;
  double mP99 = 0.0;
  double mAddedP50 = 0.0;
  double mP99Ratio = 0.0;
};

template<typename V>
void
VisitFields(V& aVisit, Figures& aFigures)
{
  aVisit("requests", aFigures.mRequests);
  aVisit("p50_ms", aFigures.mP50);
  aVisit("p99_ms", aFigures.mP99);
  aVisit("added_p50_ms", aFigures.mAddedP50);
  aVisit("p99_ratio", aFigures.mP99Ratio);
}

struct Report
{
  std::string mName = "overhead";
  std::int64_t mSeed = 0;
  Figures mBaseline;
  Figures mThroughEntryHost;
  Figures mWithKey;
};

template<typename V>
void
VisitFields(V& aVisit, Report& aReport)
{
  aVisit("name", aReport.mName);
  aVisit("seed", aReport.mSeed);
  aVisit("baseline", aReport.mBaseline);
  aVisit("chosen", aReport.mThroughEntryHost);
  aVisit("with_key", aReport.mWithKey);
}

struct Route
{
  Address mAddress;
  std::string mPath;
  bool mHasIdempotencyKey = false;
  std::vector<double> mLatenciesMs;
};

HttpRequest
MakeRequest(const Route& aRoute,
            const std::string& aPool,
            const std::string& aToken,
            Duration aWork)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = aRoute.mPath;
  request.mHeaders = { { "X-Pool", aPool },
                       { "X-Class", "urgent" },
                       { "X-Deadline", "5s" },
                       { "X-Idempotent", aRoute.mHasIdempotencyKey ? "false" : "true" },
                       { "X-Request-Id", aToken } };
  if (aRoute.mHasIdempotencyKey) {
    request.mHeaders.push_back({ "Idempotency-Key", aToken });
  }
  request.mBody = R"({"token":")" + aToken + R"(","work":")" + FormatDuration(aWork) + R"("})";
  return request;
}

absl::Status
SendOnce(Route& aRoute, const std::string& aPool, const std::string& aToken, Duration aWork)
{
  auto request = MakeRequest(aRoute, aPool, aToken, aWork);
  auto start = SteadyClock::now();
  auto reply = TRY(CallHttp(aRoute.mAddress, request, kTimeout));
  auto latency = std::chrono::duration_cast<Duration>(SteadyClock::now() - start);
  if (reply.mBody != "done " + aToken) {
    return MakeError(ErrorKind::BadState, reply.mBody);
  }
  aRoute.mLatenciesMs.push_back(static_cast<double>(latency.count()) / kMicrosecondsInMillisecond);
  return absl::OkStatus();
}

double
Percentile(std::vector<double> aValues, double aQuantile)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1))];
}

Figures
ComputeFigures(const Route& aRoute, const Route& aDirect)
{
  Figures figures;
  figures.mRequests = static_cast<std::int64_t>(aRoute.mLatenciesMs.size());
  figures.mP50 = Percentile(aRoute.mLatenciesMs, 0.5);
  figures.mP99 = Percentile(aRoute.mLatenciesMs, 0.99);
  figures.mAddedP50 = figures.mP50 - Percentile(aDirect.mLatenciesMs, 0.5);
  figures.mP99Ratio = figures.mP99 / Percentile(aDirect.mLatenciesMs, 0.99);
  return figures;
}

absl::Status
Measure(std::vector<Route>& aRoutes, const std::string& aPool, int aRounds, Duration aWork)
{
  for (int i = 0; i < aRounds; ++i) {
    for (std::size_t route = 0; route < aRoutes.size(); ++route) {
      auto token = "t" + std::to_string(i) + "-" + std::to_string(route);
      TRY(SendOnce(aRoutes[route], aPool, token, aWork));
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<Report>
Run(const std::string& aEntry, const std::string& aExecutor, const std::string& aPool, int aRounds)
{
  std::vector<Route> routes(3);
  routes[0].mAddress = TRY(ParseAddress(aExecutor));
  routes[0].mPath = "/run";
  routes[1].mAddress = TRY(ParseAddress(aEntry));
  routes[1].mPath = "/request";
  routes[2] = routes[1];
  routes[2].mHasIdempotencyKey = true;
  TRY(Measure(routes, aPool, aRounds, 2ms));
  Report report;
  report.mBaseline = ComputeFigures(routes[0], routes[0]);
  report.mThroughEntryHost = ComputeFigures(routes[1], routes[0]);
  report.mWithKey = ComputeFigures(routes[2], routes[0]);
  return report;
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Compares requests by an entry host with requests straight to an executor");
  std::string entry;
  std::string executor;
  std::string pool;
  int rounds = 1000;
  std::int64_t seed = 1;
  app.add_option("--entry", entry, "Callers' address of an entry host")->required();
  app.add_option("--executor", executor, "An executor of the pool")->required();
  app.add_option("--pool", pool, "The pool")->required();
  app.add_option("--rounds", rounds, "Requests each way")->check(CLI::PositiveNumber);
  app.add_option("--seed", seed, "Printed with the figures; nothing here is random");
  CLI11_PARSE(app, aCount, aArguments);
  auto report = Run(entry, executor, pool, rounds);
  if (!report.ok()) {
    std::cerr << "sesameseam-overhead: " << report.status().message() << "\n";
    return 1;
  }
  report->mSeed = seed;
  std::cout << ToJson(*report) << "\n";
  return 0;
}
