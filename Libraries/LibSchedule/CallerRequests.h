#pragma once

#include "LibSchedule/Node.h"

// Callers' requests at one entry host: jobs go to the intake, questions to the views.
namespace sesameseam::schedule {

void
OnCallerRequest(Node& aNode, const Now& aNow, const CallerRequest& aRequest, Actions& aActions);

// The view of a partition, from which its questions are answered.
StatusView&
ViewOf(Node& aNode, int aPartition);

// Answers the questions that the log has answered by now, or whose time is over.
void
AnswerQueries(Node& aNode, const Now& aNow, Actions& aActions);

}
