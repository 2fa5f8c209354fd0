#include "Actions.h"
#include "LibSchedule/RelayService.h"
#include "LibSchedule/RelayedCalls.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <set>

using namespace sesameseam;
using namespace sesameseam::schedule;

namespace {

constexpr int kMillicores = 500;
// More than an owner that shares its calls keeps.
constexpr int kManyExecutors = 300;
// As many as an owner serves alone that is not late.
constexpr int kFewerExecutors = 200;

Now
At(Duration aTime)
{
  return { Instant(3600s) + aTime, TimePoint(1'000'000s) + aTime };
}

HeartbeatCall
HeartbeatTo(int aExecutor)
{
  HeartbeatCall call;
  call.mTo.mExecutor = ExecutorId("x" + std::to_string(aExecutor));
  call.mTo.mAddress = "executor-" + std::to_string(aExecutor);
  call.mTo.mShard = 3;
  call.mTo.mEpoch = 17;
  return call;
}

Actions
HeartbeatsTo(int aExecutors)
{
  Actions actions;
  for (int i = 0; i < aExecutors; ++i) {
    actions.emplace_back(HeartbeatTo(i));
  }
  return actions;
}

// What an owner sends to its relays.
struct SentToRelays
{
  std::size_t mExchanges = 0;
  std::size_t mBytes = 0;
};

// An owner, and two relays whose clocks differ from its own.
struct Fixture
{
  Fixture()
  {
    mCalls.mSettings = { "e0", kMillicores };
    UpdateRelays(mCalls,
                 { { "e0", kMillicores, "e0:1" },
                   { "e1", kMillicores, "e1:1" },
                   { "e2", kMillicores, "e2:1" } });
  }

  // Hands calls over, as an owner does that is short of processor time.
  void HandOver(Duration aTime, Actions& aActions)
  {
    RecordDelay(mCalls, At(aTime).mAt, 500ms);
    RelayCalls(mCalls, At(aTime), aActions);
  }

  // Hands calls over and lets the relays answer the exchanges.
  void Exchange(Duration aTime, Actions& aActions)
  {
    HandOver(aTime, aActions);
    for (const auto& exchange : Select<RelayCall>(aActions)) {
      auto answer = Answer(exchange, aTime);
      Actions more;
      for (auto& each : OnRelayAnswer(mCalls, At(aTime), answer, more)) {
        mAnswers.push_back(std::move(each));
      }
    }
  }

  RelayAnswer Answer(const RelayCall& aExchange, Duration aTime)
  {
    auto now = At(aTime);
    now.mAt += kClockLead - mDelay;
    Actions actions;
    OnRelayIncoming(mServices[aExchange.mRelay], now, { 1, aExchange.mRequest }, false, actions);
    for (const auto& call : Select<HeartbeatCall>(actions)) {
      mMade.push_back(call);
    }
    RelayAnswer answer;
    answer.mRelay = aExchange.mRelay;
    answer.mSession = aExchange.mRequest.mSession;
    answer.mResult = CallResult::Done;
    answer.mResponse = Select<RelayReply>(actions).at(0).mResponse;
    answer.mSentAt = At(aTime).mAt;
    return answer;
  }

  // Has the relay stay silent until the owner notices.
  void Lose(const RelayCall& aExchange, Duration aTime)
  {
    RelayAnswer answer;
    answer.mRelay = aExchange.mRelay;
    answer.mSession = aExchange.mRequest.mSession;
    Actions actions;
    for (auto& each : OnRelayAnswer(mCalls, At(aTime), answer, actions)) {
      mAnswers.push_back(std::move(each));
    }
  }

  // Lets time pass in which the owner's timers are that late.
  void PassTime(Duration aFrom, Duration aUntil, Duration aDelay)
  {
    for (auto time = aFrom; time < aUntil; time += 100ms) {
      RecordDelay(mCalls, At(time).mAt, aDelay);
    }
  }

