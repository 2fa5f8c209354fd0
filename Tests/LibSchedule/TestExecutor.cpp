#include "LibSchedule/Executor.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

BOOST_AUTO_TEST_SUITE(TheLease)

BOOST_AUTO_TEST_CASE(a_lease_expires_only_when_the_slowest_clock_has_reached_its_end)
{
  Executor executor;
  UpdateClock(executor, 10s, Instant(100s));
  auto end = LeaseEnd(executor, { 6000ms }, Instant(100s));
  BOOST_TEST((end <= 16s));
  UpdateLeaseExpiry(executor, end);
  auto length = Duration(end - 10s);
  BOOST_TEST((executor.mLeasesExpiredAt - Instant(100s) > length * 100 / 98));
}

BOOST_AUTO_TEST_CASE(no_lease_is_renewed_before_the_clock_is_known)
{
  Executor executor;
  BOOST_TEST((LeaseEnd(executor, { 6000ms }, Instant(100s)) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
