#include "Commands.h"
#include "LibDaemon/Settings.h"

#include <iostream>

namespace sesameseam {

namespace {

// Network time to the entry host and back, on top of the request's own deadline.
constexpr Duration kDeadlineMargin = 2s;

struct RequestArguments
{
  std::string mCaller;
  std::string mPool;
  std::string mClass = "ordinary";
  std::string mTeam;
  std::string mKind;
  std::string mDeadline = "10s";
  std::string mRunTime;
  std::string mKey;
  std::string mTry;
  std::string mTriesNotRun;
  std::string mId;
  std::string mBody;
  std::string mBodyFile;
  bool mIdempotent = false;
};

// Outcome of a request, as --json prints it.
struct RequestReport
{
  int mStatus = 0;
  std::string mOutcome;
  std::string mRetryAfter;
  std::string mBody;
};

template<typename V>
void
VisitFields(V& aVisit, RequestReport& aReport)
{
  aVisit("status", aReport.mStatus);
  aVisit("outcome", aReport.mOutcome);
  aVisit("retry_after_ms", aReport.mRetryAfter);
  aVisit("body", aReport.mBody);
}

void
AddHeader(HttpRequest& aRequest, const std::string& aName, const std::string& aValue)
{
  if (!aValue.empty()) {
    aRequest.mHeaders.push_back({ aName, aValue });
  }
}

absl::StatusOr<HttpRequest>
MakeRequest(const RequestArguments& aArguments)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = "/request";
  AddHeader(request, "X-Pool", aArguments.mPool);
  AddHeader(request, "X-Class", aArguments.mClass);
  AddHeader(request, "X-Team", aArguments.mTeam);
  AddHeader(request, "X-Kind", aArguments.mKind);
  AddHeader(request, "X-Deadline", aArguments.mDeadline);
  AddHeader(request, "X-Run-Time", aArguments.mRunTime);
  AddHeader(request, "X-Request-Id", aArguments.mId);
  AddHeader(request, "X-Idempotent", aArguments.mIdempotent ? "true" : "false");
  AddHeader(request, "Idempotency-Key", aArguments.mKey);
  AddHeader(request, "X-Try", aArguments.mTry);
  AddHeader(request, "X-Tries-Not-Run", aArguments.mTriesNotRun);
  request.mBody = aArguments.mBody;
  if (!aArguments.mBodyFile.empty()) {
    request.mBody = TRY(ReadFile(aArguments.mBodyFile));
  }
  return request;
}

absl::StatusOr<HttpReply>
Send(const RequestArguments& aArguments)
{
  auto deadline = ParseDuration(aArguments.mDeadline);
  if (!deadline) {
    return MakeError(ErrorKind::BadField,
                     "--deadline must be a number with its unit, such as 250ms or 3s");
  }
  auto address = TRY(ParseAddress(aArguments.mCaller));
  auto request = TRY(MakeRequest(aArguments));
  return CallHttp(address, request, *deadline + kDeadlineMargin);
}

int
SendRequest(const CommandContext& aContext, const RequestArguments& aArguments)
{
  auto reply = Send(aArguments);
  if (!reply.ok()) {
    return ReportError(reply.status());
  }
  RequestReport report;
  report.mStatus = reply->mStatus;
  report.mOutcome = HeaderOf(reply->mHeaders, "X-Outcome");
  report.mRetryAfter = HeaderOf(reply->mHeaders, "X-Retry-After-Ms");
  report.mBody = reply->mBody;
  if (aContext.mJson) {
    std::cout << ToJson(report) << "\n";
  } else {
    std::cout << report.mOutcome << ", status " << report.mStatus;
    if (!report.mRetryAfter.empty()) {
      std::cout << ", come back in " << report.mRetryAfter << "ms";
    }
    std::cout << "\n" << report.mBody << "\n";
  }
  return report.mOutcome == "answered" ? kExitSuccess : kExitNotAnswered;
}

}

void
AddRequestCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto arguments = std::make_shared<RequestArguments>();
  auto* group = aApp.add_subcommand("request", "Requests, as callers send them");
  group->require_subcommand(1);
  auto* send = group->add_subcommand("send", "Send one request and print its outcome");
  send->add_option("pool", arguments->mPool)->required();
  send->add_option("--caller", arguments->mCaller, "Callers' address of an entry host")
    ->envname("SESAMESEAM_CALLER")
    ->required();
  send->add_option("--class", arguments->mClass, "urgent, ordinary or long");
  send->add_option("--team", arguments->mTeam);
  send->add_option("--kind", arguments->mKind, "What the request does; run times follow it");
  send->add_option("--deadline", arguments->mDeadline, "Time until the answer is of no use");
  send->add_option("--run-time", arguments->mRunTime, "The expected run time, such as 40ms");
  send->add_option("--key", arguments->mKey, "Names the request over all tries");
  send->add_option("--try", arguments->mTry, "The number of this try with the key, from 1");
  send->add_option("--tries-not-run", arguments->mTriesNotRun, "Tries known to be not run");
  send->add_option("--id", arguments->mId, "Comes back as X-Request-Id");
  send->add_option("--body", arguments->mBody);
  send->add_option("--body-file", arguments->mBodyFile);
  send->add_flag("--idempotent", arguments->mIdempotent, "The request may run more than once");
  send->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] { return SendRequest(aContext, *arguments); };
  });
}

}
