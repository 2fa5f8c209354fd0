#include "Commands.h"
#include "MaintenanceReports.h"

namespace sesameseam {

namespace {

struct MaintenanceArguments
{
  std::string mId;
  std::vector<std::string> mHosts;
  std::string mHost;
  std::optional<Offset> mBasedOn;
};

int
DeclareMaintenance(const CommandContext& aContext, const MaintenanceArguments& aArguments)
{
  MaintenanceDeclared declared{ MaintenanceId(aArguments.mId), {} };
  for (const auto& name : aArguments.mHosts) {
    declared.mHosts.emplace_back(name);
  }
  return ApplyChange(aContext, "maintenance-declared", aArguments.mBasedOn, declared);
}

int
ChangeMaintenancePhase(const CommandContext& aContext,
                       const MaintenanceArguments& aArguments,
                       MaintenancePhase aPhase)
{
  MaintenancePhaseChanged changed{ MaintenanceId(aArguments.mId), aPhase, "by operator" };
  return ApplyChange(aContext, "maintenance-steered", aArguments.mBasedOn, changed);
}

}

void
AddMaintenanceCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto arguments = std::make_shared<MaintenanceArguments>();
  auto* maintenance = aApp.add_subcommand("maintenance", "Maintenance")->require_subcommand(1);
  auto* declare = maintenance->add_subcommand("declare", "Declare hosts for maintenance");
  declare->add_option("id", arguments->mId)->required();
  declare->add_option("hosts", arguments->mHosts)->required();
  declare->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] { return DeclareMaintenance(aContext, *arguments); };
  });
  const std::vector<std::pair<std::string, MaintenancePhase>> phaseCommands = {
    { "pause", MaintenancePhase::Paused },
    { "resume", MaintenancePhase::Running },
    { "cancel", MaintenancePhase::Cancelled },
  };
  for (const auto& [name, phase] : phaseCommands) {
    auto* command = maintenance->add_subcommand(name, "Steer a maintenance");
    command->add_option("id", arguments->mId)->required();
    command->callback([&aContext, arguments, phase = phase] {
      aContext.mRun = [&aContext, arguments, phase] {
        return ChangeMaintenancePhase(aContext, *arguments, phase);
      };
    });
  }
  auto* status = maintenance->add_subcommand("status", "Show how far maintenance is");
  status->add_option("id", arguments->mId, "The maintenance; all if it is left out");
  status->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] { return ShowMaintenance(aContext, arguments->mId); };
  });
  auto* why = maintenance->add_subcommand("why", "Show why a host waits for its maintenance");
  why->add_option("host", arguments->mHost)->required();
  why->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] { return ShowWhyHostWaits(aContext, arguments->mHost); };
  });
}

}
