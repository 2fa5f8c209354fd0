#include "Commands.h"
#include "LibDaemon/Settings.h"

#include <iostream>

namespace sesameseam {

namespace {

constexpr Duration kCallTimeout = 10s;
constexpr int kFirstErrorStatus = 400;

struct JobArguments
{
  std::string mCaller;
  std::string mFile;
  std::string mId;
  std::vector<std::string> mIds;
};

// Sends the request to the callers' address of an entry host and prints the body of the reply.
int
CallAndPrint(const JobArguments& aArguments, const HttpRequest& aRequest)
{
  auto address = ParseAddress(aArguments.mCaller);
  if (!address.ok()) {
    return ReportError(address.status());
  }
  auto reply = CallHttp(*address, aRequest, kCallTimeout);
  if (!reply.ok()) {
    return ReportError(reply.status());
  }
  std::cout << reply->mBody << "\n";
  return reply->mStatus < kFirstErrorStatus ? kExitSuccess : kExitNotAnswered;
}

int
SubmitJob(const JobArguments& aArguments)
{
  auto text = ReadFile(aArguments.mFile);
  if (!text.ok()) {
    return ReportError(text.status());
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = "/job";
  request.mBody = *text;
  return CallAndPrint(aArguments, request);
}

int
ShowJob(const JobArguments& aArguments)
{
  HttpRequest request;
  request.mPath = "/job";
  request.mQuery = "id=" + aArguments.mId;
  return CallAndPrint(aArguments, request);
}

int
CancelJobs(const CommandContext& aContext, const JobArguments& aArguments)
{
  JobsCancelled cancelled;
  for (const auto& id : aArguments.mIds) {
    cancelled.mJobs.emplace_back(id);
  }
  return ApplyChange(aContext, "jobs-cancelled", std::nullopt, cancelled);
}

void
AddCallerOption(CLI::App& aCommand, JobArguments& aArguments)
{
  aCommand.add_option("--caller", aArguments.mCaller, "Callers' address of an entry host")
    ->envname("SESAMESEAM_CALLER")
    ->required();
}

}

void
AddJobCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto arguments = std::make_shared<JobArguments>();
  auto* group = aApp.add_subcommand("job", "Long jobs; what is printed is JSON");
  group->require_subcommand(1);
  auto* submit = group->add_subcommand("submit", "Submit a job; the same id twice is one job");
  submit->add_option("file", arguments->mFile, "The job (JSON)")->required();
  AddCallerOption(*submit, *arguments);
  submit->callback(
    [&aContext, arguments] { aContext.mRun = [arguments] { return SubmitJob(*arguments); }; });
  auto* show = group->add_subcommand("show", "Show a job");
  show->add_option("id", arguments->mId)->required();
  AddCallerOption(*show, *arguments);
  show->callback(
    [&aContext, arguments] { aContext.mRun = [arguments] { return ShowJob(*arguments); }; });
  auto* cancel = group->add_subcommand("cancel", "Cancel jobs, all by one change");
  cancel->add_option("ids", arguments->mIds)->required();
  cancel->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] { return CancelJobs(aContext, *arguments); };
  });
}

}
