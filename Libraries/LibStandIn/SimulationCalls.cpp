#include "LibStandIn/Simulation.h"
#include "LibStandIn/SimulationTimes.h"

#include <algorithm>
#include <memory>
#include <utility>

// The calls that a simulation's hosts make: to the store, to one another and about machines.
namespace sesameseam::standin {

namespace {

using detail::kCallBytes;
using detail::kCallTimeout;
using detail::kLongPollInterval;
using detail::kNetworkLatency;
using schedule::CallResult;
using schedule::Event;
using schedule::Instant;
using schedule::Stream;

// Keeps only the newest entry of each executor, and none of executors that are no longer listed.
void
DropUnlisted(std::vector<schedule::ExecutorEntry>& aEntries)
{
  std::map<schedule::ExecutorId, schedule::ExecutorEntry> newest;
  for (const auto& entry : aEntries) {
    newest[entry.mId] = entry;
  }
  aEntries.clear();
  for (const auto& [id, entry] : newest) {
    if (entry.mState != schedule::ExecutorState::Gone) {
      aEntries.push_back(entry);
    }
  }
}

// Whether the action is a call to an executor for a shard of this host, or an exchange with a
// relay.
bool
IsOwnCall(const schedule::Action& aAction)
{
  return std::visit(
    [](const auto& aCall) {
      using T = std::decay_t<decltype(aCall)>;
      if constexpr (std::is_constructible_v<schedule::ExecutorCall, T>) {
        return aCall.mTo.mRelayTicket == 0;
      }
      return std::is_same_v<T, schedule::RelayCall>;
    },
    aAction);
}

std::size_t
SizeOf(const schedule::AppendCall& aCall)
{
  auto size = kCallBytes;
  for (const auto& record : aCall.mRecords) {
    size += record.mKey.size() + record.mValue.size();
  }
  return size;
}

}

Duration
Simulation::Transfer(int aHost, std::size_t aBytes)
{
  mHosts[static_cast<std::size_t>(aHost)].mWork.mBytes += static_cast<std::int64_t>(aBytes);
  if (mSettings.mLinkBytesPerSecond == 0) {
    return Duration(0);
  }
  auto& link = mHosts[static_cast<std::size_t>(aHost)].mLinkBusyUntil;
  auto time = Duration(std::chrono::seconds(1)) * static_cast<std::int64_t>(aBytes) /
              mSettings.mLinkBytesPerSecond;
  link = std::max(link, mNow) + time;
  return link - mNow;
}

void
Simulation::CallStore(int aHost,
                      const Event& aWithoutAnswer,
                      const std::function<Event()>& aWork,
                      std::size_t aBytes)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  auto isLost = mStoreDown || !mHosts[static_cast<std::size_t>(aHost)].mReachesStore ||
                Chance(mSettings.mRequestLoss);
  if (isLost) {
    ScheduleAfter(kCallTimeout, [=, this] { Deliver(aHost, incarnation, aWithoutAnswer); });
    return;
  }
  auto sentIn = Transfer(aHost, aBytes);
  ScheduleAfter(kNetworkLatency + mSettings.mStoreLatency + sentIn, [=, this] {
    auto answer = aWork();
    if (sentIn > kCallTimeout || Chance(mSettings.mAnswerLoss)) {
      ScheduleAfter(kCallTimeout, [=, this] { Deliver(aHost, incarnation, aWithoutAnswer); });
      return;
    }
    ScheduleAfter(kNetworkLatency + Transfer(aHost, kCallBytes),
                  [=, this] { Deliver(aHost, incarnation, answer); });
  });
}

