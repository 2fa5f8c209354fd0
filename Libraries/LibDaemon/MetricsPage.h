#pragma once

#include "LibDaemon/Daemon.h"
#include "LibHttp/HttpMessage.h"

namespace sesameseam {

// Counters in the text form that common monitoring reads.
HttpReply
ServeMetrics(Daemon& aDaemon);

}
