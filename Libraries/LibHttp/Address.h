#pragma once

#include "LibBase/Error.h"

#include <cstdint>
#include <string>

namespace sesameseam {

// An IP number and a port, written "10.0.0.7:8080".
struct Address
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

absl::StatusOr<Address>
ParseAddress(const std::string& aText);

}
