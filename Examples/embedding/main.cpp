#include "LibFleet/Fold.h"
#include "LibFleet/Views.h"
#include "LibServe/PoolServer.h"

#include <iostream>

// Uses the fold, the sharing of slots and the admission of sesameseam with a log of its own: a
// vector. Every decision is a function of state, present time and event, so that this program
// needs no clock, thread or socket.
namespace {

using namespace sesameseam;

const PoolName kPool("renders");
const std::vector<MemberName> kMembers = { MemberName("a"), MemberName("b") };

constexpr int kHosts = 3;
constexpr int kRequests = 40;

// The log: what a record's offset is follows from its place.
using Log = std::vector<std::string>;

void
Append(Log& aLog, TimePoint aNow, Change aChange)
{
  Record record;
  record.mId = RecordId("record-" + std::to_string(aLog.size()));
  record.mTime = aNow;
  record.mAuthor = "embedding";
  record.mChange = std::move(aChange);
  aLog.push_back(EncodeRecord(record));
}

Log
MakeLog(TimePoint aNow)
{
  Log log;
  for (const auto& member : kMembers) {
    Append(log, aNow, MemberJoined{ member, ZoneName("z1"), "address-of-" + member.mValue, "1" });
  }
  PoolDefined pool;
  pool.mPool = kPool;
  pool.mPresets = { { PresetName("ordinary"), kHosts, 0, 0.5 } };
  pool.mInForce = PresetName("ordinary");
  Append(log, aNow, pool);
  for (int i = 0; i < kHosts; ++i) {
    HostAdded host;
    host.mHost = HostName("host" + std::to_string(i));
    host.mPool = kPool;
    host.mAddress = "queue-" + std::to_string(i);
    Append(log, aNow, host);
  }
  return log;
}

// Folds the whole log; a record that breaks the rules is refused on every reader alike.
FleetState
Fold(const Log& aLog)
{
  FleetState state;
  for (std::size_t i = 0; i < aLog.size(); ++i) {
    auto decision = Apply(state, { static_cast<Offset>(i), aLog[i] });
    std::cout << "record " << i << " " << decision.mKind << " " << decision.mSubject << ": "
              << (decision.mAccepted ? "in force" : "refused, " + decision.mReason) << "\n";
  }
  return state;
}

void
PrintShares(const PoolView& aView)
{
  std::map<MemberName, int> shares;
  for (const auto& [slot, member] : AssignSlots(aView)) {
    shares[member] += 1;
  }
  for (const auto& [member, slots] : shares) {
    std::cout << "member " << member << " owns " << slots << " slots\n";
  }
}

Request
MakeRequest(int aIndex, TimePoint aNow)
{
  Request request;
  request.mId = RequestId("request-" + std::to_string(aIndex));
  request.mPool = kPool;
  request.mClass = aIndex % 4 == 0 ? RequestClass::Urgent : RequestClass::Ordinary;
  request.mKind = "render";
  request.mDeadline = aNow + 3s;
  return request;
}

// What came of the requests of one member.
struct Tally
{
  int mRunning = 0;
  int mMostRunning = 0;
  int mAnswered = 0;
  int mRefused = 0;
  std::vector<AttemptId> mAttempts;
};

void
Perform(const PoolActions& aActions, Tally& aTally)
{
  for (const auto& action : aActions) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      aTally.mAttempts.push_back(dispatch->mAttempt);
      aTally.mRunning += 1;
      aTally.mMostRunning = std::max(aTally.mMostRunning, aTally.mRunning);
    } else if (const auto* answer = std::get_if<Answer>(&action)) {
      bool answered = answer->mOutcome.mKind == OutcomeKind::Answered;
      (answered ? aTally.mAnswered : aTally.mRefused) += 1;
    }
  }
}

// The target answers every attempt after 100 ms.
void
RunAttempts(PoolServer& aServer, TimePoint& aNow, Tally& aTally)
{
  while (!aTally.mAttempts.empty()) {
    aNow += 100ms;
    auto ended = std::move(aTally.mAttempts);
    aTally.mAttempts.clear();
    for (auto attempt : ended) {
      AttemptResult result;
      result.mEnd = AttemptEnd::Answered;
      result.mStatus = 200;
      aTally.mRunning -= 1;
      Perform(Step(aServer, aNow, ViewConfirmed{ aNow }), aTally);
      Perform(Step(aServer, aNow, AttemptEnded{ attempt, result }), aTally);
    }
  }
}

Tally
ServeRequests(const PoolView& aView, TimePoint aNow)
{
  ServeSettings settings;
  settings.mSelf = kMembers.front();
  auto server = MakePoolServer(settings, kPool);
  Tally tally;
  Perform(Step(server, aNow, ViewChanged{ aView }), tally);
  // Until then another member may still use the slots that this one has taken over.
  aNow += settings.mViewStaleAfter + aView.mAttemptTimeout + 1s;
  Perform(Step(server, aNow, ViewConfirmed{ aNow }), tally);
  for (int i = 0; i < kRequests; ++i) {
    auto request = std::make_shared<const Request>(MakeRequest(i, aNow));
    Perform(Step(server, aNow, RequestArrived{ request }), tally);
  }
  RunAttempts(server, aNow, tally);
  return tally;
}

}

int
main()
{
  TimePoint now(std::chrono::hours(1));
  auto state = Fold(MakeLog(now));
  auto view = MakePoolView(state, kPool);
  PrintShares(view);
  auto tally = ServeRequests(view, now);
  std::cout << kRequests << " requests at member " << kMembers.front() << ": " << tally.mAnswered
            << " answered, " << tally.mRefused << " refused as not run, at most "
            << tally.mMostRunning << " at once\n";
  bool whole = tally.mAnswered + tally.mRefused == kRequests;
  return whole && tally.mMostRunning <= kHosts * 8 ? 0 : 1;
}
