#pragma once

#include "OperatorClient.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <optional>
#include <string>

// Command groups of the operators' command-line tool, one source file per group.
namespace sesameseam {

constexpr int kExitSuccess = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsageError = 2;
constexpr int kExitUnreachable = 3;
constexpr int kExitNotInForce = 4;
constexpr int kExitNotAnswered = 5;

// State shared by all commands. The selected command sets mRun, which main() calls after parsing.
struct CommandContext
{
  OperatorClient mClient;
  bool mJson = false;
  bool mWait = false;
  std::function<int()> mRun;
};

void
AddPoolCommands(CLI::App& aApp, CommandContext& aContext);
void
AddPresetCommands(CLI::App& aApp, CommandContext& aContext);
void
AddHostCommands(CLI::App& aApp, CommandContext& aContext);
void
AddMaintenanceCommands(CLI::App& aApp, CommandContext& aContext);
void
AddRequestCommands(CLI::App& aApp, CommandContext& aContext);
void
AddJobCommands(CLI::App& aApp, CommandContext& aContext);
void
AddStatusCommands(CLI::App& aApp, CommandContext& aContext);
void
AddAuditCommands(CLI::App& aApp, CommandContext& aContext);
void
AddSettingsCommands(CLI::App& aApp, CommandContext& aContext);
void
AddExplainCommands(CLI::App& aApp, CommandContext& aContext);

// The command that tells where a job would go now, below the command "explain".
void
AddWhereCommand(CLI::App& aExplain, CommandContext& aContext);

// Prints the error to stderr and returns the exit code for its kind.
int
ReportError(const absl::Status& aError);

// Adds --based-on VERSION. The fold refuses the change if its subject has changed since that
// version.
void
AddBasedOnOption(CLI::App& aCommand, std::optional<Offset>& aBasedOn);

// Sends a change and prints the fold's decision. With --wait, also waits until an accepted change
// is in force on every member.
int
SendAndReport(const CommandContext& aContext,
              const std::string& aKind,
              std::optional<Offset> aBasedOn,
              const JsonValue& aBody);

template<typename T>
int
ApplyChange(const CommandContext& aContext,
            const std::string& aKind,
            std::optional<Offset> aBasedOn,
            const T& aBody)
{
  return SendAndReport(aContext, aKind, aBasedOn, ToJsonValue(aBody));
}

}
