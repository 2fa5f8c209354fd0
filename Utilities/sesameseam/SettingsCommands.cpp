#include "LibDaemon/Settings.h"

#include "Commands.h"

#include <iostream>

namespace sesameseam {

namespace {

int
CheckSettings(const std::string& aFile)
{
  auto settings = LoadSettings(aFile);
  if (!settings.ok()) {
    return ReportError(settings.status());
  }
  std::cout << aFile << ": the settings are valid\n";
  return kExitSuccess;
}

}

void
AddSettingsCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto file = std::make_shared<std::string>();
  auto* settings =
    aApp.add_subcommand("settings", "Settings of entry hosts")->require_subcommand(1);
  auto* check = settings->add_subcommand("check", "Check a settings file");
  check->add_option("file", *file)->required();
  check->callback([&aContext, file] { aContext.mRun = [file] { return CheckSettings(*file); }; });
}

}
