#include "LibSchedule/RelayMessages.h"

#include "LibSchedule/Generated/schedule_types.h"
#include "LibSchedule/RecordCodec.h"

#include <utility>

namespace sesameseam::schedule {

namespace {

using detail::Decode;
using detail::Encode;

// The index of a type in a variant is its kind on the wire.
constexpr std::size_t kHeartbeat = 0;
constexpr std::size_t kStart = 1;
constexpr std::size_t kStop = 2;
constexpr std::size_t kThrottle = 3;

record::RunName
ToRecord(const TaskRun& aRun)
{
  record::RunName name;
  name.job = aRun.mTask.mJob.mValue;
  name.__set_occurrence(aRun.mTask.mOccurrence);
  name.__set_step(aRun.mTask.mStep);
  name.__set_index(aRun.mTask.mIndex);
  name.run = aRun.mRun;
  return name;
}

TaskRun
FromRecord(const record::RunName& aName)
{
  return { { JobId(aName.job), aName.occurrence, aName.step, aName.index }, aName.run };
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
  aRecord.__set_run(ToRecord(aCall.mRun));
  aRecord.__set_spec(aCall.mSpec);
  aRecord.__set_lease_end_ms(aCall.mLeaseEnd.count());
  if (!aCall.mCheckpoint.empty()) {
    aRecord.__set_checkpoint(aCall.mCheckpoint);
  }
}

void
Fill(const StopCall& aCall, record::ExecutorCall& aRecord)
{
  aRecord.__set_run(ToRecord(aCall.mRun));
}

void
Fill(const ThrottleCall& aCall, record::ExecutorCall& aRecord)
{
  aRecord.__set_run(ToRecord(aCall.mRun));
  aRecord.__set_percent(aCall.mPercent);
}

record::ExecutorCall
ToRecord(const NumberedCall& aCall)
{
  record::ExecutorCall out;
  out.number = aCall.mNumber;
  out.kind = static_cast<std::int32_t>(aCall.mCall.index());
  std::visit(
    [&](const auto& aValue) {
      out.executor = aValue.mTo.mExecutor.mValue;
      out.address = aValue.mTo.mAddress;
      out.epoch = aValue.mTo.mEpoch;
      Fill(aValue, out);
    },
    aCall.mCall);
  return out;
}

absl::StatusOr<NumberedCall>
FromRecord(const record::ExecutorCall& aRecord)
{
  ExecutorAddress to{ ExecutorId(aRecord.executor), aRecord.address };
  to.mEpoch = aRecord.epoch;
  auto leaseEnd = std::chrono::milliseconds(aRecord.lease_end_ms);
  auto run = FromRecord(aRecord.run);
  switch (static_cast<std::size_t>(aRecord.kind)) {
    case kHeartbeat: {
      auto wait = std::chrono::milliseconds(aRecord.wait_ms);
      return NumberedCall{ aRecord.number, HeartbeatCall{ to, aRecord.last_seen, leaseEnd, wait } };
    }
    case kStart: {
      StartCall call{ to, run, aRecord.spec, aRecord.checkpoint, leaseEnd };
      return NumberedCall{ aRecord.number, std::move(call) };
    }
    case kStop:
      return NumberedCall{ aRecord.number, StopCall{ to, run } };
    case kThrottle:
      return NumberedCall{ aRecord.number, ThrottleCall{ to, run, aRecord.percent } };
    default:
      return MakeError(ErrorKind::RecordUnreadable, "unknown kind of call");
  }
}

void
Fill(const HeartbeatAnswer& aAnswer, RelayedResult& aResult)
{
  aResult.mFenced = aAnswer.mFenced;
  aResult.mRefusal = aAnswer.mIsFromAnother ? StartRefusal::OtherIncarnation : StartRefusal::None;
  aResult.mIncarnation = aAnswer.mIncarnation;
  aResult.mClock = aAnswer.mClock;
  aResult.mRunning = aAnswer.mRunning;
  aResult.mEnds = aAnswer.mEnds;
  aResult.mUnreadable = aAnswer.mUnreadable;
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
AnswerTo(const HeartbeatCall& aCall, Instant aSentAt, const RelayedResult& aResult)
{
  HeartbeatAnswer answer{ aCall, aResult.mResult };
  answer.mFenced = aResult.mFenced;
  answer.mIsFromAnother = aResult.mRefusal == StartRefusal::OtherIncarnation;
  answer.mIncarnation = aResult.mIncarnation;
  answer.mClock = aResult.mClock;
  answer.mRunning = aResult.mRunning;
  answer.mEnds = aResult.mEnds;
  answer.mUnreadable = aResult.mUnreadable;
  answer.mSentAt = aSentAt;
  answer.mAge = aResult.mAge;
  answer.mIsRelayFailure = aResult.mIsRelayFailure;
  return answer;
}

ExecutorAnswer
AnswerTo(const StartCall& aCall, Instant aSentAt, const RelayedResult& aResult)
{
  return StartAnswer{ aCall, aResult.mResult, aResult.mRefusal, aResult.mClock, aSentAt };
}

ExecutorAnswer
AnswerTo(const StopCall& aCall, Instant /*aSentAt*/, const RelayedResult& aResult)
{
  return StopAnswer{ aCall, aResult.mResult };
}

ExecutorAnswer
AnswerTo(const ThrottleCall& aCall, Instant /*aSentAt*/, const RelayedResult& aResult)
{
  return ThrottleAnswer{ aCall, aResult.mResult };
}

record::ExecutorAnswer
ToRecord(const RelayedResult& aResult)
{
  record::ExecutorAnswer out;
  out.number = aResult.mNumber;
  out.result = static_cast<std::int32_t>(aResult.mResult);
  out.__set_age_us(aResult.mAge.count());
  out.__set_refusal(static_cast<std::int32_t>(aResult.mRefusal));
  out.__set_fenced(aResult.mFenced);
  out.__set_incarnation(aResult.mIncarnation);
  out.__set_clock_ms(aResult.mClock.count());
  out.__set_unreadable(aResult.mUnreadable);
  for (const auto& running : aResult.mRunning) {
    record::RunningTask row;
    row.run = ToRecord(running.mRun);
    row.__set_percent(running.mPercent);
    row.__set_load(running.mLoad);
    row.__set_checkpoint(running.mCheckpoint);
    out.running.push_back(std::move(row));
  }
  for (const auto& end : aResult.mEnds) {
    record::TaskEnd row;
    row.number = end.mNumber;
    row.run = ToRecord(end.mRun);
    row.kind = static_cast<std::int32_t>(end.mKind);
    row.__set_checkpoint(end.mCheckpoint);
    out.ends.push_back(std::move(row));
  }
  out.__isset.running = !out.running.empty();
  out.__isset.ends = !out.ends.empty();
  return out;
}

RelayedResult
FromRecord(const record::ExecutorAnswer& aRecord)
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
  for (const auto& row : aRecord.running) {
    result.mRunning.push_back({ FromRecord(row.run), row.checkpoint, row.percent, row.load });
  }
  for (const auto& row : aRecord.ends) {
    result.mEnds.push_back(
      { row.number, FromRecord(row.run), static_cast<EndKind>(row.kind), row.checkpoint });
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
ToExecutorAnswer(const ExecutorCall& aCall, Instant aSentAt, const RelayedResult& aResult)
{
  return std::visit([&](const auto& aValue) { return AnswerTo(aValue, aSentAt, aResult); }, aCall);
}

std::string
EncodeRelayRequest(const RelayRequest& aRequest)
{
  record::RelayRequest out;
  out.owner = aRequest.mOwner;
  out.session = aRequest.mSession;
  out.decided_at_us = ToMicroseconds(aRequest.mDecidedAt);
  out.expires_at_us = ToMicroseconds(aRequest.mExpiresAt);
  for (const auto& call : aRequest.mCalls) {
    out.calls.push_back(ToRecord(call));
  }
  out.__isset.calls = !out.calls.empty();
  out.__set_received(aRequest.mReceived);
  return Encode(out);
}

absl::StatusOr<RelayRequest>
DecodeRelayRequest(std::string_view aBytes)
{
  auto record = TRY(Decode<record::RelayRequest>(aBytes));
  RelayRequest request;
  request.mOwner = record.owner;
  request.mSession = record.session;
  request.mDecidedAt = FromMicroseconds(record.decided_at_us);
  request.mExpiresAt = FromMicroseconds(record.expires_at_us);
  request.mReceived = record.received;
  for (const auto& call : record.calls) {
    request.mCalls.push_back(TRY(FromRecord(call)));
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
  for (const auto& result : aResponse.mResults) {
    out.answers.push_back(ToRecord(result));
  }
  out.__isset.answers = !out.answers.empty();
  return Encode(out);
}

absl::StatusOr<RelayResponse>
DecodeRelayResponse(std::string_view aBytes)
{
  auto record = TRY(Decode<record::RelayReply>(aBytes));
  RelayResponse response;
  response.mClock = FromMicroseconds(record.clock_us);
  response.mIsStopping = record.stopping;
  response.mBegunAt = FromMicroseconds(record.begun_at_us);
  response.mFirst = record.first;
  for (const auto& answer : record.answers) {
    response.mResults.push_back(FromRecord(answer));
  }
  return response;
}

}