  // Asks the relays for results as often as the owner wants, with answers at once.
  SentToRelays Poll(Duration aFrom, Duration aUntil)
  {
    SentToRelays sent;
    for (auto time = aFrom; time < aUntil; time += 5ms) {
      Actions actions;
      RelayCalls(mCalls, At(time), actions);
      for (const auto& exchange : Select<RelayCall>(actions)) {
        ++sent.mExchanges;
        sent.mBytes += EncodeRelayRequest(exchange.mRequest).size();
        Actions more;
        OnRelayAnswer(mCalls, At(time), Answer(exchange, time), more);
      }
    }
    return sent;
  }

  // Makes the relays known, which an owner needs before it hands calls over.
  void ReadClocks()
  {
    auto actions = HeartbeatsTo(kManyExecutors);
    Exchange(0ms, actions);
  }

  static constexpr Duration kClockLead = 50s;
  // How old a reading of a relay's clock is.
  Duration mDelay{ 0 };
  RelayedCalls mCalls;
  std::map<std::string, RelayService> mServices;
  std::vector<HeartbeatCall> mMade;
  std::vector<ExecutorAnswer> mAnswers;
};

}

BOOST_FIXTURE_TEST_SUITE(CallsThatOtherHostsMake, Fixture)

BOOST_AUTO_TEST_CASE(an_owner_whose_timers_are_in_time_makes_all_calls_itself)
{
  ReadClocks();
  for (auto time = Duration(6s); time < 7s; time += 100ms) {
    RecordDelay(mCalls, At(time).mAt, 2ms);
  }
  // Calls that were handed over before are no longer remembered.
  Actions none;
  RelayCalls(mCalls, At(20s), none);
  auto actions = HeartbeatsTo(kFewerExecutors);
  RelayCalls(mCalls, At(20s), actions);
  BOOST_TEST(Select<HeartbeatCall>(actions).size() == std::size_t(kFewerExecutors));
  BOOST_TEST(Select<RelayCall>(actions).empty());
}

BOOST_AUTO_TEST_CASE(one_late_timer_is_no_lack_of_processor_time)
{
  RecordDelay(mCalls, At(0ms).mAt, 40ms);
  auto actions = HeartbeatsTo(kFewerExecutors);
  RelayCalls(mCalls, At(1ms), actions);
  BOOST_TEST(Select<HeartbeatCall>(actions).size() == std::size_t(kFewerExecutors));
  BOOST_TEST(Select<RelayCall>(actions).empty());
}

BOOST_AUTO_TEST_CASE(an_owner_of_few_executors_makes_all_calls_itself)
{
  ReadClocks();
  Actions none;
  HandOver(20s, none);
  auto actions = HeartbeatsTo(20);
  HandOver(20s, actions);
  BOOST_TEST(Select<HeartbeatCall>(actions).size() == 20u);
}

BOOST_AUTO_TEST_CASE(the_calls_to_many_executors_are_shared_and_their_answers_come_back)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  Exchange(20ms, actions);
  auto own = Select<HeartbeatCall>(actions).size();
  BOOST_TEST(own <= 50u);
  BOOST_TEST(own + mMade.size() == std::size_t(kManyExecutors));
  for (const auto& call : mMade) {
    HeartbeatAnswer answer{ call, CallResult::Done };
    answer.mIncarnation = 5;
    for (auto& [name, service] : mServices) {
      OnRelayedAnswer(service, At(30ms), call.mTo.mRelayTicket, answer);
    }
  }
  Actions next;
  Exchange(100ms, next);
  Exchange(200ms, next);
  BOOST_TEST(mAnswers.size() == mMade.size());
  for (const auto& each : mAnswers) {
    const auto& answer = std::get<HeartbeatAnswer>(each);
    BOOST_TEST((answer.mResult == CallResult::Done));
    BOOST_TEST(answer.mIncarnation == 5);
    BOOST_TEST(answer.mCall.mTo.mShard == 3);
    BOOST_TEST(answer.mCall.mTo.mEpoch == 17);
    BOOST_TEST(answer.mCall.mTo.mRelayTicket == 0);
    BOOST_TEST((answer.mSentAt == At(20ms).mAt));
    BOOST_TEST((answer.mAge >= 70ms));
  }
}

