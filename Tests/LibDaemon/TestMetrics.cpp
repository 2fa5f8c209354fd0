#include "LibBase/MetricsText.h"
#include "LibDaemon/Alarms.h"
#include "LibDaemon/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;

namespace {

const PoolName kPreviews("previews");

FleetState
FleetWithHosts(int aHosts)
{
  FleetState state;
  auto& pool = state.mPools[kPreviews];
  pool.mDefinition.mPool = kPreviews;
  pool.mDefinition.mPresets = { { PresetName("ordinary"), 2, 1, 0.5 } };
  pool.mInForce = PresetName("ordinary");
  for (int i = 0; i < aHosts; ++i) {
    HostName name("h" + std::to_string(i));
    auto& host = state.mHosts[name];
    host.mHost = name;
    host.mPool = kPreviews;
  }
  return state;
}

void
AppendVersion(FleetState& aState, Offset aVersion, TimePoint aTime)
{
  Decision decision;
  decision.mOffset = aVersion;
  decision.mTime = aTime;
  aState.mAudit.push_back(decision);
  aState.mVersion = aVersion;
}

bool
HasAlarm(const std::vector<Alarm>& aAlarms, AlarmKind aKind)
{
  return std::any_of(
    aAlarms.begin(), aAlarms.end(), [&](const Alarm& aAlarm) { return aAlarm.mKind == aKind; });
}

}

BOOST_AUTO_TEST_SUITE(TestMetrics)

BOOST_AUTO_TEST_CASE(QuantilesAreWithinOneBucket)
{
  DurationHistogram histogram;
  BOOST_TEST(histogram.Quantile(0.5).count() == 0);
  for (int i = 1; i <= 1000; ++i) {
    histogram.Add(Duration(1000 * i));
  }
  BOOST_TEST(histogram.Count() == 1000);
  BOOST_TEST(static_cast<double>(histogram.Quantile(0.5).count()) == 500000.0,
             boost::test_tools::tolerance(0.12));
  BOOST_TEST(static_cast<double>(histogram.Quantile(0.99).count()) == 990000.0,
             boost::test_tools::tolerance(0.12));
}

BOOST_AUTO_TEST_CASE(DurationsOutOfRangeAreCounted)
{
  DurationHistogram histogram;
  histogram.Add(0us);
  histogram.Add(std::chrono::hours(1000));
  BOOST_TEST(histogram.Count() == 2);
  BOOST_TEST(histogram.Quantile(0.5).count() < 20);
  BOOST_TEST((histogram.Quantile(0.99) > std::chrono::hours(3)));
}

BOOST_AUTO_TEST_CASE(SamplesAreGroupedByFamilyAndLabelsAreEscaped)
{
  MetricsText text;
  text.Counter("b_total", "Second.", { { "pool", "x\"\n" } }, 1);
  text.Gauge("a", "First.", {}, 2.5);
  text.Counter("b_total", "Second.", { { "pool", "y" } }, 3);
  BOOST_TEST(text.Print() == "# HELP a First.\n# TYPE a gauge\na 2.5\n"
                             "# HELP b_total Second.\n# TYPE b_total counter\n"
                             "b_total{pool=\"x\\\" \"} 1\nb_total{pool=\"y\"} 3\n");
}

BOOST_AUTO_TEST_CASE(TheNumberOfPoolLabelsIsBounded)
{
  RequestMetrics metrics;
  for (std::size_t i = 0; i < 2 * kMaxPoolLabels; ++i) {
    metrics.Add({ "pool" + std::to_string(i), RequestClass::Urgent, OutcomeKind::Answered }, 1ms);
  }
  std::size_t series = 0;
  std::int64_t requests = 0;
  metrics.Read([&](const auto&, const auto& aHistogram) {
    series += 1;
    requests += aHistogram.Count();
  });
  BOOST_TEST(series == kMaxPoolLabels + 1);
  BOOST_TEST(requests == static_cast<std::int64_t>(2 * kMaxPoolLabels));
}

BOOST_AUTO_TEST_CASE(BufferCostCountsHostHoursAbovePreset)
{
  auto state = FleetWithHosts(5);
  FleetMetrics measures;
  TimePoint start(1s);
  UpdateBufferCosts(measures, state, start);
  UpdateBufferCosts(measures, state, start + std::chrono::hours(2));
  BOOST_TEST(measures.mBufferCosts.at(kPreviews).mBufferHosts == 3);
  BOOST_TEST(measures.mBufferCosts.at(kPreviews).mHostHours == 6.0);
  state.mHosts.begin()->second.mPhase = HostPhase::Leaving;
  UpdateBufferCosts(measures, state, start + std::chrono::hours(2));
  UpdateBufferCosts(measures, state, start + std::chrono::hours(3));
  BOOST_TEST(measures.mBufferCosts.at(kPreviews).mHostHours == 8.0);
}

BOOST_AUTO_TEST_CASE(RollOutEndsWhenAllMembersReachTheVersion)
{
  FleetState state;
  FleetMetrics measures;
  TimePoint start(100s);
  AppendVersion(state, 4, start);
  UpdateRollOut(measures, state, 4, start);
  AppendVersion(state, 9, start + 1s);
  UpdateRollOut(measures, state, 4, start + 1s);
  UpdateRollOut(measures, state, 8, start + 2s);
  BOOST_TEST(measures.mRollOutDurations.Count() == 0);
  UpdateRollOut(measures, state, 9, start + 3s);
  UpdateRollOut(measures, state, 9, start + 4s);
  BOOST_TEST(measures.mRollOutDurations.Count() == 1);
  BOOST_TEST((measures.mRollOutDurations.Sum() == 2s));
}

BOOST_AUTO_TEST_CASE(AlarmsAreComputedFromStatusAndLoad)
{
  StatusReply status;
  status.mVersion = 7;
  status.mUnreadable = 1;
  auto state = FleetWithHosts(1);
  status.mPools = { state.mPools.at(kPreviews) };
  status.mHosts = { state.mHosts.begin()->second };
  status.mMembers = { { MemberName("e1"), ZoneName("solo"), 6, 0s },
                      { MemberName("e2"), ZoneName("solo"), 7, 3s } };
  LoadReply load;
  load.mReady = true;
  load.mLogConfirmedAgo = 5s;
  auto alarms = ComputeAlarms(status, { load });
  for (auto kind : { AlarmKind::MemberBehind,
                     AlarmKind::MemberUnresponsive,
                     AlarmKind::LogUnreachable,
                     AlarmKind::UnreadableRecords,
                     AlarmKind::PoolShortage,
                     AlarmKind::SpareMissing }) {
    BOOST_TEST(HasAlarm(alarms, kind), EnumName(kind));
  }
  BOOST_TEST(alarms.size() == 6U);
}

BOOST_AUTO_TEST_CASE(HealthyDeploymentRaisesNoAlarm)
{
  StatusReply status;
  auto state = FleetWithHosts(3);
  status.mPools = { state.mPools.at(kPreviews) };
  status.mPools[0].mDefinition.mSpare = true;
  for (const auto& [name, host] : state.mHosts) {
    status.mHosts.push_back(host);
  }
  LoadReply load;
  load.mReady = true;
  BOOST_TEST(ComputeAlarms(status, { load }).empty());
}

BOOST_AUTO_TEST_SUITE_END()
