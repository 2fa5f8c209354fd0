#include "Actions.h"
#include "LibSchedule/CallerRequests.h"
#include "LibSchedule/Node.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr char kJob[] = "00000000000000ab";

Now
At(Duration aTime)
{
  return { Instant(aTime), TimePoint(1000s) };
}

Node
NodeWithQueue()
{
  Node node;
  Manifest manifest{ 111, {}, {} };
  Route route;
  route.mHost = "x";
  route.mPrefix = "/previews/";
  route.mQueue = QueueName("previews");
  route.mService = ServiceName("studio");
  manifest.mRoutes.push_back(route);
  node.mFollower.mManifest = manifest;
  return node;
}

CallerRequest
RequestOf(RequestKind aKind)
{
  CallerRequest request;
  request.mKind = aKind;
  request.mHost = "x";
  request.mPath = std::string("/previews/") + kJob;
  JobDefinition job;
  job.mSteps = { MakeStep(1, 1) };
  request.mJob = job;
  return request;
}

// The caller got 503, and the log has one line that says so and why.
void
CheckIsRefused(const Actions& aActions, std::string_view aEvent, std::string_view aReason)
{
  auto replies = Select<Reply>(aActions);
  BOOST_REQUIRE(replies.size() == 1u);
  BOOST_TEST((replies[0].mKind == ReplyKind::Refused));
  auto lines = Select<LogEntry>(aActions);
  BOOST_REQUIRE(lines.size() == 1u);
  BOOST_TEST(lines[0].mEvent == aEvent);
  BOOST_TEST(lines[0].mJob == kJob);
  BOOST_TEST(lines[0].mReason == aReason);
}

}

BOOST_AUTO_TEST_SUITE(TheRefusals)

// Guards against jobs that `sesameseam explain` says nobody refused: the line had a name of its own
// where it was not known yet where the jobs of the queue are stored.
BOOST_AUTO_TEST_CASE(a_job_whose_queue_has_no_known_home_is_logged_as_refused)
{
  for (auto kind : { RequestKind::Submit, RequestKind::State, RequestKind::Cancel }) {
    auto node = NodeWithQueue();
    Actions actions;
    OnCallerRequest(node, At(1s), RequestOf(kind), actions);
    BOOST_TEST(actions.empty());
    ResumeWaitingRequests(node, At(10s), actions);
    CheckIsRefused(actions,
                   kind == RequestKind::Submit ? "job-refused" : "state-unknown",
                   "where jobs of its queue are stored is not known: the log does not answer");
  }
}

// Guards against a refusal without a line.
BOOST_AUTO_TEST_CASE(a_job_that_comes_before_the_first_manifest_is_logged_as_refused)
{
  for (auto kind : { RequestKind::Submit, RequestKind::State, RequestKind::Cancel }) {
    Node node;
    Actions actions;
    OnCallerRequest(node, At(1s), RequestOf(kind), actions);
    CheckIsRefused(actions,
                   kind == RequestKind::Submit ? "job-refused" : "state-unknown",
                   "no manifest is known yet");
  }
}

BOOST_AUTO_TEST_SUITE_END()