// Guards against calls that all come back to the owner each time a reading of a relay's clock gets
// old.
BOOST_AUTO_TEST_CASE(a_relay_that_is_in_use_keeps_its_executors)
{
  ReadClocks();
  std::size_t own = 0;
  for (auto time = Duration(100ms); time < 25s; time += 100ms) {
    // Each answer is a little later than the one before, so that the first reading is the closest.
    mDelay += 10us;
    auto actions = HeartbeatsTo(kManyExecutors);
    Exchange(time, actions);
    own = std::max(own, Select<HeartbeatCall>(actions).size());
  }
  BOOST_TEST(own <= 50u);
}

// Guards against relays that are avoided when a pool's turn begins, since they have forgotten the
// session of its last one.
BOOST_AUTO_TEST_CASE(relays_that_were_idle_are_used_again_at_once)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  Exchange(20ms, actions);
  for (const auto& call : mMade) {
    for (auto& [name, service] : mServices) {
      OnRelayedAnswer(service, At(30ms), call.mTo.mRelayTicket, HeartbeatAnswer{ call });
    }
  }
  Actions none;
  Exchange(100ms, none);
  for (auto& [name, service] : mServices) {
    AdvanceRelayService(service, At(30s));
  }
  auto next = HeartbeatsTo(kManyExecutors);
  Exchange(30s, next);
  auto soon = HeartbeatsTo(kManyExecutors);
  Exchange(30s + 50ms, soon);
  BOOST_TEST(Select<HeartbeatCall>(soon).size() <= 50u);
}

// Guards against two runs of a task at once: the relay was suspended with calls of an owner that
// has lost its shard since, and their executor has restarted, so that it knows no fencing token.
BOOST_AUTO_TEST_CASE(calls_that_waited_for_the_end_of_a_suspension_are_not_made)
{
  auto& service = mServices["e1"];
  auto ask = [&](std::int64_t aNumber, Duration aDecidedAt) {
    RelayRequest request{ "e0", 5, At(aDecidedAt).mAt, At(3600s).mAt };
    request.mCalls.push_back({ aNumber, HeartbeatTo(1) });
    Actions actions;
    OnRelayIncoming(service, At(700ms), { 1, request }, false, actions);
    return Select<HeartbeatCall>(actions).size();
  };
  NoticeSuspension(service, At(100ms).mAt);
  NoticeSuspension(service, At(600ms).mAt);
  BOOST_TEST(ask(1, 550ms) == 0u);
  BOOST_TEST(ask(2, 650ms) == 1u);
}

// Guards against starts that wait for news of a call of which it is known that it was not made.
BOOST_AUTO_TEST_CASE(a_start_that_was_not_made_is_told_apart_from_one_without_an_answer)
{
  StartCall call;
  call.mTo = HeartbeatTo(1).mTo;
  Actions actions;
  RelayRequest request{ "e0", 5, Instant(1s), Instant(1s), { { 1, call } } };
  OnRelayIncoming(mServices["e1"], At(0ms), { 1, request }, false, actions);
  BOOST_TEST(Select<StartCall>(actions).empty());
  auto result = Select<RelayReply>(actions).at(0).mResponse.mResults.at(0);
  auto answer = std::get<StartAnswer>(ToExecutorAnswer(call, Instant(), result));
  BOOST_TEST((answer.mResult == CallResult::Refused));
  BOOST_TEST((answer.mRefusal == StartRefusal::NotSent));
}

BOOST_AUTO_TEST_CASE(calls_that_reach_a_relay_late_are_not_made)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, actions);
  auto exchanges = Select<RelayCall>(actions);
  BOOST_TEST(!exchanges.empty());
  for (const auto& exchange : exchanges) {
    auto answer = Answer(exchange, 2s);
    BOOST_TEST(mMade.empty());
    BOOST_TEST(answer.mResponse.mResults.size() == exchange.mRequest.mCalls.size());
    for (const auto& result : answer.mResponse.mResults) {
      BOOST_TEST((result.mResult == CallResult::Refused));
      BOOST_TEST((result.mRefusal == StartRefusal::NotSent));
    }
  }
}

