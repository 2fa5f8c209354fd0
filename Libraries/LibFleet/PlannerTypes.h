#pragma once

#include "LibFleet/FleetState.h"

#include <string>
#include <vector>

// What the planner is given and what it gives.
namespace sesameseam {

struct PlannerSettings
{
  // The share of a pool's slots that the sustained load may hold. Queues grow steeply beyond.
  double mTargetUtilisation = 0.7;
  // The time over which the load is averaged.
  Duration mLoadWindow = std::chrono::minutes(5);
  // Hosts held for bursts, as a share of those that the sustained load needs.
  double mBurstShare = 0.2;
  // A lack of hosts must last for this long before a host is moved.
  Duration mBorrowDelay = std::chrono::minutes(3);
  // The same where the pool has fewer hosts than its preset in force says.
  Duration mPresetBorrowDelay = 30s;
  // A host is given back once it was not needed for this long.
  Duration mReturnDelay = std::chrono::minutes(15);
  // Hosts that may move at once, in all and into one pool.
  int mMaxMoves = 4;
  int mMaxMovesPerPool = 2;
  // Without a list of live hosts this new, no host is taken out of service.
  Duration mHostListStaleAfter = 30s;
  // A host in service that the platform no longer lists is lost after this time.
  Duration mLostTimeout = 30s;
  // A host that was not listed anew this long after its reboot is reported.
  Duration mReturnTimeout = std::chrono::minutes(15);
  // A reboot that had no effect is asked for again. This must be longer than the list lags.
  Duration mRebootRetryDelay = std::chrono::minutes(3);
  int mMaxRebootRequests = 3;
  // A wave stops at this many failures within the wave window, if they are also this share of
  // the outcomes.
  int mStopFailureCount = 3;
  double mStopFailureShare = 0.1;
};

// What the members report together about one pool.
struct PoolDemand
{
  int mBusySlots = 0;
  int mQueued = 0;
};

// What is known beyond the log. A pool is left out while a member's report is missing.
struct FleetLoad
{
  std::map<PoolName, PoolDemand> mPools;
  // Live hosts by the count of their boots, as the platform listed them.
  std::map<HostName, std::int64_t> mBoots;
  TimePoint mListedAt;
};

// An average over a time window, exact until the window has passed for the first time.
struct LoadAverage
{
  double mBusySlots = 0.0;
  TimePoint mSince;
  TimePoint mLast;
};

// What one leader remembers from plan to plan. The loss of it delays moves and nothing else.
struct PlannerMemory
{
  std::map<PoolName, LoadAverage> mLoads;
  std::map<PoolName, TimePoint> mShortageSince;
  std::map<PoolName, TimePoint> mSurplusSince;
  std::map<HostName, TimePoint> mMissingSince;
};

// A record that the planner wants appended.
struct Proposal
{
  // Proposals with the same topic want the same thing.
  std::string mTopic;
  std::optional<Offset> mBasedOn;
  Change mChange;
};

// A host of a maintenance that is not in work, and why.
struct HostWait
{
  MaintenanceId mMaintenance;
  HostName mHost;
  std::string mReason;
};

template<typename V>
void
VisitFields(V& aVisit, HostWait& aWait)
{
  aVisit("maintenance", aWait.mMaintenance);
  aVisit("host", aWait.mHost);
  aVisit("reason", aWait.mReason);
}

}
