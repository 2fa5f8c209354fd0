#include "LibPlatform/Platform.h"

namespace sesameseam {

namespace {

std::map<std::string, PlatformFactory>&
RegisteredFactories()
{
  static std::map<std::string, PlatformFactory> factories;
  return factories;
}

}

bool
RegisterPlatform(const std::string& aName, PlatformFactory aFactory)
{
  return RegisteredFactories().emplace(aName, std::move(aFactory)).second;
}

absl::StatusOr<Platform>
MakePlatform(const std::string& aName, const Address& aAddress)
{
  auto found = RegisteredFactories().find(aName);
  if (found == RegisteredFactories().end()) {
    return MakeError(ErrorKind::BadSettings, "unknown platform client '" + aName + "'");
  }
  return found->second(aAddress);
}

}