BOOST_AUTO_TEST_CASE(the_calls_of_a_relay_that_stays_silent_are_unanswered_and_it_is_avoided)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, actions);
  auto lost = Select<RelayCall>(actions).at(0);
  RelayAnswer answer;
  answer.mRelay = lost.mRelay;
  answer.mSession = lost.mRequest.mSession;
  answer.mSentAt = At(20ms).mAt;
  Actions after;
  BOOST_TEST(OnRelayAnswer(mCalls, At(320ms), answer, after).empty());
  HandOver(320ms, after);
  auto repeated = Select<RelayCall>(after);
  BOOST_TEST(std::any_of(repeated.begin(), repeated.end(), [&](const RelayCall& aCall) {
    return aCall.mRelay == lost.mRelay &&
           aCall.mRequest.mCalls.size() == lost.mRequest.mCalls.size();
  }));
  answer.mSentAt = At(600ms).mAt;
  auto answers = OnRelayAnswer(mCalls, At(1100ms), answer, after);
  BOOST_TEST(answers.size() == lost.mRequest.mCalls.size());
  BOOST_TEST(Select<LogEntry>(after).size() == 1u);
  for (const auto& each : answers) {
    BOOST_TEST((std::get<HeartbeatAnswer>(each).mResult == CallResult::Unanswered));
    BOOST_TEST(std::get<HeartbeatAnswer>(each).mIsRelayFailure);
  }
  // The owner, which is no longer late, finds out itself how the executors are.
  PassTime(1100ms, 3s, 0ms);
  auto own = HeartbeatsTo(kManyExecutors);
  RelayCalls(mCalls, At(1100ms), own);
  auto made = Select<HeartbeatCall>(own);
  for (const auto& call : lost.mRequest.mCalls) {
    const auto& to = std::get<HeartbeatCall>(call.mCall).mTo.mExecutor;
    BOOST_TEST(std::any_of(made.begin(), made.end(), [&](const HeartbeatCall& aCall) {
      return aCall.mTo.mExecutor == to;
    }));
  }
  auto next = HeartbeatsTo(kManyExecutors);
  HandOver(1200ms, next);
  for (const auto& exchange : Select<RelayCall>(next)) {
    BOOST_TEST(exchange.mRelay != lost.mRelay);
  }
}

// Guards against too little served (SHORT): the owner of a pool has no processor time left, and the
// calls of a lost relay come back to it on top.
BOOST_AUTO_TEST_CASE(a_late_owner_takes_no_calls_of_a_lost_relay_back)
{
  ReadClocks();
  auto before = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, before);
  auto lost = Select<RelayCall>(before).at(0);
  Lose(lost, 1100ms);
  BOOST_TEST(mAnswers.size() == lost.mRequest.mCalls.size());
  auto after = HeartbeatsTo(kManyExecutors);
  HandOver(1100ms, after);
  BOOST_TEST(Select<HeartbeatCall>(after).size() <= Select<HeartbeatCall>(before).size());
  BOOST_TEST(mCalls.mRelays.at(lost.mRelay).mPending.empty());
}

// As above, where the calls reach their relays too late since the owner hands them over late.
BOOST_AUTO_TEST_CASE(a_late_owner_takes_no_calls_back_that_came_too_late)
{
  ReadClocks();
  auto before = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, before);
  for (const auto& exchange : Select<RelayCall>(before)) {
    Actions actions;
    auto answers = OnRelayAnswer(mCalls, At(2s), Answer(exchange, 2s), actions);
    BOOST_TEST(answers.size() == exchange.mRequest.mCalls.size());
  }
  auto after = HeartbeatsTo(kManyExecutors);
  HandOver(2s, after);
  BOOST_TEST(Select<HeartbeatCall>(after).size() <= Select<HeartbeatCall>(before).size());
}

