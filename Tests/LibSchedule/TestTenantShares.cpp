#include "LibSchedule/TenantShares.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

const TenantName kFirst("first");
const TenantName kSecond("second");

TenantShares
MakeShares(double aFirst, double aSecond)
{
  Tenant first;
  first.mName = kFirst;
  first.mWeight = aFirst;
  Tenant second;
  second.mName = kSecond;
  second.mWeight = aSecond;
  TenantShares shares;
  UpdateTenants(shares, { first, second });
  return shares;
}

}

BOOST_AUTO_TEST_SUITE(TheTenantShares)

BOOST_AUTO_TEST_CASE(work_counts_by_weight_and_is_forgotten)
{
  auto shares = MakeShares(1, 4);
  RecordServed(shares, kFirst, 8, Instant(10s));
  RecordServed(shares, kSecond, 8, Instant(10s));
  BOOST_TEST(ServedShare(shares, kFirst, Instant(10s)) == 8);
  BOOST_TEST(ServedShare(shares, kSecond, Instant(10s)) == 2);
  BOOST_TEST(ServedShare(shares, kFirst, Instant(12s)) == 4);
}

// A tenant that was idle for long may not take the whole pool until the others have been made up
// for.
BOOST_AUTO_TEST_CASE(an_idle_tenant_saves_nothing_up)
{
  auto shares = MakeShares(1, 1);
  UpdateWaitingTenants(shares, { kFirst }, Instant(1s));
  RecordServed(shares, kFirst, 100, Instant(60s));
  UpdateWaitingTenants(shares, { kFirst, kSecond }, Instant(60s));
  BOOST_TEST(ServedShare(shares, kSecond, Instant(60s)) ==
             ServedShare(shares, kFirst, Instant(60s)));
}

BOOST_AUTO_TEST_CASE(jobs_beyond_the_weight_are_told_apart)
{
  auto shares = MakeShares(2, 2);
  TimePoint at(100s);
  int within = 0;
  for (int i = 0; i < 100; ++i, at += 100ms) {
    within += CountArrival(shares, kFirst, at) ? 1 : 0;
  }
  // Ten seconds at two a second, and two seconds' worth at once.
  BOOST_TEST(within >= 20);
  BOOST_TEST(within <= 24);
  BOOST_TEST(CountArrival(shares, kSecond, at));
}

BOOST_AUTO_TEST_CASE(a_clock_that_is_behind_earns_nothing)
{
  auto shares = MakeShares(1, 1);
  while (CountArrival(shares, kFirst, TimePoint(100s))) {
  }
  BOOST_TEST(!CountArrival(shares, kFirst, TimePoint(90s)));
  BOOST_TEST(!CountArrival(shares, kFirst, TimePoint(100s)));
}

BOOST_AUTO_TEST_CASE(a_tenant_that_is_not_in_the_manifest_is_served)
{
  auto shares = MakeShares(1, 1);
  TenantName other("withdrawn");
  RecordServed(shares, other, 5, Instant(1s));
  BOOST_TEST(CountArrival(shares, other, TimePoint(1s)));
  BOOST_TEST(ServedShare(shares, other, Instant(1s)) == 0);
  BOOST_TEST(WeightOf(shares, other) == 1);
}

BOOST_AUTO_TEST_CASE(a_new_manifest_keeps_what_was_served_and_sent)
{
  auto shares = MakeShares(1, 1);
  RecordServed(shares, kFirst, 6, Instant(1s));
  while (CountArrival(shares, kFirst, TimePoint(1s))) {
  }
  Tenant heavier;
  heavier.mName = kFirst;
  heavier.mWeight = 2;
  UpdateTenants(shares, { heavier });
  BOOST_TEST(ServedShare(shares, kFirst, Instant(1s)) == 3);
  BOOST_TEST(!CountArrival(shares, kFirst, TimePoint(1s)));
}

// However a tenant spreads its jobs, no more of them than its weight allows are owed.
BOOST_AUTO_TEST_CASE(no_spread_of_arrivals_earns_more_than_the_weight)
{
  BOOST_TEST(rc::check([] {
    auto weight = *rc::gen::inRange(1, 20);
    auto shares = MakeShares(weight, 1);
    TimePoint at(100s);
    int within = 0;
    auto count = *rc::gen::inRange(1, 200);
    for (int i = 0; i < count; ++i) {
      at += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
      within += CountArrival(shares, kFirst, at) ? 1 : 0;
    }
    auto seconds = std::chrono::duration<double>(at - TimePoint(100s)).count();
    RC_ASSERT(within <= weight * (seconds + 2.0) + 1.0);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
