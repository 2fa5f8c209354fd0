#include "LibEntry/Claims.h"
#include "LibEntry/EntryHost.h"

#include <boost/test/unit_test.hpp>

using namespace sesameseam;

namespace {

const PoolName kPool("orders");
const RequestKey kKey("order-1");

// A log to which several entry hosts append their batches.
struct SharedLog
{
  Offset mEnd = 0;
  std::int64_t mNextRecord = 1;

  LogEntry Append(const std::string& aAuthor, ClaimBatch aBatch)
  {
    Record record;
    record.mId = RecordId(aAuthor + "/" + std::to_string(mNextRecord++));
    record.mAuthor = aAuthor;
    record.mTime = TimePoint(std::chrono::hours(1));
    record.mChange = std::move(aBatch);
    return { mEnd++, EncodeRecord(record) };
  }
};

ClaimBatch
ClaimsOf(const std::string& aRequest, int aTry)
{
  ClaimBatch batch;
  batch.mClaims.push_back({ kPool, kKey, RequestId(aRequest), aTry });
  return batch;
}

ClaimBatch
EndOf(const std::string& aRequest, ClaimEnd aEnd)
{
  ClaimBatch batch;
  ClaimResult result;
  result.mPool = kPool;
  result.mKey = kKey;
  result.mRequest = RequestId(aRequest);
  result.mEnd = aEnd;
  batch.mResults.push_back(result);
  return batch;
}

const ClaimState&
StateOf(const FleetState& aState)
{
  return aState.mClaims.at({ kPool, kKey });
}

Request
OrderOf(const std::string& aTeam)
{
  Request request;
  request.mId = RequestId("r1");
  request.mPool = kPool;
  request.mTeam = TeamName(aTeam);
  request.mKey = kKey;
  return request;
}

}

BOOST_AUTO_TEST_SUITE(TestClaims)

// The claim of the first try is delayed in the network until the second try was answered "not run".
BOOST_AUTO_TEST_CASE(ADelayedClaimOfAnEarlierTryNeverWins)
{
  SharedLog log;
  FleetState state;
  Apply(state, log.Append("e2#1", ClaimsOf("second", 2)));
  Apply(state, log.Append("e2#1", EndOf("second", ClaimEnd::NotRun)));
  Apply(state, log.Append("e1#1", ClaimsOf("first", 1)));
  BOOST_TEST(StateOf(state).mReleased);
  BOOST_TEST(StateOf(state).mRequest == RequestId("second"));
  Apply(state, log.Append("e3#1", ClaimsOf("third", 3)));
  BOOST_TEST(!StateOf(state).mReleased);
  BOOST_TEST(StateOf(state).mRequest == RequestId("third"));
}

BOOST_AUTO_TEST_CASE(AKeyWithoutNumberedTriesIsFreeAgain)
{
  SharedLog log;
  FleetState state;
  Apply(state, log.Append("e2#1", ClaimsOf("second", 0)));
  Apply(state, log.Append("e2#1", EndOf("second", ClaimEnd::NotRun)));
  Apply(state, log.Append("e1#1", ClaimsOf("first", 0)));
  BOOST_TEST(StateOf(state).mRequest == RequestId("first"));
}

BOOST_AUTO_TEST_CASE(OnlyTheHolderEndsAClaim)
{
  SharedLog log;
  FleetState state;
  Apply(state, log.Append("e1#1", ClaimsOf("first", 1)));
  Apply(state, log.Append("e2#1", ClaimsOf("second", 2)));
  Apply(state, log.Append("e2#1", EndOf("second", ClaimEnd::NotRun)));
  BOOST_TEST(StateOf(state).mRequest == RequestId("first"));
  BOOST_TEST(!StateOf(state).mReleased);
}

BOOST_AUTO_TEST_CASE(TheSameKeyOfTwoTeamsNamesTwoRequests)
{
  BOOST_TEST(ClaimOf(OrderOf("solo")).mKey != ClaimOf(OrderOf("pekalongan")).mKey);
  BOOST_TEST(ClaimOf(OrderOf("solo")).mKey == ClaimOf(OrderOf("solo")).mKey);
}

// A batch that the log rejects for its size would be retried forever.
BOOST_AUTO_TEST_CASE(ABatchIsBounded)
{
  auto control = MakeControl({}, TimePoint(std::chrono::hours(1)));
  for (int i = 0; i < 200; ++i) {
    ClaimResult result;
    result.mRequest = RequestId("r" + std::to_string(i));
    result.mEnd = ClaimEnd::Answered;
    result.mBody = std::string(64U * 1024U, 'x');
    RecordClaimResult(control, result);
  }
  std::size_t taken = 0;
  for (auto batch = TakeClaimBatch(control); batch; batch = TakeClaimBatch(control)) {
    BOOST_TEST(batch->mResults.size() <= 17U);
    taken += batch->mResults.size();
  }
  BOOST_TEST(taken == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