void
Simulation::FillExternalRecords(Stream aStream, std::int64_t aFrom, schedule::ExternalRecords& aOut)
{
  const auto& source = aStream == Stream::Operator ? mOperatorRecords : mExecutorRecords;
  for (auto i = static_cast<std::size_t>(aFrom); i < source.size(); ++i) {
    const auto& records = source[i];
    aOut.mManifests.insert(
      aOut.mManifests.end(), records.mManifests.begin(), records.mManifests.end());
    aOut.mWaves.insert(aOut.mWaves.end(), records.mWaves.begin(), records.mWaves.end());
    aOut.mExecutors.insert(
      aOut.mExecutors.end(), records.mExecutors.begin(), records.mExecutors.end());
  }
}

void
Simulation::AnswerRead(int aHost, int aIncarnation, const schedule::ReadCall& aCall, Instant aUntil)
{
  auto isForeign = aCall.mStream == Stream::Operator || aCall.mStream == Stream::Executors;
  schedule::ReadAnswer answer;
  if (isForeign) {
    const auto& source = aCall.mStream == Stream::Operator ? mOperatorRecords : mExecutorRecords;
    answer.mCall = aCall;
    answer.mResult = CallResult::Done;
    FillExternalRecords(aCall.mStream, aCall.mFrom, answer.mExternalRecords);
    answer.mEnd = static_cast<std::int64_t>(source.size());
    for (auto offset = aCall.mFrom; offset < answer.mEnd; ++offset) {
      answer.mRecords.push_back({ {}, {}, offset });
    }
  } else {
    answer = Read(mStore, aCall);
  }
  answer.mSentAt = aUntil - aCall.mWait;
  if (answer.mRecords.empty() && !answer.mTrimmed && mNow < aUntil) {
    ScheduleAfter(kLongPollInterval, [=, this] { AnswerRead(aHost, aIncarnation, aCall, aUntil); });
    return;
  }
  CountQueryBytes(aCall.mReader, answer.mRecords);
  ScheduleAfter(kNetworkLatency, [=, this] { Deliver(aHost, aIncarnation, answer); });
}

void
Simulation::Perform(int /*aHost*/, const schedule::LogEntry& /*aEntry*/)
{
}

void
Simulation::Perform(int /*aHost*/, const schedule::Reply& aCall)
{
  RecordReply(aCall);
}

void
Simulation::Perform(int aHost, const schedule::AppendCall& aCall)
{
  auto sentAt = mNow;
  schedule::AppendAnswer lost;
  lost.mCall = aCall;
  auto append = [=, this]() -> Event {
    auto answer = Append(mStore, aCall);
    answer.mSentAt = sentAt;
    answer.mCall = aCall;
    return answer;
  };
  CallStore(aHost, lost, append, SizeOf(aCall));
}

void
Simulation::Perform(int aHost, const schedule::ReadCall& aCall)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  schedule::ReadAnswer lost;
  lost.mCall = aCall;
  auto isLost = mStoreDown || !mHosts[static_cast<std::size_t>(aHost)].mReachesStore ||
                Chance(mSettings.mAnswerLoss);
  if (isLost) {
    ScheduleAfter(kCallTimeout, [=, this] { Deliver(aHost, incarnation, lost); });
  } else {
    auto until = mNow + aCall.mWait;
    ScheduleAfter(mSettings.mStoreLatency,
                  [=, this] { AnswerRead(aHost, incarnation, aCall, until); });
  }
}

void
Simulation::Perform(int aHost, const schedule::ReadNewestCall& aCall)
{
  schedule::ReadNewestAnswer lost;
  lost.mCall = aCall;
  CallStore(aHost, lost, [=, this]() -> Event {
    auto answer = Newest(mStore, aCall);
    answer.mCall = aCall;
    CountQueryBytes(aCall.mReader, answer.mRecords);
    FillExternalRecords(aCall.mStream, 0, answer.mExternalRecords);
    DropUnlisted(answer.mExternalRecords.mExecutors);
    if (aCall.mStream == Stream::Operator || aCall.mStream == Stream::Executors) {
      const auto& source = aCall.mStream == Stream::Operator ? mOperatorRecords : mExecutorRecords;
      answer.mEnd = static_cast<std::int64_t>(source.size());
    } else {
      answer.mExternalRecords = {};
    }
    return answer;
  });
}

