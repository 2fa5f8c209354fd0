#include "Commands.h"
#include "LibDaemon/Settings.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace sesameseam {

namespace {

struct PoolArguments
{
  std::string mFile;
  std::string mPool;
  QuotaSet mQuota;
  std::optional<Offset> mBasedOn;
};

constexpr int kNameWidth = 20;
constexpr int kPresetWidth = 14;

int
DefinePool(const CommandContext& aContext, const PoolArguments& aArguments)
{
  auto text = ReadFile(aArguments.mFile);
  if (!text.ok()) {
    return ReportError(text.status());
  }
  auto pool = FromJson<PoolDefined>(*text);
  if (!pool.ok()) {
    return ReportError(MakeError(ErrorKind::BadField,
                                 aArguments.mFile + ": " + std::string(pool.status().message())));
  }
  return ApplyChange(aContext, "pool-defined", aArguments.mBasedOn, *pool);
}

int
CountHosts(const StatusReply& aStatus, const PoolName& aPool, HostPhase aPhase)
{
  return static_cast<int>(
    std::count_if(aStatus.mHosts.begin(), aStatus.mHosts.end(), [&](const HostState& aHost) {
      return aHost.mPool == aPool && aHost.mPhase == aPhase;
    }));
}

void
PrintPoolLine(const StatusReply& aStatus, const PoolState& aPool)
{
  const auto& name = aPool.mDefinition.mPool;
  std::cout << std::left << std::setw(kNameWidth) << name.mValue << std::setw(kPresetWidth)
            << aPool.mInForce.mValue << std::right << " version " << aPool.mVersion
            << ", in service " << CountHosts(aStatus, name, HostPhase::InService) << ", leaving "
            << CountHosts(aStatus, name, HostPhase::Leaving)
            << (aPool.mDefinition.mSpare ? ", spare" : "") << "\n";
}

int
ListPools(const CommandContext& aContext)
{
  auto status = FetchStatus(aContext.mClient);
  if (!status.ok()) {
    return ReportError(status.status());
  }
  if (aContext.mJson) {
    std::cout << ToJson(status->mPools) << "\n";
    return kExitSuccess;
  }
  for (const auto& pool : status->mPools) {
    PrintPoolLine(*status, pool);
  }
  return kExitSuccess;
}

void
PrintPool(const StatusReply& aStatus, const PoolState& aPool)
{
  PrintPoolLine(aStatus, aPool);
  const auto& definition = aPool.mDefinition;
  std::cout << "  at most " << definition.mMaxUnavailable
            << " out of service, one attempt takes at most "
            << FormatDuration(definition.mAttemptTimeout) << "\n";
  for (const auto& preset : definition.mPresets) {
    std::cout << "  preset " << std::left << std::setw(kPresetWidth) << preset.mName.mValue
              << std::right << " hosts " << preset.mHosts << ", buffer " << preset.mBuffer
              << ", long share " << preset.mLongShare
              << (preset.mName == aPool.mInForce ? "  IN FORCE" : "") << "\n";
  }
  for (const auto& [team, weight] : aPool.mQuotas) {
    std::cout << "  team " << team << " weight " << weight << "\n";
  }
  for (const auto& host : aStatus.mHosts) {
    if (host.mPool == definition.mPool) {
      std::cout << "  host " << host.mHost << " " << EnumName(host.mPhase) << "\n";
    }
  }
}

int
ShowPool(const CommandContext& aContext, const std::string& aPool)
{
  auto status = FetchStatus(aContext.mClient);
  if (!status.ok()) {
    return ReportError(status.status());
  }
  std::string known;
  for (const auto& pool : status->mPools) {
    known += " " + pool.mDefinition.mPool.mValue;
    if (pool.mDefinition.mPool.mValue != aPool) {
      continue;
    }
    if (aContext.mJson) {
      std::cout << ToJson(pool) << "\n";
    } else {
      PrintPool(*status, pool);
    }
    return kExitSuccess;
  }
  return ReportError(
    MakeError(ErrorKind::UnknownPool, "no pool '" + aPool + "'; there are:" + known));
}

}

void
AddPoolCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto arguments = std::make_shared<PoolArguments>();
  auto* pool = aApp.add_subcommand("pool", "Pools of hosts")->require_subcommand(1);
  auto* define = pool->add_subcommand("define", "Create a pool or replace its definition");
  define->add_option("file", arguments->mFile, "The pool with its presets (JSON)")->required();
  AddBasedOnOption(*define, arguments->mBasedOn);
  define->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] { return DefinePool(aContext, *arguments); };
  });

  auto* list = pool->add_subcommand("list", "List the pools with the preset in force");
  list->callback([&aContext] { aContext.mRun = [&aContext] { return ListPools(aContext); }; });

  auto* show = pool->add_subcommand("show", "Show one pool with its presets, teams and hosts");
  show->add_option("pool", arguments->mPool)->required();
  show->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] { return ShowPool(aContext, arguments->mPool); };
  });

  auto* quota = pool->add_subcommand("quota", "Set a team's weight in a pool");
  quota->add_option("pool", arguments->mQuota.mPool.mValue)->required();
  quota->add_option("team", arguments->mQuota.mTeam.mValue)->required();
  quota->add_option("weight", arguments->mQuota.mWeight)->required();
  AddBasedOnOption(*quota, arguments->mBasedOn);
  quota->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] {
      return ApplyChange(aContext, "quota-set", arguments->mBasedOn, arguments->mQuota);
    };
  });
}

}
