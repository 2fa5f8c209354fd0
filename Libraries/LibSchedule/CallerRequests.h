#pragma once

#include "LibSchedule/Node.h"

// Handles callers' requests at one entry host: submitted jobs go to the intake, queries to the
// status views.
namespace sesameseam::schedule {

void
OnCallerRequest(Node& aNode, const Now& aNow, CallerRequest aRequest, Actions& aActions);

// Returns the status view that answers the queries of a partition, and creates it if needed.
StatusView&
ViewOf(Node& aNode, int aPartition);

// Answers the queries whose data has been read from the log, and those past their deadline.
// Handles requests again that wait until the home of their queue is known.
void
ResumeWaitingRequests(Node& aNode, const Now& aNow, Actions& aActions);

void
AnswerQueries(Node& aNode, const Now& aNow, Actions& aActions);

}
