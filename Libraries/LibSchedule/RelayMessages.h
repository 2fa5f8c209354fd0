#pragma once

#include "LibBase/Error.h"
#include "LibSchedule/ExecutorCalls.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// What entry hosts send to one another so that one, the relay, makes calls to executors that the
// other, the owner of a shard, has decided on. Encoded in Thrift's compact protocol.
namespace sesameseam::schedule {

struct NumberedCall
{
  // Counts the calls of a session.
  std::int64_t mNumber = 0;
  ExecutorCall mCall;
};

// The answer to a call, without the call itself. Which fields are set depends on the kind of call.
struct RelayedResult
{
  // The number of the call.
  std::int64_t mNumber = 0;
  CallResult mResult = CallResult::Unanswered;
  // How long the answer has waited at the relay.
  Duration mAge{ 0 };
  StartRefusal mRefusal = StartRefusal::None;
  bool mFenced = false;
  std::int64_t mIncarnation = 0;
  std::chrono::milliseconds mClock{ 0 };
  std::vector<RunningTask> mRunning;
  std::vector<TaskEnd> mEnds;
  int mUnreadable = 0;
  // As in HeartbeatAnswer.
  bool mIsOfIntroduction = false;
  // The relay stayed silent or did not make the call, which tells nothing of the executor. Found by
  // the owner, and not sent.
  bool mIsRelayFailure = false;
};

// Hands calls over to a relay, and asks for the results that are there. It may be sent again: calls
// that the relay has already had, by their numbers, have no further effect, and results are kept
// until they are known to have been received.
struct RelayRequest
{
  // The name of the owner's entry host.
  std::string mOwner;
  // A new session forgets all calls of the former ones of the same host.
  std::int64_t mSession = 0;
  // When the owner decided on the first of the calls, and from when on none of them is made, by the
  // relay's clock. Both may be earlier than meant, but not later.
  Instant mDecidedAt;
  Instant mExpiresAt;
  std::vector<NumberedCall> mCalls;
  // How many results of the session the owner has received.
  std::int64_t mReceived = 0;
};

struct RelayResponse
{
  // The relay's clock when it answered.
  Instant mClock;
  // The relay is about to stop and takes no new calls.
  bool mIsStopping = false;
  // When the relay first heard of the session, by its clock. It differs once the relay has
  // forgotten the session, so that results are missing.
  Instant mBegunAt;
  // How many results of the session come before these.
  std::int64_t mFirst = 0;
  std::vector<RelayedResult> mResults;
};

// An exchange with a relay, as its caller sees it.
struct RelayCall
{
  std::string mRelay;
  std::string mAddress;
  RelayRequest mRequest;
  // How long the answer may take.
  std::chrono::milliseconds mAnswerTimeout{ 500 };
};

struct RelayAnswer
{
  std::string mRelay;
  std::int64_t mSession = 0;
  CallResult mResult = CallResult::Unanswered;
  RelayResponse mResponse;
  Instant mSentAt;
};

// An exchange as the relay sees it.
struct RelayIncoming
{
  // Identifies the exchange until it is answered.
  std::int64_t mTicket = 0;
  RelayRequest mRequest;
};

struct RelayReply
{
  std::int64_t mTicket = 0;
  RelayResponse mResponse;
};

RelayedResult
ToRelayedResult(std::int64_t aNumber, const ExecutorAnswer& aAnswer);
// Restores the answer for the owner, which has kept the call and the time at which it handed it
// over.
ExecutorAnswer
ToExecutorAnswer(ExecutorCall aCall, Instant aSentAt, RelayedResult aResult);

std::string
EncodeRelayRequest(const RelayRequest& aRequest);
absl::StatusOr<RelayRequest>
DecodeRelayRequest(std::string_view aBytes);

std::string
EncodeRelayResponse(const RelayResponse& aResponse);
absl::StatusOr<RelayResponse>
DecodeRelayResponse(std::string_view aBytes);

}
