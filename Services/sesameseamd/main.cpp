#include "LibDaemon/Daemon.h"
#include "LibDaemon/EntryServer.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <glog/logging.h>
#include <iostream>

namespace {

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

int
Fail(const absl::Status& aError, int aExit)
{
  std::cerr << "sesameseamd: " << sesameseam::NameOf(sesameseam::KindOf(aError)) << ": "
            << aError.message() << "\n";
  return aExit;
}

// Blocks the stop signals in all threads. The main thread receives them with sigwait, so no signal
// handler interrupts other code.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

absl::Status
Run(const sesameseam::Settings& aSettings, const std::string& aToken, const sigset_t& aSignals)
{
  auto address = TRY(sesameseam::ParseAddress(aSettings.mPlatformAddress));
  auto platform = TRY(sesameseam::MakePlatform(aSettings.mPlatform, address));
  auto target = TRY(sesameseam::FindTargetClient(aSettings.mTargetClient));
  sesameseam::Daemon daemon(aSettings, std::move(platform), std::move(target));
  sesameseam::EntryServer server(daemon, aToken);
  TRY(server.Start());
  daemon.Start();
  LOG(INFO) << "entry host " << aSettings.mName << " started";
  int signal = 0;
  sigwait(&aSignals, &signal);
  LOG(INFO) << "entry host " << aSettings.mName << " stops";
  daemon.Stop();
  server.Stop();
  LOG(INFO) << "entry host " << aSettings.mName << " stopped";
  return absl::OkStatus();
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("The daemon of a sesameseam entry host");
  std::string file;
  bool check = false;
  app.add_option("--settings", file, "The settings file (JSON)")->required();
  app.add_flag("--check", check, "Check the settings and exit");
  app.set_version_flag("--version", "sesameseamd " SESAMESEAM_VERSION);
  CLI11_PARSE(app, aCount, aArguments);

  auto signals = BlockStopSignals();
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("sesameseamd");
  auto settings = sesameseam::LoadSettings(file);
  if (!settings.ok()) {
    return Fail(settings.status(), kExitBadSettings);
  }
  auto token = sesameseam::ReadToken(settings->mOperatorTokenFile);
  if (!token.ok()) {
    return Fail(token.status(), kExitBadSettings);
  }
  if (check) {
    std::cout << file << ": the settings are valid\n";
    return kExitOk;
  }
  auto status = Run(*settings, *token, signals);
  return status.ok() ? kExitOk : Fail(status, kExitCannotStart);
}
