#include "LibFleet/Fold.h"
#include "LibFleet/Validate.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <rapidcheck.h>

using namespace sesameseam;

namespace {

PoolDefined
MakePreviewsPool()
{
  PoolDefined pool;
  pool.mPool = PoolName("previews");
  pool.mPresets = { { PresetName("ordinary"), 2, 1, 0.5 }, { PresetName("peak"), 3, 0, 0.25 } };
  pool.mInForce = PresetName("ordinary");
  return pool;
}

// The change is refused with a typed error that names the key, and the fold keeps it out of
// force.
void
CheckRefused(const Change& aChange, const std::string& aKey)
{
  auto status = ValidateChange(aChange);
  BOOST_TEST_CONTEXT(KindName(aChange) << " with a bad " << aKey)
  {
    BOOST_TEST((KindOf(status) == ErrorKind::BadField));
    BOOST_TEST(std::string(status.message()).find(aKey) != std::string::npos, status.message());
    FleetState state;
    Record record;
    record.mId = RecordId("bad");
    record.mChange = aChange;
    auto decision = Apply(state, { 0, EncodeRecord(record) });
    BOOST_TEST(!decision.mAccepted);
    BOOST_TEST(state.mVersion == kNoOffset);
    BOOST_TEST(state.mPools.empty());
  }
}

template<typename T, typename Edit>
void
CheckEdited(T aChange, const std::string& aKey, Edit aEdit)
{
  BOOST_TEST(ValidateChange(aChange).ok());
  aEdit(aChange);
  CheckRefused(aChange, aKey);
}

}

BOOST_AUTO_TEST_SUITE(TestValidate)

BOOST_AUTO_TEST_CASE(BadPoolsAreRefused)
{
  auto pool = MakePreviewsPool();
  CheckEdited(pool, "pool", [](auto& aPool) { aPool.mPool = PoolName(); });
  CheckEdited(pool, "pool", [](auto& aPool) { aPool.mPool = PoolName("two words"); });
  CheckEdited(pool, "pool", [](auto& aPool) { aPool.mPool = PoolName(std::string(200, 'p')); });
  CheckEdited(pool, "presets[0].hosts", [](auto& aPool) { aPool.mPresets[0].mHosts = -1; });
  CheckEdited(pool, "presets[1].hosts", [](auto& aPool) { aPool.mPresets[1].mHosts = 2000000; });
  CheckEdited(pool, "presets[0].buffer", [](auto& aPool) { aPool.mPresets[0].mBuffer = -3; });
  CheckEdited(
    pool, "presets[0].long_share", [](auto& aPool) { aPool.mPresets[0].mLongShare = 1.5; });
  CheckEdited(pool, "presets[1].name", [](auto& aPool) {
    aPool.mPresets[1].mName = aPool.mPresets[0].mName;
  });
  CheckEdited(pool, "in_force", [](auto& aPool) { aPool.mInForce = PresetName("night"); });
  CheckEdited(pool, "presets", [](auto& aPool) { aPool.mPresets.clear(); });
  CheckEdited(pool, "presets", [](auto& aPool) { aPool.mPresets.resize(1000); });
  CheckEdited(pool, "max_unavailable", [](auto& aPool) { aPool.mMaxUnavailable = -1; });
  CheckEdited(pool, "attempt_timeout", [](auto& aPool) { aPool.mAttemptTimeout = 0s; });
}

BOOST_AUTO_TEST_CASE(BadHostsTeamsAndMaintenancesAreRefused)
{
  HostAdded host;
  host.mHost = HostName("h1");
  host.mPool = PoolName("previews");
  host.mAddress = "10.0.0.7:8080";
  CheckEdited(host, "host", [](auto& aHost) { aHost.mHost = HostName(); });
  CheckEdited(host, "slots", [](auto& aHost) { aHost.mSlots = 0; });
  CheckEdited(host, "slots", [](auto& aHost) { aHost.mSlots = 1000000; });
  CheckEdited(host, "address", [](auto& aHost) { aHost.mAddress = ""; });
  CheckEdited(host, "rack", [](auto& aHost) { aHost.mRack = RackName("a\nb"); });
  QuotaSet quota{ PoolName("previews"), TeamName("solo"), 2.0 };
  CheckEdited(quota, "weight", [](auto& aQuota) { aQuota.mWeight = 0.0; });
  CheckEdited(quota, "weight", [](auto& aQuota) { aQuota.mWeight = -1.0; });
  CheckEdited(quota, "weight", [](auto& aQuota) { aQuota.mWeight = 1e300; });
  CheckEdited(quota, "team", [](auto& aQuota) { aQuota.mTeam = TeamName(); });
  MaintenanceDeclared declared{ MaintenanceId("kernel"), { HostName("h1") } };
  CheckEdited(declared, "hosts", [](auto& aDeclared) { aDeclared.mHosts.clear(); });
  CheckEdited(declared, "hosts[1]", [](auto& aDeclared) { aDeclared.mHosts.emplace_back("h1"); });
  HostLeaving leaving;
  leaving.mHost = HostName("h1");
  leaving.mReason = LeaveReason::Move;
  leaving.mDestination = PoolName("listings");
  CheckEdited(leaving, "destination", [](auto& aLeaving) { aLeaving.mDestination.reset(); });
}

BOOST_AUTO_TEST_CASE(BadJobsAreRefused)
{
  JobAccepted job;
  job.mJob = JobId("export-1");
  job.mPool = PoolName("previews");
  CheckEdited(job, "job", [](auto& aJob) { aJob.mJob = JobId(); });
  CheckEdited(job, "pool", [](auto& aJob) { aJob.mPool = PoolName("a b"); });
  CheckEdited(job, "slots", [](auto& aJob) { aJob.mSlots = -1.0; });
  CheckEdited(job, "slots", [](auto& aJob) { aJob.mSlots = 1e9; });
}

BOOST_AUTO_TEST_CASE(EveryMistakeIsNamedAtOnce)
{
  auto pool = MakePreviewsPool();
  pool.mPresets[0].mHosts = -1;
  pool.mPresets[1].mLongShare = std::numeric_limits<double>::quiet_NaN();
  pool.mMaxUnavailable = -7;
  auto status = ValidateChange(pool);
  std::string message(status.message());
  for (const auto* key : { "presets[0].hosts", "presets[1].long_share", "max_unavailable" }) {
    BOOST_TEST(message.find(key) != std::string::npos, message);
  }
}

BOOST_AUTO_TEST_CASE(AnyDefinitionIsAcceptedOnlyIfAllItsNumbersAreInRange)
{
  BOOST_TEST(rc::check([](int aHosts, int aBuffer, int aMaxUnavailable, double aShare) {
    auto pool = MakePreviewsPool();
    pool.mPresets[0].mHosts = aHosts;
    pool.mPresets[0].mBuffer = aBuffer;
    pool.mMaxUnavailable = aMaxUnavailable;
    pool.mPresets[0].mLongShare = aShare;
    auto inRange = [](int aCount) { return aCount >= 0 && aCount <= kMaxHostsPerPool; };
    bool valid =
      inRange(aHosts) && inRange(aBuffer) && inRange(aMaxUnavailable) && aShare >= 0 && aShare <= 1;
    RC_ASSERT(ValidateChange(pool).ok() == valid);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
