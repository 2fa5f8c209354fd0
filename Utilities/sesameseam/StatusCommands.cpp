#include "Commands.h"
#include "LibDaemon/Alarms.h"

#include <iomanip>
#include <iostream>
#include <thread>

namespace sesameseam {

namespace {

constexpr int kNameWidth = 18;
constexpr int kNumberWidth = 9;
constexpr int kDefaultWatchSeconds = 2;

struct StatusArguments
{
  bool mWatch = false;
  int mInterval = kDefaultWatchSeconds;
};

// Content of the status screen and of the output of --json.
struct StatusScreen
{
  StatusReply mStatus;
  std::vector<LoadReply> mLoads;
  std::vector<PoolSummary> mPools;
  std::vector<Alarm> mAlarms;
};

template<typename V>
void
VisitFields(V& aVisit, StatusScreen& aScreen)
{
  aVisit("status", aScreen.mStatus);
  aVisit("entry_hosts", aScreen.mLoads);
  aVisit("pools", aScreen.mPools);
  aVisit("alarms", aScreen.mAlarms);
}

absl::StatusOr<LoadReply>
FetchLoad(const OperatorClient& aClient, const Address& aEntryHost)
{
  auto client = aClient;
  client.mEntryHosts = { aEntryHost };
  return FromJson<LoadReply>(TRY(Fetch(client, "/load")));
}

absl::StatusOr<StatusScreen>
FetchScreen(const OperatorClient& aClient)
{
  StatusScreen screen;
  screen.mStatus = TRY(FetchStatus(aClient));
  for (const auto& entryHost : aClient.mEntryHosts) {
    auto load = FetchLoad(aClient, entryHost);
    if (load.ok()) {
      screen.mLoads.push_back(std::move(*load));
    } else {
      screen.mAlarms.push_back({ AlarmKind::EntryHostDown,
                                 "the entry host at " + entryHost.mHost + ":" +
                                   std::to_string(entryHost.mPort) + " does not answer" });
    }
  }
  screen.mPools = SummarizePools(screen.mStatus, screen.mLoads);
  for (auto& alarm : ComputeAlarms(screen.mStatus, screen.mLoads)) {
    screen.mAlarms.push_back(std::move(alarm));
  }
  return screen;
}

void
PrintRow(const std::string& aName, const std::vector<std::string>& aCells)
{
  std::cout << "  " << std::left << std::setw(kNameWidth) << aName << std::right;
  for (const auto& cell : aCells) {
    std::cout << std::setw(kNumberWidth) << cell;
  }
  std::cout << "\n";
}

std::string
FormatAge(Duration aDuration)
{
  return FormatDuration(ToMilliseconds(aDuration));
}

void
PrintAlarms(const StatusScreen& aScreen)
{
  std::cout << "ALARMS: " << (aScreen.mAlarms.empty() ? "none" : "") << "\n";
  for (const auto& alarm : aScreen.mAlarms) {
    std::cout << "  " << EnumName(alarm.mKind) << ": " << alarm.mText << "\n";
  }
}

void
PrintMembers(const StatusScreen& aScreen)
{
  std::cout << "MEMBERS\n";
  PrintRow("member", { "version", "behind", "silent" });
  for (const auto& member : aScreen.mStatus.mMembers) {
    PrintRow(member.mMember.mValue,
             { std::to_string(member.mVersion),
               std::to_string(aScreen.mStatus.mVersion - member.mVersion),
               FormatAge(member.mLastReportAgo) });
  }
}

void
PrintLog(const StatusScreen& aScreen)
{
  std::cout << "LOG as each entry host reaches it\n";
  PrintRow("entry host", { "read", "app.fail", "rd.fail", "unread." });
  for (const auto& load : aScreen.mLoads) {
    PrintRow(load.mMember.mValue,
             { FormatAge(load.mLogConfirmedAgo) + " ago",
               std::to_string(load.mAppendsFailed),
               std::to_string(load.mReadsFailed),
               std::to_string(load.mUnreadable) });
  }
}

void
PrintPools(const StatusScreen& aScreen)
{
  std::cout << "POOLS\n";
  PrintRow("pool",
           { "preset",
             "need",
             "buffer",
             "service",
             "leaving",
             "queued",
             "running",
             "refused",
             "not-run",
             "unknown" });
  for (const auto& pool : aScreen.mPools) {
    PrintRow(pool.mPool.mValue + (pool.mSpare ? " (spare)" : ""),
             { pool.mInForce.mValue.substr(0, kNumberWidth - 1),
               std::to_string(pool.mNeeded),
               std::to_string(pool.mBuffer),
               std::to_string(pool.mInService),
               std::to_string(pool.mLeaving),
               std::to_string(pool.mLoad.mQueued),
               std::to_string(pool.mLoad.mRunning),
               std::to_string(pool.mLoad.mRefused),
               std::to_string(pool.mLoad.mNotRun),
               std::to_string(pool.mLoad.mUnknown) });
  }
}

void
PrintMaintenances(const StatusScreen& aScreen)
{
  if (aScreen.mStatus.mMaintenances.empty()) {
    return;
  }
  std::cout << "MAINTENANCE\n";
  for (const auto& maintenance : aScreen.mStatus.mMaintenances) {
    std::cout << "  " << maintenance.mMaintenance << " " << EnumName(maintenance.mPhase) << " "
              << maintenance.mFinished << " of " << maintenance.mHosts << " hosts"
              << (maintenance.mReason.empty() ? "" : ", " + maintenance.mReason) << "\n";
  }
}

void
PrintScreen(const StatusScreen& aScreen)
{
  const auto& status = aScreen.mStatus;
  std::cout << "version " << status.mVersion << " at entry host " << status.mMember
            << (status.mReady ? "" : " (NOT READY)") << ", confirmed "
            << FormatAge(status.mConfirmedAgo) << " ago, leader " << status.mLeader.mMember << "\n";
  PrintAlarms(aScreen);
  PrintMembers(aScreen);
  PrintLog(aScreen);
  PrintPools(aScreen);
  PrintMaintenances(aScreen);
}

int
ShowStatus(const CommandContext& aContext)
{
  auto screen = FetchScreen(aContext.mClient);
  if (!screen.ok()) {
    return ReportError(screen.status());
  }
  if (aContext.mJson) {
    std::cout << ToJson(*screen) << std::endl;
  } else {
    PrintScreen(*screen);
    std::cout << std::flush;
  }
  return kExitSuccess;
}

// Refreshes the screen until the process is terminated. If no entry host can be reached, prints the
// error and tries again at the next refresh.
int
WatchStatus(const CommandContext& aContext, std::chrono::seconds aInterval)
{
  for (;;) {
    if (!aContext.mJson) {
      std::cout << "\033[2J\033[H";
    }
    ShowStatus(aContext);
    std::this_thread::sleep_for(aInterval);
  }
}

}

void
AddStatusCommands(CLI::App& aApp, CommandContext& aContext)
{
  auto arguments = std::make_shared<StatusArguments>();
  auto* status = aApp.add_subcommand("status", "Show the deployment on one screen");
  status->add_flag("--watch", arguments->mWatch, "Renew the screen until interrupted");
  status->add_option("--interval", arguments->mInterval, "Seconds between two screens")
    ->check(CLI::Range(1, 3600));
  status->callback([&aContext, arguments] {
    aContext.mRun = [&aContext, arguments] {
      std::chrono::seconds interval(arguments->mInterval);
      return arguments->mWatch ? WatchStatus(aContext, interval) : ShowStatus(aContext);
    };
  });
}

}
