#include "LibHttp/Address.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <limits>

namespace sesameseam {

namespace {

bool
IsIpNumber(const std::string& aText)
{
  in_addr number{};
  return inet_pton(AF_INET, aText.c_str(), &number) == 1;
}

}

absl::StatusOr<Address>
ParseAddress(const std::string& aText)
{
  auto colon = aText.rfind(':');
  int port = 0;
  if (colon == std::string::npos || !IsIpNumber(aText.substr(0, colon)) ||
      !absl::SimpleAtoi(aText.substr(colon + 1), &port) || port <= 0 ||
      port > std::numeric_limits<std::uint16_t>::max()) {
    return MakeError(ErrorKind::BadField,
                     "'" + aText + "' must be an IP number with a port, such as 10.0.0.7:8080");
  }
  return Address{ aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

}
