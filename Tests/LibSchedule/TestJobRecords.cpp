#include "LibSchedule/FleetLog.h"
#include "LibSchedule/JobRecords.h"
#include "Steps.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

Step
AnyStep()
{
  Step step = MakeStep(*rc::gen::inRange(1, 50), *rc::gen::inRange(0, 40));
  step.mNeeds.mGpus = *rc::gen::inRange(0, 3);
  step.mEstimate = std::chrono::milliseconds(*rc::gen::inRange(0, 100000));
  step.mDependsOn = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
  step.mGang = *rc::gen::arbitrary<bool>();
  step.mSameRack = *rc::gen::arbitrary<bool>();
  step.mSpeculative = *rc::gen::arbitrary<bool>();
  step.mCheckpoints = *rc::gen::arbitrary<bool>();
  step.mLongRunning = *rc::gen::arbitrary<bool>();
  step.mBestEffort = *rc::gen::arbitrary<bool>();
  step.mMaxUnavailable = *rc::gen::inRange(0, 5);
  step.mMaxPerExecutor = *rc::gen::inRange(0, 5);
  step.mRequiredLabel = *rc::gen::string<std::string>();
  step.mPreferredRack = *rc::gen::string<std::string>();
  step.mImage = *rc::gen::string<std::string>();
  step.mTargetTailLatency = std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
  return step;
}

}

BOOST_AUTO_TEST_SUITE(TheRecords)

BOOST_AUTO_TEST_CASE(a_job_is_read_as_it_was_written)
{
  auto holds = rc::check([] {
    JobDefinition job;
    job.mQueue = QueueName(*rc::gen::string<std::string>());
    job.mService = ServiceName(*rc::gen::string<std::string>());
    job.mSpec = *rc::gen::string<std::string>();
    job.mTenant = TenantName(*rc::gen::string<std::string>());
    auto count = *rc::gen::inRange(1, 5);
    for (int i = 0; i < count; ++i) {
      job.mSteps.push_back(AnyStep());
    }
    job.mAcceptedAt = TimePoint(std::chrono::milliseconds(*rc::gen::inRange(0, 1 << 30)));
    job.mAttempts = *rc::gen::inRange(1, 9);
    auto again = DecodeJob(EncodeJob(job));
    RC_ASSERT(again.ok());
    RC_ASSERT(again->mSpec == job.mSpec);
    RC_ASSERT(again->mTenant == job.mTenant);
    RC_ASSERT(again->mAcceptedAt == job.mAcceptedAt);
    RC_ASSERT(again->mSteps.size() == job.mSteps.size());
    RC_ASSERT(EncodeJob(*again) == EncodeJob(job));
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_record_are_refused)
{
  auto holds = rc::check([] {
    auto bytes = *rc::gen::string<std::string>();
    // Decoding terminates for any bytes, and whatever it accepts can be encoded again.
    auto job = DecodeJob(bytes);
    if (job.ok()) {
      EncodeJob(*job);
    }
    auto progress = DecodeProgress(bytes);
    RC_ASSERT(progress.ok() || KindOf(progress.status()) == ErrorKind::RecordUnreadable);
    FleetLog log;
    for (const auto* key : { "upkeep/1/m", "demand/s", "move/m" }) {
      ApplyFleetRecord(log, key, bytes).IgnoreError();
    }
    ApplyFleetRecord(log, bytes, bytes).IgnoreError();
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(cancellations_sort_after_all_jobs)
{
  JobId last("ffffffffffffffff");
  BOOST_TEST(CancellationKey(JobId("0000000000000000")) > last.mValue);
  BOOST_TEST(IsCancellationKey(CancellationKey(last)));
  BOOST_TEST(!IsCancellationKey(last.mValue));
  BOOST_TEST((JobOfKey(CancellationKey(last)) == last));
}

BOOST_AUTO_TEST_SUITE_END()
