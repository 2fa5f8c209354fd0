#include "LibSchedule/CallerRequests.h"
#include "LibSchedule/Node.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

Now
At(Duration aTime)
{
  return { Instant(aTime), TimePoint(1000s) };
}

}

BOOST_AUTO_TEST_SUITE(TheUnknownQueue)

// The log did not tell a caller that was refused by an old manifest from one that asked for a queue
// that is nowhere.
BOOST_AUTO_TEST_CASE(a_refusal_names_the_version_that_decided_and_its_age)
{
  Node node;
  node.mFollower.mManifest = Manifest{ 111, {}, {} };
  node.mFollower.mOperator.mCurrentAsOf = Instant(10s);
  node.mFollower.mOperator.mInFlight = true;
  node.mFollower.mOperator.mSentAt = Instant(11s);
  CallerRequest request;
  request.mHost = "x";
  request.mPath = "/added/00000000000000ab";
  Actions actions;
  OnCallerRequest(node, At(13500ms), request, actions);
  BOOST_REQUIRE(actions.size() == 2u);
  const auto& line = std::get<LogEntry>(actions[0]);
  BOOST_TEST(line.mEvent == "queue-unknown");
  BOOST_TEST(line.mJob == "00000000000000ab");
  BOOST_TEST(line.mSubject == "x/added/00000000000000ab");
  BOOST_TEST(line.mVersion.value_or(0) == 111);
  BOOST_TEST(line.mAge.value_or(0ms).count() == 3500);
  BOOST_TEST(line.mReason == "the read in flight was sent 2500 ms ago");
  BOOST_TEST((std::get<Reply>(actions[1]).mKind == ReplyKind::NoQueue));
}

BOOST_AUTO_TEST_CASE(a_manifest_that_is_still_loading_has_no_age)
{
  Follower follower;
  BOOST_TEST(!ManifestAge(follower, Instant(5s)).has_value());
  follower.mOperator.mCurrentAsOf = Instant(4s);
  BOOST_TEST(ManifestAge(follower, Instant(5s)).value_or(0ms).count() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()
