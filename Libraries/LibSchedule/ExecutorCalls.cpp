#include "LibSchedule/ExecutorCalls.h"

namespace sesameseam::schedule {

namespace {

ExecutorAnswer
AnswerTo(const HeartbeatCall& aCall)
{
  return HeartbeatAnswer{ aCall };
}

ExecutorAnswer
AnswerTo(const StartCall& aCall)
{
  return StartAnswer{ aCall };
}

ExecutorAnswer
AnswerTo(const StopCall& aCall)
{
  return StopAnswer{ aCall };
}

ExecutorAnswer
AnswerTo(const ThrottleCall& aCall)
{
  return ThrottleAnswer{ aCall };
}

}

ExecutorAnswer
Unanswered(const ExecutorCall& aCall)
{
  return std::visit([](const auto& aValue) { return AnswerTo(aValue); }, aCall);
}

}
