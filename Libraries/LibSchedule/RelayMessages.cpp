#include "LibSchedule/RelayMessages.h"

#include "LibSchedule/Generated/schedule_types.h"
#include "LibSchedule/RecordCodec.h"

#include <utility>

namespace sesameseam::schedule {

namespace {

using detail::DecodeInto;
using detail::Encode;

// The index of a type in a variant is its kind on the wire.
constexpr std::size_t kHeartbeat = 0;
constexpr std::size_t kStart = 1;
constexpr std::size_t kStop = 2;
constexpr std::size_t kThrottle = 3;

// Records are filled in where they stand, since they can only be copied. Fields that have their
// default value are left out.

void
Fill(const TaskRun& aRun, record::RunName& aRecord)
{
  aRecord.job = aRun.mTask.mJob.mValue;
  aRecord.occurrence = aRun.mTask.mOccurrence;
  aRecord.step = aRun.mTask.mStep;
  aRecord.index = aRun.mTask.mIndex;
  aRecord.run = aRun.mRun;
  aRecord.__isset.occurrence = aRecord.occurrence != 0;
  aRecord.__isset.step = aRecord.step != 0;
  aRecord.__isset.index = aRecord.index != 0;
}

void
FillRun(const TaskRun& aRun, record::ExecutorCall& aRecord)
{
  Fill(aRun, aRecord.run);
  aRecord.__isset.run = true;
}

TaskRun
FromRecord(record::RunName&& aName)
{
  return { { JobId(std::move(aName.job)), aName.occurrence, aName.step, aName.index }, aName.run };
}

void
Fill(const HeartbeatCall& aCall, record::ExecutorCall& aRecord)
{
  aRecord.__set_last_seen(aCall.mLastSeen);
  aRecord.__set_lease_end_ms(aCall.mLeaseEnd.count());
  aRecord.__set_wait_ms(aCall.mWait.count());
}

void
Fill(const StartCall& aCall, record::ExecutorCall& aRecord)
{
  FillRun(aCall.mRun, aRecord);
  aRecord.__set_spec(aCall.mSpec);
  aRecord.__set_lease_end_ms(aCall.mLeaseEnd.count());
  if (!aCall.mCheckpoint.empty()) {
    aRecord.__set_checkpoint(aCall.mCheckpoint);
  }
}

void
Fill(const StopCall& aCall, record::ExecutorCall& aRecord)
{
  FillRun(aCall.mRun, aRecord);
}

void
Fill(const ThrottleCall& aCall, record::ExecutorCall& aRecord)
{
  FillRun(aCall.mRun, aRecord);
  aRecord.__set_percent(aCall.mPercent);
}

void
Fill(const NumberedCall& aCall, record::ExecutorCall& aRecord)
{
  aRecord.number = aCall.mNumber;
  aRecord.kind = static_cast<std::int32_t>(aCall.mCall.index());
  std::visit(
    [&](const auto& aValue) {
      aRecord.executor = aValue.mTo.mExecutor.mValue;
      aRecord.address = aValue.mTo.mAddress;
      aRecord.epoch = aValue.mTo.mEpoch;
      aRecord.incarnation = aValue.mTo.mIncarnation;
      aRecord.__isset.incarnation = aRecord.incarnation != 0;
      Fill(aValue, aRecord);
    },
    aCall.mCall);
}

absl::StatusOr<NumberedCall>
FromRecord(record::ExecutorCall&& aRecord)
{
  ExecutorAddress to{ ExecutorId(std::move(aRecord.executor)), std::move(aRecord.address) };
  to.mEpoch = aRecord.epoch;
  to.mIncarnation = aRecord.incarnation;
  auto leaseEnd = std::chrono::milliseconds(aRecord.lease_end_ms);
  auto run = FromRecord(std::move(aRecord.run));
  switch (static_cast<std::size_t>(aRecord.kind)) {
    case kHeartbeat: {
      auto wait = std::chrono::milliseconds(aRecord.wait_ms);
      HeartbeatCall call{ std::move(to), aRecord.last_seen, leaseEnd, wait };
      return NumberedCall{ aRecord.number, std::move(call) };
    }
    case kStart: {
      StartCall call{ std::move(to),
                      std::move(run),
                      std::move(aRecord.spec),
                      std::move(aRecord.checkpoint),
                      leaseEnd };
      return NumberedCall{ aRecord.number, std::move(call) };
    }
    case kStop:
      return NumberedCall{ aRecord.number, StopCall{ std::move(to), std::move(run) } };
    case kThrottle:
      return NumberedCall{ aRecord.number,
                           ThrottleCall{ std::move(to), std::move(run), aRecord.percent } };
    default:
      return MakeError(ErrorKind::RecordUnreadable, "unknown kind of call");
  }
}

void
Fill(const HeartbeatAnswer& aAnswer, RelayedResult& aResult)
{
  aResult.mFenced = aAnswer.mFenced;
  aResult.mRefusal = aAnswer.mIsFromAnother   ? StartRefusal::OtherIncarnation
                     : aAnswer.mHasNoListener ? StartRefusal::NoListener
                                              : StartRefusal::None;
  aResult.mIncarnation = aAnswer.mIncarnation;
  aResult.mClock = aAnswer.mClock;
  aResult.mRunning = aAnswer.mRunning;
  aResult.mEnds = aAnswer.mEnds;
  aResult.mUnreadable = aAnswer.mUnreadable;
  aResult.mIsOfIntroduction = aAnswer.mIsOfIntroduction;
}

void
Fill(const StartAnswer& aAnswer, RelayedResult& aResult)
{
  aResult.mRefusal = aAnswer.mRefusal;
  aResult.mClock = aAnswer.mClock;
}

void
Fill(const StopAnswer& /*aAnswer*/, RelayedResult& /*aResult*/)
{
}

void
Fill(const ThrottleAnswer& /*aAnswer*/, RelayedResult& /*aResult*/)
{
}

ExecutorAnswer
AnswerTo(HeartbeatCall&& aCall, Instant aSentAt, RelayedResult&& aResult)
{
  HeartbeatAnswer answer{ std::move(aCall), aResult.mResult };
  answer.mFenced = aResult.mFenced;
  answer.mIsFromAnother = aResult.mRefusal == StartRefusal::OtherIncarnation;
  answer.mHasNoListener = aResult.mRefusal == StartRefusal::NoListener;
  answer.mIncarnation = aResult.mIncarnation;
  answer.mClock = aResult.mClock;
  answer.mRunning = std::move(aResult.mRunning);
  answer.mEnds = std::move(aResult.mEnds);
  answer.mUnreadable = aResult.mUnreadable;
  answer.mSentAt = aSentAt;
  answer.mAge = aResult.mAge;
  answer.mIsRelayFailure = aResult.mIsRelayFailure;
  if (aResult.mIsOfIntroduction) {
    ReduceToIntroduction(answer);
  }
  return answer;
}

ExecutorAnswer
AnswerTo(StartCall&& aCall, Instant aSentAt, RelayedResult&& aResult)
{
  return StartAnswer{ std::move(aCall), aResult.mResult, aResult.mRefusal,
                      aResult.mClock,   aSentAt,         aResult.mIsRelayFailure };
}

ExecutorAnswer
AnswerTo(StopCall&& aCall, Instant /*aSentAt*/, RelayedResult&& aResult)
{
  return StopAnswer{ std::move(aCall), aResult.mResult };
}

ExecutorAnswer
AnswerTo(ThrottleCall&& aCall, Instant /*aSentAt*/, RelayedResult&& aResult)
{
  return ThrottleAnswer{ std::move(aCall), aResult.mResult };
}

void
Fill(const RunningTask& aRunning, record::RunningTask& aRecord)
{
  Fill(aRunning.mRun, aRecord.run);
  aRecord.percent = aRunning.mPercent;
  aRecord.load = aRunning.mLoad;
  aRecord.checkpoint = aRunning.mCheckpoint;
  aRecord.__isset.percent = aRecord.percent != 0;
  aRecord.__isset.load = aRecord.load != 0;
  aRecord.__isset.checkpoint = !aRecord.checkpoint.empty();
}

void
Fill(const TaskEnd& aEnd, record::TaskEnd& aRecord)
{
  aRecord.number = aEnd.mNumber;
  Fill(aEnd.mRun, aRecord.run);
  aRecord.kind = static_cast<std::int32_t>(aEnd.mKind);
  aRecord.checkpoint = aEnd.mCheckpoint;
  aRecord.__isset.checkpoint = !aRecord.checkpoint.empty();
}

void
Fill(const RelayedResult& aResult, record::ExecutorAnswer& aRecord);

// Appends a record for each value.
template<typename Value, typename Record>
void
FillEach(const std::vector<Value>& aValues, std::vector<Record>& aRecords)
{
  aRecords.reserve(aValues.size());
  for (const auto& value : aValues) {
    Fill(value, aRecords.emplace_back());
  }
}

void
Fill(const RelayedResult& aResult, record::ExecutorAnswer& aRecord)
{
  aRecord.number = aResult.mNumber;
  aRecord.result = static_cast<std::int32_t>(aResult.mResult);
  aRecord.age_us = aResult.mAge.count();
  aRecord.refusal = static_cast<std::int32_t>(aResult.mRefusal);
  aRecord.fenced = aResult.mFenced;
  aRecord.incarnation = aResult.mIncarnation;
  aRecord.clock_ms = aResult.mClock.count();
  aRecord.unreadable = aResult.mUnreadable;
  aRecord.of_introduction = aResult.mIsOfIntroduction;
  FillEach(aResult.mRunning, aRecord.running);
  FillEach(aResult.mEnds, aRecord.ends);
  aRecord.__isset.age_us = aRecord.age_us != 0;
  aRecord.__isset.refusal = aRecord.refusal != 0;
  aRecord.__isset.fenced = aRecord.fenced;
  aRecord.__isset.incarnation = aRecord.incarnation != 0;
  aRecord.__isset.clock_ms = aRecord.clock_ms != 0;
  aRecord.__isset.unreadable = aRecord.unreadable != 0;
  aRecord.__isset.of_introduction = aRecord.of_introduction;
  aRecord.__isset.running = !aRecord.running.empty();
  aRecord.__isset.ends = !aRecord.ends.empty();
}

RelayedResult
FromRecord(record::ExecutorAnswer&& aRecord)
{
  RelayedResult result;
  result.mNumber = aRecord.number;
  result.mResult = static_cast<CallResult>(aRecord.result);
  result.mAge = Duration(aRecord.age_us);
  result.mRefusal = static_cast<StartRefusal>(aRecord.refusal);
  result.mFenced = aRecord.fenced;
  result.mIncarnation = aRecord.incarnation;
  result.mClock = std::chrono::milliseconds(aRecord.clock_ms);
  result.mUnreadable = aRecord.unreadable;
  result.mIsOfIntroduction = aRecord.of_introduction;
  result.mRunning.reserve(aRecord.running.size());
  for (auto& row : aRecord.running) {
    result.mRunning.push_back(
      { FromRecord(std::move(row.run)), std::move(row.checkpoint), row.percent, row.load });
  }
  result.mEnds.reserve(aRecord.ends.size());
  for (auto& row : aRecord.ends) {
    result.mEnds.push_back({ row.number,
                             FromRecord(std::move(row.run)),
                             static_cast<EndKind>(row.kind),
                             std::move(row.checkpoint) });
  }
  return result;
}

std::int64_t
ToMicroseconds(Instant aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aTime.time_since_epoch()).count();
}

Instant
FromMicroseconds(std::int64_t aTime)
{
  return Instant(std::chrono::microseconds(aTime));
}

}

