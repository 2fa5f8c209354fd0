#pragma once

#include "LibServe/ClassShares.h"
#include "LibServe/Health.h"
#include "LibServe/PoolEvents.h"
#include "LibServe/RequestQueue.h"
#include "LibServe/RetryBudget.h"
#include "LibServe/RunTimes.h"
#include "LibServe/SlotTable.h"

#include <map>
#include <random>
#include <vector>

// Deterministic state machine with which one entry host serves the requests of one pool: it
// consumes events and returns actions, without doing any I/O.
namespace sesameseam {

struct ServeSettings
{
  MemberName mSelf;
  // The entry host starts no requests if its configuration was not confirmed for this long.
  Duration mViewStaleAfter = 2s;
  // Load reports of peers are ignored after this time.
  Duration mLoadStaleAfter = 1s;
  std::size_t mMaxQueued = 2000;
  Duration mTickPeriod = 50ms;
  // Lower bound of the retry delay that a refused caller is given.
  Duration mMinRetryAfter = 100ms;
  std::uint64_t mSeed = 1;
};

enum class RequestPhase
{
  Claiming,
  // Waiting for the result of another try with the same key.
  Waiting,
  Queued,
  Running,
};

struct PendingRequest
{
  RequestPointer mRequest;
  RequestPhase mPhase = RequestPhase::Queued;
  bool mClaimed = false;
  bool mAbandoned = false;
  // At least one attempt may have run without returning a response.
  bool mMayHaveRun = false;
  int mAttempts = 0;
  int mDeclines = 0;
};

struct RunningAttempt
{
  RequestId mRequest;
  // Exactly one of mSlot and mPeer is set.
  std::optional<SlotId> mSlot;
  std::optional<MemberName> mPeer;
  RequestClass mClass = RequestClass::Ordinary;
  TimePoint mStarted;
  TimePoint mSlowAt;
};

struct PeerLoad
{
  PeerLoadReported mReport;
  // Requests forwarded to the peer since its last report.
  int mSentSince = 0;
  // Classes in which the peer has declined a request since its last report.
  std::array<bool, kRequestClassCount> mDeclined = {};
};

struct ServeCounters
{
  std::int64_t mAccepted = 0;
  std::int64_t mRefused = 0;
  std::int64_t mAnswered = 0;
  std::int64_t mNotRun = 0;
  std::int64_t mUnknown = 0;
  std::int64_t mDispatched = 0;
  std::int64_t mForwarded = 0;
  std::int64_t mRetried = 0;
};

struct PoolServer
{
  ServeSettings mSettings;
  PoolView mView;
  TimePoint mViewConfirmed;
  SlotTable mSlots;
  RequestQueue mQueue;
  std::map<RequestId, PendingRequest> mPending;
  std::map<AttemptId, RunningAttempt> mAttempts;
  AttemptId mNextAttempt = 1;
  RunTimes mRunTimes;
  RetryBudget mRetryBudget;
  Health mHealth;
  std::map<MemberName, PeerLoad> mPeers;
  std::mt19937_64 mRandom;
  ServeCounters mCounters;
  ClassShares mStarted;
  // The number of running attempts of class Long on slots of this entry host.
  int mRunningLong = 0;
  // The time from which each running attempt on a slot counts as slow.
  std::set<std::pair<TimePoint, AttemptId>> mSlowAt;
  bool mStopping = false;
};

using PoolActions = std::vector<PoolAction>;

PoolServer
MakePoolServer(const ServeSettings& aSettings, const PoolName& aPool);

PoolActions
Step(PoolServer& aServer, TimePoint aNow, const PoolEvent& aEvent);

// The load report that this entry host sends to its peers for the pool.
PeerLoadReported
LoadReport(const PoolServer& aServer, TimePoint aNow);

}
