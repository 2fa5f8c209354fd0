#include "LibFleet/Fold.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;

namespace {

LogEntry
MakeEntry(Offset aOffset,
          const std::string& aId,
          Change aChange,
          std::optional<Offset> aBasedOn = {})
{
  Record record;
  record.mId = RecordId(aId);
  record.mAuthor = "operator test";
  record.mBasedOn = aBasedOn;
  record.mChange = std::move(aChange);
  return { aOffset, EncodeRecord(record) };
}

PoolDefined
MakePreviewsPool()
{
  PoolDefined pool;
  pool.mPool = PoolName("previews");
  pool.mPresets = { { PresetName("ordinary"), 2, 1, 0.5 }, { PresetName("peak"), 3, 0, 0.25 } };
  pool.mInForce = PresetName("ordinary");
  return pool;
}

}

BOOST_AUTO_TEST_SUITE(TestFold)

BOOST_AUTO_TEST_CASE(OfTwoChangesThatRaceTheFirstWins)
{
  FleetState state;
  BOOST_TEST(Apply(state, MakeEntry(0, "a", MakePreviewsPool())).mAccepted);
  PresetChosen peak{ PoolName("previews"), PresetName("peak") };
  PresetChosen ordinary{ PoolName("previews"), PresetName("ordinary") };
  BOOST_TEST(Apply(state, MakeEntry(1, "b", peak, 0)).mAccepted);
  auto refused = Apply(state, MakeEntry(2, "c", ordinary, 0));
  BOOST_TEST(!refused.mAccepted);
  BOOST_TEST(refused.mReason.find("stale-version") != std::string::npos);
  BOOST_TEST(state.mPools.at(PoolName("previews")).mInForce.mValue == "peak");
}

BOOST_AUTO_TEST_CASE(ARepeatedAppendIsFoldedOnce)
{
  FleetState state;
  Apply(state, MakeEntry(0, "a", MakePreviewsPool()));
  PresetChosen peak{ PoolName("previews"), PresetName("peak") };
  Apply(state, MakeEntry(1, "b", peak));
  PresetChosen ordinary{ PoolName("previews"), PresetName("ordinary") };
  Apply(state, MakeEntry(2, "c", ordinary));
  Apply(state, MakeEntry(3, "b", peak));
  BOOST_TEST(state.mPools.at(PoolName("previews")).mInForce.mValue == "ordinary");
}

BOOST_AUTO_TEST_CASE(AnUnreadableRecordIsCountedAndChangesNothing)
{
  FleetState state;
  Apply(state, MakeEntry(0, "a", MakePreviewsPool()));
  auto decision = Apply(state, { 1, "{ nonsense" });
  BOOST_TEST(!decision.mAccepted);
  BOOST_TEST(state.mUnreadable == 1);
  BOOST_TEST(state.mApplied == 1);
  BOOST_TEST(state.mVersion == 0);
}

BOOST_AUTO_TEST_SUITE_END()
