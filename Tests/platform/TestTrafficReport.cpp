#include "platform/TrafficReport.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::platform;

BOOST_AUTO_TEST_SUITE(TheTrafficReport)

BOOST_AUTO_TEST_CASE(the_kinds_that_move_the_most_bytes_come_first)
{
  TrafficByKind traffic;
  traffic["read jobs"] = { 4, 1, 10, 300 };
  traffic["join"] = { 2, 0, 20, 30 };
  traffic["append jobs"] = { 3, 0, 5000, 0 };
  BOOST_TEST(DescribeTraffic(traffic) == "append jobs 3 calls 5000 bytes (0 unanswered), "
                                         "read jobs 4 calls 310 bytes (1 unanswered), "
                                         "join 2 calls 50 bytes (0 unanswered)");
  for (int i = 0; i < 30; ++i) {
    traffic["kind " + std::to_string(i)] = { 1, 0, 1, 1 };
  }
  BOOST_TEST(DescribeTraffic(traffic).size() < 500u);
}

BOOST_AUTO_TEST_CASE(metrics_have_each_kind_once_in_each_direction)
{
  MetricsText text;
  AddTraffic({ { "join", { 2, 1, 20, 30 } } }, text);
  auto page = text.Print();
  BOOST_TEST(page.find("sesameseam_calls_total{kind=\"join\"} 2") != std::string::npos);
  BOOST_TEST(page.find("sesameseam_calls_unanswered_total{kind=\"join\"} 1") != std::string::npos);
  BOOST_TEST(page.find("sesameseam_call_bytes_total{kind=\"join\",direction=\"sent\"} 20") !=
             std::string::npos);
  BOOST_TEST(page.find("sesameseam_call_bytes_total{kind=\"join\",direction=\"received\"} 30") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
