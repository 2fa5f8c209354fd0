#include "LibSchedule/Shard.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

JobDefinition
DefinitionOf(std::vector<Step> aSteps)
{
  JobDefinition definition;
  definition.mService = ServiceName("s");
  definition.mSteps = std::move(aSteps);
  return definition;
}

}

BOOST_AUTO_TEST_SUITE(ForeignJobRecords)

// Guards against a record that takes down every owner of the shard in turn, since it stays in the
// log.
BOOST_AUTO_TEST_CASE(a_job_with_impossible_values_is_left_out_and_named)
{
  auto shard = MakeShard(0, {}, Instant(100s));
  shard.mPhase = ShardPhase::Active;
  Now now{ Instant(100s), TimePoint(5000s) };
  std::vector<JobDefinition> impossible = { DefinitionOf({}),
                                            DefinitionOf({ MakeStep(-1, 1) }),
                                            DefinitionOf({ MakeStep(0, 1) }),
                                            DefinitionOf({ After(MakeStep(1, 1), { 7 }) }),
                                            DefinitionOf({ After(MakeStep(1, 1), { -1 }) }) };
  for (const auto& definition : impossible) {
    Actions actions;
    KeyedRecord record{ "00000000000000ab", EncodeJob(definition), 4 };
    schedule::detail::ApplyJobRecord(shard, now, record, actions);
    BOOST_TEST(shard.mJobs.empty());
    BOOST_REQUIRE(actions.size() == 1u);
    BOOST_TEST(std::get<LogEntry>(actions.front()).mEvent == "job-unreadable");
  }
}

// The host that accepted the first job had a clock that was ahead.
BOOST_AUTO_TEST_CASE(a_clock_that_is_ahead_uses_up_nothing_of_its_tenant)
{
  auto shard = MakeShard(0, {}, Instant(100s));
  shard.mPhase = ShardPhase::Active;
  Tenant tenant;
  tenant.mName = TenantName("t1");
  tenant.mWeight = 1;
  UpdateTenants(shard.mTenantShares, { tenant });
  auto accept = [&](const std::string& aId, Duration aSince, Duration aAhead) {
    auto definition = DefinitionOf({ MakeStep(1, 1) });
    definition.mTenant = tenant.mName;
    definition.mAcceptedAt = TimePoint(5000s + aSince + aAhead);
    Actions actions;
    Now now{ Instant(100s + aSince), TimePoint(5000s + aSince) };
    schedule::detail::ApplyJobRecord(shard, now, { aId, EncodeJob(definition), 4 }, actions);
    return shard.mJobs.at(JobId(aId)).mIsBeyondWeight;
  };
  accept("0000000000000001", 0s, 3600s);
  for (int i = 2; i < 6; ++i) {
    BOOST_TEST(!accept("000000000000000" + std::to_string(i), i * 10s, 0s));
  }
}

BOOST_AUTO_TEST_SUITE_END()