// As above, where exchanges seem slow since their answers wait for the owner.
BOOST_AUTO_TEST_CASE(a_late_owner_does_not_give_all_its_relays_up_as_slow)
{
  ReadClocks();
  auto before = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, before);
  PassTime(100ms, 2s, 70ms);
  for (const auto& exchange : Select<RelayCall>(before)) {
    auto answer = Answer(exchange, 1100ms);
    answer.mSentAt = At(20ms).mAt;
    Actions actions;
    OnRelayAnswer(mCalls, At(2s), answer, actions);
  }
  auto after = HeartbeatsTo(kManyExecutors);
  RelayCalls(mCalls, At(2s), after);
  BOOST_TEST(Select<HeartbeatCall>(after).size() <= Select<HeartbeatCall>(before).size());
}

// As above, where the owner was in time and is not for long if it calls so many executors itself.
BOOST_AUTO_TEST_CASE(an_owner_takes_back_no_more_calls_than_it_would_make_alone)
{
  constexpr int kExecutors = 450;
  ReadClocks();
  auto before = HeartbeatsTo(kExecutors);
  HandOver(20ms, before);
  PassTime(100ms, 2s, 0ms);
  auto lost = Select<RelayCall>(before).at(0);
  Lose(lost, 2s);
  auto after = HeartbeatsTo(kExecutors);
  RelayCalls(mCalls, At(2s), after);
  BOOST_TEST(Select<HeartbeatCall>(after).size() > Select<HeartbeatCall>(before).size());
  BOOST_TEST(Select<HeartbeatCall>(after).size() <= std::size_t(kFewerExecutors));
  // Once it is late, it hands them over again.
  auto late = HeartbeatsTo(kExecutors);
  HandOver(2100ms, late);
  BOOST_TEST(Select<HeartbeatCall>(late).size() <= Select<HeartbeatCall>(before).size());
}

// Guards against calls that are all unanswered because a late owner notices late that one exchange
// was lost.
BOOST_AUTO_TEST_CASE(a_single_lost_exchange_is_repeated_however_late_the_owner_is)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, actions);
  auto lost = Select<RelayCall>(actions).at(0);
  RelayAnswer answer;
  answer.mRelay = lost.mRelay;
  answer.mSession = lost.mRequest.mSession;
  answer.mSentAt = At(550ms).mAt;
  BOOST_TEST(OnRelayAnswer(mCalls, At(1100ms), answer, actions).empty());
  Actions next;
  HandOver(1100ms, next);
  auto repeated = Select<RelayCall>(next);
  BOOST_TEST(std::any_of(repeated.begin(), repeated.end(), [&](const RelayCall& aCall) {
    return aCall.mRelay == lost.mRelay &&
           aCall.mRequest.mCalls.size() == lost.mRequest.mCalls.size();
  }));
}

// Guards against owners that spend their time, and narrow links, on asking for results that are not
// there (AVAIL, LOST).
BOOST_AUTO_TEST_CASE(relays_that_have_nothing_to_tell_are_asked_less_often)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  Exchange(20ms, actions);
  auto relays = mServices.size();
  BOOST_TEST(Poll(1s, 2s).mExchanges <= relays * 30);
  // Calls do not wait for the next such question.
  auto next = HeartbeatsTo(kManyExecutors);
  RelayCalls(mCalls, At(2s), next);
  BOOST_TEST(Select<RelayCall>(next).size() == relays);
}

// Guards against one host that makes the calls of all owners, because all begin with the first one.
BOOST_AUTO_TEST_CASE(owners_of_smaller_pools_use_different_relays)
{
  std::set<std::string> used;
  for (const auto* owner : { "e0", "e1", "e2" }) {
    RelayedCalls calls;
    calls.mSettings = { owner, kMillicores };
    std::swap(calls, mCalls);
    UpdateRelays(mCalls,
                 { { "e0", kMillicores, "e0:1" },
                   { "e1", kMillicores, "e1:1" },
                   { "e2", kMillicores, "e2:1" } });
    auto first = HeartbeatsTo(60);
    Exchange(0ms, first);
    auto actions = HeartbeatsTo(60);
    HandOver(20ms, actions);
    for (const auto& exchange : Select<RelayCall>(actions)) {
      BOOST_TEST(exchange.mRequest.mCalls.size() == 35u);
      used.insert(exchange.mRelay);
    }
  }
  BOOST_TEST(used.size() == 3u);
}

