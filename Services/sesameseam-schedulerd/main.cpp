#include "platform/Daemon.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

namespace {

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;

int
Fail(const absl::Status& aError, int aExit)
{
  std::cerr << "sesameseam-schedulerd: " << sesameseam::NameOf(sesameseam::KindOf(aError)) << ": "
            << aError.message() << "\n";
  return aExit;
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Accepts jobs and schedules them on the executors of a platform");
  std::string file;
  bool check = false;
  app.add_option("--settings", file, "The settings file (JSON)")->required();
  app.add_flag("--check", check, "Check the settings and exit");
  app.set_version_flag("--version", "sesameseam-schedulerd " SESAMESEAM_VERSION);
  CLI11_PARSE(app, aCount, aArguments);

  auto settings = sesameseam::platform::LoadSettings(file);
  if (!settings.ok()) {
    return Fail(settings.status(), kExitBadSettings);
  }
  if (check) {
    std::cout << file << ": the settings are valid\n";
    return kExitOk;
  }
  signal(SIGPIPE, SIG_IGN);
  sesameseam::platform::Daemon daemon(*settings, file);
  auto started = daemon.Start();
  if (!started.ok()) {
    return Fail(started, kExitCannotStart);
  }
  daemon.Run();
  return kExitOk;
}
