#include "LibFleet/Checkpoint.h"
#include "LibFleet/Fold.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

PoolDefined
MakePool(const std::string& aName)
{
  PoolDefined pool;
  pool.mPool = PoolName(aName);
  pool.mPresets = { { PresetName("ordinary"), 2, 1, 0.5 }, { PresetName("peak"), 3, 0, 0.25 } };
  pool.mInForce = PresetName("ordinary");
  return pool;
}

HostName
AnyHost()
{
  return HostName("h" + std::to_string(*rc::gen::inRange(0, 4)));
}

PoolName
AnyPool()
{
  return PoolName("p" + std::to_string(*rc::gen::inRange(0, 2)));
}

Claim
AnyClaim()
{
  auto number = std::to_string(*rc::gen::inRange(0, 4));
  return { AnyPool(), RequestKey("k" + number), RequestId("r" + number) };
}

// Any record that entry hosts or operators append.
Change
AnyChange()
{
  auto pool = AnyPool();
  auto host = AnyHost();
  switch (*rc::gen::inRange(0, 14)) {
    case 0:
      return MakePool(pool.mValue);
    case 1:
      return PresetChosen{ pool, PresetName(*rc::gen::element("ordinary", "peak")) };
    case 2:
      return HostAdded{ host, pool, RackName("r"), ZoneName("z"), "127.0.0.1:1", 8 };
    case 3:
      return HostLeaving{ host, LeaveReason::Maintenance, std::nullopt, false, {}, {} };
    case 4:
      return HostDrained{ host };
    case 5:
      return HostJoined{ host, pool };
    case 6:
      return MaintenanceDeclared{ MaintenanceId("m"), { host } };
    case 7:
      return MaintenancePhaseChanged{ MaintenanceId("m"), MaintenancePhase::Paused, "später" };
    case 8:
      return QuotaSet{ pool, TeamName("t"), 2.5 };
    case 9:
      return MemberJoined{ MemberName("e1"), ZoneName("z"), "127.0.0.1:2", "1" };
    case 10:
      return MemberRemoved{ MemberName("e1"), "1" };
    case 11:
      return LeaderElected{ MemberName("e1"), *rc::gen::inRange(1, 4) };
    case 12: {
      ClaimResult result{ pool, RequestKey("k1"), RequestId("r1"), ClaimEnd::Answered, 200, "ü" };
      return ClaimBatch{ { result }, { AnyClaim() } };
    }
    default:
      return HostLeaving{ host, LeaveReason::Move, pool, false, {}, {} };
  }
}

LogEntry
AnyEntry(Offset aOffset)
{
  Record record;
  // Some ids repeat, as appends do whose answer was lost.
  record.mId = RecordId("id" + std::to_string(*rc::gen::inRange<Offset>(0, aOffset * 4 + 1)));
  record.mAuthor = "operator test";
  record.mTime = TimePoint(std::chrono::hours(*rc::gen::inRange(0, 60)));
  record.mChange = AnyChange();
  auto text = EncodeRecord(record);
  return { aOffset, *rc::gen::inRange(0, 20) == 0 ? text.substr(1) : text };
}

std::vector<LogEntry>
AnyLog()
{
  std::vector<LogEntry> log;
  auto length = *rc::gen::inRange(0, 60);
  for (Offset offset = 0; offset < length; ++offset) {
    log.push_back(AnyEntry(offset));
  }
  return log;
}

FleetState
FoldLog(const std::vector<LogEntry>& aLog)
{
  FleetState state;
  for (const auto& entry : aLog) {
    Apply(state, entry);
  }
  return state;
}

}

BOOST_AUTO_TEST_SUITE(TestCheckpoint)

BOOST_AUTO_TEST_CASE(ACheckpointAndItsTailGiveTheStateOfTheWholeLog)
{
  BOOST_TEST(rc::check("checkpoint and tail", [] {
    auto log = AnyLog();
    auto cut = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
    auto head = FoldLog({ log.begin(), log.begin() + static_cast<std::ptrdiff_t>(cut) });
    auto parts = MakeCheckpoint(head, "c", *rc::gen::inRange<std::size_t>(4, 300));
    auto restored = AssembleCheckpoint(parts);
    RC_ASSERT(restored.ok());
    for (const auto& entry : log) {
      Apply(*restored, entry);
    }
    RC_ASSERT((*restored == FoldLog(log)));
  }));
}

BOOST_AUTO_TEST_CASE(ACorruptOrIncompleteCheckpointIsRefused)
{
  BOOST_TEST(rc::check("corrupt checkpoint", [] {
    auto parts = MakeCheckpoint(FoldLog(AnyLog()), "c", 100);
    auto victim = *rc::gen::inRange<std::size_t>(0, parts.size());
    if (*rc::gen::arbitrary<bool>()) {
      parts[victim].mText[0] ^= 1;
    } else {
      parts.erase(parts.begin() + static_cast<std::ptrdiff_t>(victim));
      RC_PRE(!parts.empty());
    }
    RC_ASSERT(!AssembleCheckpoint(parts).ok());
  }));
}

BOOST_AUTO_TEST_CASE(TwoCheckpointsAtOnceChangeNothingButTheirOwnCount)
{
  auto state = FoldLog({});
  auto parts = MakeCheckpoint(state, "a", 100);
  auto others = MakeCheckpoint(state, "b", 100);
  Offset offset = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    for (const auto& part : { parts[i], others[i] }) {
      Record record;
      record.mId = RecordId(std::to_string(offset));
      record.mChange = part;
      Apply(state, { offset++, EncodeRecord(record) });
    }
  }
  BOOST_TEST(state.mVersion == kNoOffset);
  BOOST_TEST(state.mAudit.empty());
  BOOST_TEST(state.mUnreadable == 0);
}

BOOST_AUTO_TEST_SUITE_END()
