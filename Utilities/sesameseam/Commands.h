#pragma once

#include "OperatorClient.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <optional>
#include <string>

// The groups of commands of the operators' command line, one file for each group.
namespace sesameseam {

constexpr int kExitSuccess = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsageError = 2;
constexpr int kExitUnreachable = 3;
constexpr int kExitNotInForce = 4;
constexpr int kExitNotAnswered = 5;

// What all commands share. The command that was chosen sets mRun, which runs after the parsing.
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

// Prints what was wrong and gives the exit code for it.
int
ReportError(const absl::Status& aError);

// Adds --based-on, by which the fold refuses a change whose subject has changed since.
void
AddBasedOnOption(CLI::App& aCommand, std::optional<Offset>& aBasedOn);

// Sends a change, prints what the fold decided, and waits for it to be in force with --wait.
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
