#include "Commands.h"
#include "LibDaemon/Settings.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace {

using namespace sesameseam;

absl::Status
ConfigureClient(OperatorClient& aClient,
                const std::vector<std::string>& aEntryHosts,
                const std::string& aTokenFile)
{
  for (const auto& text : aEntryHosts) {
    aClient.mEntryHosts.push_back(TRY(ParseAddress(text)));
  }
  if (!aTokenFile.empty()) {
    aClient.mToken = TRY(ReadToken(aTokenFile));
  }
  return absl::OkStatus();
}

// Prints the parse error and the subcommands of the innermost command that was parsed.
int
ReportParseError(const CLI::App& aApp, const CLI::ParseError& aError)
{
  if (aError.get_exit_code() == static_cast<int>(CLI::ExitCodes::Success)) {
    return aApp.exit(aError);
  }
  const auto* parsedCommand = &aApp;
  std::string path = "sesameseam";
  while (!parsedCommand->get_subcommands().empty()) {
    parsedCommand = parsedCommand->get_subcommands().front();
    path += " " + parsedCommand->get_name();
  }
  std::cerr << path << ": " << aError.what() << "\n";
  std::string known;
  for (const auto* command : parsedCommand->get_subcommands(nullptr)) {
    known += (known.empty() ? "" : ", ") + command->get_name();
  }
  if (!known.empty()) {
    std::cerr << "Commands here: " << known << "\n";
  }
  std::cerr << "See '" << path << " --help'.\n";
  return kExitUsageError;
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Operates a sesameseam deployment.\n"
               "Exit codes: 0 done, 1 refused by the fold, 2 wrong use or settings, "
               "3 no entry host could be reached, 4 not in force everywhere in time, "
               "5 a request was not answered.");
  app.set_version_flag("--version", "sesameseam " SESAMESEAM_VERSION);
  app.require_subcommand(1);
  // Accepts the options that all commands share both before and after the command.
  app.fallthrough();
  std::vector<std::string> entryHosts;
  std::string tokenFile;
  CommandContext context;
  app.add_option("--entry", entryHosts, "Operators' address of an entry host; repeat for more")
    ->envname("SESAMESEAM_ENTRY")
    ->delimiter(',');
  app.add_option("--token-file", tokenFile, "The file with the operators' credential")
    ->envname("SESAMESEAM_TOKEN_FILE");
  app.add_option("--operator", context.mClient.mOperator, "The name that the audit trail shows")
    ->envname("SESAMESEAM_OPERATOR");
  app.add_flag("--json", context.mJson, "Print JSON");
  app.add_flag("--wait", context.mWait, "Wait until the change is in force everywhere");
  AddPoolCommands(app, context);
  AddPresetCommands(app, context);
  AddHostCommands(app, context);
  AddMaintenanceCommands(app, context);
  AddRequestCommands(app, context);
  AddJobCommands(app, context);
  AddStatusCommands(app, context);
  AddAuditCommands(app, context);
  AddSettingsCommands(app, context);
  AddExplainCommands(app, context);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return ReportParseError(app, error);
  }

  auto status = ConfigureClient(context.mClient, entryHosts, tokenFile);
  if (!status.ok()) {
    return ReportError(status);
  }
  return context.mRun();
}