// Guards against an owner that asks all hosts for their clocks because it is late.
BOOST_AUTO_TEST_CASE(no_more_relays_are_asked_than_have_room_for_the_executors)
{
  std::vector<GroupOwner> owners;
  constexpr int kHosts = 50;
  owners.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    owners.push_back({ "f" + std::to_string(i), kMillicores, "f:1" });
  }
  UpdateRelays(mCalls, owners);
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(0ms, actions);
  BOOST_TEST(Select<RelayCall>(actions).size() == 6u);
}

// Guards against an owner that makes more exchanges, or sends more in them, the later it is.
BOOST_AUTO_TEST_CASE(lateness_never_raises_the_number_of_exchanges_or_their_bytes)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  Exchange(20ms, actions);
  auto start = Duration(1s);
  auto exchanges = std::numeric_limits<std::size_t>::max();
  auto bytes = exchanges;
  for (auto delay : { 0ms, 10ms, 40ms, 60ms, 150ms, 1000ms }) {
    PassTime(start - 1s, start, delay);
    auto sent = Poll(start, start + 2s);
    BOOST_TEST(sent.mExchanges > 0u);
    BOOST_TEST(sent.mExchanges <= exchanges);
    BOOST_TEST(sent.mBytes <= bytes);
    exchanges = sent.mExchanges;
    bytes = sent.mBytes;
    start += 3s;
  }
}

// Guards against exchanges that fill narrow links, so that leases lapse (AVAIL, LOST).
BOOST_AUTO_TEST_CASE(
  a_relay_to_which_exchanges_take_long_is_avoided_and_its_calls_are_still_answered)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, actions);
  auto slow = Select<RelayCall>(actions).at(0);
  Answer(slow, 30ms);
  for (const auto& call : mMade) {
    OnRelayedAnswer(
      mServices[slow.mRelay], At(40ms), call.mTo.mRelayTicket, HeartbeatAnswer{ call });
  }
  auto answer = Answer(slow, 50ms);
  // The owner's timers are in time, so that the way to the relay is what takes long.
  for (auto time = Duration(100ms); time < 5s; time += 100ms) {
    RecordDelay(mCalls, At(time).mAt, 0ms);
  }
  answer.mSentAt = At(4500ms).mAt;
  Actions after;
  auto answers = OnRelayAnswer(mCalls, At(4950ms), answer, after);
  BOOST_TEST(answers.size() == slow.mRequest.mCalls.size());
  BOOST_TEST(Select<LogEntry>(after).size() == 1u);
  auto next = HeartbeatsTo(kManyExecutors);
  RelayCalls(mCalls, At(4960ms), next);
  BOOST_TEST((mCalls.mRelays.at(slow.mRelay).mAvoidUntil > At(4960ms).mAt));
  BOOST_TEST(mCalls.mRelays.at(slow.mRelay).mPending.empty());
  // It is one of two, so that the owner's own link may be what is slow.
  BOOST_TEST(CountRelayedExecutors(mCalls) == 0);
}

BOOST_AUTO_TEST_CASE(a_repeated_exchange_makes_no_call_twice_and_loses_no_answer)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, actions);
  auto exchange = Select<RelayCall>(actions).at(0);
  Answer(exchange, 30ms);
  BOOST_TEST(mMade.size() == exchange.mRequest.mCalls.size());
  for (const auto& call : mMade) {
    OnRelayedAnswer(
      mServices[exchange.mRelay], At(40ms), call.mTo.mRelayTicket, HeartbeatAnswer{ call });
  }
  auto first = Answer(exchange, 50ms);
  auto second = Answer(exchange, 60ms);
  BOOST_TEST(mMade.size() == exchange.mRequest.mCalls.size());
  Actions after;
  BOOST_TEST(OnRelayAnswer(mCalls, At(70ms), first, after).size() == mMade.size());
  BOOST_TEST(OnRelayAnswer(mCalls, At(80ms), second, after).empty());
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_session_that_was_given_up_has_no_effect)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, actions);
  auto lost = Select<RelayCall>(actions).at(0);
  auto late = Answer(lost, 30ms);
  auto made = mMade.at(0);
  OnRelayedAnswer(mServices[lost.mRelay], At(40ms), made.mTo.mRelayTicket, HeartbeatAnswer{ made });
  RelayAnswer unanswered;
  unanswered.mRelay = lost.mRelay;
  unanswered.mSession = lost.mRequest.mSession;
  Actions after;
  OnRelayAnswer(mCalls, At(1100ms), unanswered, after);
  BOOST_TEST(OnRelayAnswer(mCalls, At(1200ms), late, after).empty());
}

