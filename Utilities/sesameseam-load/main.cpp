#include "LibDaemon/Settings.h"
#include "LoadRun.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace {

using namespace sesameseam;

constexpr int kExitSuccess = 0;
constexpr int kExitGuaranteeViolated = 1;
constexpr int kExitUsageError = 2;

absl::StatusOr<std::vector<Address>>
ParseAddresses(const std::vector<std::string>& aTexts)
{
  std::vector<Address> addresses;
  addresses.reserve(aTexts.size());
  for (const auto& text : aTexts) {
    addresses.push_back(TRY(ParseAddress(text)));
  }
  return addresses;
}

void
PrintText(const LoadReport& aReport, bool aEach)
{
  if (aEach) {
    for (const auto& each : aReport.mRequestReports) {
      std::cout << each.mToken << "  " << EnumName(each.mOutcome)
                << (each.mReason.empty() ? "" : " (" + each.mReason + ")") << ", tries "
                << each.mTries << ", runs " << each.mRuns << ", "
                << FormatDuration(ToMilliseconds(each.mLatency)) << "\n";
    }
  }
  std::cout << "requests " << aReport.mRequests << ", on time " << aReport.mOnTime << ", answered "
            << aReport.mAnswered << ", not run " << aReport.mNotRun << ", unknown "
            << aReport.mUnknown << ", doubled " << aReport.mRanMoreThanOnce << ", not run but ran "
            << aReport.mNotRunButRan << "\n"
            << "latency p50 " << FormatDuration(aReport.mP50) << ", p99 "
            << FormatDuration(aReport.mP99) << ", longest " << FormatDuration(aReport.mMaxLatency)
            << ", seed " << aReport.mSeed << "\n";
}

absl::StatusOr<LoadReport>
Run(LoadOptions& aOptions,
    const std::string& aFile,
    const std::vector<std::string>& aEntryHosts,
    const std::vector<std::string>& aExecutors)
{
  aOptions.mEntryHosts = TRY(ParseAddresses(aEntryHosts));
  aOptions.mExecutors = TRY(ParseAddresses(aExecutors));
  auto text = TRY(ReadFile(aFile));
  auto templates = TRY(FromJson<std::vector<RequestTemplate>>(text));
  return RunLoad(aOptions, templates);
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Sends requests to entry hosts and reports what came of them.\n"
               "Exit codes: 0 every promise held, 1 a request was doubled, got a wrong answer, or "
               "ran though it was told not run, 2 wrong use.");
  LoadOptions options;
  std::string file;
  std::vector<std::string> entryHosts;
  std::vector<std::string> executors;
  bool json = false;
  bool each = false;
  app.set_version_flag("--version", "sesameseam-load " SESAMESEAM_VERSION);
  app.add_option("requests", file, "The file of requests (JSON)")->required();
  app.add_option("--entry", entryHosts, "Callers' address of an entry host; repeat for more")
    ->required()
    ->delimiter(',');
  app.add_option("--executor", executors, "An executor stand-in, whose ledger is read at the end")
    ->delimiter(',');
  app.add_option("--rate", options.mRate, "Requests a second")->check(CLI::PositiveNumber);
  app.add_option("--threads", options.mThreads, "Requests under way at most")
    ->check(CLI::Range(1, 512));
  app.add_option("--returns", options.mMaxRetries, "Tries after the first");
  app.add_option("--seed", options.mSeed, "Seed of the order and of the entry hosts");
  app.add_flag("--json", json, "Print JSON");
  app.add_flag("--each", each, "Print what came of each request");
  CLI11_PARSE(app, aCount, aArguments);

  auto report = Run(options, file, entryHosts, executors);
  if (!report.ok()) {
    std::cerr << "sesameseam-load: " << NameOf(KindOf(report.status())) << ": "
              << report.status().message() << "\n";
    return kExitUsageError;
  }
  if (json) {
    std::cout << ToJson(*report) << "\n";
  } else {
    PrintText(*report, each);
  }
  bool wrongAnswer = std::any_of(report->mRequestReports.begin(),
                                 report->mRequestReports.end(),
                                 [](const auto& aEach) { return aEach.mReason == "WRONG ANSWER"; });
  bool held = report->mRanMoreThanOnce == 0 && report->mNotRunButRan == 0 && !wrongAnswer;
  return held ? kExitSuccess : kExitGuaranteeViolated;
}
