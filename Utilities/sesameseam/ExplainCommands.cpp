#include "Commands.h"
#include "LibExplain/Explain.h"

#include <fstream>
#include <iostream>

namespace sesameseam {

namespace {

void
Print(const explain::LogLine& aLine)
{
  std::cout << aLine.mTimeMs << " " << aLine.mHost << " " << aLine.mEvent;
  for (const auto* part : { &aLine.mSubject, &aLine.mOutcome, &aLine.mReason }) {
    if (!part->empty()) {
      std::cout << ", " << *part;
    }
  }
  std::cout << "\n";
}

int
ExplainJob(const std::string& aJob, const std::vector<std::string>& aFiles)
{
  std::vector<explain::LogLine> lines;
  int unreadable = 0;
  for (const auto& name : aFiles) {
    std::ifstream file(name);
    if (!file) {
      return ReportError(MakeError(ErrorKind::BadField, "cannot read " + name));
    }
    for (std::string text; std::getline(file, text);) {
      auto line = explain::ParseLogLine(text);
      if (line.ok()) {
        lines.push_back(*std::move(line));
      } else {
        ++unreadable;
      }
    }
  }
  auto explanation = explain::Explain(std::move(lines), aJob);
  auto owner = explanation.mTenant.empty() ? "" : " of " + explanation.mTenant;
  std::cout << aJob << owner << ": " << explanation.mSummary << "\n";
  for (const auto& line : explanation.mEvidence) {
    Print(line);
  }
  if (unreadable > 0) {
    std::cerr << unreadable << " lines are no lines of the log, and were left out\n";
  }
  return explanation.mCause == explain::Cause::NotFound ? kExitRefused : kExitSuccess;
}

}

void
AddExplainCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto job = std::make_shared<std::string>();
  auto files = std::make_shared<std::vector<std::string>>();
  auto* command = aApp.add_subcommand(
    "explain", "What became of a job and why, from the logs of all entry hosts");
  command->add_option("job", *job, "The job's id");
  command->add_option("file", *files, "Files with lines of the log");
  command->callback([&aContext, command, job, files] {
    if (!command->get_subcommands().empty()) {
      return;
    }
    if (job->empty() || files->empty()) {
      throw CLI::RequiredError("a job's id and a file with lines of the log");
    }
    aContext.mRun = [job, files] { return ExplainJob(*job, *files); };
  });
  AddWhereCommand(*command, aContext);
}

}
