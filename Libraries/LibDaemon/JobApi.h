#pragma once

#include "LibDaemon/Daemon.h"
#include "LibHttp/HttpMessage.h"

namespace sesameseam {

// Handles POST /job and GET /job?id=ID for callers. A job is accepted once its record has been
// appended to the log and folded. Submitting an id again returns the existing job.
HttpReply
ServeJob(Daemon& aDaemon, const HttpRequest& aMessage);

}
