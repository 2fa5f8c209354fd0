#pragma once

#include "LibDaemon/Daemon.h"
#include "LibHttp/HttpMessage.h"

namespace sesameseam {

// The longest deadline that a request may specify.
constexpr Duration kMaxDeadline = std::chrono::hours(1);

// Handles POST /request. docs/CALLERS.md describes the headers and outcomes.
HttpReply
ServeCaller(Daemon& aDaemon, const HttpRequest& aMessage);

}
