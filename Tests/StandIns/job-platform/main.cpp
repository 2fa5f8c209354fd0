#include "JobPlatform.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <event2/event.h>
#include <iostream>

using namespace sesameseam;
using namespace sesameseam::standin;

namespace {

// Parses "LISTEN" or "LISTEN=LISTED".
ExecutorAddresses
ParseAddresses(const std::string& aText)
{
  auto equals = aText.find('=');
  if (equals == std::string::npos) {
    return { aText, aText };
  }
  return { aText.substr(0, equals), aText.substr(equals + 1) };
}

}

int
main(int aCount, char** aArguments)
{
  CLI::App app("Fakes the users' platform in tests");
  std::string store;
  std::vector<std::string> executors;
  app.add_option("--store", store, "Address of the store and of the machine list")->required();
  app
    .add_option("--executor",
                executors,
                "Address that an executor listens on, and after = the one it is listed with")
    ->type_name("LISTEN[=LISTED]");
  CLI11_PARSE(app, aCount, aArguments);

  signal(SIGPIPE, SIG_IGN);
  auto* base = event_base_new();
  std::vector<ExecutorAddresses> addresses;
  addresses.reserve(executors.size());
  for (const auto& executor : executors) {
    addresses.push_back(ParseAddresses(executor));
  }
  Platform platform(base, store, addresses);
  auto started = platform.Listen();
  if (!started.ok()) {
    std::cerr << started.message() << "\n";
    return 1;
  }
  constexpr int kTickMicroseconds = 5000;
  timeval interval{ 0, kTickMicroseconds };
  auto* tick = event_new(
    base,
    -1,
    EV_PERSIST,
    [](int, short, void* aPlatform) { static_cast<Platform*>(aPlatform)->Tick(); },
    &platform);
  event_add(tick, &interval);
  event_base_dispatch(base);
  return 0;
}
