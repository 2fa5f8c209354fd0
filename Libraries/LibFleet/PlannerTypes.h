#pragma once

#include "LibFleet/FleetState.h"

#include <string>
#include <vector>

// The inputs and outputs of the planner.
namespace sesameseam {

struct PlannerSettings
{
  // The share of a pool's slots that the sustained load may hold. Above it, queues grow steeply.
  double mTargetUtilisation = 0.7;
  // The time over which the load is averaged.
  Duration mLoadWindow = std::chrono::minutes(5);
  // Hosts reserved for bursts, as a share of those that the sustained load needs.
  double mBurstShare = 0.2;
  // A shortage of hosts must last for this long before a host is borrowed.
  Duration mBorrowDelay = std::chrono::minutes(3);
  // The same for a pool that has fewer hosts than its preset in force asks for.
  Duration mPresetBorrowDelay = 30s;
  // A borrowed host is returned after it was not needed for this long.
  Duration mReturnDelay = std::chrono::minutes(15);
  // The maximum number of hosts that move at the same time, in total and into one pool.
  int mMaxMoves = 4;
  int mMaxMovesPerPool = 2;
  // No host is taken out of service while the list of live hosts is older than this.
  Duration mHostListStaleAfter = 30s;
  // A host in service counts as lost after the platform did not list it for this long.
  Duration mLostTimeout = 30s;
  // A host that did not return this long after the reboot request is reported as failed.
  Duration mReturnTimeout = std::chrono::minutes(15);
  // A reboot that had no effect is requested again after this time, which must exceed the lag of
  // the list of live hosts.
  Duration mRebootRetryDelay = std::chrono::minutes(3);
  int mMaxRebootRequests = 3;
  // A wave stops at this many failures within kOutcomeWindow, if they are also at least this share
  // of the outcomes.
  int mStopFailureCount = 3;
  double mStopFailureShare = 0.1;
};

// The load of one pool, summed over the reports of all members.
struct PoolDemand
{
  int mBusySlots = 0;
  int mQueued = 0;
};

// Input that is not in the log. A pool is left out while the report of any member is missing.
struct FleetLoad
{
  std::map<PoolName, PoolDemand> mPools;
  // The boot counts of the live hosts, as listed by the platform.
  std::map<HostName, std::int64_t> mBoots;
  TimePoint mListedAt;
};

// An average over a time window: the exact mean until the window has passed once, and an
// exponential moving average from then on.
struct LoadAverage
{
  double mBusySlots = 0.0;
  TimePoint mSince;
  TimePoint mLast;
};

// State that a leader keeps between plans. It is not persisted: its loss only delays moves and the
// detection of lost hosts.
struct PlannerMemory
{
  std::map<PoolName, LoadAverage> mLoads;
  std::map<PoolName, TimePoint> mShortageSince;
  std::map<PoolName, TimePoint> mSurplusSince;
  std::map<HostName, TimePoint> mMissingSince;
};

// A record that the planner proposes to append.
struct Proposal
{
  // Identifies the action: proposals with the same topic have the same purpose.
  std::string mTopic;
  std::optional<Offset> mBasedOn;
  Change mChange;
};

// A host that waits for its maintenance, and the reason.
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