void
Simulation::Perform(int aHost, const schedule::JoinCall& aCall)
{
  auto sentAt = mNow;
  schedule::JoinAnswer lost;
  lost.mCall = aCall;
  CallStore(aHost, lost, [=, this]() -> Event {
    auto answer = Join(mStore, mHosts[static_cast<std::size_t>(aHost)].mName, aCall, mNow);
    answer.mSentAt = sentAt;
    return answer;
  });
}

void
Simulation::Perform(int aHost, const schedule::OwnersCall& /*aCall*/)
{
  CallStore(aHost, schedule::OwnersAnswer{}, [=, this]() -> Event {
    schedule::OwnersAnswer answer;
    answer.mResult = CallResult::Done;
    for (const auto& [partition, name] : Owners(mStore, mNow)) {
      answer.mOwners.push_back({ name, mCapacities[name], mSettings.mHasRelays ? name : "" });
    }
    return answer;
  });
}

void
Simulation::Perform(int aHost, const schedule::LeaveCall& /*aCall*/)
{
  Leave(mStore, mHosts[static_cast<std::size_t>(aHost)].mName);
}

void
Simulation::Perform(int aHost, const schedule::RelayCall& aCall)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  schedule::RelayAnswer answer;
  answer.mRelay = aCall.mRelay;
  answer.mSession = aCall.mRequest.mSession;
  answer.mSentAt = mNow;
  auto relay = std::find_if(mHosts.begin(), mHosts.end(), [&](const SimulatedHost& aCandidate) {
    return aCandidate.mName == aCall.mAddress;
  });
  auto ticket = mNextExchange++;
  // Whatever comes first ends the exchange: the answer or the timeout.
  auto isOver = std::make_shared<bool>(false);
  auto finish = [=, this](const schedule::RelayAnswer& aAnswer) {
    if (!std::exchange(*isOver, true)) {
      Deliver(aHost, incarnation, aAnswer);
    }
  };
  ScheduleAfter(aCall.mAnswerTimeout, [=, this] {
    mExchanges.erase(ticket);
    finish(answer);
  });
  if (relay == mHosts.end() || !relay->mIsUp || Chance(mSettings.mRequestLoss)) {
    return;
  }
  auto index = static_cast<int>(relay - mHosts.begin());
  mExchanges[ticket] = [=, this](const schedule::RelayResponse& aResponse) {
    if (Chance(mSettings.mAnswerLoss)) {
      return;
    }
    auto whole = answer;
    whole.mResult = CallResult::Done;
    auto bytes = schedule::EncodeRelayResponse(aResponse);
    whole.mResponse = schedule::DecodeRelayResponse(bytes).value();
    auto size = kCallBytes + bytes.size();
    auto back = std::max(Transfer(index, size), Transfer(aHost, size));
    ScheduleAfter(kNetworkLatency + back, [=] { finish(whole); });
  };
  auto relayIncarnation = relay->mIncarnation;
  auto bytes = schedule::EncodeRelayRequest(aCall.mRequest);
  auto request = schedule::DecodeRelayRequest(bytes).value();
  auto size = kCallBytes + bytes.size();
  auto there = std::max(Transfer(aHost, size), Transfer(index, size));
  ScheduleAfter(kNetworkLatency + there, [=, this] {
    Deliver(index, relayIncarnation, schedule::RelayIncoming{ ticket, request });
  });
}

void
Simulation::Perform(int /*aHost*/, const schedule::RelayReply& aReply)
{
  auto exchange = mExchanges.extract(aReply.mTicket);
  if (!exchange.empty()) {
    exchange.mapped()(aReply.mResponse);
  }
}

