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

// The decisions of one entry host about the requests of one pool.
namespace sesameseam {

struct ServeSettings
{
  MemberName mSelf;
  // Without a confirmation of its configuration for this long, an entry host starts no work.
  Duration mViewStaleAfter = 2s;
  // A peer's report counts for this long.
  Duration mLoadStaleAfter = 1s;
  std::size_t mMaxQueued = 2000;
  Duration mTickPeriod = 50ms;
  // The shortest time after which a refused caller is told to come back.
  Duration mMinRetryAfter = 100ms;
  std::uint64_t mSeed = 1;
};

enum class RequestPhase
{
  Claiming,
  // Waits for the result of another try with the same key.
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
  // An attempt was sent whose answer did not come.
  bool mMayHaveRun = false;
  int mAttempts = 0;
  int mDeclines = 0;
};

struct RunningAttempt
{
  RequestId mRequest;
  // Exactly one of the two is set.
  std::optional<SlotId> mSlot;
  std::optional<MemberName> mPeer;
  RequestClass mClass = RequestClass::Ordinary;
  TimePoint mStarted;
  TimePoint mSlowAt;
};

struct PeerLoad
{
  PeerLoadReported mReport;
  // Requests sent there since the report.
  int mSentSince = 0;
  // Classes of which the peer has declined a request since the report.
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
  // Long attempts on slots of this entry host.
  int mRunningLong = 0;
  // When each attempt on a slot counts as slow.
  std::set<std::pair<TimePoint, AttemptId>> mSlowAt;
  bool mStopping = false;
};

using PoolActions = std::vector<PoolAction>;

PoolServer
MakePoolServer(const ServeSettings& aSettings, const PoolName& aPool);

PoolActions
Step(PoolServer& aServer, TimePoint aNow, const PoolEvent& aEvent);

// What this entry host tells its peers about the pool.
PeerLoadReported
LoadReport(const PoolServer& aServer, TimePoint aNow);

}
