#include "LibPlatform/Target.h"

#include <map>

namespace sesameseam {

namespace {

std::map<std::string, TargetClient>&
RegisteredClients()
{
  static std::map<std::string, TargetClient> clients;
  return clients;
}

}

bool
RegisterTargetClient(const std::string& aName, TargetClient aClient)
{
  return RegisteredClients().emplace(aName, std::move(aClient)).second;
}

absl::StatusOr<TargetClient>
FindTargetClient(const std::string& aName)
{
  auto found = RegisteredClients().find(aName);
  if (found == RegisteredClients().end()) {
    return MakeError(ErrorKind::BadSettings, "unknown target client '" + aName + "'");
  }
  return found->second;
}

}
