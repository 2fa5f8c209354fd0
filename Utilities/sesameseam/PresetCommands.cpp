#include "Commands.h"

#include <iostream>

namespace sesameseam {

namespace {

struct PresetArguments
{
  PresetChosen mChosen;
  std::optional<Offset> mBasedOn;
};

int
ListPresets(const CommandContext& aContext, const PoolName& aPool)
{
  auto status = FetchStatus(aContext.mClient);
  if (!status.ok()) {
    return ReportError(status.status());
  }
  for (const auto& pool : status->mPools) {
    if (pool.mDefinition.mPool != aPool) {
      continue;
    }
    if (aContext.mJson) {
      std::cout << ToJson(pool.mDefinition.mPresets) << "\n";
      return kExitSuccess;
    }
    for (const auto& preset : pool.mDefinition.mPresets) {
      std::cout << preset.mName << (preset.mName == pool.mInForce ? "  IN FORCE" : "") << "\n";
    }
    return kExitSuccess;
  }
  return ReportError(MakeError(ErrorKind::UnknownPool,
                               "no pool '" + aPool.mValue + "'; see 'sesameseam pool list'"));
}

}

void
AddPresetCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto arguments = std::make_shared<PresetArguments>();
  auto* preset = aApp.add_subcommand("preset", "Presets of pools")->require_subcommand(1);
  auto* choose = preset->add_subcommand("choose", "Choose the preset in force");
  choose->add_option("pool", arguments->mChosen.mPool.mValue)->required();
  choose->add_option("preset", arguments->mChosen.mPreset.mValue)->required();
  AddBasedOnOption(*choose, arguments->mBasedOn);
  choose->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] {
      return ApplyChange(aContext, "preset-chosen", arguments->mBasedOn, arguments->mChosen);
    };
  });

  auto* list = preset->add_subcommand("list", "List the presets of a pool");
  list->add_option("pool", arguments->mChosen.mPool.mValue)->required();
  list->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] {
      return ListPresets(aContext, arguments->mChosen.mPool);
    };
  });
}

}
