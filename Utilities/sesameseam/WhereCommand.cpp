#include "Commands.h"
#include "LibDaemon/Settings.h"

#include <iostream>

namespace sesameseam {

namespace {

constexpr Duration kCallTimeout = 10s;
// The status with which an entry host answers that another one owns the queue's shard.
constexpr int kOtherHost = 421;
constexpr int kFirstErrorStatus = 400;

struct WhereArguments
{
  std::vector<std::string> mMetrics;
  std::string mHost;
  std::string mPath;
  std::string mTenant;
  std::string mFile;
};

// Whether the text can stand in a query as it is.
bool
IsPlain(const std::string& aText)
{
  return aText.find_first_of("&# \t\r\n") == std::string::npos;
}

HttpRequest
MakePreviewRequest(const WhereArguments& aArguments, std::string aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = "/preview";
  request.mQuery = "host=" + aArguments.mHost + "&path=" + aArguments.mPath;
  if (!aArguments.mTenant.empty()) {
    request.mQuery += "&tenant=" + aArguments.mTenant;
  }
  request.mBody = std::move(aBody);
  return request;
}

// Asks one entry host after the other until the owner of the queue's shard answers. An entry host
// that can't be reached is passed over, since the owner may be another one.
int
ExplainWhere(const WhereArguments& aArguments)
{
  if (!IsPlain(aArguments.mHost) || !IsPlain(aArguments.mPath) || !IsPlain(aArguments.mTenant)) {
    return ReportError(
      MakeError(ErrorKind::BadField, "host, path and tenant must not hold '&', '#' or spaces"));
  }
  auto body = ReadFile(aArguments.mFile);
  if (!body.ok()) {
    return ReportError(body.status());
  }
  auto request = MakePreviewRequest(aArguments, *std::move(body));
  for (const auto& text : aArguments.mMetrics) {
    auto address = ParseAddress(text);
    if (!address.ok()) {
      return ReportError(address.status());
    }
    auto reply = CallHttp(*address, request, kCallTimeout);
    if (!reply.ok()) {
      std::cerr << text << ": " << reply.status().message() << "\n";
      continue;
    }
    if (reply->mStatus != kOtherHost) {
      std::cout << reply->mBody << "\n";
      return reply->mStatus < kFirstErrorStatus ? kExitSuccess : kExitRefused;
    }
  }
  return ReportError(
    MakeError(ErrorKind::ConnectionRefused, "none of the entry hosts owns the queue's shard"));
}

}

void
AddWhereCommand(CLI::App& aExplain, CommandContext& aContext)
{
  auto arguments = std::make_shared<WhereArguments>();
  auto* command = aExplain.add_subcommand(
    "where", "Where a job would go now and why, without submitting it; prints JSON");
  command->add_option("--metrics", arguments->mMetrics, "Metrics address of each entry host")
    ->delimiter(',')
    ->required();
  command->add_option("--host", arguments->mHost, "The host that a caller would name")->required();
  command->add_option("--path", arguments->mPath, "The path of the submission")->required();
  command->add_option("--file", arguments->mFile, "The body of the submission")->required();
  command->add_option("--tenant", arguments->mTenant, "The tenant whose key the caller would show");
  command->callback(
    [&aContext, arguments] { aContext.mRun = [arguments] { return ExplainWhere(*arguments); }; });
}

}
