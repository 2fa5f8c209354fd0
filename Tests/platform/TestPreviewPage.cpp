#include "platform/PreviewPage.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;
using namespace sesameseam::platform;

namespace {

constexpr char kQuery[] = "host=a.example&path=/a/0123456789abcdef";
constexpr char kJob[] = R"({"spec":"x","steps":[{"count":1,"cpu":1000}]})";

Node
MakeNodeWithManifest()
{
  auto node = MakeNode({ .mName = "e1" });
  Manifest manifest;
  manifest.mVersion = 3;
  Route route;
  route.mQueue = QueueName("q");
  route.mHost = "a.example";
  route.mPrefix = "/a/";
  route.mService = ServiceName("s");
  manifest.mRoutes.push_back(route);
  node.mFollower.mManifest = manifest;
  return node;
}

bool
Says(const CallerResponse& aAnswer, const std::string& aText)
{
  return aAnswer.mBody.find(aText) != std::string::npos;
}

}

BOOST_AUTO_TEST_SUITE(ThePreviewPage)

BOOST_AUTO_TEST_CASE(a_host_that_does_not_own_the_shard_says_so)
{
  auto answer = AnswerPreview(MakeNodeWithManifest(), {}, kQuery, kJob);
  BOOST_TEST(answer.mStatus == 421);
  BOOST_TEST(Says(answer, R"("outcome":"not-owner")"));
  BOOST_TEST(Says(answer, R"("pool":"s")"));
}

BOOST_AUTO_TEST_CASE(what_a_caller_would_be_refused_is_refused_here)
{
  auto node = MakeNodeWithManifest();
  BOOST_TEST(Says(AnswerPreview(node, {}, "host=b.example&path=/a/", kJob), "no-queue"));
  BOOST_TEST(Says(AnswerPreview(node, {}, "", kJob), "no-queue"));
  BOOST_TEST(Says(AnswerPreview(MakeNode({}), {}, kQuery, kJob), "no-manifest"));
  auto answer = AnswerPreview(node, {}, kQuery, "{");
  BOOST_TEST(answer.mStatus == 400);
  BOOST_TEST(Says(answer, "invalid"));
}

BOOST_AUTO_TEST_CASE(the_owner_tells_where_tasks_would_start)
{
  auto node = MakeNodeWithManifest();
  auto number = PartitionOf(ServiceName("s"), node.mSettings.mPartitions);
  auto shard = MakeShard(number, {}, Instant());
  shard.mPhase = ShardPhase::Active;
  Executor executor;
  executor.mEntry.mId = ExecutorId("x1");
  executor.mEntry.mService = ServiceName("s");
  executor.mEntry.mCapacity = { 4000, 1000, 0 };
  executor.mHasAnsweredHeartbeat = true;
  shard.mExecutors.emplace(executor.mEntry.mId, executor);
  node.mShards.emplace(number, std::move(shard));
  auto answer = AnswerPreview(node, {}, kQuery, kJob);
  BOOST_TEST(answer.mStatus == 200);
  BOOST_TEST(Says(answer, R"("placed":{"x1":1})"));
}

BOOST_AUTO_TEST_SUITE_END()
