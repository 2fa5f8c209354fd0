#include "Commands.h"

#include <iomanip>
#include <iostream>

namespace sesameseam {

namespace {

constexpr int kNameWidth = 16;

struct HostArguments
{
  HostAdded mAdded;
  HostLeaving mLeaving;
  PoolName mDestination;
  std::optional<Offset> mBasedOn;
};

int
ListHosts(const CommandContext& aContext)
{
  auto status = FetchStatus(aContext.mClient);
  if (!status.ok()) {
    return ReportError(status.status());
  }
  if (aContext.mJson) {
    std::cout << ToJson(status->mHosts) << "\n";
    return kExitSuccess;
  }
  for (const auto& host : status->mHosts) {
    std::cout << std::left << std::setw(kNameWidth) << host.mHost.mValue << std::setw(kNameWidth)
              << host.mPool.mValue << std::setw(kNameWidth) << EnumName(host.mPhase) << std::right
              << " rack " << host.mRack << ", zone " << host.mZone << ", " << host.mSlots
              << " slots at " << host.mAddress << "\n";
  }
  return kExitSuccess;
}

void
AddHostAddCommand(CLI::App& aGroup,
                  CommandContext& aContext,
                  const std::shared_ptr<HostArguments>& aArguments)
{
  auto* add = aGroup.add_subcommand("add", "Put a new host into a pool");
  auto& added = aArguments->mAdded;
  add->add_option("host", added.mHost.mValue)->required();
  add->add_option("pool", added.mPool.mValue)->required();
  add->add_option("address", added.mAddress, "Address and port of the executor")->required();
  add->add_option("--rack", added.mRack.mValue);
  add->add_option("--zone", added.mZone.mValue);
  add->add_option("--slots", added.mSlots);
  add->callback([&aContext, aArguments] {
    aContext.mRun = [&aContext, aArguments] {
      return ApplyChange(aContext, "host-added", aArguments->mBasedOn, aArguments->mAdded);
    };
  });
}

void
AddHostLeaveCommands(CLI::App& aGroup,
                     CommandContext& aContext,
                     const std::shared_ptr<HostArguments>& aArguments)
{
  auto* move = aGroup.add_subcommand("move", "Drain a host and move it to another pool");
  move->add_option("host", aArguments->mLeaving.mHost.mValue)->required();
  move->add_option("pool", aArguments->mDestination.mValue)->required();
  AddBasedOnOption(*move, aArguments->mBasedOn);
  move->callback([&aContext, aArguments] {
    aContext.mRun = [&aContext, aArguments] {
      auto leaving = aArguments->mLeaving;
      leaving.mReason = LeaveReason::Move;
      leaving.mDestination = aArguments->mDestination;
      return ApplyChange(aContext, "host-leaving", aArguments->mBasedOn, leaving);
    };
  });

  auto* remove = aGroup.add_subcommand("remove", "Drain a host and take it out of its pool");
  remove->add_option("host", aArguments->mLeaving.mHost.mValue)->required();
  AddBasedOnOption(*remove, aArguments->mBasedOn);
  remove->callback([&aContext, aArguments] {
    aContext.mRun = [&aContext, aArguments] {
      auto leaving = aArguments->mLeaving;
      leaving.mReason = LeaveReason::Removal;
      return ApplyChange(aContext, "host-leaving", aArguments->mBasedOn, leaving);
    };
  });
}

}

void
AddHostCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto arguments = std::make_shared<HostArguments>();
  auto* host = aApp.add_subcommand("host", "Hosts")->require_subcommand(1);
  AddHostAddCommand(*host, aContext, arguments);
  AddHostLeaveCommands(*host, aContext, arguments);
  auto* list = host->add_subcommand("list", "List the hosts with pool and phase");
  list->callback([&aContext] { aContext.mRun = [&aContext] { return ListHosts(aContext); }; });
}

}