BOOST_AUTO_TEST_CASE(a_relay_that_leaves_the_group_gets_no_new_calls)
{
  ReadClocks();
  UpdateRelays(mCalls, { { "e0", kMillicores, "e0:1" }, { "e2", kMillicores, "e2:1" } });
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, actions);
  for (const auto& exchange : Select<RelayCall>(actions)) {
    BOOST_TEST(exchange.mRelay == "e2");
  }
}

BOOST_AUTO_TEST_CASE(without_relays_an_owner_makes_all_calls_itself)
{
  UpdateRelays(mCalls, { { "e0", kMillicores, "e0:1" }, { "e1", kMillicores, "" } });
  auto actions = HeartbeatsTo(kManyExecutors);
  HandOver(20ms, actions);
  BOOST_TEST(Select<HeartbeatCall>(actions).size() == std::size_t(kManyExecutors));
}

// Guards against calls that stay pending for ever, so that their executors are never called again.
// The first answer after the relay's restart is lost.
BOOST_AUTO_TEST_CASE(the_calls_of_a_relay_that_has_forgotten_them_are_unanswered)
{
  ReadClocks();
  auto actions = HeartbeatsTo(kManyExecutors);
  Exchange(20ms, actions);
  mServices.clear();
  Actions next;
  HandOver(100ms, next);
  for (const auto& exchange : Select<RelayCall>(next)) {
    Answer(exchange, 100ms);
    Actions after;
    OnRelayAnswer(mCalls, At(400ms), { exchange.mRelay, exchange.mRequest.mSession }, after);
  }
  Actions last;
  Exchange(400ms, last);
  BOOST_TEST(mAnswers.size() == mMade.size());
}

