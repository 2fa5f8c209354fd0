#include "platform/CallLanes.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace sesameseam;
using namespace sesameseam::platform;
using namespace sesameseam::schedule;

namespace {

ReadCall
Read(Stream aStream, int aPartition, Reader aReader)
{
  ReadCall call;
  call.mStream = aStream;
  call.mPartition = aPartition;
  call.mReader = aReader;
  return call;
}

}

BOOST_AUTO_TEST_SUITE(TheCallLanes)

// The owner of four shards waits for news of eight partitions. With six connections for all waits,
// the operator's stream was read only once another wait was over.
BOOST_AUTO_TEST_CASE(waits_for_news_do_not_hold_each_other_up)
{
  std::set<std::string> lanes{ LaneOf(Read(Stream::Operator, 0, Reader::Follower)),
                               LaneOf(Read(Stream::Fleet, 0, Reader::Follower)),
                               LaneOf(Read(Stream::Fleet, 1, Reader::Follower)) };
  for (int partition = 0; partition < 4; ++partition) {
    lanes.insert(LaneOf(Read(Stream::Jobs, partition, Reader::Owner)));
    lanes.insert(LaneOf(Read(Stream::Jobs, partition, Reader::View)));
  }
  BOOST_TEST(lanes.size() == 11u);
}

BOOST_AUTO_TEST_CASE(a_partition_that_does_not_answer_holds_up_no_other)
{
  AppendCall first;
  AppendCall second;
  second.mPartition = 1;
  BOOST_TEST(LaneOf(first) != LaneOf(second));
  second = first;
  second.mStream = Stream::Progress;
  BOOST_TEST(LaneOf(first) != LaneOf(second));
  ReadNewestCall load;
  BOOST_TEST(LaneOf(load) != LaneOf(Read(load.mStream, load.mPartition, load.mReader)));
  BOOST_TEST(LaneOf(load) != kMembershipLane);
}

BOOST_AUTO_TEST_SUITE_END()