void
Simulation::Perform(int aHost, const schedule::MachinesCall& aCall)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  schedule::MachinesAnswer answer;
  answer.mCall = aCall;
  answer.mResult = CallResult::Done;
  for (const auto& [id, machine] : mMachines) {
    answer.mMachines.push_back(std::make_shared<const schedule::Machine>(machine));
  }
  ScheduleAfter(kNetworkLatency, [=, this] { Deliver(aHost, incarnation, answer); });
}

void
Simulation::Perform(int aHost, const schedule::MaintenanceCall& aCall)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  mUpkeeps.push_back(aCall);
  TakeMachineDown(aCall.mMachine, aCall.mFence, 2s, mMachines[aCall.mMachine].mPool);
  schedule::MaintenanceAnswer answer{ aCall, CallResult::Done };
  ScheduleAfter(kNetworkLatency, [=, this] { Deliver(aHost, incarnation, answer); });
}

void
Simulation::Perform(int aHost, const schedule::MoveCall& aCall)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  auto isTaken = TakeMachineDown(aCall.mMachine, aCall.mFence, 1500ms, aCall.mTo);
  auto result = isTaken ? CallResult::Done : CallResult::Refused;
  ScheduleAfter(kNetworkLatency, [=, this] {
    Deliver(aHost, incarnation, schedule::MoveAnswer{ aCall, result });
  });
}

void
Simulation::Perform(int aHost, const schedule::WaveStatusCall& aCall)
{
  auto incarnation = mHosts[static_cast<std::size_t>(aHost)].mIncarnation;
  mWaveReports.push_back(aCall);
  ScheduleAfter(kNetworkLatency, [=, this] {
    Deliver(aHost, incarnation, schedule::WaveStatusAnswer{ aCall, CallResult::Done });
  });
}

void
Simulation::Execute(int aHost, const schedule::Action& aAction)
{
  mHosts[static_cast<std::size_t>(aHost)].mWork.mCalls += IsOwnCall(aAction) ? 1 : 0;
  std::visit([&](const auto& aCall) { Perform(aHost, aCall); }, aAction);
}

bool
Simulation::TakeMachineDown(const schedule::MachineId& aMachine,
                            std::int64_t aFence,
                            Duration aTime,
                            const schedule::ServiceName& aTo)
{
  auto& highest = mMachineFences[aMachine];
  if (aFence < highest) {
    mViolations.push_back("machine " + aMachine.mValue +
                          " got an order with a stale fencing token");
  }
  highest = std::max(highest, aFence);
  auto& machine = mMachines[aMachine];
  if (machine.mState != schedule::MachineState::Up) {
    return true;
  }
  machine.mState = schedule::MachineState::Maintenance;
  for (std::size_t i = 0; i < mExecutors.size(); ++i) {
    if (mExecutors[i].mEntry.mId != machine.mExecutor) {
      continue;
    }
    auto gone = mExecutors[i].mEntry;
    gone.mState = schedule::ExecutorState::Gone;
    schedule::ExternalRecords records;
    records.mExecutors.push_back(gone);
    mExecutorRecords.push_back(records);
    mExecutors[i].mIsUp = false;
    mExecutors[i].mRuns.clear();
  }
  ScheduleAfter(aTime, [=, this] { ReturnMachine(aMachine, aTo); });
  return true;
}

void
Simulation::ReturnMachine(const schedule::MachineId& aMachine, const schedule::ServiceName& aTo)
{
  auto& machine = mMachines[aMachine];
  machine.mState = schedule::MachineState::Up;
  machine.mPool = aTo;
  for (std::size_t i = 0; i < mExecutors.size(); ++i) {
    if (mExecutors[i].mEntry.mId == machine.mExecutor) {
      Restart(mExecutors[i], mNow);
      mExecutors[i].mIsUp = true;
      mExecutors[i].mEntry.mId.mValue += "'";
      mExecutors[i].mEntry.mService = aTo;
      machine.mExecutor = mExecutors[i].mEntry.mId;
      ListExecutor(static_cast<int>(i));
      return;
    }
  }
}

}