BOOST_AUTO_TEST_CASE(every_kind_of_call_and_answer_survives_the_wire)
{
  auto to = HeartbeatTo(1).mTo;
  to.mIncarnation = 18;
  TaskRun run{ { JobId("00000000000000aa"), 1, 2, 3 }, 4 };
  RelayRequest request{ "e0", 5, Instant(6s), Instant(7s) };
  request.mCalls.push_back({ 1, HeartbeatCall{ to, 8, 9ms, 10ms } });
  request.mCalls.push_back({ 2, StartCall{ to, run, "spec", "saved", 11ms } });
  request.mCalls.push_back({ 3, StopCall{ to, run } });
  request.mCalls.push_back({ 4, ThrottleCall{ to, run, 40 } });
  auto received = DecodeRelayRequest(EncodeRelayRequest(request)).value();
  BOOST_TEST(received.mOwner == "e0");
  BOOST_TEST(received.mSession == 5);
  BOOST_TEST((received.mDecidedAt == Instant(6s)));
  BOOST_TEST((received.mExpiresAt == Instant(7s)));
  BOOST_TEST(received.mCalls.size() == 4u);
  const auto& heartbeat = std::get<HeartbeatCall>(received.mCalls[0].mCall);
  BOOST_TEST(heartbeat.mTo.mAddress == to.mAddress);
  BOOST_TEST(heartbeat.mTo.mEpoch == 17);
  BOOST_TEST(heartbeat.mTo.mIncarnation == 18);
  BOOST_TEST(heartbeat.mLastSeen == 8);
  BOOST_TEST((heartbeat.mLeaseEnd == 9ms && heartbeat.mWait == 10ms));
  const auto& start = std::get<StartCall>(received.mCalls[1].mCall);
  BOOST_TEST((start.mRun == run && start.mSpec == "spec" && start.mCheckpoint == "saved"));
  BOOST_TEST((start.mLeaseEnd == 11ms));
  BOOST_TEST((std::get<StopCall>(received.mCalls[2].mCall).mRun == run));
  BOOST_TEST(std::get<ThrottleCall>(received.mCalls[3].mCall).mPercent == 40);

  HeartbeatAnswer answer{ heartbeat, CallResult::Done };
  answer.mIncarnation = 12;
  answer.mClock = 13ms;
  answer.mRunning.push_back({ run, "saved", 50, 60 });
  answer.mEnds.push_back({ 14, run, EndKind::LeaseExpired, "last" });
  answer.mUnreadable = 1;
  RelayResponse response;
  response.mClock = Instant(15s);
  response.mResults.push_back(ToRelayedResult(1, answer));
  StartAnswer refused{ start, CallResult::Refused, StartRefusal::StaleRun, 16ms };
  response.mResults.push_back(ToRelayedResult(2, refused));
  HeartbeatAnswer fromAnother{ heartbeat, CallResult::Refused };
  fromAnother.mIsFromAnother = true;
  response.mResults.push_back(ToRelayedResult(3, fromAnother));
  HeartbeatAnswer fromNobody{ heartbeat };
  fromNobody.mHasNoListener = true;
  response.mResults.push_back(ToRelayedResult(4, fromNobody));
  HeartbeatAnswer introduction{ heartbeat, CallResult::Done };
  introduction.mIsOfIntroduction = true;
  response.mResults.push_back(ToRelayedResult(5, introduction));
  auto returned = DecodeRelayResponse(EncodeRelayResponse(response)).value();
  BOOST_TEST((returned.mClock == Instant(15s)));
  auto back =
    std::get<HeartbeatAnswer>(ToExecutorAnswer(heartbeat, Instant(1s), returned.mResults[0]));
  BOOST_TEST(back.mIncarnation == 12);
  BOOST_TEST((back.mClock == 13ms));
  BOOST_TEST((back.mRunning.at(0).mRun == run && back.mRunning.at(0).mPercent == 50));
  BOOST_TEST((back.mEnds.at(0).mKind == EndKind::LeaseExpired && back.mEnds.at(0).mNumber == 14));
  BOOST_TEST(back.mUnreadable == 1);
  auto start2 = std::get<StartAnswer>(ToExecutorAnswer(start, Instant(1s), returned.mResults[1]));
  BOOST_TEST((start2.mRefusal == StartRefusal::StaleRun && start2.mClock == 16ms));
  BOOST_TEST(!back.mIsFromAnother);
  auto third = ToExecutorAnswer(heartbeat, Instant(1s), returned.mResults[2]);
  BOOST_TEST(std::get<HeartbeatAnswer>(third).mIsFromAnother);
  BOOST_TEST(!std::get<HeartbeatAnswer>(third).mHasNoListener);
  auto fourth = ToExecutorAnswer(heartbeat, Instant(1s), returned.mResults[3]);
  BOOST_TEST(std::get<HeartbeatAnswer>(fourth).mHasNoListener);
  auto fifth =
    std::get<HeartbeatAnswer>(ToExecutorAnswer(heartbeat, Instant(1s), returned.mResults[4]));
  BOOST_TEST((back.mCall.mLeaseEnd == 9ms && back.mCall.mLastSeen == 8));
  BOOST_TEST((fifth.mCall.mLeaseEnd == 0ms && fifth.mCall.mLastSeen == 0));
}

BOOST_AUTO_TEST_CASE(a_truncated_message_is_a_typed_error)
{
  RelayRequest request{ "e0", 5, Instant(6s), Instant(7s) };
  request.mCalls.push_back({ 1, HeartbeatTo(1) });
  auto bytes = EncodeRelayRequest(request);
  BOOST_TEST(!DecodeRelayRequest(bytes.substr(0, bytes.size() / 2)).ok());
  BOOST_TEST(!DecodeRelayRequest("").ok());
  BOOST_TEST(!DecodeRelayResponse("no response").ok());
}

BOOST_AUTO_TEST_SUITE_END()