RelayedResult
ToRelayedResult(std::int64_t aNumber, const ExecutorAnswer& aAnswer)
{
  RelayedResult result;
  result.mNumber = aNumber;
  std::visit(
    [&](const auto& aValue) {
      result.mResult = aValue.mResult;
      Fill(aValue, result);
    },
    aAnswer);
  return result;
}

ExecutorAnswer
ToExecutorAnswer(ExecutorCall aCall, Instant aSentAt, RelayedResult aResult)
{
  return std::visit(
    [&](auto& aValue) { return AnswerTo(std::move(aValue), aSentAt, std::move(aResult)); }, aCall);
}

std::string
EncodeRelayRequest(const RelayRequest& aRequest)
{
  record::RelayRequest out;
  out.owner = aRequest.mOwner;
  out.session = aRequest.mSession;
  out.decided_at_us = ToMicroseconds(aRequest.mDecidedAt);
  out.expires_at_us = ToMicroseconds(aRequest.mExpiresAt);
  FillEach(aRequest.mCalls, out.calls);
  out.__isset.calls = !out.calls.empty();
  out.__set_received(aRequest.mReceived);
  return Encode(out);
}

absl::StatusOr<RelayRequest>
DecodeRelayRequest(std::string_view aBytes)
{
  record::RelayRequest record;
  TRY(DecodeInto(aBytes, record));
  RelayRequest request;
  request.mOwner = std::move(record.owner);
  request.mSession = record.session;
  request.mDecidedAt = FromMicroseconds(record.decided_at_us);
  request.mExpiresAt = FromMicroseconds(record.expires_at_us);
  request.mReceived = record.received;
  request.mCalls.reserve(record.calls.size());
  for (auto& call : record.calls) {
    request.mCalls.push_back(TRY(FromRecord(std::move(call))));
  }
  return request;
}

std::string
EncodeRelayResponse(const RelayResponse& aResponse)
{
  record::RelayReply out;
  out.clock_us = ToMicroseconds(aResponse.mClock);
  out.__set_stopping(aResponse.mIsStopping);
  out.__set_begun_at_us(ToMicroseconds(aResponse.mBegunAt));
  out.__set_first(aResponse.mFirst);
  FillEach(aResponse.mResults, out.answers);
  out.__isset.answers = !out.answers.empty();
  return Encode(out);
}

absl::StatusOr<RelayResponse>
DecodeRelayResponse(std::string_view aBytes)
{
  record::RelayReply record;
  TRY(DecodeInto(aBytes, record));
  RelayResponse response;
  response.mClock = FromMicroseconds(record.clock_us);
  response.mIsStopping = record.stopping;
  response.mBegunAt = FromMicroseconds(record.begun_at_us);
  response.mFirst = record.first;
  response.mResults.reserve(record.answers.size());
  for (auto& answer : record.answers) {
    response.mResults.push_back(FromRecord(std::move(answer)));
  }
  return response;
}

}
